use std::collections::VecDeque;

use crate::kernel::{JobOutcome, JobState};
use crate::prelude::*;

/// How long ended jobs are remembered, in milliseconds of ledger time.
const MEMORY_MS: u64 = 3_600_000;
/// Most ended jobs that are remembered; 54,000 jobs a day are 2,250 an hour, and peaks are higher.
const MAX_ENDED: usize = 20_000;

/// Accepted jobs, and the open tasks of each team in each shard.
#[derive(Debug, Default)]
pub struct JobTable {
    jobs: FastMap<JobId, JobState>,
    ended: VecDeque<(u64, JobId)>,
    open: FastMap<(ShardId, TeamId), (u64, ResourceVector)>,
}

impl JobTable {
    /// Returns a job.
    #[must_use]
    pub fn get(&self, job: &str) -> Option<&JobState> {
        self.jobs.get(job)
    }

    /// Returns a job that has no outcome.
    #[must_use]
    pub fn open(&self, job: &str) -> Option<&JobState> {
        self.jobs.get(job).filter(|state| state.outcome.is_none())
    }

    /// Returns all jobs, in no order.
    pub fn values(&self) -> impl Iterator<Item = &JobState> {
        self.jobs.values()
    }

    /// Returns the number of jobs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether no job is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns how many tasks of jobs without an outcome a team has in a shard.
    #[must_use]
    pub fn open_tasks(&self, shard: &ShardId, team: &TeamId) -> u64 {
        self.open.get(&(shard.clone(), team.clone())).map_or(0, |(tasks, _)| *tasks)
    }

    /// Returns what all tasks of jobs without an outcome need for a team in a shard.
    #[must_use]
    pub fn demand(&self, shard: &ShardId, team: &TeamId) -> ResourceVector {
        let open = self.open.get(&(shard.clone(), team.clone()));
        open.map_or_else(ResourceVector::default, |(_, demand)| *demand)
    }

    /// Returns the ended jobs with the ledger time of their end, oldest first.
    pub fn ended(&self) -> impl Iterator<Item = &(u64, JobId)> {
        self.ended.iter()
    }

    /// Adds a job.
    pub fn insert(&mut self, state: JobState) {
        if state.outcome.is_none() {
            self.count(&state, true);
        }
        self.jobs.insert(state.spec.id.clone(), state);
    }

    /// Notes the ledger time at which a job ended; snapshots give ended jobs in this order.
    pub fn insert_ended(&mut self, state: JobState, at_ms: u64) {
        self.ended.push_back((at_ms, state.spec.id.clone()));
        self.insert(state);
    }

    /// Marks an open job as cancelled; returns its shard if it was not before.
    pub fn cancel(&mut self, job: &str) -> Option<ShardId> {
        let open = |state: &&mut JobState| state.outcome.is_none() && !state.cancelled;
        let state = self.jobs.get_mut(job).filter(open)?;
        state.cancelled = true;
        Some(state.shard.clone())
    }

    /// Hands an open job to another shard.
    pub fn move_to_shard(&mut self, job: &str, to: &ShardId) {
        let Some(mut state) = self.jobs.remove(job) else { return };
        self.count(&state, false);
        state.shard = to.clone();
        self.insert(state);
    }

    /// Ends an open job.
    pub fn end(&mut self, job: &JobId, outcome: &JobOutcome, at_ms: u64) {
        let Some(mut state) = self.jobs.remove(job) else { return };
        self.count(&state, false);
        state.outcome = Some(outcome.clone());
        self.insert_ended(state, at_ms);
    }

    /// Forgets jobs that ended too long before the ledger time.
    pub fn forget(&mut self, now_ms: u64) {
        let old = |(at_ms, _): &(u64, JobId)| at_ms + MEMORY_MS < now_ms;
        while self.ended.front().is_some_and(old) || self.ended.len() > MAX_ENDED {
            if let Some((_, job)) = self.ended.pop_front() {
                self.jobs.remove(&job);
            }
        }
    }

    fn count(&mut self, state: &JobState, added: bool) {
        let key = (state.shard.clone(), state.spec.team.clone());
        let tasks = u64::from(state.spec.tasks);
        let need = state.spec.need.times(tasks);
        let (count, demand) = self.open.entry(key.clone()).or_default();
        (*count, *demand) = if added {
            (*count + tasks, demand.plus(need))
        } else {
            (count.saturating_sub(tasks), demand.minus(need))
        };
        if *count == 0 {
            self.open.remove(&key);
        }
    }
}
