use crate::kernel::cell::admission::ExpectedWait;
use crate::prelude::*;

/// Expected waits of new jobs of one queue.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QueueEstimate {
    /// Number of its ready steps with tasks that wait, without those of expired jobs.
    pub waiting_steps: usize,
    /// Expected wait of a job of a team that has no work waiting in queues of this priority.
    pub other_teams: ExpectedWait,
    /// Expected waits of jobs of the teams that have work waiting, sorted by team.
    pub teams: Vec<(TeamId, ExpectedWait)>,
}
