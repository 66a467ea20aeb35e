//! Faults of a bundle text with their places.

use std::ops::Range;

use miette::{Diagnostic, LabeledSpan, NamedSource};

/// One fault of a bundle text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BundleFault {
    /// Bytes of the text that the fault is about.
    pub span: Range<usize>,
    /// What is wrong, in one sentence.
    pub message: String,
    /// Whether the place may hold a secret, which reports must not show.
    pub secret: bool,
}

impl BundleFault {
    /// Returns the fault at a place of the text.
    #[must_use]
    pub fn new(span: Range<usize>, message: impl Into<String>) -> Self {
        Self { span, message: message.into(), secret: false }
    }

    /// Returns the line of the fault in `text`, from 1.
    #[must_use]
    pub fn line(&self, text: &str) -> usize {
        let before = text.char_indices().take_while(|(index, _)| *index < self.span.start);
        before.filter(|(_, letter)| *letter == '\n').count() + 1
    }
}

/// All faults of one bundle text, for people.
#[derive(Debug, derive_more::Display, derive_more::Error, Diagnostic)]
#[display("{name} cannot be used: {} fault{}", labels.len(), if labels.len() == 1 { "" } else { "s" })]
#[diagnostic(code(godwithaven::bundle), help("docs/BUNDLE.md describes every field"))]
pub struct BundleReport {
    name: String,
    #[source_code]
    text: NamedSource<String>,
    #[label(collection)]
    labels: Vec<LabeledSpan>,
}

impl BundleReport {
    /// Returns the report on the text of the file `name`.
    #[must_use]
    pub fn new(name: &str, text: &str, faults: &[BundleFault]) -> Self {
        let label =
            |fault: &BundleFault| LabeledSpan::new_with_span(Some(fault.message.clone()), fault.span.clone());
        Self {
            name: name.to_owned(),
            text: NamedSource::new(name, mask_secrets(text, faults)),
            labels: faults.iter().map(label).collect(),
        }
    }
}

/// Returns the text with stars in place of secrets; places stay the same.
fn mask_secrets(text: &str, faults: &[BundleFault]) -> String {
    let mut masked = text.to_owned();
    for fault in faults.iter().filter(|fault| fault.secret) {
        if masked.get(fault.span.clone()).is_some() {
            masked.replace_range(fault.span.clone(), &"*".repeat(fault.span.len()));
        }
    }
    masked
}
