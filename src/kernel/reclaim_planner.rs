use crate::kernel::{
    ClassId, ClassKey, GangReservation, JobKind, PriorityClass, ScheduleEffect, ShardState, ShareForecast,
    StopReason, WorkerCommand,
};
use crate::prelude::*;

/// Lower bound on the number of tasks that may be preempted per minute to restore fair shares.
const MIN_STOPS_PER_MINUTE: usize = 120;
/// The number of tasks that may be preempted per minute to restore fair shares is the number of placed tasks
/// divided by this, but at least [`MIN_STOPS_PER_MINUTE`].
const STOP_BUDGET_DIVISOR: usize = 5;
/// Maximum number of tasks preempted per minute for urgent work, in addition to those for fair shares.
const MAX_URGENT_STOPS_PER_MINUTE: usize = 240;
/// Maximum number of plans carried out at the same time.
const MAX_PLANS: usize = 64;
/// Maximum number of plans carried out for one class at the same time.
const MAX_PLANS_PER_CLASS: usize = 16;
/// Maximum number of waiting classes examined in one round.
const MAX_CLASSES_PER_ROUND: usize = 64;
/// Fraction of the size of a task by which a team must be above its fair share to lose one, or below it to
/// gain one. It is above one half, so that two teams do not preempt each other's tasks in turn.
const SHARE_HYSTERESIS: f64 = 0.75;
/// [`SHARE_HYSTERESIS`] for losing a whole gang job. It is above the 0.5 at which a gang job may start, so
/// that a job is not preempted right after its start.
const GANG_SHARE_HYSTERESIS: f64 = 0.6;
/// Number of tasks examined as victims for one plan, divided among the teams and rounded up for each; those
/// with the most recent start or checkpoint come first.
const MAX_VICTIMS_EXAMINED: usize = 64;
/// Maximum number of searches for victims in one round. A round of 64 searches that each examined 32 tasks of
/// every team above its share took up to 82 ms.
const MAX_SEARCHES_PER_ROUND: usize = 16;
/// Maximum wait for the victims to save checkpoints. Together with the throttle period and two syncs it stays
/// below 8.5 s.
const CHECKPOINT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between throttling and stopping the victims, during which a plan can still be abandoned cheaply.
const THROTTLE_PERIOD: Duration = Duration::from_millis(500);
/// Processor time left to a throttled task, in percent of its declared cores.
const THROTTLE_PERCENT: u32 = 10;
/// Minimum time between planning rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a plan whose victims do not end is abandoned.
const PLAN_TIMEOUT: Duration = Duration::from_secs(60);

/// Preempts tasks of teams above their fair share for teams below it, and any normal task for urgent work.
///
/// The victims of a plan are asked for a checkpoint, then throttled and then stopped.
#[derive(Clone, Debug, Default)]
pub struct ReclaimPlanner {
    plans: Vec<ReclaimPlan>,
    planned_at: Option<Instant>,
    /// Start of the minute in which stops are counted.
    budget_window_start: Option<Instant>,
    /// Tasks preempted to restore fair shares in this minute.
    stopped: usize,
    /// Tasks preempted for urgent work in this minute.
    urgent_stopped: usize,
    /// Number of searches for victims in this round.
    searches: usize,
    /// Usage of the teams once all current plans are complete.
    forecast: ShareForecast,
}

