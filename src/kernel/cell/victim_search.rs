use crate::kernel::cell::{CellState, PlacementPhase, TaskKey, TaskPlacement};
use crate::prelude::*;

/// Run time up to which a task without checkpoints loses so little that it may be stopped.
const LITTLE_WORK: Duration = Duration::from_millis(700);
/// Victims of one search at most.
const MOST_VICTIMS: usize = 6;

/// Finds tasks on a worker that yield to a more urgent one.
pub struct VictimSearch<'a> {
    /// The cell.
    pub state: &'a CellState,
    /// The worker.
    pub slot: u32,
    /// Priority of the task that wants the room; only tasks of a higher number yield.
    pub priority: u32,
}

impl VictimSearch<'_> {
    /// Returns the tasks to stop so that `wanted` is free, or `None` if that takes too much.
    #[must_use]
    pub fn find(&self, wanted: ResourceVector, now: Instant) -> Option<Vec<TaskKey>> {
        let worker = self.state.worker(self.slot)?;
        let mut victims: Vec<(u32, Duration, &TaskKey, ResourceVector)> =
            worker.tasks.iter().filter_map(|key| self.victim(key, now)).collect();
        // The least urgent first, then the one that has run for the shortest time.
        victims.sort_by(|left, right| right.0.cmp(&left.0).then(left.1.cmp(&right.1)));
        let mut free = worker.free().plus(worker.stopping);
        let mut chosen = Vec::new();
        for (_, _, key, reserved) in victims {
            if wanted.fits(free) {
                break;
            }
            if !self.helps(wanted, free, reserved) {
                continue;
            }
            free = free.plus(reserved);
            chosen.push(key.clone());
        }
        (wanted.fits(free) && chosen.len() <= MOST_VICTIMS).then_some(chosen)
    }

    /// Whether stopping a task frees something of which there is not enough.
    fn helps(&self, wanted: ResourceVector, free: ResourceVector, reserved: ResourceVector) -> bool {
        let missing = wanted.minus(free);
        (missing.cores_milli > 0 && reserved.cores_milli > 0)
            || (missing.memory_mib > 0 && reserved.memory_mib > 0)
            || (missing.accelerators > 0 && reserved.accelerators > 0)
    }

    fn victim<'k>(
        &self,
        key: &'k TaskKey,
        now: Instant,
    ) -> Option<(u32, Duration, &'k TaskKey, ResourceVector)> {
        let placement: &TaskPlacement = self.state.placements.get(key)?;
        let (spec, step, _) = self.state.step(&key.step)?;
        let priority = self.state.config.queues.get(&spec.queue)?.priority;
        let PlacementPhase::Running(since) = placement.phase else { return None };
        let ran = now.saturating_duration_since(since);
        let cheap = step.checkpoints || ran < LITTLE_WORK;
        let yields = priority > self.priority && !step.lasting && !step.gang && cheap;
        (yields && placement.stopping.is_none()).then(|| (priority, ran, key, step.reserved()))
    }
}
