use crate::kernel::{
    ClassId, ClassKey, GangReservation, JobKind, PriorityClass, ScheduleEffect, ShardState, ShareForecast,
    StopReason, WorkerCommand,
};
use crate::prelude::*;

/// Tasks stopped per minute to give lent capacity back, at least.
const STOPS_PER_MINUTE: usize = 120;
/// Tasks stopped per minute to give lent capacity back: one in this many running ones.
const STOPPED_PART: usize = 5;
/// Tasks stopped per minute for urgent work, in addition.
const URGENT_STOPS_PER_MINUTE: usize = 240;
/// Plans that are carried out at once.
const PLANS: usize = 64;
/// Plans for one class at once.
const PLANS_PER_CLASS: usize = 16;
/// Waiting classes examined in one round.
const CLASSES: usize = 64;
/// Part of the size of a task by which a team must be above or below its fair part to give or take one; above one
/// half, so that two teams do not take the same capacity from each other in turn.
const HYSTERESIS: f64 = 0.75;
/// The same for a whole gang job: it starts from one half on, so it may run until its team has much more.
const GANG_EXCESS: f64 = 0.6;
/// Tasks examined as victims for one plan, of each team those with the least work first.
const VICTIMS: usize = 64;
/// Searches for victims in one round; without this bound and with more victims a round took up to 82 ms.
const SEARCHES: usize = 16;
/// Longest wait for checkpoints; together with the throttle and two syncs it stays below 8.5 s.
const CHECKPOINT_WAIT: Duration = Duration::from_secs(2);
/// Time between throttle and stop, in which the plan can still be dropped cheaply.
const THROTTLE_WAIT: Duration = Duration::from_millis(500);
/// Processor time left to a throttled task, in percent.
const THROTTLE_PERCENT: u32 = 10;
/// Time between rounds of planning.
const ROUND: Duration = Duration::from_millis(250);
/// Time after which a plan whose victims do not end gives its worker back.
const PLAN_TIMEOUT: Duration = Duration::from_secs(60);

/// Takes lent capacity back for teams below their share and for urgent work.
#[derive(Clone, Debug, Default)]
pub struct ReclaimPlanner {
    plans: Vec<ReclaimPlan>,
    planned_at: Option<Instant>,
    minute: Option<Instant>,
    stopped: usize,
    urgent_stopped: usize,
    /// Searches for victims in this round.
    searches: usize,
    forecast: ShareForecast,
}

#[derive(Clone, Debug)]
struct ReclaimPlan {
    class: ClassId,
    team: TeamId,
    need: ResourceVector,
    /// Worker that is reserved for the class; `None` if a gang job keeps the workers or is the victim.
    vm: Option<VmId>,
    victims: Vec<TaskId>,
    step: ReclaimStep,
    since: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReclaimStep {
    Checkpoint,
    Throttle,
    Stop,
}

/// A worker with the tasks that would be stopped there.
struct VictimSet {
    slot: u32,
    tasks: Vec<TaskId>,
    lost_work: u64,
}

impl ReclaimPlanner {
    /// Carries plans on and makes new ones for classes that fit nowhere.
    pub fn advance(&mut self, state: &mut ShardState, gang: &mut GangReservation, now: Instant) {
        if self.planned_at.is_some_and(|planned_at| now < planned_at + ROUND) {
            return;
        }
        (self.planned_at, self.searches) = (Some(now), 0);
        if self.minute.is_none_or(|minute| now >= minute + Duration::from_secs(60)) {
            (self.minute, self.stopped, self.urgent_stopped) = (Some(now), 0, 0);
        }
        state.divide_shares();
        let plans = std::mem::take(&mut self.plans);
        self.plans = plans.into_iter().filter_map(|plan| carry_on(state, plan, now)).collect();
        self.forecast = ShareForecast::of(state);
        for number in 0..self.plans.len() {
            self.count_plan(state, number);
        }
        self.empty_kept(state, gang, now);
        let classes = self.needy_classes(state);
        if let Some((id, key)) = classes.first() {
            self.plan_gang(state, gang, *id, key, now);
        }
        for (id, key) in classes {
            self.plan_class(state, id, &key, now);
        }
    }

