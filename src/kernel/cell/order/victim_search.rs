use crate::kernel::cell::{CellState, PlacementPhase, TaskKey, TaskPlacement, TaskRank};
use crate::prelude::*;

/// Run time up to which a task without checkpoints may be preempted, as it loses little work.
const MAX_LOST_RUN_TIME: Duration = Duration::from_millis(700);
/// Bounds the tasks that are preempted on one worker for a single, more urgent task.
const MAX_VICTIMS_PER_WORKER: usize = 6;

/// Finds tasks to preempt in favour of a more urgent one.
pub struct VictimSearch<'a> {
    /// State of the cell that is searched.
    pub state: &'a CellState,
    /// Rank of the task that needs room. Only tasks with a higher rank, which are less urgent, are preempted.
    pub rank: TaskRank,
}

/// A task that may be preempted.
struct Victim<'a> {
    key: &'a TaskKey,
    rank: TaskRank,
    run_time: Duration,
    need: ResourceVector,
    occupied_capacity: ResourceVector,
}

impl VictimSearch<'_> {
    /// Returns the tasks to stop so that `wanted` becomes free on a worker; `None` if that is not possible or
    /// takes too many tasks.
    #[must_use]
    pub fn find_on_worker(&self, slot: u32, wanted: ResourceVector, now: Instant) -> Option<Vec<TaskKey>> {
        let worker = self.state.worker(slot)?;
        let victims = worker.tasks.iter().filter_map(|key| self.victim(key, now)).collect();
        let free = worker.free().plus(worker.capacity_being_freed);
        let (chosen, enough) = choose_victims(victims, wanted, free, |victim| victim.occupied_capacity);
        (enough && chosen.len() <= MAX_VICTIMS_PER_WORKER).then_some(chosen)
    }

    /// Returns the tasks of a team to stop so that `wanted` fits into the rest of its limit, which is `free`
    /// now. The tasks are returned even if stopping all of them is not enough.
    #[must_use]
    pub fn find_in_team(
        &self,
        team: &TeamId,
        wanted: ResourceVector,
        free: ResourceVector,
        now: Instant,
    ) -> Vec<TaskKey> {
        let of_team =
            |key: &&TaskKey| self.state.step(&key.step).is_some_and(|(spec, ..)| spec.team == *team);
        let tasks = self.state.placements.keys().filter(of_team);
        let victims = tasks.filter_map(|key| self.victim(key, now)).collect();
        choose_victims(victims, wanted, free, |victim| victim.need).0
    }

    fn victim<'k>(&self, key: &'k TaskKey, now: Instant) -> Option<Victim<'k>> {
        let placement: &TaskPlacement = self.state.placements.get(key)?;
        let (spec, step, _) = self.state.step(&key.step)?;
        let excess = self.state.jobs.get(&key.step.job)?.excess;
        let rank = (excess, self.state.config.queues.get(&spec.queue)?.priority);
        let PlacementPhase::Running(since) = placement.phase else { return None };
        let run_time = now.saturating_duration_since(since);
        let loses_little = step.checkpoints || run_time < MAX_LOST_RUN_TIME;
        let preemptible = rank > self.rank && !step.long_running && !step.gang && loses_little;
        let (need, occupied_capacity) = (step.need, step.occupied_capacity());
        (preemptible && placement.stop_reason.is_none()).then_some(Victim {
            key,
            rank,
            run_time,
            need,
            occupied_capacity,
        })
    }
}

/// Chooses tasks until `wanted` is free: the least urgent first, then those that have run for the shortest
/// time. Also returns whether the chosen tasks are enough.
fn choose_victims(
    mut victims: Vec<Victim<'_>>,
    wanted: ResourceVector,
    mut free: ResourceVector,
    freed_by: impl Fn(&Victim<'_>) -> ResourceVector,
) -> (Vec<TaskKey>, bool) {
    victims.sort_by(|left, right| right.rank.cmp(&left.rank).then(left.run_time.cmp(&right.run_time)));
    let mut chosen = Vec::new();
    for victim in victims {
        if wanted.fits(free) {
            break;
        }
        let amount = freed_by(&victim);
        if provides_missing(wanted.minus(free), amount) {
            free = free.plus(amount);
            chosen.push(victim.key.clone());
        }
    }
    (chosen, wanted.fits(free))
}

/// Whether an amount provides some of a resource that is missing.
const fn provides_missing(missing: ResourceVector, given: ResourceVector) -> bool {
    (missing.cores_milli > 0 && given.cores_milli > 0)
        || (missing.memory_mib > 0 && given.memory_mib > 0)
        || (missing.accelerators > 0 && given.accelerators > 0)
}
