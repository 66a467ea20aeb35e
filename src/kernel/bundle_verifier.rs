use crate::kernel::BundleRecord;
use crate::prelude::*;

/// Parses and validates a bundle text. The error is a one-line description of the fault.
pub type BundleParser = Arc<dyn Fn(&str) -> Result<PolicyBundle, String>>;
/// Counts the distinct keys among the given public keys that have a valid signature on a record.
pub type SignatureCounter = Arc<dyn Fn(&BundleRecord, &[String]) -> usize>;

/// Parser, signature check and initial signers with which the ledger decides whether a
/// published bundle is valid.
#[derive(Clone)]
pub struct BundleVerifier {
    /// Parser of the bundle text.
    pub parse: BundleParser,
    /// Counts the signers with a valid signature on a record.
    pub count_signatures: SignatureCounter,
    /// Hexadecimal public keys of the settings, which may sign while the bundle in force names no signers.
    pub signers: Vec<String>,
    /// Number of signatures that the first bundle needs.
    pub required: usize,
}
