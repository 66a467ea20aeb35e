//! Measures placement decisions with 25,000 running tasks of 42 teams in 8 zones.
//!
//! `GODWITHAVEN_FIGURES=1 cargo bench --bench placement` prints decisions per second, percentiles of the
//! duration of a decision, and bytes of state, instead of running criterion.

use std::alloc::System;
use std::hint::black_box;

use criterion::{BenchmarkId, Criterion};
use godwithaven::kernel::{
    JobKind, PluginRegistry, PriorityClass, ScheduleEffect, ScheduleEvent, ShardScheduler, TaskEnd,
    TaskOutcome, TaskReport, TeamPolicy, WorkerCommand, WorkerReport, WorkerVm, ZonePolicy, ZoneState,
};
use godwithaven::prelude::*;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Numbers of workers that are measured.
const FLEETS: [usize; 4] = [79, 790, 7_900, 31_600];
/// Number of running tasks when a measurement starts.
const RUNNING: u32 = 25_000;
/// Number of teams.
const TEAMS: u32 = 42;
/// Number of availability zones.
const ZONES: usize = 8;
/// Number of tasks of each job that runs when a measurement starts.
const JOB_TASKS: u32 = 10;
/// Number of waiting tasks in the contended measurement.
const WAITING: u32 = 5_000;
/// Number of decisions per printed measurement.
const DECISIONS: u32 = 20_000;

/// A scheduler and the running tasks of each of its workers.
struct LoadedShard {
    scheduler: ShardScheduler,
    running: FastMap<VmId, Vec<TaskReport>>,
    need: ResourceVector,
    now: Instant,
    submitted: u32,
}

fn worker_vm(number: usize) -> WorkerVm {
    WorkerVm {
        vm: format!("w{number}").into(),
        zone: format!("z{}", number % ZONES).into(),
        region: "r1".into(),
        rack: format!("k{}", number / 4).into(),
        address: "127.0.0.1:1".into(),
        capacity: ResourceVector::new(64_000, 262_144, if number.is_multiple_of(8) { 8 } else { 0 }),
        leaving: false,
    }
}

fn bundle(limit: ResourceVector) -> PolicyBundle {
    let zone =
        |number| ZonePolicy { id: format!("z{number}").into(), region: "r1".into(), state: ZoneState::In };
    let team = |number: u32| TeamPolicy {
        id: format!("team{number}").into(),
        share: 1 + u64::from(number % 3),
        limit,
        max_waiting: 50_000,
        max_requests: 1_000,
    };
    let (zones, teams) = ((0..ZONES).map(zone).collect(), (0..TEAMS).map(team).collect());
    PolicyBundle { version: 1, shards_per_region: 1, zones, teams, ..PolicyBundle::default() }
}

/// Returns a shard on which `RUNNING` tasks use 70% of the cores.
fn loaded_shard(workers: usize) -> LoadedShard {
    let total = worker_vm(0).capacity.times(workers as u64);
    let need = total.zip(total, |amount, _| amount * 7 / 10 / u64::from(RUNNING));
    filled_shard(workers, need, RUNNING)
}

/// Returns a full shard on which `WAITING` tasks wait. About `RUNNING` tasks run, at least one on each
/// worker.
fn contended_shard(workers: usize) -> LoadedShard {
    let each = (RUNNING as usize / workers).max(1) as u64;
    let need = worker_vm(0).capacity.zip(ResourceVector::default(), |amount, _| amount / each);
    let running = u32::try_from(each * workers as u64).unwrap_or(RUNNING);
    filled_shard(workers, need, running + WAITING)
}

/// Returns a shard whose workers are synced and to which `tasks` tasks were submitted.
fn filled_shard(workers: usize, need: ResourceVector, tasks: u32) -> LoadedShard {
    let now = Instant::now();
    let vms: Vec<WorkerVm> = (0..workers).map(worker_vm).collect();
    let limit = vms[0].capacity.times(workers as u64);
    let mut shard = LoadedShard {
        scheduler: ShardScheduler::new(PluginRegistry::collect(), now),
        running: vms.iter().map(|vm| (vm.vm.clone(), Vec::new())).collect(),
        need: ResourceVector::new(need.cores_milli, need.memory_mib, 0),
        now,
        submitted: 0,
    };
    shard.send_event(ScheduleEvent::BundleAdopted(Arc::new(bundle(limit))));
    for team in 0..TEAMS {
        shard.send_event(ScheduleEvent::AllotmentChanged(format!("team{team}").into(), limit));
    }
    let names: Vec<VmId> = vms.iter().map(|vm| vm.vm.clone()).collect();
    shard.send_event(ScheduleEvent::WorkersListed(vms));
    for vm in &names {
        shard.report(vm, Vec::new());
    }
    for _ in 0..tasks / JOB_TASKS {
        shard.submit(JOB_TASKS);
    }
    for vm in &names {
        shard.report(vm, Vec::new());
    }
    shard
}

