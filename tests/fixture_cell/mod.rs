//! A cell scheduler for tests of its decisions, with workers that accept each start at once and an advisor
//! that answers each permit request at once. Records, starts and stops are collected; acknowledgements and the
//! ends of watches are ignored.

#![allow(dead_code, reason = "each test program uses a part of the fixture")]

use std::time::{Duration, Instant};

use godwithaven::kernel::ResourceVector;
use godwithaven::kernel::cell::{
    CellConfig, CellEffect, CellEvent, CellNotice, CellRecord, CellScheduler, CommandOutcome, EndCause,
    EndedRun, GraphSpec, PermitRequest, PermitRule, PollReport, QueueRule, RunEnd, RunningRun, StartCommand,
    StartInputs, StepClass, StepSpec, StopCommand, TaskKey, TeamRule, WorkerFence, WorkerListing,
};
use godwithaven::kernel::connections::ClientLimits;
use godwithaven::prelude::FastMap;

/// Unix time at the start of each test.
pub const START_UNIX_TIME: Duration = Duration::from_secs(1_000_000);
/// Incarnation of each worker.
pub const INCARNATION: Duration = Duration::from_secs(999_000);

/// Clock of each worker in its first answer.
pub const FENCE_CLOCK: Duration = Duration::from_secs(100);
/// Clock of each worker in the list of workers, at which no lease of a call from before its first answer is left.
pub const LISTED_CLOCK: Duration = Duration::from_secs(200);

/// A scheduler with a simulated clock and the effects that it has emitted so far.
///
/// The advisor denies each worker whose name starts with `denied` and grants the others.
pub struct CellDriver {
    pub scheduler: CellScheduler,
    pub start: Instant,
    pub now: Instant,
    pub records: Vec<CellRecord>,
    /// Circumstances of the ends of runs that were recorded.
    pub run_ends: Vec<RunEnd>,
    pub notices: Vec<CellNotice>,
    pub starts: Vec<StartCommand>,
    pub stops: Vec<StopCommand>,
    /// Step and number of workers of each permit request.
    pub permit_requests: Vec<(String, usize)>,
    /// Workers whose lease may be renewed, and whether only after the records so far are stored.
    pub renewals: Vec<(String, bool)>,
    /// Workers that were asked for the progress of their runs beside the usual polls.
    pub looks: Vec<String>,
    /// Kinds of the records, starts and publications, in the order in which they were emitted.
    pub effect_order: Vec<&'static str>,
    /// Whether workers answer their first poll at once, with nothing running.
    pub answers_first_poll: bool,
    /// Whether workers answer starts; those that they do not answer may be carried out late.
    pub workers_answer: bool,
    /// Whether the advisor answers permit requests; those that it does not answer stay open.
    pub advisor_answers: bool,
    ends: FastMap<String, u64>,
}

impl CellDriver {
    /// Advances the clock and sends a tick.
    pub fn advance(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        let wall = START_UNIX_TIME + self.now.duration_since(self.start);
        self.handle(CellEvent::Tick(wall));
    }

