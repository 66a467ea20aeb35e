use crate::kernel::{ShardCapacities, rendezvous};
use crate::prelude::*;

/// Time for which the workers of its shard, even if empty, must have been unable to hold a job before it is
/// moved. Processes read the VM list every second; with a shorter delay, two owners with different lists
/// could pass a job back and forth.
const MIN_INFEASIBLE_TIME: Duration = Duration::from_secs(2);

/// Decides when and where to move waiting jobs that no worker of their shard could hold even if it were
/// empty, but workers of another shard could.
#[derive(Debug, Default)]
pub struct JobMover {
    /// Worker capacities of the other shards.
    other_shards: ShardCapacities,
    /// Jobs to move, and when; `None` until the next tick sets the time.
    due_at: FastMap<JobId, Option<Instant>>,
}

impl JobMover {
    /// Sets the worker capacities of the other shards.
    pub fn set_other_shards(&mut self, other_shards: ShardCapacities) {
        self.other_shards = other_shards;
    }

    /// Returns the shard to which the job should move; `None` if its tasks fit no other shard.
    #[must_use]
    pub fn target(&self, spec: &JobSpec) -> Option<ShardId> {
        let shards = self.other_shards.shards().filter(|shard| self.other_shards.can_fit(shard, spec));
        rendezvous::pick(&spec.id, shards, |shard| shard).cloned()
    }

    /// Plans the move of a job that even empty workers of its shard cannot hold; returns false if no other
    /// shard can hold it either.
    pub fn plan(&mut self, spec: &JobSpec) -> bool {
        let planned = self.target(spec).is_some();
        if planned {
            self.due_at.entry(spec.id.clone()).or_default();
        }
        planned
    }

    /// Removes and returns the jobs whose move is due. A job may fit again by then, which the caller checks.
    pub fn take_due(&mut self, now: Instant) -> Vec<JobId> {
        let mut due = Vec::new();
        self.due_at.retain(|job, at| {
            let is_due = *at.get_or_insert(now + MIN_INFEASIBLE_TIME) <= now;
            if is_due {
                due.push(job.clone());
            }
            !is_due
        });
        due
    }
}