    fn count_plan(&mut self, state: &ShardState, number: usize) {
        let plan = &self.plans[number];
        for placed in plan.victims.iter().filter_map(|task| state.tasks.get(task)) {
            self.forecast.stop(&placed.team, placed.need);
        }
        self.forecast.start(&plan.team, plan.need);
    }

    /// Plans stops on the workers that are kept for an entitled gang job.
    fn empty_kept(&mut self, state: &mut ShardState, gang: &GangReservation, now: Instant) {
        let Some(held) = gang.held().filter(|held| held.reclaims) else {
            retry_gang(state, gang, &self.forecast, now);
            return;
        };
        let Some(job) = state.jobs.get(&held.job) else { return };
        let (need, mut left) = (job.spec.need, job.waiting.len() as u64);
        let Some((class, _)) = state.queue.class_of(&job.spec) else { return };
        if self.plans.iter().any(|plan| plan.class == class) {
            return;
        }
        let (team, mut victims, mut room) = (job.spec.team.clone(), Vec::new(), 0);
        for slot in held.workers.iter().filter_map(|vm| state.fleet.slot(vm)) {
            let (tasks, fit) = emptied(state, slot, need, left, now);
            left -= fit;
            if !tasks.is_empty() {
                room += fit;
                victims.extend(tasks);
            }
        }
        if self.take_stops(state, PriorityClass::Normal, victims.len()) {
            let (need, step) = (need.times(room), ReclaimStep::Checkpoint);
            self.begin(state, ReclaimPlan { class, team, need, vm: None, victims, step, since: now });
        }
    }

    /// Plans to stop one gang job of a team that is closer to its fair part without it, the cheapest one.
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
                let need = job.spec.need.times(tasks.len() as u64);
                if !self.forecast.is_above_share(&job.spec.team, need, GANG_EXCESS)
                    || gang.is_starved(&job.spec.id, now)
                    || tasks.iter().any(|task| planned.contains(task))
                {
                    return None;
                }
                let placed = || tasks.iter().filter_map(|task| state.tasks.get(*task));
                let lost_work: u64 = placed().map(|placed| placed.lost_work(now)).sum();
                placed().all(|placed| placed.stopping.is_none()).then_some((lost_work, &job.spec.id, tasks))
            });
        let cheapest = found.min_by_key(|(lost_work, id, _)| (*lost_work, *id));
        let Some(victims) = cheapest.map(|(.., tasks)| tasks.into_iter().cloned().collect::<Vec<_>>()) else {
            return;
        };
        if self.take_stops(state, PriorityClass::Normal, victims.len()) {
            let (team, need, step) = (key.team.clone(), ResourceVector::default(), ReclaimStep::Checkpoint);
            self.begin(state, ReclaimPlan { class, team, need, vm: None, victims, step, since: now });
        }
    }

    /// Counts stops against the budget of the minute; returns false if it does not allow them.
    fn take_stops(&mut self, state: &ShardState, priority: PriorityClass, count: usize) -> bool {
        let (stopped, limit) = match priority {
            PriorityClass::Urgent => (&mut self.urgent_stopped, URGENT_STOPS_PER_MINUTE),
            PriorityClass::Normal => {
                (&mut self.stopped, (state.tasks.len() / STOPPED_PART).max(STOPS_PER_MINUTE))
            }
        };
        let allowed = count > 0 && *stopped + count <= limit;
        *stopped += if allowed { count } else { 0 };
        allowed
    }

    fn begin(&mut self, state: &mut ShardState, plan: ReclaimPlan) {
        for task in &plan.victims {
            command(state, WorkerCommand::Checkpoint { task: task.clone() });
        }
        self.plans.push(plan);
        self.count_plan(state, self.plans.len() - 1);
    }

    /// Returns classes that fit nowhere and may take capacity back, urgent ones first, then by share.
    fn needy_classes(&self, state: &ShardState) -> Vec<(ClassId, ClassKey)> {
        let unschedulable = state.queue.unschedulable().filter(|(_, class)| class.key.kind != JobKind::Gang);
        let mut classes: Vec<(ClassId, ClassKey)> = unschedulable
            .filter(|(_, class)| {
                class.key.priority == PriorityClass::Urgent
                    || self.forecast.is_below_share(&class.key.team, class.key.need, HYSTERESIS)
            })
            .map(|(id, class)| (id, class.key.clone()))
            .collect();
        classes.sort_by(|(_, key), (_, other)| {
            let by_share =
                || self.forecast.share_excess(&key.team).total_cmp(&self.forecast.share_excess(&other.team));
            key.priority.cmp(&other.priority).then_with(by_share)
        });
        classes.truncate(CLASSES);
        classes
    }

    /// Returns the number of tasks that are being reclaimed.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.plans.iter().map(|plan| plan.victims.len()).sum()
    }

    fn plan_class(&mut self, state: &mut ShardState, id: ClassId, key: &ClassKey, now: Instant) {
        let waiting = waiting_tasks(state, id, PLANS_PER_CLASS);
        let planned = self.plans.iter().filter(|plan| plan.class == id).count();
        for _ in planned..waiting {
            let urgent = key.priority == PriorityClass::Urgent;
            if !urgent && !self.forecast.is_below_share(&key.team, key.need, HYSTERESIS) {
                return;
            }
            if self.plans.len() >= PLANS || self.searches >= SEARCHES {
                return;
            }
            self.searches += 1;
            let Some(set) = find_victims(&self.forecast, state, key, now) else { return };
            if !self.take_stops(state, key.priority, set.tasks.len()) {
                return;
            }
            let vm = state.fleet.get(set.slot).map(|worker| worker.vm.vm.clone());
            state.fleet.update(set.slot, |worker| worker.reserved = true);
            let (team, need, step) = (key.team.clone(), key.need, ReclaimStep::Checkpoint);
            self.begin(
                state,
                ReclaimPlan { class: id, team, need, vm, victims: set.tasks, step, since: now },
            );
        }
    }
}