    /// Handles an event and carries out the effects that follow, until there are none.
    pub fn handle(&mut self, event: CellEvent) {
        self.scheduler.handle(event, self.now);
        loop {
            // Start passes over many steps are up to 30 ms apart.
            self.now += Duration::from_millis(35);
            let effects = self.scheduler.decide(true, self.now);
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.carry_out(effect);
            }
        }
    }

    fn carry_out(&mut self, effect: CellEffect) {
        match effect {
            CellEffect::Record(record) => {
                self.effect_order.push("record");
                self.records.push(record);
            }
            CellEffect::RecordEnd(record, end) => {
                self.effect_order.push("record");
                self.records.push(record);
                self.run_ends.push(end);
            }
            CellEffect::Log(notice) => self.notices.push(notice),
            CellEffect::Start(command) => {
                self.effect_order.push("start");
                let (task, run, worker) = (command.task.clone(), command.run, command.worker.clone());
                self.starts.push(command);
                let outcome =
                    if self.workers_answer { CommandOutcome::Accepted } else { CommandOutcome::Unknown };
                let event = CellEvent::StartAnswered(task, run, worker, outcome);
                self.scheduler.handle(event, self.now);
            }
            CellEffect::Stop(command) => self.stops.push(command),
            CellEffect::RequestPermits(PermitRequest { step, rule, workers, .. }) => {
                self.permit_requests.push((step.to_string(), workers.len()));
                if !self.advisor_answers {
                    return;
                }
                let granted = workers.iter().filter(|worker| !worker.starts_with("denied"));
                let granted = granted.map(|worker| (worker.clone(), "ticket".into())).collect();
                let event = CellEvent::PermitsAnswered {
                    step,
                    requested_workers: workers.clone(),
                    granted,
                    validity: rule.validity,
                };
                self.scheduler.handle(event, self.now);
            }
            CellEffect::Watch(listing) if self.answers_first_poll => {
                let fence = WorkerFence { incarnation: INCARNATION, clock: FENCE_CLOCK };
                self.scheduler.handle(CellEvent::WorkerFenced(listing.worker.clone(), fence), self.now);
                let report = report(self.now, Vec::new(), Vec::new());
                self.scheduler.handle(CellEvent::WorkerPolled(listing.worker, report), self.now);
            }
            CellEffect::Publish(_) => self.effect_order.push("publish"),
            CellEffect::RenewLease { worker, after_records, .. } => {
                self.renewals.push((worker.to_string(), after_records));
            }
            CellEffect::Look(worker) => self.looks.push(worker.to_string()),
            CellEffect::Watch(_) | CellEffect::Unwatch(_) | CellEffect::Acknowledge(..) => {}
        }
    }

    /// Reports that the newest run of a task ended.
    pub fn end(&mut self, task: &str, cause: EndCause) {
        let command = self.started(task).expect("the task was started");
        let number = self.ends.entry(command.worker.to_string()).or_default();
        *number += 1;
        let key = TaskKey::parse(task).expect("the name is valid");
        let ended = EndedRun { number: *number, task: key, run: command.run, cause, checkpoint: None };
        let running = self.running_on(&command.worker).into_iter().filter(|run| run.task.to_string() != task);
        let report = report(self.now, running.collect(), vec![ended]);
        self.handle(CellEvent::WorkerPolled(command.worker, report));
    }

    /// Returns the newest start command of a task.
    pub fn started(&self, task: &str) -> Option<StartCommand> {
        self.starts.iter().rev().find(|command| command.task.to_string() == task).cloned()
    }

    /// Returns the runs that the scheduler has placed on a worker, as the worker would report them.
    pub fn running_on(&self, worker: &str) -> Vec<RunningRun> {
        let state = self.scheduler.state();
        let slot = state.slot(worker).expect("the worker is known");
        let placed = state.placements.iter().filter(|(_, placement)| placement.slot == slot);
        placed.map(|(task, placement)| running(&task.to_string(), placement.run, 10)).collect()
    }

    /// Returns the keys of the started tasks in the order of their starts.
    pub fn started_tasks(&self) -> Vec<String> {
        self.starts.iter().map(|command| command.task.to_string()).collect()
    }
}

/// Returns a reported run of a task without a checkpoint.
pub fn running(task: &str, run: u64, percent: u32) -> RunningRun {
    let task = TaskKey::parse(task).expect("the name is valid");
    RunningRun { task, run, checkpoint: None, percent, latency_ms_or_millicores: 0 }
}

/// Returns the report of a poll that was sent at `poll_sent_at`, with a complete list of ends.
pub fn report(poll_sent_at: Instant, running: Vec<RunningRun>, ended: Vec<EndedRun>) -> PollReport {
    PollReport { poll_sent_at, incarnation: INCARNATION, running, ended, ends_complete: true }
}

/// Returns a cell with `workers` workers of 8 cores, 8 GiB and 4 accelerators.
pub fn cell(workers: usize) -> CellDriver {
    cell_with(config(None), (0..workers).map(|number| worker(&format!("w{number}"))).collect())
}

