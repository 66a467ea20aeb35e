use crate::kernel::cell::CellState;
use crate::kernel::cell::admission::cell_backlog::CellBacklog;
use crate::kernel::cell::admission::{ExpectedWait, ObservedWait, QueueEstimate, WaitCause};
use crate::prelude::*;

/// Expected waits of new jobs by queue and team. Queues in which nothing waits have none: configurations may hold
/// many queues that are hardly used.
///
/// They are low estimates: they leave out work that arrives later, room that is lost because tasks do not fill
/// the workers exactly, and jobs of which an earlier step still runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdmissionEstimate {
    /// Estimates by queue, sorted by its name.
    pub queues: Vec<(QueueId, QueueEstimate)>,
}

impl AdmissionEstimate {
    /// Returns the expected waits for the state of a cell at `now`.
    #[must_use]
    pub fn of(state: &CellState, now: Instant) -> Self {
        let mut queues = CellBacklog::of(state, now).estimates(state);
        queues.sort_by(|(left, _), (right, _)| left.cmp(right));
        Self { queues }
    }

    /// Returns the expected wait of a new job; none for a queue without an estimate.
    #[must_use]
    pub fn wait(&self, queue: &QueueId, team: Option<&TeamId>) -> ExpectedWait {
        let Ok(index) = self.queues.binary_search_by(|(name, _)| name.cmp(queue)) else {
            return ExpectedWait::default();
        };
        let estimate = &self.queues[index].1;
        let of_team = team.and_then(|team| {
            let index = estimate.teams.binary_search_by(|(name, _)| name.cmp(team)).ok()?;
            Some(estimate.teams[index].1)
        });
        of_team.unwrap_or(estimate.other_teams)
    }

    /// Raises the expected waits of teams that are shorter than the observed ones.
    #[must_use]
    pub fn raised_to(mut self, observed: Vec<ObservedWait>) -> Self {
        for (queue, team, time) in observed {
            let Ok(index) = self.queues.binary_search_by(|(name, _)| name.cmp(&queue)) else { continue };
            let teams = &mut self.queues[index].1.teams;
            if let Ok(index) = teams.binary_search_by(|(name, _)| name.cmp(&team))
                && time > teams[index].1.time
            {
                teams[index].1 = ExpectedWait { time, cause: WaitCause::StartRate };
            }
        }
        self
    }
}
