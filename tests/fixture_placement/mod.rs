//! Fixtures of the placement tests, built by functions.

#![allow(dead_code, reason = "each test file uses some of the fixtures")]

use std::sync::Arc;
use std::time::{Duration, Instant};

use godwithaven::kernel::{
    JobKind, JobOutcome, JobSpec, LeaseTiming, PluginRegistry, PolicyBundle, PriorityClass, ResourceVector,
    ScheduleEffect, ScheduleEvent, ShardScheduler, TaskEnd, TaskOutcome, TaskReport, TeamPolicy,
    WorkerCommand, WorkerReport, WorkerVm, ZonePolicy, ZoneState,
};

/// Lease and report lag of the tests.
pub const TIMING: LeaseTiming =
    LeaseTiming { lease: Duration::from_secs(30), report_lag: Duration::from_secs(2), fences: true };
/// What a worker of the tests holds.
pub const WORKER: ResourceVector = ResourceVector::new(64_000, 262_144, 0);

/// A shard whose workers do what they are told, on a clock that the test moves.
pub struct TestShard {
    pub scheduler: ShardScheduler,
    pub now: Instant,
    pub workers: Vec<WorkerVm>,
    /// Tasks that run, with worker, team and need.
    pub running: Vec<(String, String, Arc<str>, ResourceVector)>,
    /// Ends that workers repeat.
    pub ended: Vec<(String, TaskEnd)>,
    /// Commands that were not sent yet.
    pub pending: Vec<(String, WorkerCommand)>,
    /// Everything that was decided.
    pub effects: Vec<ScheduleEffect>,
    pub silent: Vec<String>,
}

/// Returns a bundle with teams of equal share and three zones, of which `closed` are out.
pub fn bundle(closed: &[&str]) -> Arc<PolicyBundle> {
    let zones = ["a", "b", "c"].map(|id| ZonePolicy {
        id: id.into(),
        region: "r1".into(),
        state: if closed.contains(&id) { ZoneState::Out } else { ZoneState::In },
    });
    let teams = ["blue", "red", "green"].map(|id| TeamPolicy {
        id: id.into(),
        share: 1,
        limit: ResourceVector::new(u64::MAX, u64::MAX, u64::MAX),
        max_waiting: 100_000,
        max_requests: 100,
    });
    Arc::new(PolicyBundle { zones: zones.into(), teams: teams.into(), ..PolicyBundle::default() })
}

/// Returns a worker; zones take turns and a rack holds four of them.
pub fn worker(number: usize, capacity: ResourceVector) -> WorkerVm {
    WorkerVm {
        vm: format!("w{number}").into(),
        zone: ["a", "b", "c"][number % 3].into(),
        region: "r1".into(),
        rack: format!("rack{}", number / 12 * 3 + number % 3).into(),
        address: String::new(),
        capacity,
        leaving: false,
    }
}

/// Returns a shard of `count` workers that have answered, with ample allotments.
pub fn shard(count: usize) -> TestShard {
    let mut shard = unheard_shard(count, Instant::now());
    for number in 0..count {
        shard.sync(&format!("w{number}"));
    }
    shard
}

/// Returns a shard of workers that were not heard, for which older leases end at `settled_at`.
pub fn unheard_shard(count: usize, settled_at: Instant) -> TestShard {
    let scheduler = ShardScheduler::new(PluginRegistry::collect(), settled_at).with_timing(TIMING);
    let workers: Vec<WorkerVm> = (0..count).map(|number| worker(number, WORKER)).collect();
    let mut shard = TestShard {
        scheduler,
        now: Instant::now(),
        workers: workers.clone(),
        running: Vec::new(),
        ended: Vec::new(),
        pending: Vec::new(),
        effects: Vec::new(),
        silent: Vec::new(),
    };
    shard.tell(ScheduleEvent::BundleAdopted(bundle(&[])));
    for team in ["blue", "red", "green"] {
        let amount = ResourceVector::new(1 << 40, 1 << 40, 1 << 40);
        shard.tell(ScheduleEvent::AllotmentChanged(team.into(), amount));
    }
    shard.tell(ScheduleEvent::WorkersListed(workers));
    shard
}

/// Returns a batch job of tasks with the given millicores and 1 GiB.
pub fn batch(name: &str, tasks: u32, cores_milli: u64) -> JobSpec {
    let team = name.split_once('/').map_or(name, |(team, _)| team);
    JobSpec {
        id: name.into(),
        team: team.into(),
        queue: "main".into(),
        kind: JobKind::Batch,
        priority: PriorityClass::Normal,
        tasks,
        need: ResourceVector::new(cores_milli, 1_024, 0),
        run_time: Some(Duration::from_secs(3_600)),
        retries: 1,
    }
}

/// Returns the job as a service.
pub fn service(name: &str, tasks: u32, cores_milli: u64) -> JobSpec {
    JobSpec { kind: JobKind::Service, run_time: None, ..batch(name, tasks, cores_milli) }
}

/// Returns the job as a gang.
pub fn gang(name: &str, tasks: u32, cores_milli: u64) -> JobSpec {
    JobSpec { kind: JobKind::Gang, ..batch(name, tasks, cores_milli) }
}

