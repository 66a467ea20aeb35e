//! Workers of a soak run that restart under their ids and are cut off soon after.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use godwithaven_standins::platform::PlatformWorker;

use crate::fixture_soak::SeededRandom;

/// Time between the two lives of a worker.
const DARK_TIME: Duration = Duration::from_millis(600);
/// Time before the end of a worker in which calls are held, if they are.
const HOLD_TIME: Duration = Duration::from_millis(300);
/// Range of the time after the start of a worker at which held calls are carried out, in milliseconds.
const CALL_DELAY_RANGE_MS: u64 = 5_000;
/// Time from the beginning of a restart to the long jobs that run on the present incarnations, and to the kill.
const JOB_DELAY: Duration = Duration::from_millis(1_200);
const KILL_DELAY: Duration = Duration::from_secs(2);
/// Shortest time from the beginning of a restart to the cut.
const MIN_CUT_DELAY: Duration = Duration::from_millis(2_200);
/// Range of the times above the shortest, in milliseconds. A new owner takes about a second after the kill to reach
/// the workers, which it does in some of the cases.
const CUT_DELAY_RANGE_MS: u64 = 2_000;
/// Shortest cut; it outlasts a lease of 6.5 s.
const MIN_CUT: Duration = Duration::from_secs(7);
/// Range of the lengths above the shortest, in milliseconds.
const CUT_RANGE_MS: u64 = 5_000;
/// Shortest time from the end of a cut to the next restart.
const MIN_INTERVAL: Duration = Duration::from_secs(1);
/// Range of the times above the shortest, in milliseconds.
const INTERVAL_RANGE_MS: u64 = 5_000;
/// Shortest run time of the jobs that are submitted after a restart, in milliseconds.
const MIN_RUN_TIME_MS: u64 = 6_000;
/// Range of the run times above the shortest, in milliseconds.
const RUN_TIME_RANGE_MS: u64 = 10_000;
/// Changes the seed for the numbers of takeovers; the draws for other restarts stay as they were.
const TAKEOVER_SEED: u64 = 0x7461_6b65;
/// Shortest run time of jobs in a takeover, in milliseconds. The next owner waits 6.9 s for leases that end 10 s after
/// the restart, and tasks have to run until then.
const MIN_TAKEOVER_RUN_MS: u64 = 9_000;
/// Range of the run times above the shortest, in milliseconds.
const TAKEOVER_RUN_RANGE_MS: u64 = 3_000;
/// Time from the beginning of a takeover to its jobs. The owner knows the new incarnations by then, at the latest after
/// the 0.5 s in which it awaits an answer to a start.
const TAKEOVER_JOB_DELAY: Duration = Duration::from_millis(1_700);
/// Longest wait for the next owner, and the time that it has for an answer before the cut.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(2);
const ANSWER_TIME: Duration = Duration::from_millis(100);
/// Time from the kill to the end of a cut in a takeover. It outlasts 10 s, the longest lease that workers accept.
const TAKEOVER_CUT: Duration = Duration::from_millis(12_500);

/// A step of a restart that is due.
#[derive(Clone, Debug)]
pub enum RestartStep {
    /// Workers end and start again; `late_calls` is the time after which they carry out calls that arrived earlier.
    Restart { workers: Vec<bool>, resets: bool, late_calls: Option<Duration> },
    /// A job whose tasks run for this many milliseconds is submitted.
    Submit(u64),
    /// The owner is killed.
    KillOwner,
    /// Workers are cut off from all processes.
    Cut(Vec<bool>),
    /// The same for each of these workers as soon as the next owner has reached it.
    CutOnTakeover(Vec<bool>),
    /// They are reached again.
    Reconnect(Vec<bool>),
}

/// Restarts at times that depend only on the seed.
pub struct WorkerRestarts {
    random: SeededRandom,
    takeover_random: SeededRandom,
    /// Whether the present or next restart is a takeover.
    is_takeover: bool,
    worker_count: usize,
    /// Steps that are not over, by their times.
    steps: VecDeque<(Instant, RestartStep)>,
    /// Whether no restart begins any more.
    is_finished: bool,
}

impl WorkerRestarts {
    /// Returns a series of restarts whose first begins at this time.
    pub fn new(seed: u64, worker_count: usize, first_at: Instant) -> Self {
        let mut restarts = Self {
            random: SeededRandom(seed),
            takeover_random: SeededRandom(seed ^ TAKEOVER_SEED),
            is_takeover: false,
            worker_count,
            steps: VecDeque::new(),
            is_finished: false,
        };
        restarts.add_restart(first_at);
        restarts
    }

    /// Returns the next step if it is due.
    pub fn next_due(&mut self) -> Option<RestartStep> {
        self.steps.front().filter(|(due_at, _)| *due_at <= Instant::now())?;
        let (_, step) = self.steps.pop_front()?;
        if matches!(step, RestartStep::Reconnect(_)) && !self.is_finished {
            let interval = self.next_time(MIN_INTERVAL, INTERVAL_RANGE_MS);
            self.add_restart(Instant::now() + interval);
        }
        Some(step)
    }

