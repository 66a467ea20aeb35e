use std::collections::VecDeque;

use crate::kernel::RecordGroup;
use crate::prelude::*;

/// Batches log records into groups. At most one append is in flight; records that arrive meanwhile go into
/// the next group.
#[derive(Debug)]
pub struct GroupCommit {
    process: ProcessId,
    sequence: GroupSequence,
    waiting: VecDeque<WaitingRecord>,
    in_flight: Option<(RecordGroup, Vec<CommitTicket>)>,
    /// When the oldest record of the open group arrived, or when the last group was
    /// closed if records were left over.
    open_since: Option<Instant>,
    last_taken: Option<Instant>,
    /// Minimum time between the starts of two appends.
    pub min_append_interval: Duration,
}

#[derive(Debug)]
struct WaitingRecord {
    record: LogRecord,
    ticket: Option<CommitTicket>,
    added_at: Instant,
}

impl GroupCommit {
    /// Bound on the records of a group.
    pub const MAX_RECORDS: usize = 1_000;
    /// Bound on the estimated size of a group in bytes, unless it consists of one record. The estimate
    /// leaves out the escaping of strings; tests check that such a group stays below 512,000 bytes when it is
    /// encoded as a JSON string with escaped quotes.
    pub const MAX_BYTES: usize = 224 << 10;

    /// Returns a committer without records, for the groups of `process`.
    #[must_use]
    pub const fn new(process: ProcessId, min_append_interval: Duration) -> Self {
        Self {
            process,
            sequence: 0,
            waiting: VecDeque::new(),
            in_flight: None,
            open_since: None,
            last_taken: None,
            min_append_interval,
        }
    }

    /// Adds a record to the open group. A record with a ticket can be withdrawn until its append starts.
    pub fn push(&mut self, record: LogRecord, ticket: Option<CommitTicket>, now: Instant) {
        self.waiting.push_back(WaitingRecord { record, ticket, added_at: now });
        self.open_since.get_or_insert(now);
    }

    /// Returns the number of records that wait or are in flight.
    #[must_use]
    pub fn backlog(&self) -> usize {
        self.waiting.len() + self.in_flight.as_ref().map_or(0, |(group, _)| group.records.len())
    }

    /// Returns when the next group is due; `None` without records or while an append is in flight.
    ///
    /// A record that arrives after an idle time is appended at once; under load,
    /// appends keep their minimum interval.
    #[must_use]
    pub fn due(&self) -> Option<Instant> {
        if self.in_flight.is_some() {
            return None;
        }
        let open_since = self.open_since?;
        Some(self.last_taken.map_or(open_since, |taken| open_since.max(taken + self.min_append_interval)))
    }

    /// Closes the open group if it is due and returns it for the append; `at_ms` is the current Unix time.
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
        self.open_since = (!self.waiting.is_empty()).then_some(now);
        self.last_taken = Some(now);
        self.sequence += 1;
        let group = RecordGroup { process: self.process.clone(), sequence: self.sequence, at_ms, records };
        self.in_flight = Some((group.clone(), tickets));
        Some(group)
    }

    /// Removes all records with a ticket that were added up to `before` and whose append has not started.
    ///
    /// Returns their tickets. These records will never be appended.
    pub fn withdraw(&mut self, before: Instant) -> Vec<CommitTicket> {
        let mut withdrawn = Vec::new();
        self.waiting.retain(|waiting| {
            let ticket = waiting.ticket.filter(|_| waiting.added_at <= before);
            withdrawn.extend(ticket);
            ticket.is_none()
        });
        if self.waiting.is_empty() {
            self.open_since = None;
        }
        withdrawn
    }

    /// Returns the group whose append is in flight, to append it again if the result of
    /// the append is unknown.
    #[must_use]
    pub fn in_flight(&self) -> Option<&RecordGroup> {
        self.in_flight.as_ref().map(|(group, _)| group)
    }

    /// Completes the append in flight once its group was applied, and returns the tickets of its records.
    pub fn complete(&mut self, sequence: GroupSequence) -> Vec<CommitTicket> {
        self.in_flight
            .take_if(|(group, _)| group.sequence <= sequence)
            .map_or_else(Vec::new, |(_, done)| done)
    }
}