/// A set of tasks that are preempted for one class.
#[derive(Clone, Debug)]
struct ReclaimPlan {
    /// Class for which the victims are preempted.
    class: ClassId,
    /// Team of that class.
    team: TeamId,
    /// Resources that the plan makes available to the team; zero if only the usage of the other team is to
    /// fall.
    need: ResourceVector,
    /// Worker that the plan reserves; `None` if a gang job holds the workers or is itself the victim.
    vm: Option<VmId>,
    /// Tasks to preempt that have not ended yet.
    victims: Vec<TaskId>,
    /// What the victims were asked to do last.
    step: ReclaimStep,
    /// When the current step began.
    since: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReclaimStep {
    Checkpoint,
    Throttle,
    Stop,
}

/// Tasks whose preemption on one worker makes room for a waiting task.
struct VictimSet {
    slot: u32,
    tasks: Vec<TaskId>,
    /// Unsaved work of the tasks, in millicore seconds.
    lost_work: u64,
}

impl ReclaimPlanner {
    /// Advances the current plans and makes new ones for classes for which no worker has enough free
    /// capacity.
    pub fn advance(&mut self, state: &mut ShardState, gang: &mut GangReservation, now: Instant) {
        if self.planned_at.is_some_and(|planned_at| now < planned_at + ROUND_INTERVAL) {
            return;
        }
        (self.planned_at, self.searches) = (Some(now), 0);
        if self.budget_window_start.is_none_or(|start| now >= start + Duration::from_secs(60)) {
            (self.budget_window_start, self.stopped, self.urgent_stopped) = (Some(now), 0, 0);
        }
        state.update_fair_shares();
        let plans = std::mem::take(&mut self.plans);
        self.plans = plans.into_iter().filter_map(|plan| advance_plan(state, plan, now)).collect();
        self.forecast = ShareForecast::of(state);
        for number in 0..self.plans.len() {
            self.add_to_forecast(state, number);
        }
        self.plan_reserved_workers(state, gang, now);
        let classes = self.classes_to_serve(state);
        if let Some((id, key)) = classes.first() {
            self.plan_gang(state, gang, *id, key, now);
        }
        for (id, key) in classes {
            self.plan_class(state, id, &key, now);
        }
    }

    /// Adds the stops and the start of a plan to the forecast.
    fn add_to_forecast(&mut self, state: &ShardState, number: usize) {
        let plan = &self.plans[number];
        for placed in plan.victims.iter().filter_map(|task| state.tasks.get(task)) {
            self.forecast.stop(&placed.team, placed.need);
        }
        self.forecast.start(&plan.team, plan.need);
    }

    /// Plans the preemption of tasks on the workers that are reserved for an entitled gang job. Without such
    /// a reservation, unblocks an entitled gang job so that the next placement pass tries it.
    fn plan_reserved_workers(&mut self, state: &mut ShardState, gang: &GangReservation, now: Instant) {
        let Some(held) = gang.held().filter(|held| held.reclaims) else {
            unblock_gang(state, gang, &self.forecast, now);
            return;
        };
        let Some(job) = state.jobs.get(&held.job) else { return };
        let (task_need, mut left) = (job.spec.need, job.waiting.len() as u64);
        let Some((class, _)) = state.queue.class_of(&job.spec) else { return };
        if self.plans.iter().any(|plan| plan.class == class) {
            return;
        }
        let (team, mut victims, mut room) = (job.spec.team.clone(), Vec::new(), 0);
        for slot in held.workers.iter().filter_map(|vm| state.fleet.slot(vm)) {
            let (tasks, fit) = gang_victims_on(state, slot, task_need, left, now);
            left -= fit;
            if !tasks.is_empty() {
                room += fit;
                victims.extend(tasks);
            }
        }
        if self.take_stop_budget(state, PriorityClass::Normal, victims.len()) {
            let (need, step) = (task_need.times(room), ReclaimStep::Checkpoint);
            self.begin_plan(state, ReclaimPlan { class, team, need, vm: None, victims, step, since: now });
        }
    }

    /// Plans to preempt the gang job that loses the least work, among those whose teams are closer to their
    /// fair shares without it.
    fn plan_gang(
        &mut self,
        state: &mut ShardState,
        gang: &GangReservation,
        class: ClassId,
        key: &ClassKey,
        now: Instant,
    ) {
        let planned: FastSet<&TaskId> = self.plans.iter().flat_map(|plan| &plan.victims).collect();
        let jobs = state.running_gangs.iter().filter_map(|id| state.jobs.get(id));
        let found = jobs
            .filter(|job| job.spec.priority == PriorityClass::Normal && job.spec.team != key.team)
            .filter_map(|job| {
                let tasks: Vec<&TaskId> = job.tasks.iter().filter_map(|task| task.placed.as_ref()).collect();
                let job_need = job.spec.need.times(tasks.len() as u64);
                if !self.forecast.is_above_share(&job.spec.team, job_need, GANG_SHARE_HYSTERESIS)
                    || gang.has_starved(&job.spec.id, now)
                    || tasks.iter().any(|task| planned.contains(task))
                {
                    return None;
                }
                let placed_tasks = || tasks.iter().filter_map(|task| state.tasks.get(*task));
                let lost_work: u64 = placed_tasks().map(|placed| placed.lost_work(now)).sum();
                placed_tasks().all(|placed| placed.stopping.is_none()).then_some((
                    lost_work,
                    &job.spec.id,
                    tasks,
                ))
            });
        let cheapest = found.min_by_key(|(lost_work, id, _)| (*lost_work, *id));
        let Some(victims) = cheapest.map(|(.., tasks)| tasks.into_iter().cloned().collect::<Vec<_>>()) else {
            return;
        };
        if self.take_stop_budget(state, PriorityClass::Normal, victims.len()) {
            let (team, need, step) = (key.team.clone(), ResourceVector::default(), ReclaimStep::Checkpoint);
            self.begin_plan(state, ReclaimPlan { class, team, need, vm: None, victims, step, since: now });
        }
    }