/// Takes the next step of a plan; `None` when the plan is over.
fn carry_on(state: &mut ShardState, mut plan: ReclaimPlan, now: Instant) -> Option<ReclaimPlan> {
    plan.victims.retain(|task| state.tasks.contains_key(task));
    let waited = now.saturating_duration_since(plan.since);
    let needed = plan.step == ReclaimStep::Stop || state.queue.get(plan.class).is_some();
    if plan.victims.is_empty() || !needed || waited >= PLAN_TIMEOUT {
        give_up(state, &plan);
        return None;
    }
    match plan.step {
        ReclaimStep::Checkpoint => {
            let saved = |task: &TaskId| state.tasks.get(task).is_some_and(|placed| placed.checkpointed);
            if waited >= CHECKPOINT_WAIT || plan.victims.iter().all(saved) {
                for task in plan.victims.clone() {
                    command(state, WorkerCommand::Throttle { task, percent: THROTTLE_PERCENT });
                }
                (plan.step, plan.since) = (ReclaimStep::Throttle, now);
            }
        }
        ReclaimStep::Throttle if waited >= THROTTLE_WAIT => {
            for task in &plan.victims {
                state.stop(task, StopReason::Reclaimed);
            }
            (plan.step, plan.since) = (ReclaimStep::Stop, now);
        }
        _ => {}
    }
    Some(plan)
}

fn give_up(state: &mut ShardState, plan: &ReclaimPlan) {
    if plan.step == ReclaimStep::Throttle {
        for task in plan.victims.clone() {
            command(state, WorkerCommand::Throttle { task, percent: 100 });
        }
    }
    if let Some(slot) = plan.vm.as_ref().and_then(|vm| state.fleet.slot(vm)) {
        state.fleet.update(slot, |worker| worker.reserved = false);
    }
}

/// Sends a command to the worker of its task.
fn command(state: &mut ShardState, command: WorkerCommand) {
    let Some(placed) = state.tasks.get(command.task()) else { return };
    state.effects.push(ScheduleEffect::Command(placed.vm.clone(), command));
}

