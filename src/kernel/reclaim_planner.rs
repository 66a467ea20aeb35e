use crate::kernel::{
    ClassId, ClassKey, JobKind, PriorityClass, ScheduleEffect, ShardState, StopReason, WorkerCommand,
};
use crate::prelude::*;

/// Tasks stopped per minute to give lent capacity back.
const STOPS_PER_MINUTE: u32 = 120;
/// Tasks stopped per minute for urgent work, in addition.
const URGENT_STOPS_PER_MINUTE: u32 = 240;
/// Plans that are carried out at once.
const PLANS: usize = 64;
/// Plans for one class at once.
const PLANS_PER_CLASS: usize = 16;
/// Waiting classes examined in one round.
const CLASSES: usize = 64;
/// Tasks of one team examined as victims for one plan, those with the least work first.
const VICTIMS: usize = 32;
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
    stopped: u32,
    urgent_stopped: u32,
}

#[derive(Clone, Debug)]
struct ReclaimPlan {
    class: ClassId,
    vm: VmId,
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
    pub fn advance(&mut self, state: &mut ShardState, now: Instant) {
        if self.planned_at.is_some_and(|planned_at| now < planned_at + ROUND) {
            return;
        }
        self.planned_at = Some(now);
        if self.minute.is_none_or(|minute| now >= minute + Duration::from_secs(60)) {
            (self.minute, self.stopped, self.urgent_stopped) = (Some(now), 0, 0);
        }
        let plans = std::mem::take(&mut self.plans);
        self.plans = plans.into_iter().filter_map(|plan| carry_on(state, plan, now)).collect();
        let active = active_weight(state);
        for (id, key) in needy_classes(state, active) {
            self.plan_class(state, id, &key, active, now);
        }
    }

    /// Returns the number of tasks that are being reclaimed.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.plans.iter().map(|plan| plan.victims.len()).sum()
    }

    fn plan_class(&mut self, state: &mut ShardState, id: ClassId, key: &ClassKey, active: f64, now: Instant) {
        let waiting = waiting_tasks(state, id, PLANS_PER_CLASS);
        let planned = self.plans.iter().filter(|plan| plan.class == id).count();
        for _ in planned..waiting {
            let urgent = key.priority == PriorityClass::Urgent;
            let (stopped, limit) = if urgent {
                (&mut self.urgent_stopped, URGENT_STOPS_PER_MINUTE)
            } else {
                (&mut self.stopped, STOPS_PER_MINUTE)
            };
            let Some(set) = find_victims(state, key, active, now).filter(|_| self.plans.len() < PLANS) else {
                return;
            };
            let count = u32::try_from(set.tasks.len()).unwrap_or(u32::MAX);
            if stopped.saturating_add(count) > limit {
                return;
            }
            *stopped += count;
            let Some(vm) = state.fleet.get(set.slot).map(|worker| worker.vm.vm.clone()) else { return };
            state.fleet.update(set.slot, |worker| worker.reserved = true);
            for task in &set.tasks {
                command(state, &vm, WorkerCommand::Checkpoint { task: task.clone() });
            }
            let step = ReclaimStep::Checkpoint;
            self.plans.push(ReclaimPlan { class: id, vm, victims: set.tasks, step, since: now });
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
                    command(state, &plan.vm, WorkerCommand::Throttle { task, percent: THROTTLE_PERCENT });
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
            command(state, &plan.vm, WorkerCommand::Throttle { task, percent: 100 });
        }
    }
    if let Some(slot) = state.fleet.slot(&plan.vm) {
        state.fleet.update(slot, |worker| worker.reserved = false);
    }
}

fn command(state: &mut ShardState, vm: &VmId, command: WorkerCommand) {
    state.effects.push(ScheduleEffect::Command(vm.clone(), command));
}