    /// Takes `count` stops from the budget of the current minute; returns false and takes none if too few are
    /// left.
    fn take_stop_budget(&mut self, state: &ShardState, priority: PriorityClass, count: usize) -> bool {
        let (stopped, limit) = match priority {
            PriorityClass::Urgent => (&mut self.urgent_stopped, MAX_URGENT_STOPS_PER_MINUTE),
            PriorityClass::Normal => {
                (&mut self.stopped, (state.tasks.len() / STOP_BUDGET_DIVISOR).max(MIN_STOPS_PER_MINUTE))
            }
        };
        let allowed = count > 0 && *stopped + count <= limit;
        *stopped += if allowed { count } else { 0 };
        allowed
    }

    /// Adds a plan and asks its victims to save checkpoints.
    fn begin_plan(&mut self, state: &mut ShardState, plan: ReclaimPlan) {
        for task in &plan.victims {
            send_command(state, WorkerCommand::Checkpoint { task: task.clone() });
        }
        self.plans.push(plan);
        self.add_to_forecast(state, self.plans.len() - 1);
    }

    /// Returns the classes for which no worker has enough free capacity and that may preempt tasks: urgent
    /// ones first, then by distance from the fair share.
    fn classes_to_serve(&self, state: &ShardState) -> Vec<(ClassId, ClassKey)> {
        let unschedulable = state.queue.unschedulable().filter(|(_, class)| class.key.kind != JobKind::Gang);
        let mut classes: Vec<(ClassId, ClassKey)> = unschedulable
            .filter(|(_, class)| {
                class.key.priority == PriorityClass::Urgent
                    || self.forecast.is_below_share(&class.key.team, class.key.need, SHARE_HYSTERESIS)
            })
            .map(|(id, class)| (id, class.key.clone()))
            .collect();
        classes.sort_by(|(_, key), (_, other)| {
            let by_share =
                || self.forecast.share_excess(&key.team).total_cmp(&self.forecast.share_excess(&other.team));
            key.priority.cmp(&other.priority).then_with(by_share)
        });
        classes.truncate(MAX_CLASSES_PER_ROUND);
        classes
    }

    /// Returns the number of tasks in the process of being preempted.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.plans.iter().map(|plan| plan.victims.len()).sum()
    }

    /// Plans the preemption of tasks for the waiting tasks of one class, within all bounds.
    fn plan_class(&mut self, state: &mut ShardState, id: ClassId, key: &ClassKey, now: Instant) {
        let waiting = waiting_tasks(state, id, MAX_PLANS_PER_CLASS);
        let planned = self.plans.iter().filter(|plan| plan.class == id).count();
        for _ in planned..waiting {
            let urgent = key.priority == PriorityClass::Urgent;
            if !urgent && !self.forecast.is_below_share(&key.team, key.need, SHARE_HYSTERESIS) {
                return;
            }
            if self.plans.len() >= MAX_PLANS || self.searches >= MAX_SEARCHES_PER_ROUND {
                return;
            }
            self.searches += 1;
            let Some(set) = find_victims(&self.forecast, state, key, now) else { return };
            if !self.take_stop_budget(state, key.priority, set.tasks.len()) {
                return;
            }
            let vm = state.fleet.get(set.slot).map(|worker| worker.vm.vm.clone());
            state.fleet.update(set.slot, |worker| worker.reserved = true);
            let (team, need, step) = (key.team.clone(), key.need, ReclaimStep::Checkpoint);
            self.begin_plan(
                state,
                ReclaimPlan { class: id, team, need, vm, victims: set.tasks, step, since: now },
            );
        }
    }
}

