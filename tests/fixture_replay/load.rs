//! Seeded loads, a first-fit baseline, and the figures of a replay.

use std::collections::VecDeque;

use godwithaven::kernel::{
    JobKind, JobOutcome, PriorityClass, ScheduleEffect, ScheduleEvent, TaskEnd, TaskOutcome, WorkerCommand,
    WorkerVm, ZoneState,
};
use godwithaven::prelude::*;

use super::{Decide, ReplayJob, ReplayRun, STEP, job_spec, replay_bundle, start_run, worker_vm};

/// Number of zones in every load.
pub const ZONES: usize = 8;
/// Number of teams in every load.
pub const TEAMS: usize = 42;
/// Logical time during which jobs arrive, and fairness and use are sampled.
const ARRIVAL_TIME: Duration = Duration::from_secs(1_200);
/// Logical time of a whole replay.
const TOTAL_TIME: Duration = Duration::from_secs(1_800);
/// Time between samples of fairness and use.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(10);
/// Zone that is taken out of service in a load with faults, and the seconds at which it leaves and returns.
const ZONE_OUTAGE: (usize, u64, u64) = (2, 360, 960);

/// Size, seed and faults of a load.
#[derive(Clone, Copy, Debug)]
pub struct LoadShape {
    /// Number of workers.
    pub workers: usize,
    /// Number of tasks.
    pub tasks: u32,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Whether one zone is out of service for ten minutes, run times are off by a factor of up to 5, and 2%
    /// of the workers fail all tasks.
    pub with_faults: bool,
}

/// A job with its arrival time and actual run time.
pub struct JobArrival {
    at: Duration,
    spec: JobSpec,
    true_run_time: Duration,
}