    /// Returns whether a takeover goes on. The tasks of workers that are cut off start elsewhere too early only if the next
    /// owner stays, and if the other workers have room for them.
    pub fn is_taking_over(&self) -> bool {
        self.is_takeover && !matches!(self.steps.front(), Some((_, RestartStep::Restart { .. })))
    }

    /// Returns whether the next owner in a takeover may not have reached the workers yet.
    pub fn awaits_owner(&self) -> bool {
        self.is_taking_over() && self.steps.len() > 1
    }

    /// Leaves out all further steps but the end of a cut that has begun, or that a takeover may begin.
    pub fn finish(&mut self) {
        let kept_count = match self.steps.front() {
            Some((_, RestartStep::Reconnect(_))) => 1,
            Some((_, RestartStep::Cut(_))) if self.is_takeover => 2,
            _ => 0,
        };
        self.steps.truncate(kept_count);
        self.is_finished = true;
    }

    /// Draws a restart; all numbers are drawn for each one.
    fn add_restart(&mut self, begins_at: Instant) {
        let workers = self.random.next_share(self.worker_count);
        let resets = self.random.next_below(2) == 0;
        let call_delay = Duration::from_millis(self.random.next_below(CALL_DELAY_RANGE_MS));
        let late_calls = (self.random.next_below(2) == 0).then_some(call_delay);
        let run_time = MIN_RUN_TIME_MS + self.random.next_below(RUN_TIME_RANGE_MS);
        let kills_owner = self.random.next_below(2) == 0;
        let cut_at = begins_at + self.next_time(MIN_CUT_DELAY, CUT_DELAY_RANGE_MS);
        let back_at = cut_at + self.next_time(MIN_CUT, CUT_RANGE_MS);
        self.is_takeover = self.takeover_random.next_below(2) == 0;
        if self.is_takeover {
            return self.add_takeover(begins_at, resets);
        }
        let restart = RestartStep::Restart { workers: workers.clone(), resets, late_calls };
        self.steps.push_back((begins_at, restart));
        self.steps.push_back((begins_at + JOB_DELAY, RestartStep::Submit(run_time)));
        if kills_owner {
            self.steps.push_back((begins_at + KILL_DELAY, RestartStep::KillOwner));
        }
        self.steps.push_back((cut_at, RestartStep::Cut(workers.clone())));
        self.steps.push_back((back_at, RestartStep::Reconnect(workers)));
    }

    /// Adds a restart in which the first calls that new incarnations carry out grant leases by the clocks of the former
    /// ones, for longer than owners do. The next owner reaches these workers only once, so that it has to know of the
    /// restart to wait for long enough.
    fn add_takeover(&mut self, begins_at: Instant, resets: bool) {
        let chosen = self.takeover_random.next_below(self.worker_count as u64);
        let workers: Vec<bool> = (0..self.worker_count as u64).map(|number| number == chosen).collect();
        let run_time = MIN_TAKEOVER_RUN_MS + self.takeover_random.next_below(TAKEOVER_RUN_RANGE_MS);
        let killed_at = begins_at + KILL_DELAY;
        let late_calls = Some(Duration::ZERO);
        self.steps.extend([
            (begins_at, RestartStep::Restart { workers: workers.clone(), resets, late_calls }),
            (begins_at + TAKEOVER_JOB_DELAY, RestartStep::Submit(run_time)),
            (killed_at, RestartStep::KillOwner),
            (killed_at, RestartStep::CutOnTakeover(workers.clone())),
            (killed_at + TAKEOVER_TIMEOUT, RestartStep::Cut(workers.clone())),
            (killed_at + TAKEOVER_CUT, RestartStep::Reconnect(workers)),
        ]);
    }

    fn next_time(&mut self, shortest: Duration, range_ms: u64) -> Duration {
        shortest + Duration::from_millis(self.random.next_below(range_ms))
    }
}

/// Restarts a worker, which carries out calls that arrived before or meanwhile after this time, if one is given.
pub async fn restart_worker(worker: PlatformWorker, resets: bool, late_calls: Option<Duration>) {
    if late_calls.is_some() {
        worker.hold_calls().await;
        tokio::time::sleep(HOLD_TIME).await;
    }
    worker.restart(DARK_TIME, resets).await;
    if let Some(delay) = late_calls {
        tokio::time::sleep(delay).await;
        worker.release_calls(true).await;
    }
}

/// Cuts a worker off as soon as an owner with a token above this one has reached it.
pub async fn cut_on_takeover(worker: PlatformWorker, token: u64) {
    if tokio::time::timeout(TAKEOVER_TIMEOUT, worker.await_token_above(token)).await.is_ok() {
        tokio::time::sleep(ANSWER_TIME).await;
        worker.set_cut(true);
    }
}
