//! Fixtures of the placement tests: a shard scheduler with workers that run on a logical clock.

#![allow(dead_code, reason = "each test file uses some of the fixtures")]

use std::sync::Arc;
use std::time::{Duration, Instant};

use godwithaven::kernel::{
    JobKind, JobOutcome, JobSpec, LeaseTiming, PluginRegistry, PolicyBundle, PriorityClass, ResourceVector,
    ScheduleEffect, ScheduleEvent, ShardScheduler, TaskEnd, TaskOutcome, TaskReport, TeamPolicy,
    WorkerCommand, WorkerReport, WorkerVm, ZonePolicy, ZoneState,
};

/// Lease and report lag of all shards in the tests.
pub const TIMING: LeaseTiming = LeaseTiming {
    lease: Duration::from_secs(30),
    report_lag: Duration::from_secs(2),
    supports_fencing: true,
};
/// Capacity of each worker, unless a test adds others.
pub const WORKER: ResourceVector = ResourceVector::new(64_000, 262_144, 0);

/// A shard scheduler with workers that execute its commands, on a clock that the test advances.
pub struct TestShard {
    pub scheduler: ShardScheduler,
    pub now: Instant,
    /// Workers on the VM list.
    pub workers: Vec<WorkerVm>,
    /// Running tasks as worker, name of the attempt, team and need.
    pub running: Vec<(String, String, Arc<str>, ResourceVector)>,
    /// Ends of tasks with their workers, which report them until they are acknowledged.
    pub ended: Vec<(String, TaskEnd)>,
    /// Commands that have not been sent yet, with their workers.
    pub pending: Vec<(String, WorkerCommand)>,
    /// All effects of the scheduler so far.
    pub effects: Vec<ScheduleEffect>,
    /// Workers that answer no syncs.
    pub unreachable: Vec<String>,
}

/// Returns a bundle with three teams of equal weight and three zones, of which `closed` are out of service.
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

/// Returns a worker. The zones take turns, and a rack holds four workers.
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

/// Returns a shard of `count` workers that have all been synced; no allotment limits the teams.
pub fn shard(count: usize) -> TestShard {
    let mut shard = unsynced_shard(count, Instant::now());
    for number in 0..count {
        shard.sync(&format!("w{number}"));
    }
    shard
}

/// Returns a shard of `count` workers, none of them synced yet, for which leases of earlier owners end at
/// `old_leases_end`.
pub fn unsynced_shard(count: usize, old_leases_end: Instant) -> TestShard {
    let scheduler = ShardScheduler::new(PluginRegistry::collect(), old_leases_end).with_timing(TIMING);
    let workers: Vec<WorkerVm> = (0..count).map(|number| worker(number, WORKER)).collect();
    let mut shard = TestShard {
        scheduler,
        now: Instant::now(),
        workers: workers.clone(),
        running: Vec::new(),
        ended: Vec::new(),
        pending: Vec::new(),
        effects: Vec::new(),
        unreachable: Vec::new(),
    };
    shard.send_event(ScheduleEvent::BundleAdopted(bundle(&[])));
    for team in ["blue", "red", "green"] {
        let amount = ResourceVector::new(1 << 40, 1 << 40, 1 << 40);
        shard.send_event(ScheduleEvent::AllotmentChanged(team.into(), amount));
    }
    shard.send_event(ScheduleEvent::WorkersListed(workers));
    shard
}

/// Returns a batch job whose tasks need the given millicores and 1 GiB, run for an hour and are retried once.
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

/// Returns a service with the given replicas.
pub fn service(name: &str, tasks: u32, cores_milli: u64) -> JobSpec {
    JobSpec { kind: JobKind::Service, run_time: None, ..batch(name, tasks, cores_milli) }
}

/// Returns a gang job with the given tasks.
pub fn gang(name: &str, tasks: u32, cores_milli: u64) -> JobSpec {
    JobSpec { kind: JobKind::Gang, ..batch(name, tasks, cores_milli) }
}

/// Returns the job with urgent priority.
pub fn urgent(spec: JobSpec) -> JobSpec {
    JobSpec { priority: PriorityClass::Urgent, ..spec }
}