/// Returns a cell with a configuration and with workers that have answered a poll.
pub fn cell_with(config: CellConfig, workers: Vec<WorkerListing>) -> CellDriver {
    let start = Instant::now();
    let mut driver = CellDriver {
        scheduler: CellScheduler::new(start),
        start,
        now: start,
        records: Vec::new(),
        run_ends: Vec::new(),
        notices: Vec::new(),
        starts: Vec::new(),
        stops: Vec::new(),
        permit_requests: Vec::new(),
        renewals: Vec::new(),
        looks: Vec::new(),
        effect_order: Vec::new(),
        answers_first_poll: true,
        workers_answer: true,
        advisor_answers: true,
        ends: FastMap::default(),
    };
    driver.advance(0);
    driver.handle(CellEvent::Configured(config.into()));
    driver.handle(CellEvent::WorkersListed(workers));
    driver
}

/// Returns a worker of 8 cores, 8 GiB and 4 accelerators.
pub fn worker(name: &str) -> WorkerListing {
    WorkerListing {
        worker: name.into(),
        address: "127.0.0.1:1".into(),
        service: "planner".into(),
        zone: "a".into(),
        incarnation: Some(INCARNATION),
        clock: Some(LISTED_CLOCK),
        capacity: ResourceVector::new(8_000, 8_192, 4),
        labels: vec!["kind".into(), "r1".into()],
        rack: Some("r1".into()),
        draining: false,
    }
}

/// Returns a configuration with the queues `urgent`, `middle` and `batch`, the team `blue` with a limit of 24 cores,
/// and the team `red` without a limit.
pub fn config(permits: Option<PermitRule>) -> CellConfig {
    let queue = |priority| QueueRule {
        service: "planner".into(),
        priority,
        max_attempts: 2,
        stretch: 2.0,
        target: Duration::from_secs(1),
        permits,
        open_to_all: false,
        host: "host".into(),
        prefix: format!("/q{priority}/").into(),
    };
    let limit = ResourceVector::new(24_000, 0, 0);
    CellConfig {
        version: 1,
        queues: [("urgent", 0), ("middle", 1), ("batch", 2)]
            .into_iter()
            .map(|(name, priority)| (name.into(), queue(priority)))
            .collect(),
        teams: [
            ("blue".into(), TeamRule { weight: 10, limit }),
            ("red".into(), TeamRule { weight: 10, limit: ResourceVector::default() }),
        ]
        .into_iter()
        .collect(),
        keys: FastMap::default(),
        client_limits: ClientLimits::default(),
    }
}

/// Returns a step of tasks that each take one core for about a second.
pub fn step(tasks: u32) -> StepSpec {
    StepSpec {
        tasks,
        need: ResourceVector::new(1_000, 100, 0),
        estimate: Duration::from_secs(1),
        ..StepSpec::default()
    }
}

/// Returns a job of the team `red`.
pub fn job(id: &str, queue: &str, steps: Vec<StepSpec>) -> GraphSpec {
    GraphSpec {
        id: id.into(),
        queue: queue.into(),
        team: "red".into(),
        payload: "text".into(),
        steps,
        schedule: None,
        submitted: START_UNIX_TIME,
    }
}

/// Lets the scheduler accept a job.
pub fn submit(driver: &mut CellDriver, spec: GraphSpec) {
    driver.handle(CellEvent::Submitted(spec.into()));
}

/// Returns the first start of a task on `w0`, based on a report of this incarnation, that expires in a minute.
pub fn start_command(task: &str, incarnation: Duration) -> StartCommand {
    let inputs = StartInputs {
        class: StepClass::Useful,
        config: 1,
        report_age: Duration::ZERO,
        waited: Duration::ZERO,
        free: ResourceVector::default(),
    };
    StartCommand {
        worker: "w0".into(),
        incarnation: Some(incarnation),
        task: TaskKey::parse(task).expect("the name is valid"),
        run: 1,
        payload: "text".into(),
        checkpoint: None,
        ticket: None,
        inputs,
        expires_at: Instant::now() + Duration::from_secs(60),
    }
}