/// Returns the sum of the weights of all teams that use something or wait.
fn active_weight(state: &ShardState) -> f64 {
    let waiting = state.queue.iter().map(|(_, class)| &class.key.team);
    let teams: FastSet<&TeamId> = state.shares.users().chain(waiting).collect();
    teams.into_iter().map(|team| state.shares.weight(team)).sum()
}

/// Returns classes that fit nowhere and may take capacity back, urgent ones first, then by share.
fn needy_classes(state: &ShardState, active: f64) -> Vec<(ClassId, ClassKey)> {
    let total = state.fleet.capacity;
    let mut classes: Vec<(ClassId, ClassKey)> = state
        .queue
        .unfit()
        .filter(|(_, class)| class.key.kind != JobKind::Gang)
        .filter(|(_, class)| {
            class.key.priority == PriorityClass::Urgent
                || state.shares.excess(&class.key.team, active, total) < 1.0
        })
        .take(CLASSES)
        .map(|(id, class)| (id, class.key.clone()))
        .collect();
    classes.sort_by(|(_, key), (_, other)| {
        let by_share = || state.shares.score(&key.team).total_cmp(&state.shares.score(&other.team));
        key.priority.cmp(&other.priority).then_with(by_share)
    });
    classes
}

/// Counts the waiting tasks of a class up to `most`.
fn waiting_tasks(state: &ShardState, id: ClassId, most: usize) -> usize {
    let Some(class) = state.queue.get(id) else { return 0 };
    let jobs = class.jobs.values().take(most).filter_map(|job| state.jobs.get(job));
    let waiting: usize = jobs.map(|job| job.waiting.len()).sum();
    let used = state.shares.room(&class.key.team);
    let allowed = usize::try_from(class.key.need.count_in(used)).unwrap_or(usize::MAX);
    waiting.min(most).min(allowed)
}

/// Returns the cheapest set of tasks whose end makes room for one task of the class.
fn find_victims(state: &ShardState, key: &ClassKey, active: f64, now: Instant) -> Option<VictimSet> {
    let total = state.fleet.capacity;
    let urgent = key.priority == PriorityClass::Urgent;
    let gives = |team: &TeamId| urgent || *team != key.team && state.shares.excess(team, active, total) > 1.0;
    let sources = state.recent.iter().filter(|(team, _)| gives(team));
    let newest = sources.flat_map(|(_, recent)| recent.iter().rev().take(VICTIMS));
    let slots: FastSet<u32> = newest
        .filter_map(|(_, task)| state.fleet.slot(&state.tasks.get(task)?.vm))
        .filter(|slot| state.fleet.get(*slot).is_some_and(|worker| worker.obstacle().is_none()))
        .collect();
    let sets = slots.into_iter().filter_map(|slot| victims_on(state, slot, key, &gives, now));
    sets.min_by_key(|set| (set.lost_work, set.slot))
}

/// Returns the tasks on one worker that must end, least lost work first.
fn victims_on(
    state: &ShardState,
    slot: u32,
    key: &ClassKey,
    gives: &impl Fn(&TeamId) -> bool,
    now: Instant,
) -> Option<VictimSet> {
    let worker = state.fleet.get(slot)?;
    let mut candidates: Vec<(u64, &TaskId, ResourceVector)> = worker
        .tasks
        .iter()
        .filter_map(|task| Some((task, state.tasks.get(task)?)))
        .filter(|(_, placed)| placed.priority == PriorityClass::Normal && placed.stopping.is_none())
        .filter(|(_, placed)| gives(&placed.team))
        .map(|(task, placed)| (placed.lost_work(now), task, placed.need))
        .collect();
    candidates.sort_unstable_by_key(|(lost_work, task, _)| (*lost_work, *task));
    let mut set = VictimSet { slot, tasks: Vec::new(), lost_work: 0 };
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
        free = free.plus(need);
        set.tasks.push(task.clone());
        set.lost_work += lost_work;
    }
    (key.need.fits(free) && !set.tasks.is_empty()).then_some(set)
}