impl LoadedShard {
    /// Sends an event to the scheduler; returns the last attempt that it starts.
    fn send_event(&mut self, event: ScheduleEvent) -> Option<(VmId, TaskId)> {
        self.now += Duration::from_micros(50);
        let mut started = None;
        for effect in self.scheduler.handle(event, self.now) {
            if let ScheduleEffect::Command(vm, WorkerCommand::Start { task, team, need, .. }) = effect {
                let report = TaskReport { task: task.clone(), team, need, used: need, checkpointed: false };
                self.running.entry(vm.clone()).or_default().push(report);
                started = Some((vm, task));
            }
        }
        started
    }

    /// Returns the submission of the next job, without sending it.
    fn next_job(&mut self, tasks: u32) -> ScheduleEvent {
        let number = self.submitted;
        self.submitted += 1;
        let team = format!("team{}", number % TEAMS);
        let kind = if number.is_multiple_of(5) { JobKind::Service } else { JobKind::Batch };
        ScheduleEvent::JobAccepted(Arc::new(JobSpec {
            id: format!("{team}/j{number}").into(),
            team: team.into(),
            queue: "main".into(),
            kind,
            priority: PriorityClass::Normal,
            tasks,
            need: self.need,
            run_time: (kind == JobKind::Batch).then_some(Duration::from_secs(600)),
            retries: 1,
        }))
    }

    fn submit(&mut self, tasks: u32) -> Option<(VmId, TaskId)> {
        let event = self.next_job(tasks);
        self.send_event(event)
    }

    fn report(&mut self, vm: &VmId, ended: Vec<TaskEnd>) -> Option<(VmId, TaskId)> {
        let event = self.next_report(vm, ended);
        self.send_event(event)
    }

    /// Removes ended tasks from a worker and returns its report, without sending it.
    fn next_report(&mut self, vm: &VmId, ended: Vec<TaskEnd>) -> ScheduleEvent {
        let running = self.running.entry(vm.clone()).or_default();
        running.retain(|report| ended.iter().all(|end| end.task != report.task));
        ScheduleEvent::SyncAnswered(vm.clone(), WorkerReport { running: running.clone(), ended })
    }

    /// Returns the report that a task finished.
    fn finish(&mut self, vm: &VmId, task: TaskId) -> ScheduleEvent {
        let end = TaskEnd { task, outcome: TaskOutcome::Finished, result: "done".into() };
        self.next_report(vm, vec![end])
    }

    /// Returns the report that the longest running task of a worker finished; `turn` selects the worker.
    fn finish_any(&mut self, turn: u32) -> ScheduleEvent {
        let names = self.running.len();
        let offset = turn as usize * 7_919 % names;
        let busy = (0..names).map(|number| VmId::from(format!("w{}", (number + offset) % names)));
        let vm = busy.into_iter().find(|vm| !self.running[vm].is_empty());
        let vm = vm.unwrap_or_else(|| "w0".into());
        let task = self.running[&vm].first().map_or_else(|| "none".into(), |report| report.task.clone());
        self.finish(&vm, task)
    }
}

/// Measures single events: a job that fits, and an end that frees resources while many tasks wait.
fn run_benches(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("place");
    for workers in FLEETS {
        let mut shard = None;
        group.bench_function(BenchmarkId::new("accepted", workers), |bencher| {
            let shard = shard.get_or_insert_with(|| loaded_shard(workers));
            bencher.iter_custom(|rounds| (0..rounds).map(|_| time_accepted(shard)).sum());
        });
    }
    for workers in FLEETS {
        let (mut shard, mut turn) = (None, 0..);
        group.bench_function(BenchmarkId::new("contended", workers), |bencher| {
            let shard = shard.get_or_insert_with(|| contended_shard(workers));
            bencher.iter_custom(|rounds| {
                turn.by_ref()
                    .take(usize::try_from(rounds).unwrap_or(0))
                    .map(|turn| time_contended(shard, turn))
                    .sum()
            });
        });
    }
    group.finish();
}

