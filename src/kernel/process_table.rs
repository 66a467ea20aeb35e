use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Number of processes whose last sequence number is retained. The least recent ones are evicted first, as a
/// repeated append can arrive late.
const MAX_PROCESSES: usize = 4_096;
/// Number of groups between two steps of the ledger clock.
const CLOCK_STEP_GROUPS: LogOffset = 16;
/// The ledger clock is computed from the processes that appended within this many groups.
const CLOCK_WINDOW_GROUPS: LogOffset = 1_000;

/// Last applied group of an appending process. Groups up to its sequence number are repeated appends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessWatermark {
    /// Sequence number of the last applied group.
    pub sequence: GroupSequence,
    /// Unix time in milliseconds that the process put in its last group; 0 if none.
    pub at_ms: u64,
    /// Log offset of the last applied group.
    pub offset: LogOffset,
}

/// Watermarks of the appending processes, and the ledger clock that every process
/// derives from them in the same way.
#[derive(Debug, Default)]
pub struct ProcessTable {
    watermarks: FastMap<ProcessId, ProcessWatermark>,
    /// Ledger time in milliseconds of Unix time; never decreases.
    pub now_ms: u64,
    /// Log offset of the last step of the clock.
    pub clock_offset: LogOffset,
}

impl ProcessTable {
    /// Records the group at `offset`; returns whether its sequence number is new.
    pub fn accept_group(
        &mut self,
        process: &ProcessId,
        sequence: GroupSequence,
        at_ms: u64,
        offset: LogOffset,
    ) -> bool {
        let watermark = self.watermarks.entry(process.clone()).or_default();
        if sequence <= watermark.sequence {
            return false;
        }
        *watermark = ProcessWatermark { sequence, at_ms, offset };
        if self.now_ms == 0 {
            // Otherwise entries that are applied before the first step of the clock
            // would expire at that step.
            self.now_ms = at_ms;
        }
        true
    }

    /// Advances the clock if a step is due at `offset`; returns whether it was.
    ///
    /// The clock is the lower median of the clocks of the processes that appended recently, so that one
    /// process with a fast clock cannot make entries expire too early.
    pub fn advance_clock(&mut self, offset: LogOffset) -> bool {
        if offset < self.clock_offset + CLOCK_STEP_GROUPS {
            return false;
        }
        self.clock_offset = offset;
        let recent = |watermark: &&ProcessWatermark| {
            watermark.at_ms > 0 && watermark.offset + CLOCK_WINDOW_GROUPS > offset
        };
        let mut times: Vec<u64> =
            self.watermarks.values().filter(recent).map(|watermark| watermark.at_ms).collect();
        times.sort_unstable();
        if let Some(median) = times.get(times.len().saturating_sub(1) / 2) {
            self.now_ms = self.now_ms.max(*median);
        }
        self.evict_oldest();
        true
    }

    /// Returns the sequence number of the last applied group of a process, 0 if the process is not known.
    #[must_use]
    pub fn sequence(&self, process: &str) -> GroupSequence {
        self.watermarks.get(process).map_or(0, |watermark| watermark.sequence)
    }

    /// Returns the watermarks of all processes, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&ProcessId, &ProcessWatermark)> {
        self.watermarks.iter()
    }

    /// Restores a watermark from a snapshot.
    pub fn restore(&mut self, process: ProcessId, watermark: ProcessWatermark) {
        self.watermarks.insert(process, watermark);
    }

    fn evict_oldest(&mut self) {
        if self.watermarks.len() <= MAX_PROCESSES {
            return;
        }
        let mut offsets: Vec<LogOffset> =
            self.watermarks.values().map(|watermark| watermark.offset).collect();
        offsets.sort_unstable();
        let cutoff = offsets[offsets.len() - MAX_PROCESSES];
        self.watermarks.retain(|_, watermark| watermark.offset >= cutoff);
    }
}
