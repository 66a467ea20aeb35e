use crate::kernel::{RecordGroup, SnapshotItem, SnapshotPiece};
use crate::prelude::*;

/// Gathers the pieces of snapshots; a snapshot with a missing piece is never given out.
#[derive(Debug, Default)]
pub struct SnapshotCollector {
    /// Offset after the last searched group.
    pub next: LogOffset,
    parts: FastMap<(ProcessId, LogOffset), FastMap<u32, SnapshotPiece>>,
    newest: Option<(LogOffset, Vec<SnapshotItem>)>,
}

impl SnapshotCollector {
    /// Returns a collector that starts at the oldest retained offset.
    #[must_use]
    pub fn new(first: LogOffset) -> Self {
        Self { next: first, ..Self::default() }
    }

    /// Takes the pieces out of a group; a record that cannot be decoded has no group.
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

    /// Returns the newest complete snapshot whose later groups are all retained.
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
        let parts = self.parts.entry(key.clone()).or_default();
        parts.insert(piece.index, piece.clone());
        if (0..piece.count).any(|index| !parts.contains_key(&index)) {
            return;
        }
        let Some(parts) = self.parts.remove(&key) else { return };
        let mut parts: Vec<SnapshotPiece> = parts.into_values().collect();
        parts.sort_unstable_by_key(|part| part.index);
        self.newest = Some((covers, parts.into_iter().flat_map(|part| part.items).collect()));
        self.parts.retain(|(_, other), _| *other > covers);
    }
}
