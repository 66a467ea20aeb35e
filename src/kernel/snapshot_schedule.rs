use crate::kernel::SnapshotPiece;
use crate::prelude::*;

/// Number of groups after which another snapshot is due; 200 s at 100 appends per second.
const SNAPSHOT_INTERVAL_GROUPS: LogOffset = 20_000;
/// Time after which another snapshot is due, because the log drops old records even while little is appended.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(600);
/// Time limit for a snapshot until all its pieces are applied; after it another one may be requested.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(60);

/// Decides when the owner of the first shard appends another ledger snapshot to the log.
#[derive(Debug, Default)]
pub struct SnapshotSchedule {
    /// Indices of the applied pieces of incomplete snapshots, by writer and covered offset.
    incomplete: FastMap<(ProcessId, LogOffset), FastSet<u32>>,
    /// Offset that the newest complete snapshot covers.
    newest_covers: LogOffset,
    completed_at: Option<Instant>,
    requested_at: Option<Instant>,
    oldest_retained: LogOffset,
}

impl SnapshotSchedule {
    /// Records an applied piece of a snapshot.
    pub fn note_piece(&mut self, process: &ProcessId, piece: &SnapshotPiece, now: Instant) {
        if piece.covers < self.newest_covers {
            return;
        }
        let indices = self.incomplete.entry((process.clone(), piece.covers)).or_default();
        indices.insert(piece.index);
        if (0..piece.count).all(|index| indices.contains(&index)) {
            self.newest_covers = piece.covers;
            self.completed_at = Some(now);
            self.incomplete.retain(|(_, covers), _| *covers > piece.covers);
        }
    }

    /// Sets the oldest offset that the log retains.
    pub const fn set_oldest_retained(&mut self, first: LogOffset) {
        self.oldest_retained = first;
    }

    /// Returns whether a snapshot that covers all groups below `next` is due, and if so
    /// records that it was requested.
    pub fn due(&mut self, next: LogOffset, now: Instant) -> bool {
        if self.requested_at.is_some_and(|at| now.saturating_duration_since(at) < SNAPSHOT_TIMEOUT) {
            return false;
        }
        let completed_at = *self.completed_at.get_or_insert(now);
        // The log no longer holds all groups that follow the newest snapshot.
        let useless = self.oldest_retained > self.newest_covers;
        let old = now.saturating_duration_since(completed_at) >= SNAPSHOT_INTERVAL;
        if next == 0 || !(useless || old || next >= self.newest_covers + SNAPSHOT_INTERVAL_GROUPS) {
            return false;
        }
        self.requested_at = Some(now);
        true
    }
}
