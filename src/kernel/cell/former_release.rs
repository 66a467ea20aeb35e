use crate::prelude::*;

/// The release of the cell by the owner before the present one, which says that it had fenced earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FormerRelease {
    /// When this process read the release. The former owner has granted no lease since.
    pub read_at: Instant,
    /// For how long it had fenced earlier owners before, at least.
    pub fenced_for: Duration,
}
