use crate::kernel::RecordGroup;
use crate::prelude::*;

/// Gathers records into groups: one append in flight, the next group fills meanwhile.
#[derive(Debug)]
pub struct GroupCommit {
    process: ProcessId,
    sequence: GroupSequence,
    waiting: Vec<LogRecord>,
    in_flight: Option<RecordGroup>,
    opened: Option<Instant>,
    /// Shortest time between the first record of a group and its append.
    pub window: Duration,
}

impl GroupCommit {
    /// Most records in one group; keeps an append well below 512 KB.
    pub const MAX_RECORDS: usize = 1_000;

    /// Returns an empty committer.
    #[must_use]
    pub const fn new(process: ProcessId, window: Duration) -> Self {
        Self { process, sequence: 0, waiting: Vec::new(), in_flight: None, opened: None, window }
    }

    /// Adds a record and returns the sequence of the group that will carry it.
    pub fn push(&mut self, record: LogRecord, now: Instant) -> GroupSequence {
        self.waiting.push(record);
        self.opened.get_or_insert(now);
        let ahead = (self.waiting.len() - 1) / Self::MAX_RECORDS;
        self.sequence + 1 + ahead as GroupSequence
    }

    /// Returns the number of records that were not appended yet.
    #[must_use]
    pub fn backlog(&self) -> usize {
        self.waiting.len() + self.in_flight.as_ref().map_or(0, |group| group.records.len())
    }

    /// Returns when the next group is due, unless an append is in flight.
    #[must_use]
    pub fn due(&self) -> Option<Instant> {
        if self.in_flight.is_some() {
            return None;
        }
        self.opened.map(|opened| opened + self.window)
    }

    /// Closes the open group if it is due and returns it for the append.
    pub fn take(&mut self, now: Instant) -> Option<RecordGroup> {
        if self.due().is_none_or(|due| due > now) {
            return None;
        }
        let count = self.waiting.len().min(Self::MAX_RECORDS);
        let records: Vec<LogRecord> = self.waiting.drain(..count).collect();
        self.opened = (!self.waiting.is_empty()).then_some(now);
        self.sequence += 1;
        let group = RecordGroup { process: self.process.clone(), sequence: self.sequence, records };
        self.in_flight = Some(group.clone());
        Some(group)
    }

    /// Returns the group to append again after an append with unknown result.
    #[must_use]
    pub const fn retry(&self) -> Option<&RecordGroup> {
        self.in_flight.as_ref()
    }

    /// Ends the append in flight once its group was folded.
    pub fn folded(&mut self, sequence: GroupSequence) {
        if self.in_flight.as_ref().is_some_and(|group| group.sequence <= sequence) {
            self.in_flight = None;
        }
    }
}
