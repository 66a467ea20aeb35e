use crate::prelude::*;

/// Expected wait of new jobs of a queue that exceeds what at least some callers can use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueWait {
    /// The queue.
    pub queue: QueueId,
    /// The team; `None` for all teams that the notice does not name for this queue.
    pub team: Option<TeamId>,
    /// The expected wait before the first task of a new job starts.
    pub wait: Duration,
}
