//! Files with a bundle, signed or not.

use std::path::{Path, PathBuf};

use godwithaven::kernel::{BundleRecord, PluginRegistry, PolicyBundle};
use godwithaven::plugins::bundle_fault::{BundleFault, BundleReport};
use godwithaven::plugins::bundle_toml::{self, BundleContext};
use godwithaven::prelude::ZoneId;

use crate::failure::CommandFailure;

/// A bundle text in TOML, or a signed file: a JSON object with the text and its signatures.
pub struct BundleFile {
    /// Path of the file.
    pub path: PathBuf,
    /// The text.
    pub text: String,
    /// Signed record; `None` for a plain text.
    pub signed: Option<BundleRecord>,
}

impl BundleFile {
    /// Reads a file.
    pub fn read(path: &Path) -> Result<Self, CommandFailure> {
        let fault = |reason: &dyn std::fmt::Display| CommandFailure::failed(path.display(), reason);
        let text = std::fs::read_to_string(path).map_err(|error| fault(&error))?;
        let path = path.to_owned();
        if !text.starts_with('{') {
            return Ok(Self { path, text, signed: None });
        }
        let signed: BundleRecord = serde_json::from_str(&text).map_err(|error| fault(&error))?;
        Ok(Self { path, text: signed.text.clone(), signed: Some(signed) })
    }

    /// Returns the bundle, or all faults of the text.
    pub fn check(&self, zones: Option<&[ZoneId]>) -> Result<PolicyBundle, Vec<BundleFault>> {
        let registry = PluginRegistry::collect();
        let signers = std::env::var("GODWITHAVEN_SIGNERS").ok().map(|keys| keys.split(',').count());
        let context = BundleContext { registry: &registry, known_zones: zones, default_signers: signers };
        bundle_toml::check(&self.text, &context)
    }

    /// Returns the bundle, or a report with all faults.
    pub fn bundle(&self) -> Result<PolicyBundle, CommandFailure> {
        self.check(None).map_err(|faults| self.report(&faults))
    }

    /// Returns the report on faults of the text.
    pub fn report(&self, faults: &[BundleFault]) -> CommandFailure {
        let name = self.path.display().to_string();
        CommandFailure::Reported(BundleReport::new(&name, &self.text, faults).into())
    }
}
