use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Processes whose last sequence is remembered. A repeated append can come late, so the oldest go first.
const MAX_PROCESSES: usize = 4_096;
/// Groups between two steps of the ledger clock.
const CLOCK_STEP: LogOffset = 16;
/// A process takes part in the ledger clock if it appended within this many groups.
const CLOCK_SPAN: LogOffset = 1_000;

/// What the ledger remembers of an appending process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessWatermark {
    /// Last folded sequence.
    pub sequence: GroupSequence,
    /// Unix time in milliseconds that the process gave last.
    pub at_ms: u64,
    /// Offset of its last folded group.
    pub offset: LogOffset,
}

/// Appending processes and the clock that all processes derive from their groups.
#[derive(Debug, Default)]
pub struct ProcessTable {
    watermarks: FastMap<ProcessId, ProcessWatermark>,
    /// Ledger time in milliseconds of Unix time; never goes back.
    pub now_ms: u64,
    /// Offset of the last step of the clock.
    pub clock_offset: LogOffset,
}

impl ProcessTable {
    /// Notes a group; returns whether its sequence is new.
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
            // What is folded before the first step would count as very old after it.
            self.now_ms = at_ms;
        }
        true
    }

    /// Moves the clock on if it is time; returns whether it did.
    ///
    /// The clock is the lower median of the clocks of the processes that appended lately, so one process with
    /// a clock that runs ahead cannot make the ledger forget too early.
    pub fn advance_clock(&mut self, offset: LogOffset) -> bool {
        if offset < self.clock_offset + CLOCK_STEP {
            return false;
        }
        self.clock_offset = offset;
        let recent =
            |watermark: &&ProcessWatermark| watermark.at_ms > 0 && watermark.offset + CLOCK_SPAN > offset;
        let mut times: Vec<u64> =
            self.watermarks.values().filter(recent).map(|watermark| watermark.at_ms).collect();
        times.sort_unstable();
        if let Some(median) = times.get(times.len().saturating_sub(1) / 2) {
            self.now_ms = self.now_ms.max(*median);
        }
        self.forget_oldest();
        true
    }

    /// Returns the last folded sequence of a process, 0 if it is not known.
    #[must_use]
    pub fn sequence(&self, process: &str) -> GroupSequence {
        self.watermarks.get(process).map_or(0, |watermark| watermark.sequence)
    }

    /// Returns all marks, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (&ProcessId, &ProcessWatermark)> {
        self.watermarks.iter()
    }

    /// Takes a mark over from a snapshot.
    pub fn restore(&mut self, process: ProcessId, watermark: ProcessWatermark) {
        self.watermarks.insert(process, watermark);
    }

    fn forget_oldest(&mut self) {
        if self.watermarks.len() <= MAX_PROCESSES {
            return;
        }
        let mut offsets: Vec<LogOffset> =
            self.watermarks.values().map(|watermark| watermark.offset).collect();
        offsets.sort_unstable();
        let oldest = offsets[offsets.len() - MAX_PROCESSES];
        self.watermarks.retain(|_, watermark| watermark.offset >= oldest);
    }
}
