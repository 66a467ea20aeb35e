//! Reads and checks bundle files, signed or not.

use std::path::{Path, PathBuf};

use godwithaven::kernel::{BundleRecord, PluginRegistry, PolicyBundle};
use godwithaven::plugins::bundle_fault::{BundleFault, BundleReport};
use godwithaven::plugins::bundle_toml::{self, BundleContext};
use godwithaven::prelude::ZoneId;

use crate::failure::CommandFailure;

/// A bundle text in TOML, or a signed file: a JSON object with the text and its signatures.
pub struct BundleFile {
    /// Path that the file was read from.
    pub path: PathBuf,
    /// Bundle text in TOML; that of the signed record if there is one.
    pub text: String,
    /// Signed record; `None` if the file holds only the text.
    pub signed: Option<BundleRecord>,
}

impl BundleFile {
    /// Reads a file, which is taken as signed if it starts with `{`. The bundle text is not checked yet.
    pub fn read(path: &Path) -> Result<Self, CommandFailure> {
        let failure = |reason: &dyn std::fmt::Display| CommandFailure::failed(path.display(), reason);
        let text = std::fs::read_to_string(path).map_err(|error| failure(&error))?;
        let path = path.to_owned();
        if !text.starts_with('{') {
            return Ok(Self { path, text, signed: None });
        }
        let signed: BundleRecord = serde_json::from_str(&text).map_err(|error| failure(&error))?;
        Ok(Self { path, text: signed.text.clone(), signed: Some(signed) })
    }

    /// Checks the text and returns the bundle or all faults. `zones` are the zones that have workers or
    /// endpoints, `None` if not known; a zone of the bundle outside them is a fault. The number of default
    /// signers is that of `GODWITHAVEN_SIGNERS`.
    pub fn check(&self, zones: Option<&[ZoneId]>) -> Result<PolicyBundle, Vec<BundleFault>> {
        let registry = PluginRegistry::collect();
        let signers = std::env::var("GODWITHAVEN_SIGNERS").ok().map(|keys| keys.split(',').count());
        let context =
            BundleContext { registry: &registry, known_zones: zones, default_signer_count: signers };
        bundle_toml::parse_with_faults(&self.text, &context)
    }

    /// Returns the checked bundle, or a failure that reports all faults.
    pub fn bundle(&self) -> Result<PolicyBundle, CommandFailure> {
        self.check(None).map_err(|faults| self.failure(&faults))
    }

    /// Returns a failure that shows the faults at their places in the text.
    pub fn failure(&self, faults: &[BundleFault]) -> CommandFailure {
        let name = self.path.display().to_string();
        CommandFailure::Diagnostic(BundleReport::new(&name, &self.text, faults).into())
    }
}
