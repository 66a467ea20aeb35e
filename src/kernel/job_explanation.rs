use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::kernel::{GangReservation, JobProgress, ShardState, WaitReason};
use crate::prelude::*;

/// Number of waiting tasks by team and by wait reason.
pub type TeamWaits = BTreeMap<TeamId, BTreeMap<&'static str, u32>>;

/// Explains where the tasks of a job run and why others wait, as the owner of its shard knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobExplanation {
    /// Placed tasks with their workers.
    pub running: Vec<(TaskId, VmId)>,
    /// Number of tasks that wait for placement or back off.
    pub waiting: u32,
    /// Number of tasks by wait reason, and of tasks that are `stopping` or `moving`. `fits_nowhere`, and
    /// `holds_reservation` if it applies, are followed by the reasons that rule out workers for a task, each
    /// with the number of workers.
    pub reasons: Vec<(String, u32)>,
}

impl JobExplanation {
    /// Explains a job; `None` if the shard does not have it.
    #[must_use]
    pub fn of(id: &JobId, state: &ShardState, gang: &GangReservation) -> Option<Self> {
        let job = state.jobs.get(id)?;
        let placed = job.tasks.iter().filter_map(|progress| progress.placed.as_ref());
        let running =
            placed.filter_map(|task| Some((task.clone(), state.tasks.get(task)?.vm.clone()))).collect();
        let waiting = count(job.waiting.len() + job.backing_off.len());
        Some(Self { running, waiting, reasons: reasons(job, state, gang) })
    }
}

/// Returns the number of waiting tasks of each team by wait reason.
#[must_use]
pub fn team_waits(state: &ShardState) -> TeamWaits {
    let mut waits = TeamWaits::new();
    for job in state.jobs.values() {
        let backing_off = ("backoff", count(job.backing_off.len()));
        let waiting = (wait_reason(job, state), count(job.waiting.len()));
        for (reason, tasks) in [backing_off, waiting] {
            if tasks > 0 {
                let team = waits.entry(job.spec.team.clone()).or_default();
                *team.entry(reason).or_default() += tasks;
            }
        }
    }
    waits
}

/// Returns why the tasks of a job that are not backing off wait.
fn wait_reason(job: &JobProgress, state: &ShardState) -> &'static str {
    if job.inherited {
        return "waits_for_old_lease";
    }
    match state.queue.class_of(&job.spec).and_then(|(_, class)| class.blocked) {
        Some(WaitReason::OverLimit) => "over_limit",
        Some(WaitReason::Reserved) => "reserved",
        Some(WaitReason::AboveShare) => "above_share",
        Some(WaitReason::FitsNowhere) => "fits_nowhere",
        // The class is ready, but other classes come before it.
        None => "share_used",
    }
}

fn reasons(job: &JobProgress, state: &ShardState, gang: &GangReservation) -> Vec<(String, u32)> {
    let mut reasons = Vec::new();
    let mut add = |reason: &str, tasks: u32| reasons.push((reason.to_owned(), tasks));
    if !job.backing_off.is_empty() {
        add("backoff", count(job.backing_off.len()));
    }
    let is_stopping = |task: &TaskId| state.tasks.get(task).is_some_and(|placed| placed.stopping.is_some());
    let stopping_count =
        job.tasks.iter().filter(|progress| progress.placed.as_ref().is_some_and(is_stopping)).count();
    if stopping_count > 0 {
        add("stopping", count(stopping_count));
    }
    if job.moving {
        add("moving", job.spec.tasks);
    }
    let waiting = count(job.waiting.len());
    if waiting == 0 {
        return reasons;
    }
    let reason = wait_reason(job, state);
    add(reason, waiting);
    if reason == "fits_nowhere" {
        if gang.held().is_some_and(|held| held.job == job.spec.id) {
            add("holds_reservation", waiting);
        }
        add_worker_reasons(job.spec.need, state, &mut add);
    }
    reasons
}

/// Adds the number of workers that each reason rules out for a task.
fn add_worker_reasons(need: ResourceVector, state: &ShardState, add: &mut impl FnMut(&str, u32)) {
    let mut counts: FastMap<&str, u32> = FastMap::default();
    for reason in state.fleet.iter().filter_map(|(_, worker)| worker.rejection_reason(need)) {
        *counts.entry(reason).or_default() += 1;
    }
    let mut counts: Vec<(&str, u32)> = counts.into_iter().collect();
    counts.sort_unstable();
    for (reason, workers) in counts {
        add(reason, workers);
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
