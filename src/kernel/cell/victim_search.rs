use crate::kernel::cell::{CellState, PlacementPhase, TaskKey, TaskPlacement};
use crate::prelude::*;

/// Run time up to which a task without checkpoints loses so little that it may be stopped.
const LITTLE_WORK: Duration = Duration::from_millis(700);
/// Victims of one search at most.
const MOST_VICTIMS: usize = 6;

/// Finds tasks that yield to a more urgent one.
pub struct VictimSearch<'a> {
    /// The cell.
    pub state: &'a CellState,
    /// Rank of the task that wants the room; only tasks of a higher one yield.
    pub rank: TaskRank,
}

/// Whether the team of a task has submitted more than it is owed, and the priority of its queue.
pub type TaskRank = (bool, u32);

/// A task that may yield.
struct Victim<'a> {
    key: &'a TaskKey,
    rank: TaskRank,
    ran: Duration,
    need: ResourceVector,
    reserved: ResourceVector,
}

impl VictimSearch<'_> {
    /// Returns the tasks to stop so that `wanted` is free on a worker, or `None` if that takes too much.
    #[must_use]
    pub fn find_on(&self, slot: u32, wanted: ResourceVector, now: Instant) -> Option<Vec<TaskKey>> {
        let worker = self.state.worker(slot)?;
        let victims = worker.tasks.iter().filter_map(|key| self.victim(key, now)).collect();
        let free = worker.free().plus(worker.stopping);
        let (chosen, enough) = choose(victims, wanted, free, |victim| victim.reserved);
        (enough && chosen.len() <= MOST_VICTIMS).then_some(chosen)
    }

    /// Returns tasks of a team to stop so that its use falls by what is missing between `free` and `wanted`, or by as
    /// much of it as there is.
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
        choose(victims, wanted, free, |victim| victim.need).0
    }

    fn victim<'k>(&self, key: &'k TaskKey, now: Instant) -> Option<Victim<'k>> {
        let placement: &TaskPlacement = self.state.placements.get(key)?;
        let (spec, step, _) = self.state.step(&key.step)?;
        let excess = self.state.jobs.get(&key.step.job)?.excess;
        let rank = (excess, self.state.config.queues.get(&spec.queue)?.priority);
        let PlacementPhase::Running(since) = placement.phase else { return None };
        let ran = now.saturating_duration_since(since);
        let cheap = step.checkpoints || ran < LITTLE_WORK;
        let yields = rank > self.rank && !step.long_running && !step.gang && cheap;
        let (need, reserved) = (step.need, step.reserved());
        (yields && placement.stopping.is_none()).then_some(Victim { key, rank, ran, need, reserved })
    }
}

/// Chooses tasks until `wanted` is free: the least urgent first, then those that have run for the shortest time.
/// Also says whether that is enough.
fn choose(
    mut victims: Vec<Victim<'_>>,
    wanted: ResourceVector,
    mut free: ResourceVector,
    gives: impl Fn(&Victim<'_>) -> ResourceVector,
) -> (Vec<TaskKey>, bool) {
    victims.sort_by(|left, right| right.rank.cmp(&left.rank).then(left.ran.cmp(&right.ran)));
    let mut chosen = Vec::new();
    for victim in victims {
        if wanted.fits(free) {
            break;
        }
        let amount = gives(&victim);
        if helps(wanted.minus(free), amount) {
            free = free.plus(amount);
            chosen.push(victim.key.clone());
        }
    }
    (chosen, wanted.fits(free))
}

/// Whether an amount contains something that is missing.
const fn helps(missing: ResourceVector, given: ResourceVector) -> bool {
    (missing.cores_milli > 0 && given.cores_milli > 0)
        || (missing.memory_mib > 0 && given.memory_mib > 0)
        || (missing.accelerators > 0 && given.accelerators > 0)
}
