use crate::kernel::{ShardCapacities, rendezvous};
use crate::prelude::*;

/// How long a job must have fitted no worker of its shard before it is moved. Processes read the VM list every
/// second; with a shorter wait two owners with different lists could pass a job to and fro.
const MOVE_DELAY: Duration = Duration::from_secs(2);

/// Waiting jobs that no worker of their shard holds, but those of another one do.
#[derive(Debug, Default)]
pub struct JobMover {
    others: ShardCapacities,
    misfits: FastMap<JobId, Option<Instant>>,
}

impl JobMover {
    /// Takes over what the workers of the other shards hold.
    pub fn set_other_shards(&mut self, others: ShardCapacities) {
        self.others = others;
    }

    /// Returns the shard that is to hold the job, if there is one.
    #[must_use]
    pub fn target(&self, spec: &JobSpec) -> Option<ShardId> {
        let shards = self.others.shards().filter(|shard| self.others.can_fit(shard, spec));
        rendezvous::pick(&spec.id, shards, |shard| shard).cloned()
    }

    /// Notes that no worker of the shard holds the job; returns whether another shard does.
    pub fn plan(&mut self, spec: &JobSpec) -> bool {
        let planned = self.target(spec).is_some();
        if planned {
            self.misfits.entry(spec.id.clone()).or_default();
        }
        planned
    }

    /// Returns the jobs that have been misfits for long enough, and forgets them.
    pub fn take_due(&mut self, now: Instant) -> Vec<JobId> {
        let mut due = Vec::new();
        self.misfits.retain(|job, at| {
            let over = *at.get_or_insert(now + MOVE_DELAY) <= now;
            if over {
                due.push(job.clone());
            }
            !over
        });
        due
    }
}
