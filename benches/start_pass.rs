//! Measures start passes of a cell with 79, 790 and 7,900 workers.
//!
//! `cargo bench --bench start_pass` prints, for each load, the percentiles of the duration of a pass, the mean time
//! for each ready step, and the passes after which a small job that is submitted behind the load has started.
//! `-` stands for a job that did not start within [`MAX_PASSES`].

use godwithaven::kernel::cell::{
    CellConfig, CellEffect, CellEvent, CellScheduler, CommandOutcome, GraphSpec, PollReport, QueueRule,
    StepSpec, TeamRule, WorkerFence, WorkerListing,
};
use godwithaven::kernel::connections::ClientLimits;
use godwithaven::prelude::*;

/// Numbers of workers that are measured.
const FLEETS: [usize; 3] = [79, 790, 7_900];
/// Passes that are measured for each load.
const MAX_PASSES: usize = 200;
/// Unix time of all submissions.
const UNIX_TIME: Duration = Duration::from_secs(1_000_000);
/// Incarnation of each worker.
const INCARNATION: Duration = Duration::from_secs(999_000);

/// Jobs that are submitted before the small job.
struct PassLoad {
    name: &'static str,
    jobs: fn(usize) -> Vec<GraphSpec>,
}

/// Duration of the passes over one load.
struct PassFigures {
    durations: Vec<Duration>,
    ready_steps: usize,
    started_after: Option<usize>,
}

const LOADS: [PassLoad; 5] = [
    PassLoad { name: "calm", jobs: |_| Vec::new() },
    // Tasks of whole workers, twice as many as there are workers.
    PassLoad { name: "contended", jobs: |workers| wide_jobs(workers * 2) },
    PassLoad { name: "hopeless", jobs: |_| lasting_jobs(600, "red", 1, 96_000) },
    PassLoad { name: "team_limit", jobs: |_| lasting_jobs(15, "blue", 400, 1_000) },
    PassLoad { name: "rare_label", jobs: |_| labelled_jobs(200) },
];

fn job(id: String, team: &str, steps: Vec<StepSpec>) -> GraphSpec {
    GraphSpec {
        id: id.into(),
        queue: "main".into(),
        team: team.into(),
        payload: "text".into(),
        steps,
        schedule: None,
        submitted: UNIX_TIME,
    }
}

fn step(tasks: u32, cores_milli: u64) -> StepSpec {
    let (need, estimate) = (ResourceVector::new(cores_milli, 100, 0), Duration::from_secs(1));
    StepSpec { tasks, need, estimate, ..StepSpec::default() }
}

fn wide_jobs(count: usize) -> Vec<GraphSpec> {
    (0..count).map(|number| job(format!("wide{number}"), "red", vec![step(1, 64_000)])).collect()
}

fn lasting_jobs(count: usize, team: &str, steps: usize, cores_milli: u64) -> Vec<GraphSpec> {
    let lasting = StepSpec { long_running: true, ..step(1, cores_milli) };
    (0..count).map(|number| job(format!("lasting{number}"), team, vec![lasting.clone(); steps])).collect()
}

fn labelled_jobs(count: usize) -> Vec<GraphSpec> {
    let labelled = StepSpec { label: Some("rare".into()), ..step(1, 32_000) };
    (0..count).map(|number| job(format!("labelled{number}"), "red", vec![labelled.clone()])).collect()
}

fn config() -> CellConfig {
    let rule = QueueRule {
        service: "planner".into(),
        priority: 1,
        max_attempts: 2,
        stretch: 2.0,
        target: Duration::from_secs(1),
        permits: None,
        open_to_all: false,
        host: "host".into(),
        prefix: "/q/".into(),
    };
    let team = |cores_milli| TeamRule { weight: 1_000_000, limit: ResourceVector::new(cores_milli, 0, 0) };
    CellConfig {
        version: 1,
        queues: std::iter::once(("main".into(), rule)).collect(),
        teams: [("blue".into(), team(4_000)), ("red".into(), team(0)), ("green".into(), team(0))]
            .into_iter()
            .collect(),
        keys: FastMap::default(),
        client_limits: ClientLimits::default(),
    }
}