/// Figures of a replay.
#[derive(Clone, Debug, Default)]
pub struct LoadFigures {
    /// Kind, median and 99th percentile of the wait for the first start, and number of tasks.
    pub waits: Vec<(&'static str, Duration, Duration, usize)>,
    /// Mean fraction of cores and of accelerators in use.
    pub used: (f64, f64),
    /// Distance of the teams from their fair shares at a sample, as a fraction of the fleet, averaged over
    /// the samples: largest and mean over the teams.
    pub distance: (f64, f64),
    /// The same without the part that indivisible gang jobs force, see [`forced_distance`].
    pub avoidable: (f64, f64),
    /// The same for the averages of usage and fair share over all samples, in which opposite deviations
    /// cancel out.
    pub drift: (f64, f64),
    /// Task time lost by stops and lease expiries.
    pub lost_work: Duration,
    /// Number of jobs that finished, and of those that ended otherwise.
    pub ended: (usize, usize),
    /// Violated promises.
    pub violations: Vec<String>,
    /// Number of events, effects and start commands.
    pub counts: (u64, u64, u64),
}

/// Returns the next random number below `bound`. `SplitMix64` gives the same arrivals on every machine.
fn random_below(state: &mut u64, bound: u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut value = *state;
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (value ^ (value >> 31)) % bound
}

fn team_name(number: usize) -> String {
    format!("team{number:02}")
}

/// Returns the workers of a load. In each zone, every eighth worker holds 8 accelerators.
pub fn load_workers(count: usize) -> Vec<WorkerVm> {
    (0..count)
        .map(|number| worker_vm(number, ZONES, if (number / ZONES).is_multiple_of(8) { 8 } else { 0 }))
        .collect()
}

/// Returns the total capacity of the workers.
fn total_capacity(vms: &[WorkerVm]) -> ResourceVector {
    vms.iter().map(|vm| vm.capacity).fold(ResourceVector::default(), ResourceVector::plus)
}

/// Returns a bundle in which team `n` has share `1 + n % 3` and may use half of the fleet.
pub fn load_bundle(vms: &[WorkerVm]) -> PolicyBundle {
    let half = total_capacity(vms).zip(ResourceVector::default(), |amount, _| amount / 2);
    let teams = (0..TEAMS).map(|number| (team_name(number).into(), 1 + number as u64 % 3, half));
    replay_bundle(ZONES, &teams.collect::<Vec<_>>())
}

/// Returns jobs in order of arrival. Of the jobs, 20% are services, 4% gang jobs and 15% urgent.
pub fn arrivals(shape: LoadShape) -> Vec<JobArrival> {
    let (mut state, mut list, mut tasks) = (shape.seed, Vec::new(), 0);
    while tasks < shape.tasks {
        let random = &mut state;
        // The minimum of three draws favours low numbers, so that few teams submit most of the work.
        let team = random_below(random, TEAMS as u64)
            .min(random_below(random, TEAMS as u64))
            .min(random_below(random, TEAMS as u64));
        let (kind_draw, name) = (random_below(random, 100), format!("j{}", list.len()));
        let (kind, count, need, seconds) = match kind_draw {
            0..20 => {
                (JobKind::Service, 4 + random_below(random, 8), (2 + 2 * random_below(random, 3), 8, 0), 0)
            }
            20..24 => {
                (JobKind::Gang, 4 + random_below(random, 21), (8, 24, 1), 120 + random_below(random, 360))
            }
            24..39 => (JobKind::Batch, 1 + random_below(random, 4), (2, 4, 0), 30),
            _ => (
                JobKind::Batch,
                1 + random_below(random, 16),
                (2 + 2 * random_below(random, 5), 16, 0),
                60 + random_below(random, 900),
            ),
        };
        let need = ResourceVector::new(need.0 * 1_000, need.1 * 1_024, need.2);
        let count = u32::try_from(count).unwrap_or(1);
        let mut spec = job_spec(&team_name(usize::try_from(team).unwrap_or(0)), &name, kind, count, need);
        spec.priority =
            if (24..39).contains(&kind_draw) { PriorityClass::Urgent } else { PriorityClass::Normal };
        spec.retries = 3;
        spec.run_time = (kind != JobKind::Service).then_some(Duration::from_secs(seconds));
        let factor =
            5.0_f64.powf(f64::from(u32::try_from(random_below(random, 2_001)).unwrap_or(0)) / 1_000.0 - 1.0);
        let true_run_time =
            Duration::from_secs(seconds).mul_f64(if shape.with_faults { factor } else { 1.0 });
        let latest = if kind == JobKind::Service { ARRIVAL_TIME / 4 } else { ARRIVAL_TIME };
        let at = Duration::from_millis(random_below(random, u64::try_from(latest.as_millis()).unwrap_or(1)));
        list.push(JobArrival { at, spec, true_run_time });
        tasks += count;
    }
    list.sort_by_key(|arrival| arrival.at);
    list
}

/// Replays a load through a decider and returns the figures.
pub fn replay(shape: LoadShape, decide: Decide, now: Instant) -> LoadFigures {
    let vms = load_workers(shape.workers);
    let bundle = load_bundle(&vms);
    let capacity = total_capacity(&vms);
    let mut run = start_run(vms, bundle, decide, now);
    let (start, mut pending_arrivals) = (run.now, arrivals(shape).into_iter().peekable());
    if shape.with_faults {
        (25..shape.workers).step_by(50).for_each(|worker| run.workers[worker].fails_tasks = true);
    }
    let mut offsets = vec![(0.0, 0.0, 0.0); TEAMS];
    let (mut used, mut samples, mut next_sample) = ((0.0, 0.0), 0.0, SAMPLE_INTERVAL);
    while run.now < start + TOTAL_TIME {
        let since = run.now.duration_since(start);
        while let Some(arrival) = pending_arrivals.next_if(|arrival| arrival.at <= since) {
            run.submit(arrival.spec, arrival.true_run_time, 0);
        }
        for (second, state) in [(ZONE_OUTAGE.1, ZoneState::Out), (ZONE_OUTAGE.2, ZoneState::In)] {
            let due = Duration::from_secs(second);
            if shape.with_faults && since >= due && since < due + STEP {
                run.set_zone(ZONE_OUTAGE.0, state);
            }
        }
        run.advance(1);
        if since >= next_sample && since < ARRIVAL_TIME {
            next_sample += SAMPLE_INTERVAL;
            samples += 1.0;
            for ((offset, forced), sums) in team_offsets(&run, capacity).into_iter().zip(&mut offsets) {
                let avoidable = (offset.abs() - forced).max(0.0);
                *sums = (sums.0 + offset.abs(), sums.1 + offset, sums.2 + avoidable);
            }
            let sum =
                run.used_by_team.values().copied().fold(ResourceVector::default(), ResourceVector::plus);
            used.0 += fraction(sum.cores_milli, capacity.cores_milli);
            used.1 += fraction(sum.accelerators, capacity.accelerators);
        }
    }
    let over_teams = |sum: fn(&(f64, f64, f64)) -> f64| {
        let largest = offsets.iter().map(sum).fold(0.0, f64::max) / samples;
        (largest, offsets.iter().map(sum).sum::<f64>() / samples / fraction(TEAMS as u64, 1))
    };
    let outcomes = || run.jobs.values().flat_map(|job| &job.outcomes);
    let finished = outcomes().filter(|outcome| matches!(outcome, JobOutcome::Finished(_))).count();
    LoadFigures {
        waits: waits(&run),
        used: (used.0 / samples, used.1 / samples),
        distance: over_teams(|sums| sums.0),
        avoidable: over_teams(|sums| sums.2),
        drift: over_teams(|sums| sums.1.abs()),
        lost_work: run.lost_work,
        ended: (finished, outcomes().count() - finished),
        counts: (run.events, run.effects, run.starts),
        violations: run.violations,
    }
}

#[expect(clippy::cast_precision_loss, reason = "amounts stay far below 2^52")]
fn fraction(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}

/// Returns kind, median, 99th percentile and count. A task that never started counts as waiting until the
/// end.
///
/// Replacements of service tasks are left out; the tasks that they replace have waits of their own.
fn waits(run: &ReplayRun) -> Vec<(&'static str, Duration, Duration, usize)> {
    let mut waits: [(&str, Vec<Duration>); 4] =
        [("service", vec![]), ("batch", vec![]), ("gang", vec![]), ("urgent", vec![])];
    for job in run.jobs.values() {
        let kind = match (job.spec.priority, job.spec.kind) {
            (PriorityClass::Urgent, _) => 3,
            (_, JobKind::Service) => 0,
            (_, JobKind::Batch) => 1,
            (_, JobKind::Gang) => 2,
        };
        let wait = |started: &Option<Instant>| started.unwrap_or(run.now).duration_since(job.submitted);
        waits[kind].1.extend(job.started.iter().take(job.spec.tasks as usize).map(wait));
    }
    let figures = waits.into_iter().filter(|(_, waits)| !waits.is_empty()).map(|(kind, mut waits)| {
        waits.sort_unstable();
        let count = waits.len();
        (kind, waits[count / 2], waits[(count * 99 / 100).min(count - 1)], count)
    });
    figures.collect()
}

/// Returns for each team how far it is above its fair share, and how far gang jobs force it to be above or
/// below.
///
/// The fair share is the weighted max-min fair dominant share, bounded by demand.
fn team_offsets(run: &ReplayRun, capacity: ResourceVector) -> Vec<(f64, f64)> {
    let mut demands: FastMap<&TeamId, ResourceVector> = FastMap::default();
    for job in run.jobs.values().filter(|job| job.outcomes.is_empty() && !job.cancelled) {
        let demand = demands.entry(&job.spec.team).or_default();
        *demand = demand.plus(job.spec.need.times(job.unfinished()));
    }
    let open = run.workers.iter().filter(|worker| run.bundle.zone_open(&worker.vm.zone));
    let open = open.map(|worker| worker.vm.capacity).fold(ResourceVector::default(), ResourceVector::plus);
    let teams = &run.bundle.teams;
    let demand = |id: &TeamId| demands.get(id).copied().unwrap_or_default();
    let demands: Vec<_> = teams.iter().map(|team| (demand(&team.id), team.share)).collect();
    let fair = fair_fractions(&demands, open, capacity);
    let used = teams.iter().map(|team| run.used_by_team.get(&team.id).copied().unwrap_or_default());
    let offsets = used.zip(&fair).map(|(used, fair)| used.dominant_fraction(capacity) - fair);
    let forced = teams.iter().zip(&fair).map(|(team, fair)| forced_distance(run, &team.id, *fair, capacity));
    offsets.zip(forced).collect()
}

/// Returns the minimum distance from its fair share that a team can have, given that each of its gang jobs
/// runs as a whole or not at all.
///
/// All other tasks count as divisible, so the result is a lower bound. It is zero for a team with many gang
/// jobs, as it can come close to any share.
fn forced_distance(run: &ReplayRun, team: &TeamId, fair: f64, capacity: ResourceVector) -> f64 {
    const MAX_GANGS: usize = 8;
    let jobs = run.jobs.values().filter(|job| job.spec.team == *team);
    let open = jobs.filter(|job| job.outcomes.is_empty() && !job.cancelled);
    let (gangs, others): (Vec<_>, Vec<_>) = open.partition(|job| job.spec.kind == JobKind::Gang);
    if gangs.len() > MAX_GANGS {
        return 0.0;
    }
    let sum = |jobs: &[&ReplayJob]| {
        let needs = jobs.iter().map(|job| job.spec.need.times(job.unfinished()));
        needs.fold(ResourceVector::default(), ResourceVector::plus)
    };
    let others = sum(&others);
    let distances = (0..1_usize << gangs.len()).map(|choice| {
        let chosen = gangs.iter().enumerate().filter(|(bit, _)| choice >> bit & 1 == 1);
        let minimum = sum(&chosen.map(|(_, job)| *job).collect::<Vec<_>>());
        let maximum = minimum.plus(others);
        let below = minimum.dominant_fraction(capacity) - fair;
        below.max(fair - maximum.dominant_fraction(capacity)).max(0.0)
    });
    distances.fold(f64::INFINITY, f64::min)
}

/// Raises the shares of all teams in small steps, in proportion to their weights, until their demand is met
/// or a resource that they need is used up.
fn fair_fractions(
    demands: &[(ResourceVector, u64)],
    open: ResourceVector,
    capacity: ResourceVector,
) -> Vec<f64> {
    const LEVEL_STEP: f64 = 0.000_2;
    let dimensions = |amount: ResourceVector| {
        [amount.cores_milli, amount.memory_mib, amount.accelerators].map(|part| fraction(part, 1))
    };
    let mut room = dimensions(open);
    let mut fair = vec![0.0; demands.len()];
    let mut active: Vec<usize> = (0..demands.len()).filter(|team| !demands[*team].0.is_zero()).collect();
    while !active.is_empty() {
        active.retain(|team| {
            let (demand, share) = demands[*team];
            let dominant = demand.dominant_fraction(capacity);
            let rise = (LEVEL_STEP * fraction(share, 1)).min(dominant - fair[*team]);
            let taken = dimensions(demand).map(|part| part * rise / dominant);
            let fits = taken.iter().zip(&room).all(|(taken, room)| taken <= room);
            if !fits || rise <= 0.0 {
                return false;
            }
            room.iter_mut().zip(taken).for_each(|(room, taken)| *room -= taken);
            fair[*team] += rise;
            true
        });
    }
    fair
}

/// A job with the index and attempt of tasks that must start together.
type WaitingUnit = (Arc<JobSpec>, Vec<(u32, u64)>);
/// A job with the result of each task and its total number of failures.
type JobRecord = (Arc<JobSpec>, Vec<Option<String>>, u32);

/// State of the baseline. Jobs wait in order of submission, and each takes the first workers on which it
/// fits.
#[derive(Default)]
struct FirstFit {
    workers: Vec<(WorkerVm, ResourceVector)>,
    bundle: Option<Arc<PolicyBundle>>,
    waiting: VecDeque<WaitingUnit>,
    placed: FastMap<TaskId, usize>,
    jobs: FastMap<JobId, JobRecord>,
}

/// Returns the baseline decider: first fit in order of submission, without shares.
pub fn first_fit_decider() -> Decide {
    let mut baseline = FirstFit::default();
    Box::new(move |event, _| {
        let mut effects = Vec::new();
        match event {
            ScheduleEvent::BundleAdopted(bundle) => baseline.bundle = Some(bundle),
            ScheduleEvent::WorkersListed(vms) => {
                baseline.workers = vms.into_iter().map(|vm| (vm.clone(), vm.capacity)).collect();
            }
            ScheduleEvent::JobAccepted(spec) => {
                baseline.jobs.insert(spec.id.clone(), (spec.clone(), vec![None; spec.tasks as usize], 0));
                let tasks = (0..spec.tasks).map(|index| (index, 0));
                if spec.kind == JobKind::Gang {
                    baseline.waiting.push_back((spec, tasks.collect()));
                } else {
                    baseline.waiting.extend(tasks.map(|task| (spec.clone(), vec![task])));
                }
            }
            ScheduleEvent::SyncAnswered(vm, report) => {
                for end in report.ended {
                    first_fit_end(&mut baseline, &end, &mut effects);
                    effects.push(ScheduleEffect::Command(
                        vm.clone(),
                        WorkerCommand::Acknowledge { task: end.task },
                    ));
                }
            }
            ScheduleEvent::Tick => first_fit_place(&mut baseline, &mut effects),
            _ => {}
        }
        effects
    })
}

/// Handles the end of a task: records the outcome of its job, or queues the task again.
fn first_fit_end(baseline: &mut FirstFit, end: &TaskEnd, effects: &mut Vec<ScheduleEffect>) {
    let Some(worker) = baseline.placed.remove(&end.task) else { return };
    let Some((id, index, attempt)) = JobSpec::split_task_id(&end.task) else { return };
    let Some((spec, results, failures)) = baseline.jobs.get_mut(&id) else { return };
    baseline.workers[worker].1 = baseline.workers[worker].1.plus(spec.need);
    if end.outcome == TaskOutcome::Finished {
        results[index as usize] = Some(end.result.clone());
        if results.iter().all(Option::is_some) {
            let results = results.iter().flatten().cloned().collect();
            effects.push(ScheduleEffect::RecordOutcome(id, JobOutcome::Finished(results)));
        }
        return;
    }
    *failures += 1;
    let budget = spec.retries * spec.tasks;
    match *failures {
        // A failed job ends once. Its other tasks keep running, but none starts again.
        count if count == budget + 1 => {
            baseline.waiting.retain(|(waiting, _)| waiting.id != id);
            effects.push(ScheduleEffect::RecordOutcome(id, JobOutcome::Failed(end.result.clone())));
        }
        count if count > budget => {}
        _ => baseline.waiting.push_back((spec.clone(), vec![(index, attempt + 1)])),
    }
}

/// Places waiting tasks on the first workers with room.
fn first_fit_place(baseline: &mut FirstFit, effects: &mut Vec<ScheduleEffect>) {
    let Some(bundle) = &baseline.bundle else { return };
    // Free capacity only shrinks within one pass, so a search for the same need continues where the last one
    // ended.
    let mut cursors: FastMap<ResourceVector, usize> = FastMap::default();
    for (spec, tasks) in std::mem::take(&mut baseline.waiting) {
        let need = spec.need;
        let cursor = cursors.entry(need).or_default();
        let mut chosen: Vec<usize> = Vec::new();
        let mut position = *cursor;
        while chosen.len() < tasks.len() && position < baseline.workers.len() {
            let (vm, free) = &baseline.workers[position];
            let taken = chosen.iter().filter(|worker| **worker == position).count() as u64;
            if bundle.zone_open(&vm.zone) && need.times(taken + 1).fits(*free) {
                chosen.push(position);
            } else {
                position += 1;
            }
        }
        if chosen.len() < tasks.len() {
            baseline.waiting.push_back((spec, tasks));
            continue;
        }
        *cursor = chosen.first().copied().unwrap_or(position);
        for (worker, (index, attempt)) in chosen.into_iter().zip(tasks) {
            let (vm, free) = &mut baseline.workers[worker];
            *free = free.minus(need);
            let task = spec.task_id(index, attempt);
            baseline.placed.insert(task.clone(), worker);
            let (team, run_time) = (spec.team.clone(), spec.run_time);
            let command = WorkerCommand::Start { task, team, need, run_time };
            effects.push(ScheduleEffect::Command(vm.vm.clone(), command));
        }
    }
}
