use super::{AdmissionNotice, MemoryBudget, StateBytes, waiting_bytes};
use crate::kernel::cell::GraphSpec;
use crate::prelude::*;

/// Time after which a caller may try again that was refused for lack of memory.
const RETRY_AFTER: Duration = Duration::from_secs(5);

/// Number of processes that are taken to share the room before the first notice.
const DEFAULT_PROCESSES: u64 = 8;

/// Decides in one process whether the owner of the cell can keep a further job.
///
/// It counts what this process has accepted since the last notice but one, as the notice may not have seen the newest of
/// it. Without notices, as between two owners, the room of the last one is all that there is.
#[derive(Clone, Debug)]
pub struct MemoryGate {
    rooms: FastMap<Option<TeamId>, StateBytes>,
    processes: u64,
    /// Bytes that were accepted since the last notice, and between it and the one before.
    accepted: [FastMap<TeamId, StateBytes>; 2],
}

impl MemoryGate {
    /// Returns the gate of a process that has received no notice.
    #[must_use]
    pub fn new(budget: MemoryBudget) -> Self {
        let rooms = std::iter::once((None, budget.limit / 2)).collect();
        Self { rooms, processes: DEFAULT_PROCESSES, accepted: <[_; 2]>::default() }
    }

    /// Replaces the rooms by those in a notice. An owner of an earlier release tells none.
    pub fn apply(&mut self, notice: &AdmissionNotice) {
        if !notice.rooms.is_empty() {
            self.rooms = notice.rooms.iter().map(|room| (room.team.clone(), room.bytes)).collect();
            self.processes = notice.processes.max(1);
        }
        self.accepted.swap(0, 1);
        self.accepted[0].clear();
    }

    /// Counts a job that is accepted.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller may try again if there is no room. A job that is larger than the part of
    /// this process is accepted if the whole room holds it and the process has accepted no other one.
    pub fn admit(&mut self, spec: &GraphSpec) -> Result<(), Duration> {
        let team = Some(spec.team.clone());
        let room = self.rooms.get(&team).or_else(|| self.rooms.get(&None)).copied().unwrap_or_default();
        let bytes = waiting_bytes(spec);
        let accepted: StateBytes = self.accepted.iter().filter_map(|teams| teams.get(&spec.team)).sum();
        let is_single = accepted == 0 && bytes <= room;
        if !is_single && accepted + bytes > room / self.processes {
            return Err(RETRY_AFTER);
        }
        *self.accepted[0].entry(spec.team.clone()).or_default() += bytes;
        Ok(())
    }
}