fn worker(number: usize) -> WorkerListing {
    let label = if number == 0 { "rare" } else { "usual" };
    WorkerListing {
        worker: format!("w{number}").into(),
        address: "127.0.0.1:1".into(),
        service: "planner".into(),
        zone: "a".into(),
        incarnation: Some(INCARNATION),
        clock: Some(Duration::from_secs(200)),
        capacity: ResourceVector::new(64_000, 262_144, 0),
        labels: vec![label.into(), format!("r{}", number / 4).into()],
        rack: Some(format!("r{}", number / 4).into()),
        draining: false,
    }
}

/// Returns a cell with idle workers that have answered a poll.
fn idle_cell(workers: usize, now: Instant) -> CellScheduler {
    let mut scheduler = CellScheduler::new(now);
    scheduler.handle(CellEvent::Tick(UNIX_TIME), now);
    scheduler.handle(CellEvent::Configured(config().into()), now);
    scheduler.handle(CellEvent::WorkersListed((0..workers).map(worker).collect()), now);
    for number in 0..workers {
        let id: WorkerId = format!("w{number}").into();
        let fence = WorkerFence { incarnation: INCARNATION, clock: Duration::from_secs(100) };
        scheduler.handle(CellEvent::WorkerFenced(id.clone(), fence), now);
        let (running, ended) = (Vec::new(), Vec::new());
        let report =
            PollReport { poll_sent_at: now, incarnation: INCARNATION, running, ended, ends_complete: true };
        scheduler.handle(CellEvent::WorkerPolled(id, report), now);
    }
    scheduler
}

/// Runs one pass and lets the workers accept its starts; returns the duration of the pass and whether a task of
/// `job` was started.
fn run_pass(scheduler: &mut CellScheduler, job: &str, now: Instant) -> (Duration, bool) {
    // A change that alters nothing makes the pass due.
    scheduler.handle(CellEvent::ZonesClosed(FastSet::default()), now);
    let begun = Instant::now();
    let effects = scheduler.decide(true, now);
    let took = begun.elapsed();
    let mut started = false;
    for effect in effects {
        if let CellEffect::Start(command) = effect {
            started |= &*command.task.step.job == job;
            let (task, run) = (command.task, command.run);
            let event = CellEvent::StartAnswered(task, run, command.worker, CommandOutcome::Accepted);
            scheduler.handle(event, now);
        }
    }
    (took, started)
}

fn measure(workers: usize, load: &PassLoad) -> PassFigures {
    let mut now = Instant::now();
    let mut scheduler = idle_cell(workers, now);
    for spec in (load.jobs)(workers) {
        scheduler.handle(CellEvent::Submitted(spec.into()), now);
    }
    let small = job("small".to_owned(), "green", vec![step(2, 500)]);
    scheduler.handle(CellEvent::Submitted(small.into()), now);
    let (mut durations, mut started_after) = (Vec::new(), None);
    for pass in 1..=MAX_PASSES {
        now += Duration::from_millis(35);
        let (took, started) = run_pass(&mut scheduler, "small", now);
        durations.push(took);
        started_after = started_after.or_else(|| started.then_some(pass));
    }
    durations.sort_unstable();
    PassFigures { durations, ready_steps: scheduler.summary(now).ready_steps, started_after }
}

fn main() {
    println!("workers  load         p50 ms   p99 ms  us/step  started after passes");
    for workers in FLEETS {
        for load in &LOADS {
            let figures = measure(workers, load);
            let milliseconds = |index: usize| figures.durations[index].as_secs_f64() * 1e3;
            let (median, tail) = (milliseconds(MAX_PASSES / 2), milliseconds(MAX_PASSES * 99 / 100));
            let steps = u32::try_from(figures.ready_steps.max(1)).unwrap_or(u32::MAX);
            let started = figures.started_after.map_or_else(|| "-".to_owned(), |passes| passes.to_string());
            println!(
                "{workers:>7}  {:<10} {median:>8.3} {tail:>8.3} {:>8.2}  {started}",
                load.name,
                median * 1e3 / f64::from(steps)
            );
        }
    }
}
