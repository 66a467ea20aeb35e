use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::platform::{
    RunsReport, WorkerAction, WorkerAnswer, WorkerClock, WorkerEvent, WorkerOutcome, WorkerRequest,
};

/// Longest lease; longer ones are shortened.
const MAX_LEASE: Duration = Duration::from_secs(10);

#[derive(Clone, Debug)]
struct RunState {
    run: u64,
    ends_at: Duration,
}

/// The behaviour of a worker of the users' platform, without sockets and clocks: all methods are told the time,
/// counted from any common origin.
#[derive(Clone, Debug)]
pub struct WorkerModel {
    name: String,
    clock: WorkerClock,
    /// Identifies this incarnation of the worker: its start in Unix milliseconds.
    born: u64,
    highest_token: u64,
    /// End of the lease on the worker's clock, in milliseconds; all runs are killed then.
    leased_until: u64,
    /// Whether the expiry of the lease was noticed and the lease was not renewed since.
    lapsed: bool,
    running: FxHashMap<String, RunState>,
    /// Highest run number of each task that was started or stopped; a start with this number or a lower one
    /// is refused, unless that run is running.
    highest_run: FxHashMap<String, u64>,
    /// Number, task, run number and cause of each end that is not yet acknowledged.
    finished: Vec<(u64, String, u64, &'static str)>,
    /// Number of the last end, counted from 1.
    last_end: u64,
    events: Vec<WorkerEvent>,
}

impl WorkerModel {
    /// Returns the first incarnation of a worker.
    #[must_use]
    pub fn new(name: &str, born: u64, clock: WorkerClock) -> Self {
        Self {
            name: name.to_owned(),
            clock,
            born,
            highest_token: 0,
            leased_until: 0,
            lapsed: true,
            running: FxHashMap::default(),
            highest_run: FxHashMap::default(),
            finished: Vec::new(),
            last_end: 0,
            events: Vec::new(),
        }
    }

    /// Returns the present incarnation: its start in Unix milliseconds.
    #[must_use]
    pub const fn born(&self) -> u64 {
        self.born
    }

    /// Returns the highest fencing token that this incarnation has seen.
    #[must_use]
    pub const fn highest_token(&self) -> u64 {
        self.highest_token
    }

    /// Returns the milliseconds on the worker's clock.
    #[must_use]
    pub fn clock_ms(&self, now: Duration) -> u64 {
        self.clock.at(now)
    }

    /// Returns the run of a task that is running.
    #[must_use]
    pub fn running_run(&self, task: &str) -> Option<u64> {
        self.running.get(task).map(|state| state.run)
    }

    /// Returns whether an end waits for its acknowledgement.
    #[must_use]
    pub fn has_ends(&self) -> bool {
        !self.finished.is_empty()
    }

    /// Returns task and run number of the ends up to this number that are not yet acknowledged.
    pub fn ends_up_to(&self, number: u64) -> impl Iterator<Item = (&str, u64)> {
        let ends = self.finished.iter().filter(move |end| end.0 <= number);
        ends.map(|(_, task, run, _)| (&**task, *run))
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<WorkerEvent> {
        std::mem::take(&mut self.events)
    }

    /// Ends all runs and forgets everything.
    pub fn stop(&mut self) {
        self.end_all("stopped");
        (self.highest_token, self.leased_until, self.lapsed, self.last_end) = (0, 0, true, 0);
        self.highest_run.clear();
        self.finished.clear();
        self.events.push(WorkerEvent::Restarted(self.name.clone()));
    }

    /// Starts another incarnation of a stopped worker.
    pub const fn start(&mut self, born: u64, clock: WorkerClock) {
        (self.born, self.clock) = (born, clock);
    }

    /// Ends the runs whose run time is over, or all runs if the lease has expired.
    pub fn advance(&mut self, now: Duration) {
        if self.clock.at(now) > self.leased_until {
            self.end_all("lapsed");
            if !std::mem::replace(&mut self.lapsed, true) {
                self.events.push(WorkerEvent::Lapsed(self.name.clone()));
            }
        }
        let due = self.running.iter().filter(|(_, state)| state.ends_at <= now);
        let due: Vec<String> = due.map(|(task, _)| task.clone()).collect();
        for task in due {
            self.end(&task, "done");
        }
    }

    /// Carries out a call.
    pub fn carry_out(&mut self, request: &WorkerRequest, now: Duration) -> WorkerAnswer {
        let clock_ms = self.clock.at(now);
        if request.token < self.highest_token {
            return WorkerAnswer { clock_ms, outcome: WorkerOutcome::Refused("fence") };
        }
        self.highest_token = request.token;
        self.renew_lease(request.until_ms, clock_ms);
        let outcome = match &request.action {
            WorkerAction::Start(task, run, run_time) => {
                let is_late = request.until_ms.is_some_and(|until| until < clock_ms);
                if is_late {
                    WorkerOutcome::Refused("late")
                } else {
                    self.start_run(task, *run, now + *run_time)
                }
            }
            WorkerAction::Stop(task, run) => {
                let highest = self.highest_run.entry(task.clone()).or_default();
                *highest = (*highest).max(*run);
                if self.running_run(task) == Some(*run) {
                    self.end(task, "stopped");
                }
                WorkerOutcome::Accepted
            }
            WorkerAction::Report(last_seen) => {
                self.acknowledge(*last_seen);
                WorkerOutcome::Reported(self.report())
            }
        };
        WorkerAnswer { clock_ms, outcome }
    }

    fn report(&self) -> RunsReport {
        let running = self.running.iter().map(|(task, state)| (task.clone(), state.run)).collect();
        RunsReport { born: self.born, running, finished: self.finished.clone() }
    }

    fn renew_lease(&mut self, until: Option<u64>, clock_ms: u64) {
        let longest = clock_ms + u64::try_from(MAX_LEASE.as_millis()).unwrap_or(u64::MAX);
        self.leased_until = self.leased_until.max(until.unwrap_or_default().min(longest));
        self.lapsed &= clock_ms > self.leased_until;
    }

    /// Forgets the ends up to this number.
    fn acknowledge(&mut self, last_seen: u64) {
        for (_, task, run, _) in self.finished.extract_if(.., |(number, ..)| *number <= last_seen) {
            self.events.push(WorkerEvent::Acknowledged(self.name.clone(), task, run));
        }
    }

    fn start_run(&mut self, task: &str, run: u64, ends_at: Duration) -> WorkerOutcome {
        if self.running_run(task) == Some(run) {
            return WorkerOutcome::Accepted;
        }
        if self.highest_run.get(task).is_some_and(|highest| *highest >= run) {
            return WorkerOutcome::Refused("old");
        }
        self.running.insert(task.to_owned(), RunState { run, ends_at });
        self.highest_run.insert(task.to_owned(), run);
        self.events.push(WorkerEvent::Started(self.name.clone(), task.to_owned(), run));
        WorkerOutcome::Accepted
    }

    fn end_all(&mut self, cause: &'static str) {
        let tasks: Vec<String> = self.running.keys().cloned().collect();
        for task in tasks {
            self.end(&task, cause);
        }
    }

    fn end(&mut self, task: &str, cause: &'static str) {
        let Some(state) = self.running.remove(task) else { return };
        self.last_end += 1;
        self.finished.push((self.last_end, task.to_owned(), state.run, cause));
        log::debug!(worker = &*self.name, task = task, how = cause; "run ended");
        let is_done = cause == "done";
        self.events.push(WorkerEvent::Ended(self.name.clone(), task.to_owned(), state.run, is_done));
    }
}