/// Returns the job as urgent.
pub fn urgent(spec: JobSpec) -> JobSpec {
    JobSpec { priority: PriorityClass::Urgent, ..spec }
}

impl TestShard {
    /// Tells the scheduler something and keeps what it decides.
    pub fn tell(&mut self, event: ScheduleEvent) -> Vec<ScheduleEffect> {
        let effects = self.scheduler.handle(event, self.now);
        for effect in &effects {
            if let ScheduleEffect::Command(vm, command) = effect {
                self.pending.push((vm.to_string(), command.clone()));
            }
        }
        self.effects.extend(effects.clone());
        effects
    }

    pub fn accept(&mut self, spec: JobSpec) -> Vec<ScheduleEffect> {
        self.tell(ScheduleEvent::JobAccepted(Arc::new(spec)))
    }

    /// Moves the clock by steps of half a second with a tick and a sync of all workers that are not silent.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(500);
            self.sync_all();
            self.tell(ScheduleEvent::Tick);
        }
    }

    pub fn sync_all(&mut self) {
        for vm in self.workers.clone() {
            if self.silent.contains(&vm.vm.to_string()) {
                self.tell(ScheduleEvent::SyncFailed(vm.vm));
            } else {
                self.sync(&vm.vm);
            }
        }
    }

    /// Lets a worker carry its commands out and answer.
    pub fn sync(&mut self, vm: &str) {
        let delivered = self.carry_out(vm);
        self.tell(ScheduleEvent::CommandsDelivered(vm.into(), delivered));
        let report = self.report(vm);
        self.tell(ScheduleEvent::SyncAnswered(vm.into(), report));
    }

    /// Lets a worker carry its commands out; returns the tasks that were started or stopped.
    pub fn carry_out(&mut self, vm: &str) -> Vec<Arc<str>> {
        let (mine, rest) = std::mem::take(&mut self.pending).into_iter().partition(|(to, _)| to == vm);
        self.pending = rest;
        let mine: Vec<(String, WorkerCommand)> = mine;
        let delivered = mine.iter().map(|(_, command)| command.task().clone()).collect();
        for (_, command) in mine {
            match command {
                WorkerCommand::Start { task, team, need, .. } => {
                    self.running.push((vm.into(), task.to_string(), team, need));
                }
                WorkerCommand::Stop { task } => self.end(&task, TaskOutcome::Stopped),
                WorkerCommand::Acknowledge { task } => self.ended.retain(|(_, end)| end.task != task),
                WorkerCommand::Checkpoint { .. } | WorkerCommand::Throttle { .. } => {}
            }
        }
        delivered
    }

    /// Ends a running task on its worker; the next sync reports it.
    pub fn end(&mut self, task: &str, ending: TaskOutcome) {
        let Some(index) = self.running.iter().position(|(_, running, ..)| running == task) else { return };
        let (vm, ..) = self.running.swap_remove(index);
        self.ended.push((vm, TaskEnd { task: task.into(), ending, result: format!("result of {task}") }));
    }

    /// Returns what a worker would report.
    pub fn report(&self, vm: &str) -> WorkerReport {
        let running =
            self.running.iter().filter(|(on, ..)| on == vm).map(|(_, task, team, need)| TaskReport {
                task: task.as_str().into(),
                team: team.clone(),
                need: *need,
                used: *need,
                checkpointed: false,
            });
        let ended = self.ended.iter().filter(|(on, _)| on == vm).map(|(_, end)| end.clone());
        WorkerReport { running: running.collect(), ended: ended.collect() }
    }

    /// Returns the workers on which tasks of the job run.
    pub fn workers_of(&self, job: &str) -> Vec<String> {
        let prefix = format!("{job}#");
        let tasks = self.running.iter().filter(|(_, task, ..)| task.starts_with(&prefix));
        tasks.map(|(vm, ..)| vm.clone()).collect()
    }

    pub fn outcome(&self, job: &str) -> Option<JobOutcome> {
        outcomes(&self.effects, job).pop()
    }

    pub fn reasons(&self, job: &str) -> Vec<(String, u32)> {
        self.scheduler.explain(&job.into()).unwrap().reasons
    }
}

/// Returns the outcomes of a job among the effects.
pub fn outcomes(effects: &[ScheduleEffect], job: &str) -> Vec<JobOutcome> {
    let outcome = |effect: &ScheduleEffect| match effect {
        ScheduleEffect::RecordOutcome(id, outcome) if **id == *job => Some(outcome.clone()),
        _ => None,
    };
    effects.iter().filter_map(outcome).collect()
}

/// Returns worker and name of the tasks that the effects start.
pub fn starts(effects: &[ScheduleEffect]) -> Vec<(String, String)> {
    let start = |effect: &ScheduleEffect| match effect {
        ScheduleEffect::Command(vm, WorkerCommand::Start { task, .. }) => {
            Some((vm.to_string(), task.to_string()))
        }
        _ => None,
    };
    effects.iter().filter_map(start).collect()
}

/// Returns the names of the tasks that the effects stop.
pub fn stops(effects: &[ScheduleEffect]) -> Vec<String> {
    let stop = |effect: &ScheduleEffect| match effect {
        ScheduleEffect::Command(_, WorkerCommand::Stop { task }) => Some(task.to_string()),
        _ => None,
    };
    effects.iter().filter_map(stop).collect()
}