/// Lets the entitled gang job be tried again whose team is furthest below its fair part.
fn retry_gang(state: &mut ShardState, gang: &GangReservation, forecast: &ShareForecast, now: Instant) {
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

/// Returns the cheapest tasks to stop so that up to `most` tasks of a gang job fit, and how many then fit.
fn emptied(
    state: &ShardState,
    slot: u32,
    need: ResourceVector,
    most: u64,
    now: Instant,
) -> (Vec<TaskId>, u64) {
    let Some(worker) = state.fleet.get(slot) else { return (Vec::new(), 0) };
    let placed = worker.tasks.iter().filter_map(|task| Some((task, state.tasks.get(task)?)));
    let mut movable: Vec<_> = placed.filter(|(_, placed)| placed.is_preemptible_by_gang()).collect();
    movable.sort_unstable_by_key(|(task, placed)| (placed.lost_work(now), *task));
    let fixed = movable.iter().fold(worker.free(), |free, (_, placed)| free.plus(placed.need));
    let wanted = need.times(need.count_in(fixed).min(most));
    let (mut free, mut tasks) = (worker.free(), Vec::new());
    for (task, placed) in movable {
        if wanted.fits(free) {
            break;
        }
        if !wanted.minus(free).min(placed.need).is_zero() {
            free = free.plus(placed.need);
            tasks.push(task.clone());
        }
    }
    (tasks, need.count_in(free).min(most))
}

/// Counts the waiting tasks of a class up to `most`.
fn waiting_tasks(state: &ShardState, id: ClassId, most: usize) -> usize {
    let Some(class) = state.queue.get(id) else { return 0 };
    let jobs = class.jobs.values().take(most).filter_map(|job| state.jobs.get(job));
    let waiting: usize = jobs.map(|job| job.waiting.len()).sum();
    let used = state.shares.remaining_allotment(&class.key.team);
    let allowed = usize::try_from(class.key.need.count_in(used)).unwrap_or(usize::MAX);
    waiting.min(most).min(allowed)
}

/// Returns the cheapest set of tasks whose end makes room for one task of the class.
fn find_victims(
    forecast: &ShareForecast,
    state: &ShardState,
    key: &ClassKey,
    now: Instant,
) -> Option<VictimSet> {
    let urgent = key.priority == PriorityClass::Urgent;
    let gives = |team: &TeamId, taken: ResourceVector| {
        urgent || *team != key.team && forecast.is_above_share(team, taken, HYSTERESIS)
    };
    let sources = state.reclaimable_tasks.iter().filter(|(team, _)| gives(team, ResourceVector::default()));
    let sources: Vec<_> = sources.map(|(_, recent)| recent).collect();
    let each = VICTIMS.div_ceil(sources.len().max(1));
    let newest = sources.into_iter().flat_map(|recent| recent.iter().rev().take(each));
    let slots: FastSet<u32> = newest
        .filter_map(|(_, task)| state.fleet.slot(&state.tasks.get(task)?.vm))
        .filter(|slot| state.fleet.get(*slot).is_some_and(|worker| worker.unavailable_reason().is_none()))
        .collect();
    let sets = slots.into_iter().filter_map(|slot| victims_on(state, slot, key, &gives, now));
    sets.min_by_key(|set| (set.lost_work, set.slot))
}

/// Returns the tasks on one worker that must end, least lost work first.
fn victims_on(
    state: &ShardState,
    slot: u32,
    key: &ClassKey,
    gives: &impl Fn(&TeamId, ResourceVector) -> bool,
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
        // A task that frees nothing of what is lacking would be stopped in vain.
        let lacks = key.need.minus(free);
        if lacks.min(need).is_zero() {
            continue;
        }
        let Some(placed) = state.tasks.get(task) else { continue };
        let of_team = taken.entry(&placed.team).or_default();
        let sum = of_team.plus(need);
        if !gives(&placed.team, sum) {
            continue;
        }
        *of_team = sum;
        free = free.plus(need);
        set.tasks.push(task.clone());
        set.lost_work += lost_work;
    }
    (key.need.fits(free) && !set.tasks.is_empty()).then_some(set)
}