/// Advances a plan to its next step when that is due; returns `None` once the plan has ended.
fn advance_plan(state: &mut ShardState, mut plan: ReclaimPlan, now: Instant) -> Option<ReclaimPlan> {
    plan.victims.retain(|task| state.tasks.contains_key(task));
    let waited = now.saturating_duration_since(plan.since);
    let needed = plan.step == ReclaimStep::Stop || state.queue.get(plan.class).is_some();
    if plan.victims.is_empty() || !needed || waited >= PLAN_TIMEOUT {
        end_plan(state, &plan);
        return None;
    }
    match plan.step {
        ReclaimStep::Checkpoint => {
            let saved = |task: &TaskId| state.tasks.get(task).is_some_and(|placed| placed.checkpointed);
            if waited >= CHECKPOINT_TIMEOUT || plan.victims.iter().all(saved) {
                for task in plan.victims.clone() {
                    send_command(state, WorkerCommand::Throttle { task, percent: THROTTLE_PERCENT });
                }
                (plan.step, plan.since) = (ReclaimStep::Throttle, now);
            }
        }
        ReclaimStep::Throttle if waited >= THROTTLE_PERIOD => {
            for task in &plan.victims {
                state.stop(task, StopReason::Reclaimed);
            }
            (plan.step, plan.since) = (ReclaimStep::Stop, now);
        }
        _ => {}
    }
    Some(plan)
}

/// Ends a plan: removes the throttle from its victims and releases its worker.
fn end_plan(state: &mut ShardState, plan: &ReclaimPlan) {
    if plan.step == ReclaimStep::Throttle {
        for task in plan.victims.clone() {
            send_command(state, WorkerCommand::Throttle { task, percent: 100 });
        }
    }
    if let Some(slot) = plan.vm.as_ref().and_then(|vm| state.fleet.slot(vm)) {
        state.fleet.update(slot, |worker| worker.reserved = false);
    }
}

/// Emits a command for the worker of its task.
fn send_command(state: &mut ShardState, command: WorkerCommand) {
    let Some(placed) = state.tasks.get(command.task()) else { return };
    state.effects.push(ScheduleEffect::Command(placed.vm.clone(), command));
}

/// Unblocks the entitled gang job whose team is furthest below its fair share.
fn unblock_gang(state: &mut ShardState, gang: &GangReservation, forecast: &ShareForecast, now: Instant) {
    let waits =
        state.queue.iter().filter(|(_, class)| class.key.kind == JobKind::Gang && class.blocked.is_some());
    let entitled = waits.filter(|(_, class)| {
        let job = class.jobs.values().next().and_then(|job| state.jobs.get(job));
        job.is_some_and(|job| gang.is_entitled(state, job, now))
    });
    let first = entitled.min_by(|(id, class), (other_id, other)| {
        let by_share =
            forecast.share_excess(&class.key.team).total_cmp(&forecast.share_excess(&other.key.team));
        by_share.then(id.cmp(other_id))
    });
    if let Some(id) = first.map(|(id, _)| id) {
        state.queue.unblock(id);
    }
}

/// Returns the tasks on a worker that lose the least work if preempted so that up to `limit` tasks of a gang
/// job fit, and how many then fit.
fn gang_victims_on(
    state: &ShardState,
    slot: u32,
    need: ResourceVector,
    limit: u64,
    now: Instant,
) -> (Vec<TaskId>, u64) {
    let Some(worker) = state.fleet.get(slot) else { return (Vec::new(), 0) };
    let placed = worker.tasks.iter().filter_map(|task| Some((task, state.tasks.get(task)?)));
    let mut preemptible: Vec<_> = placed.filter(|(_, placed)| placed.is_preemptible_by_gang()).collect();
    preemptible.sort_unstable_by_key(|(task, placed)| (placed.lost_work(now), *task));
    let room_if_emptied = preemptible.iter().fold(worker.free(), |free, (_, placed)| free.plus(placed.need));
    let wanted = need.times(need.count_in(room_if_emptied).min(limit));
    let (mut free, mut tasks) = (worker.free(), Vec::new());
    for (task, placed) in preemptible {
        if wanted.fits(free) {
            break;
        }
        if !wanted.minus(free).min(placed.need).is_zero() {
            free = free.plus(placed.need);
            tasks.push(task.clone());
        }
    }
    (tasks, need.count_in(free).min(limit))
}

