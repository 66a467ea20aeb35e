use crate::kernel::cell::{CellState, PlacementPhase, TaskKey};
use crate::prelude::*;

/// Time within which every member of a gang must be confirmed as running. It is shorter than the time for
/// which members that have started wait for the others.
const GANG_CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Watches the starts of gangs.
pub struct GangWatch<'a> {
    /// State of the cell.
    pub state: &'a mut CellState,
    /// Present time.
    pub now: Instant,
}

impl GangWatch<'_> {
    /// Stops gangs with a member that was not confirmed as running in time, before the other members end on
    /// their own.
    pub fn run(&mut self) {
        let late = self.state.placements.iter().filter(|(_, placement)| {
            !matches!(placement.phase, PlacementPhase::Running(_))
                && placement.stop_reason.is_none()
                && self.now.saturating_duration_since(placement.placed_at) > GANG_CONFIRM_TIMEOUT
        });
        let late: Vec<TaskKey> = late.map(|(key, _)| key.clone()).collect();
        for key in late {
            self.state.break_gang(&key, self.now);
        }
    }
}
