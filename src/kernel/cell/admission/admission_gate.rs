use std::hash::{BuildHasher, BuildHasherDefault};

use rustc_hash::FxHasher;

use crate::kernel::cell::admission::{AdmissionNotice, LoadRefusal};
use crate::kernel::cell::{CellConfig, GraphSpec, QueueRule};
use crate::prelude::*;

/// Age up to which a notice is used; the owner sends several in this time while there are long waits.
const MAX_NOTICE_AGE: Duration = Duration::from_secs(3);
/// Multiple of the latency objective after which a result is of no use to the caller.
const USABLE_OBJECTIVES: u32 = 3;
/// Percentage of the estimated run time that a job is expected to take at least; estimates are often too long.
const RUN_TIME_PERCENT: u32 = 70;
/// Percentage of the usable wait above which refusals begin. They go on until the expected wait is usable, so
/// that a wait near the limit does not change the answer from one call to the next.
const REFUSE_ABOVE_PERCENT: u32 = 150;
/// Shortest time after which a refused caller may try again.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Parts into which hashes of jobs divide the jobs of a queue.
const HASH_PARTS: u64 = 1_000;
/// Shortest spread of these times; answers give them in whole seconds.
const MIN_RETRY_SPREAD: Duration = Duration::from_secs(2);
/// Longest time after which a refused caller may try again, as estimates say little about a later time.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Decides in one process whether a job can still be of use to its caller.
///
/// It admits every job unless a recent notice of the owner says otherwise. State that a process has lost or not
/// yet received therefore never refuses a job.
#[derive(Clone, Debug, Default)]
pub struct AdmissionGate {
    waits: FastMap<(QueueId, Option<TeamId>), Duration>,
    received_at: Option<Instant>,
    /// Shortest usable wait of the jobs that were refused, by queue and team, until the expected wait is shorter.
    refusing: FastMap<(QueueId, TeamId), Duration>,
}

impl AdmissionGate {
    /// Replaces the waits by those of a notice.
    pub fn apply(&mut self, notice: AdmissionNotice, now: Instant) {
        self.waits = notice.waits.into_iter().map(|long| ((long.queue, long.team), long.wait)).collect();
        self.received_at = Some(now);
        let waits = std::mem::take(&mut self.refusing);
        self.refusing = waits
            .into_iter()
            .filter(|((queue, team), usable_wait)| {
                self.expected_wait(queue, team).is_some_and(|wait| wait > *usable_wait)
            })
            .collect();
    }

    /// Returns why a job is refused; `None` if it is admitted.
    pub fn refusal(&mut self, spec: &GraphSpec, config: &CellConfig, now: Instant) -> Option<LoadRefusal> {
        let estimate_age = now.saturating_duration_since(self.received_at?);
        if estimate_age > MAX_NOTICE_AGE {
            self.refusing.clear();
            return None;
        }
        let wait = self.expected_wait(&spec.queue, &spec.team)?;
        let usable_wait = usable_wait(spec, config.queues.get(&spec.queue)?)?;
        let key = (spec.queue.clone(), spec.team.clone());
        let limit = match self.refusing.get(&key) {
            Some(_) => usable_wait,
            None => usable_wait.saturating_mul(REFUSE_ABOVE_PERCENT) / 100,
        };
        if wait <= limit {
            return None;
        }
        let shortest = self.refusing.entry(key).or_insert(usable_wait);
        *shortest = usable_wait.min(*shortest);
        let hash = BuildHasherDefault::<FxHasher>::default().hash_one(&spec.id);
        if is_among_usable(hash, wait, usable_wait) {
            return None;
        }
        let retry_after = retry_after(hash, wait.saturating_sub(usable_wait));
        Some(LoadRefusal { wait, usable_wait, estimate_age, retry_after })
    }

    /// Returns the expected wait that the last notice has for a team.
    fn expected_wait(&self, queue: &QueueId, team: &TeamId) -> Option<Duration> {
        let of_team = self.waits.get(&(queue.clone(), Some(team.clone())));
        of_team.or_else(|| self.waits.get(&(queue.clone(), None))).copied()
    }
}

/// Returns the longest wait after which the result of a job is still of use; `None` if the job has no one
/// result, because it is scheduled or has long-running tasks.
fn usable_wait(spec: &GraphSpec, rule: &QueueRule) -> Option<Duration> {
    if spec.schedule.is_some() || spec.steps.iter().any(|step| step.long_running) {
        return None;
    }
    let critical_path = spec.estimated_critical_path();
    let objective = rule.objective(critical_path);
    let run_time = critical_path.saturating_mul(RUN_TIME_PERCENT) / 100;
    Some(objective.saturating_mul(USABLE_OBJECTIVES).saturating_sub(run_time))
}

/// Whether a job with this hash belongs to the part of the new jobs that can still be of use while the expected wait
/// is longer than usable. Jobs for that part of the wait have to be admitted, or there would be room once those
/// before them are done. Attempts for the same job get the same answer as long as the wait does not change.
fn is_among_usable(hash: u64, wait: Duration, usable_wait: Duration) -> bool {
    u128::from(hash % HASH_PARTS) * wait.as_millis() < u128::from(HASH_PARTS) * usable_wait.as_millis()
}

/// Returns when a caller may try again if its wait is too long by `excess` now. The times of several jobs are
/// spread over half as long again, so that their callers do not come back at once.
fn retry_after(hash: u64, excess: Duration) -> Duration {
    let earliest = excess.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER * 2 / 3);
    let spread = (earliest / 2).max(MIN_RETRY_SPREAD);
    // Other digits than those that decide on the refusal.
    let part = u32::try_from(hash / HASH_PARTS % HASH_PARTS).unwrap_or_default();
    earliest + spread * part / u32::try_from(HASH_PARTS).unwrap_or(u32::MAX)
}
