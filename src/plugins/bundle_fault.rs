//! Faults of a bundle text, and the report that shows them to an operator.

use std::ops::Range;

use miette::{Diagnostic, LabeledSpan, NamedSource};

/// One fault of a bundle text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BundleFault {
    /// Byte range of the text that the fault is about.
    pub span: Range<usize>,
    /// What is wrong, in one sentence.
    pub message: String,
    /// Whether the text at `span` may be a secret, which a report must mask.
    pub secret: bool,
}

impl BundleFault {
    /// Returns a fault at `span` whose text is not a secret.
    #[must_use]
    pub fn new(span: Range<usize>, message: impl Into<String>) -> Self {
        Self { span, message: message.into(), secret: false }
    }

    /// Returns the number of the line in `text` on which the fault starts, counted from 1.
    #[must_use]
    pub fn line(&self, text: &str) -> usize {
        let before = text.char_indices().take_while(|(index, _)| *index < self.span.start);
        before.filter(|(_, character)| *character == '\n').count() + 1
    }
}

/// All faults of one bundle text as a diagnostic that quotes the lines concerned.
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
    /// Returns the report of `faults` in `text`, the content of the file `name`.
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

/// Returns the text with each byte of a secret replaced by a star, which keeps all spans valid.
fn mask_secrets(text: &str, faults: &[BundleFault]) -> String {
    let mut masked = text.to_owned();
    for fault in faults.iter().filter(|fault| fault.secret) {
        if masked.get(fault.span.clone()).is_some() {
            masked.replace_range(fault.span.clone(), &"*".repeat(fault.span.len()));
        }
    }
    masked
}
