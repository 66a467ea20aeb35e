//! The TOML form of a bundle.

use crate::kernel::PluginRegistry;
use crate::prelude::*;

/// Parses a bundle text and checks that its plug-ins are linked.
///
/// # Errors
///
/// Returns one line that names the first fault.
pub fn parse(text: &str, registry: &PluginRegistry) -> Result<PolicyBundle, String> {
    let bundle: PolicyBundle = toml::from_str(text).map_err(|error| error.message().to_owned())?;
    match registry.missing(&bundle) {
        Some(fault) => Err(fault),
        None => Ok(bundle),
    }
}