/// Returns the duration of the decision about one new job, and then finishes its task.
fn time_accepted(shard: &mut LoadedShard) -> Duration {
    let event = shard.next_job(1);
    shard.now += Duration::from_micros(50);
    let start = Instant::now();
    let effects = black_box(shard.scheduler.handle(event, shard.now));
    let time = start.elapsed();
    for effect in effects {
        if let ScheduleEffect::Command(vm, WorkerCommand::Start { task, .. }) = effect {
            let event = shard.finish(&vm, task);
            shard.send_event(event);
        }
    }
    time
}

/// Returns the duration of handling an end, including the start that takes the freed resources. Submits
/// another task to keep the queue long.
fn time_contended(shard: &mut LoadedShard, turn: u32) -> Duration {
    let event = shard.finish_any(turn);
    shard.now += Duration::from_micros(50);
    let start = Instant::now();
    let effects = black_box(shard.scheduler.handle(event, shard.now));
    let time = start.elapsed();
    for effect in effects {
        if let ScheduleEffect::Command(vm, WorkerCommand::Start { task, team, need, .. }) = effect {
            let report = TaskReport { task, team, need, used: need, checkpointed: false };
            shard.running.entry(vm).or_default().push(report);
        }
    }
    shard.submit(1);
    time
}

/// Prints the rate and percentiles of the measured durations.
fn print_times(name: &str, workers: usize, mut times: Vec<Duration>) {
    let total: Duration = times.iter().sum();
    let count = times.len();
    times.sort_unstable();
    let at = |permille: usize| times[(count * permille / 1_000).min(count - 1)];
    let rate = f64::from(u32::try_from(count).unwrap_or(u32::MAX)) / total.as_secs_f64();
    println!(
        "{name} {workers} workers: {rate:.0} per second, p50 {:?}, p99 {:?}, p99.9 {:?}",
        at(500),
        at(990),
        at(999)
    );
}

/// Prints rates, percentiles and bytes of state for each fleet size.
fn print_figures() {
    for workers in FLEETS {
        let empty = Region::new(ALLOCATOR);
        let listed = loaded_fleet(workers);
        let listed_bytes = allocated_bytes(&empty);
        drop(listed);
        let region = Region::new(ALLOCATOR);
        let LoadedShard { scheduler, .. } = loaded_shard(workers);
        let bytes = allocated_bytes(&region);
        drop(scheduler);
        let per = |bytes: usize, count: usize| bytes / count.max(1);
        println!(
            "state {workers} workers: {listed_bytes} bytes listed and heard, {} per worker; \
             {bytes} bytes with {RUNNING} tasks, {} per task",
            per(listed_bytes, workers),
            per(bytes.saturating_sub(listed_bytes), RUNNING as usize)
        );
        let mut shard = loaded_shard(workers);
        print_times("accepted", workers, (0..DECISIONS).map(|_| time_accepted(&mut shard)).collect());
        let mut shard = contended_shard(workers);
        print_times(
            "contended",
            workers,
            (0..DECISIONS).map(|turn| time_contended(&mut shard, turn)).collect(),
        );
    }
}

/// Returns a scheduler whose workers are synced and run nothing.
fn loaded_fleet(workers: usize) -> ShardScheduler {
    let now = Instant::now();
    let mut scheduler = ShardScheduler::new(PluginRegistry::collect(), now);
    let vms: Vec<WorkerVm> = (0..workers).map(worker_vm).collect();
    let names: Vec<VmId> = vms.iter().map(|vm| vm.vm.clone()).collect();
    scheduler.handle(ScheduleEvent::BundleAdopted(Arc::new(bundle(ResourceVector::default()))), now);
    scheduler.handle(ScheduleEvent::WorkersListed(vms), now);
    for vm in names {
        scheduler.handle(ScheduleEvent::SyncAnswered(vm, WorkerReport::default()), now);
    }
    scheduler
}

/// Returns the bytes allocated since the start of the region and not freed.
fn allocated_bytes(region: &Region<'_, System>) -> usize {
    let change = region.change();
    change.bytes_allocated.saturating_sub(change.bytes_deallocated)
}

fn main() {
    if std::env::var_os("GODWITHAVEN_FIGURES").is_some() {
        print_figures();
        return;
    }
    let mut criterion = Criterion::default().sample_size(20).configure_from_args();
    run_benches(&mut criterion);
    criterion.final_summary();
}
