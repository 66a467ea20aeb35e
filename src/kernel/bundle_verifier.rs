use crate::kernel::BundleRecord;
use crate::prelude::*;

/// Parses and checks a bundle text; the error is one line for the log.
pub type BundleParser = Arc<dyn Fn(&str) -> Result<PolicyBundle, String>>;
/// Counts distinct valid signatures of a record by the given public keys.
pub type ApprovalCounter = Arc<dyn Fn(&BundleRecord, &[String]) -> usize>;

/// Functions that the ledger needs to judge a published bundle.
#[derive(Clone)]
pub struct BundleVerifier {
    /// Parses and checks a bundle text; the error is one line for the log.
    pub parse: BundleParser,
    /// Counts distinct valid signatures of the record by the given public keys.
    pub approvals: ApprovalCounter,
    /// Public keys that may sign while no bundle names any.
    pub signers: Vec<String>,
    /// Signatures that the first bundle needs.
    pub required: usize,
}