impl TestShard {
    /// Sends an event to the scheduler and records its effects and commands.
    pub fn send_event(&mut self, event: ScheduleEvent) -> Vec<ScheduleEffect> {
        let effects = self.scheduler.handle(event, self.now);
        for effect in &effects {
            if let ScheduleEffect::Command(vm, command) = effect {
                self.pending.push((vm.to_string(), command.clone()));
            }
        }
        self.effects.extend(effects.clone());
        effects
    }

    /// Submits a job and returns the effects.
    pub fn accept(&mut self, spec: JobSpec) -> Vec<ScheduleEffect> {
        self.send_event(ScheduleEvent::JobAccepted(Arc::new(spec)))
    }

    /// Advances the clock in steps of half a second, each with a sync of all workers and a tick.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(500);
            self.sync_all();
            self.send_event(ScheduleEvent::Tick);
        }
    }

    /// Syncs all listed workers; the syncs of unreachable ones fail.
    pub fn sync_all(&mut self) {
        for vm in self.workers.clone() {
            if self.unreachable.contains(&vm.vm.to_string()) {
                self.send_event(ScheduleEvent::SyncFailed(vm.vm));
            } else {
                self.sync(&vm.vm);
            }
        }
    }

    /// Executes the pending commands of a worker and sends its report to the scheduler.
    pub fn sync(&mut self, vm: &str) {
        let delivered = self.execute_commands(vm);
        self.send_event(ScheduleEvent::CommandsDelivered(vm.into(), delivered));
        let report = self.report(vm);
        self.send_event(ScheduleEvent::SyncAnswered(vm.into(), report));
    }

    /// Executes the pending commands of a worker; returns the tasks that the commands concern.
    pub fn execute_commands(&mut self, vm: &str) -> Vec<Arc<str>> {
        let (own, rest) = std::mem::take(&mut self.pending).into_iter().partition(|(to, _)| to == vm);
        self.pending = rest;
        let own: Vec<(String, WorkerCommand)> = own;
        let delivered = own.iter().map(|(_, command)| command.task().clone()).collect();
        for (_, command) in own {
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

    /// Ends a running task; its worker reports the end from its next sync on.
    pub fn end(&mut self, task: &str, outcome: TaskOutcome) {
        let Some(index) = self.running.iter().position(|(_, running, ..)| running == task) else { return };
        let (vm, ..) = self.running.swap_remove(index);
        self.ended.push((vm, TaskEnd { task: task.into(), outcome, result: format!("result of {task}") }));
    }

    /// Returns the current report of a worker.
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

    /// Returns the workers on which tasks of the job run, one entry for each task.
    pub fn workers_of(&self, job: &str) -> Vec<String> {
        let prefix = format!("{job}#");
        let tasks = self.running.iter().filter(|(_, task, ..)| task.starts_with(&prefix));
        tasks.map(|(vm, ..)| vm.clone()).collect()
    }

    /// Returns the recorded outcome of a job.
    pub fn outcome(&self, job: &str) -> Option<JobOutcome> {
        outcomes(&self.effects, job).pop()
    }

    /// Returns the wait reasons of a job.
    pub fn reasons(&self, job: &str) -> Vec<(String, u32)> {
        self.scheduler.explain(&job.into()).unwrap().reasons
    }
}

/// Returns the outcomes of a job that the effects record.
pub fn outcomes(effects: &[ScheduleEffect], job: &str) -> Vec<JobOutcome> {
    let outcome = |effect: &ScheduleEffect| match effect {
        ScheduleEffect::RecordOutcome(id, outcome) if **id == *job => Some(outcome.clone()),
        _ => None,
    };
    effects.iter().filter_map(outcome).collect()
}

/// Returns worker and name of each attempt that the effects start.
pub fn starts(effects: &[ScheduleEffect]) -> Vec<(String, String)> {
    let start = |effect: &ScheduleEffect| match effect {
        ScheduleEffect::Command(vm, WorkerCommand::Start { task, .. }) => {
            Some((vm.to_string(), task.to_string()))
        }
        _ => None,
    };
    effects.iter().filter_map(start).collect()
}

/// Returns the names of the attempts that the effects stop.
pub fn stops(effects: &[ScheduleEffect]) -> Vec<String> {
    let stop = |effect: &ScheduleEffect| match effect {
        ScheduleEffect::Command(_, WorkerCommand::Stop { task }) => Some(task.to_string()),
        _ => None,
    };
    effects.iter().filter_map(stop).collect()
}
