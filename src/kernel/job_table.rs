use std::collections::VecDeque;

use crate::kernel::{JobOutcome, JobState};
use crate::prelude::*;

/// Time for which ended jobs are kept, in milliseconds of ledger time.
const ENDED_RETENTION_MS: u64 = 3_600_000;
/// Maximum number of ended jobs that are kept; 54,000 jobs a day are 2,250 an hour, and peaks are higher.
const MAX_ENDED_JOBS: usize = 20_000;

/// Accepted jobs of all shards, and the demand of the open ones by shard and team. An open job has no outcome
/// yet.
#[derive(Debug, Default)]
pub struct JobTable {
    /// Open jobs, and ended ones within the retention bounds.
    jobs: FastMap<JobId, JobState>,
    /// Ended jobs with the ledger time of their end, oldest first.
    ended: VecDeque<(u64, JobId)>,
    /// Number of tasks of open jobs and the resources that they need in total.
    open_demand: FastMap<(ShardId, TeamId), (u64, ResourceVector)>,
}

impl JobTable {
    /// Returns a job, open or ended.
    #[must_use]
    pub fn get(&self, job: &str) -> Option<&JobState> {
        self.jobs.get(job)
    }

    /// Returns an open job.
    #[must_use]
    pub fn open(&self, job: &str) -> Option<&JobState> {
        self.jobs.get(job).filter(|state| state.outcome.is_none())
    }

    /// Returns all jobs in no particular order.
    pub fn values(&self) -> impl Iterator<Item = &JobState> {
        self.jobs.values()
    }

    /// Returns the number of jobs, ended ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether the table holds no job.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns the number of tasks that the open jobs of a team have in a shard.
    #[must_use]
    pub fn open_tasks(&self, shard: &ShardId, team: &TeamId) -> u64 {
        self.open_demand.get(&(shard.clone(), team.clone())).map_or(0, |(tasks, _)| *tasks)
    }

    /// Returns the resources that all tasks of the open jobs of a team need in a shard.
    #[must_use]
    pub fn demand(&self, shard: &ShardId, team: &TeamId) -> ResourceVector {
        let open = self.open_demand.get(&(shard.clone(), team.clone()));
        open.map_or_else(ResourceVector::default, |(_, demand)| *demand)
    }

    /// Returns the ended jobs with the ledger time of their end, oldest first.
    pub fn ended(&self) -> impl Iterator<Item = &(u64, JobId)> {
        self.ended.iter()
    }

    /// Adds a job; one without an outcome counts as open.
    pub fn insert(&mut self, state: JobState) {
        if state.outcome.is_none() {
            self.update_demand(&state, true);
        }
        self.jobs.insert(state.spec.id.clone(), state);
    }

    /// Adds a job that ended at the given ledger time. Must be called in the order in which the jobs ended.
    pub fn insert_ended(&mut self, state: JobState, at_ms: u64) {
        self.ended.push_back((at_ms, state.spec.id.clone()));
        self.insert(state);
    }

    /// Marks an open job as cancelled. Returns its shard, or `None` if the job is not open or was cancelled
    /// before.
    pub fn cancel(&mut self, job: &str) -> Option<ShardId> {
        let open = |state: &&mut JobState| state.outcome.is_none() && !state.cancelled;
        let state = self.jobs.get_mut(job).filter(open)?;
        state.cancelled = true;
        Some(state.shard.clone())
    }

    /// Assigns a job to another shard; the job must be open.
    pub fn move_to_shard(&mut self, job: &str, to: &ShardId) {
        let Some(mut state) = self.jobs.remove(job) else { return };
        self.update_demand(&state, false);
        state.shard = to.clone();
        self.insert(state);
    }

    /// Records the outcome of a job; the job must be open.
    pub fn end(&mut self, job: &JobId, outcome: &JobOutcome, at_ms: u64) {
        let Some(mut state) = self.jobs.remove(job) else { return };
        self.update_demand(&state, false);
        state.outcome = Some(outcome.clone());
        self.insert_ended(state, at_ms);
    }

    /// Removes ended jobs beyond the retention time and the maximum number.
    pub fn evict_expired(&mut self, now_ms: u64) {
        let is_expired = |(at_ms, _): &(u64, JobId)| at_ms + ENDED_RETENTION_MS < now_ms;
        while self.ended.front().is_some_and(is_expired) || self.ended.len() > MAX_ENDED_JOBS {
            if let Some((_, job)) = self.ended.pop_front() {
                self.jobs.remove(&job);
            }
        }
    }

    fn update_demand(&mut self, state: &JobState, added: bool) {
        let key = (state.shard.clone(), state.spec.team.clone());
        let tasks = u64::from(state.spec.tasks);
        let need = state.spec.need.times(tasks);
        let (count, demand) = self.open_demand.entry(key.clone()).or_default();
        (*count, *demand) = if added {
            (*count + tasks, demand.plus(need))
        } else {
            (count.saturating_sub(tasks), demand.minus(need))
        };
        if *count == 0 {
            self.open_demand.remove(&key);
        }
    }
}