/// Returns the number of waiting tasks of a class that the allotment allows, up to `limit`.
fn waiting_tasks(state: &ShardState, id: ClassId, limit: usize) -> usize {
    let Some(class) = state.queue.get(id) else { return 0 };
    let jobs = class.jobs.values().take(limit).filter_map(|job| state.jobs.get(job));
    let waiting: usize = jobs.map(|job| job.waiting.len()).sum();
    let remaining = state.shares.remaining_allotment(&class.key.team);
    let allowed = usize::try_from(class.key.need.count_in(remaining)).unwrap_or(usize::MAX);
    waiting.min(limit).min(allowed)
}

/// Returns the victims on one worker that make room for one task of the class and lose the least work.
fn find_victims(
    forecast: &ShareForecast,
    state: &ShardState,
    key: &ClassKey,
    now: Instant,
) -> Option<VictimSet> {
    let urgent = key.priority == PriorityClass::Urgent;
    let may_preempt = |team: &TeamId, taken: ResourceVector| {
        urgent || *team != key.team && forecast.is_above_share(team, taken, SHARE_HYSTERESIS)
    };
    let preemptible =
        state.reclaimable_tasks.iter().filter(|(team, _)| may_preempt(team, ResourceVector::default()));
    let preemptible: Vec<_> = preemptible.map(|(_, by_work_start)| by_work_start).collect();
    let examined_per_team = MAX_VICTIMS_EXAMINED.div_ceil(preemptible.len().max(1));
    let newest =
        preemptible.into_iter().flat_map(|by_work_start| by_work_start.iter().rev().take(examined_per_team));
    let slots: FastSet<u32> = newest
        .filter_map(|(_, task)| state.fleet.slot(&state.tasks.get(task)?.vm))
        .filter(|slot| state.fleet.get(*slot).is_some_and(|worker| worker.unavailable_reason().is_none()))
        .collect();
    let sets = slots.into_iter().filter_map(|slot| victims_on(state, slot, key, &may_preempt, now));
    sets.min_by_key(|set| (set.lost_work, set.slot))
}

/// Returns the tasks on one worker whose preemption makes room for one task of the class, those with the
/// least unsaved work first; `None` if there is no such set.
fn victims_on(
    state: &ShardState,
    slot: u32,
    key: &ClassKey,
    may_preempt: &impl Fn(&TeamId, ResourceVector) -> bool,
    now: Instant,
) -> Option<VictimSet> {
    let worker = state.fleet.get(slot)?;
    let mut candidates: Vec<(u64, &TaskId, ResourceVector)> = worker
        .tasks
        .iter()
        .filter_map(|task| Some((task, state.tasks.get(task)?)))
        .filter(|(_, placed)| placed.priority == PriorityClass::Normal && placed.stopping.is_none())
        .filter(|(_, placed)| key.priority == PriorityClass::Urgent || placed.kind != JobKind::Gang)
        .map(|(task, placed)| (placed.lost_work(now), task, placed.need))
        .collect();
    candidates.sort_unstable_by_key(|(lost_work, task, _)| (*lost_work, *task));
    let mut set = VictimSet { slot, tasks: Vec::new(), lost_work: 0 };
    let mut taken: FastMap<&TeamId, ResourceVector> = FastMap::default();
    let mut free = worker.free();
    for (lost_work, task, need) in candidates {
        if key.need.fits(free) {
            break;
        }
        // Stopping a task that frees none of the lacking resources would be pointless.
        let lacks = key.need.minus(free);
        if lacks.min(need).is_zero() {
            continue;
        }
        let Some(placed) = state.tasks.get(task) else { continue };
        let of_team = taken.entry(&placed.team).or_default();
        let sum = of_team.plus(need);
        if !may_preempt(&placed.team, sum) {
            continue;
        }
        *of_team = sum;
        free = free.plus(need);
        set.tasks.push(task.clone());
        set.lost_work += lost_work;
    }
    (key.need.fits(free) && !set.tasks.is_empty()).then_some(set)
}
