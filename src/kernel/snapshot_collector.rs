use crate::kernel::{RecordGroup, SnapshotItem, SnapshotPiece};
use crate::prelude::*;

/// Collects the pieces of ledger snapshots from the log, for a process that can no longer read older groups.
/// A snapshot with a missing piece is never returned.
#[derive(Debug, Default)]
pub struct SnapshotCollector {
    /// Offset of the next group to search.
    pub next: LogOffset,
    /// Pieces of incomplete snapshots by index; a snapshot is identified by its writer
    /// and the offset that it covers.
    incomplete: FastMap<(ProcessId, LogOffset), FastMap<u32, SnapshotPiece>>,
    newest: Option<(LogOffset, Vec<SnapshotItem>)>,
}

impl SnapshotCollector {
    /// Returns a collector that starts at `first`, the oldest offset that the log retains.
    #[must_use]
    pub fn new(first: LogOffset) -> Self {
        Self { next: first, ..Self::default() }
    }

    /// Adds the snapshot pieces of the group at `offset`; `group` is `None` if it cannot be decoded.
    pub fn add_group(&mut self, offset: LogOffset, group: Option<&RecordGroup>) {
        if offset < self.next {
            return;
        }
        self.next = offset + 1;
        let Some(group) = group else { return };
        for record in &group.records {
            if let LogRecord::Snapshot(piece) = record {
                self.add(&group.process, piece);
            }
        }
    }

    /// Returns the newest complete snapshot with the offset that it covers, if the log retains all later
    /// groups; `first` is the oldest retained offset.
    #[must_use]
    pub fn take(&mut self, first: LogOffset) -> Option<(LogOffset, Vec<SnapshotItem>)> {
        self.newest.take_if(|(covers, _)| *covers >= first)
    }

    fn add(&mut self, process: &ProcessId, piece: &SnapshotPiece) {
        let covers = piece.covers;
        if self.newest.as_ref().is_some_and(|(newest, _)| *newest >= covers) {
            return;
        }
        let key = (process.clone(), covers);
        let pieces = self.incomplete.entry(key.clone()).or_default();
        pieces.insert(piece.index, piece.clone());
        if (0..piece.count).any(|index| !pieces.contains_key(&index)) {
            return;
        }
        let Some(pieces) = self.incomplete.remove(&key) else { return };
        let mut pieces: Vec<SnapshotPiece> = pieces.into_values().collect();
        pieces.sort_unstable_by_key(|piece| piece.index);
        self.newest = Some((covers, pieces.into_iter().flat_map(|piece| piece.items).collect()));
        self.incomplete.retain(|(_, offset), _| *offset > covers);
    }
}
