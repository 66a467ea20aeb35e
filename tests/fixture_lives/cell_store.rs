use std::sync::Arc;

use godwithaven::kernel::cell::{CellRecord, EndSource, FormerRelease, GraphSpec};

/// The store of the platform, which answers at once.
#[derive(Default)]
pub struct CellStore {
    /// Records of the owners, and how they learned of the ends among them.
    pub records: Vec<(CellRecord, Option<EndSource>)>,
    pub jobs: Vec<Arc<GraphSpec>>,
    /// Offset of the next record of the claim log.
    pub next_claim: u64,
    /// The release of the last owner, if it has released the cell.
    pub release: Option<FormerRelease>,
}
