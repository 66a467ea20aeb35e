use std::collections::VecDeque;

use crate::kernel::RecordGroup;
use crate::prelude::*;

/// Gathers records into groups: one append in flight, the next group fills meanwhile.
#[derive(Debug)]
pub struct GroupCommit {
    process: ProcessId,
    sequence: GroupSequence,
    waiting: VecDeque<WaitingRecord>,
    in_flight: Option<(RecordGroup, Vec<CommitTicket>)>,
    opened: Option<Instant>,
    taken: Option<Instant>,
    /// Shortest time between two appends.
    pub min_append_interval: Duration,
}

#[derive(Debug)]
struct WaitingRecord {
    record: LogRecord,
    ticket: Option<CommitTicket>,
    pushed: Instant,
}

impl GroupCommit {
    /// Most records in one group.
    pub const MAX_RECORDS: usize = 1_000;
    /// Bound of the estimated size of a group; the encoding stays below 512 KB with quotes escaped.
    pub const MAX_BYTES: usize = 224 << 10;

    /// Returns an empty committer.
    #[must_use]
    pub const fn new(process: ProcessId, min_append_interval: Duration) -> Self {
        Self {
            process,
            sequence: 0,
            waiting: VecDeque::new(),
            in_flight: None,
            opened: None,
            taken: None,
            min_append_interval,
        }
    }

    /// Adds a record; one with a ticket can be withdrawn until its append starts.
    pub fn push(&mut self, record: LogRecord, ticket: Option<CommitTicket>, now: Instant) {
        self.waiting.push_back(WaitingRecord { record, ticket, pushed: now });
        self.opened.get_or_insert(now);
    }

    /// Returns the number of records that were not appended yet.
    #[must_use]
    pub fn backlog(&self) -> usize {
        self.waiting.len() + self.in_flight.as_ref().map_or(0, |(group, _)| group.records.len())
    }

    /// Returns when the next group is due, unless an append is in flight.
    ///
    /// A record that arrives after a quiet time is appended at once; under load appends keep their spacing.
    #[must_use]
    pub fn due(&self) -> Option<Instant> {
        if self.in_flight.is_some() {
            return None;
        }
        let opened = self.opened?;
        Some(self.taken.map_or(opened, |taken| opened.max(taken + self.min_append_interval)))
    }

    /// Closes the open group if it is due and returns it for the append; `at_ms` is the Unix time.
    pub fn take(&mut self, now: Instant, at_ms: u64) -> Option<RecordGroup> {
        if self.due().is_none_or(|due| due > now) {
            return None;
        }
        let (mut records, mut tickets, mut bytes) = (Vec::new(), Vec::new(), 0);
        while let Some(next) = self.waiting.front() {
            bytes += next.record.estimated_bytes();
            let full = records.len() == Self::MAX_RECORDS || bytes > Self::MAX_BYTES;
            if full && !records.is_empty() {
                break;
            }
            let Some(next) = self.waiting.pop_front() else { break };
            tickets.extend(next.ticket);
            records.push(next.record);
        }
        self.opened = (!self.waiting.is_empty()).then_some(now);
        self.taken = Some(now);
        self.sequence += 1;
        let group = RecordGroup { process: self.process.clone(), sequence: self.sequence, at_ms, records };
        self.in_flight = Some((group.clone(), tickets));
        Some(group)
    }

    /// Removes all records with a ticket that came up to `before` and whose append never started.
    ///
    /// Returns their tickets; these records will never be appended.
    pub fn withdraw(&mut self, before: Instant) -> Vec<CommitTicket> {
        let mut withdrawn = Vec::new();
        self.waiting.retain(|waiting| {
            let ticket = waiting.ticket.filter(|_| waiting.pushed <= before);
            withdrawn.extend(ticket);
            ticket.is_none()
        });
        if self.waiting.is_empty() {
            self.opened = None;
        }
        withdrawn
    }

    /// Returns the group to append again after an append with unknown result.
    #[must_use]
    pub fn in_flight(&self) -> Option<&RecordGroup> {
        self.in_flight.as_ref().map(|(group, _)| group)
    }

    /// Ends the append in flight once its group was folded and returns its tickets.
    pub fn complete(&mut self, sequence: GroupSequence) -> Vec<CommitTicket> {
        self.in_flight
            .take_if(|(group, _)| group.sequence <= sequence)
            .map_or_else(Vec::new, |(_, done)| done)
    }
}
