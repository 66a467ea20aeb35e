use crate::kernel::SnapshotPiece;
use crate::prelude::*;

/// Groups after which another snapshot is due: 200 s at 100 appends a second.
const EVERY_GROUPS: LogOffset = 20_000;
/// Time after which another snapshot is due; a log that is quiet drops old records, too.
const EVERY: Duration = Duration::from_secs(600);
/// Time that a snapshot may take until all its pieces are folded.
const PENDING_FOR: Duration = Duration::from_secs(60);

/// Decides when the owner of the first shard writes a snapshot.
#[derive(Debug, Default)]
pub struct SnapshotSchedule {
    parts: FastMap<(ProcessId, LogOffset), FastSet<u32>>,
    covers: LogOffset,
    completed: Option<Instant>,
    asked: Option<Instant>,
    first: LogOffset,
}

impl SnapshotSchedule {
    /// Notes a folded piece.
    pub fn note_piece(&mut self, process: &ProcessId, piece: &SnapshotPiece, now: Instant) {
        if piece.covers < self.covers {
            return;
        }
        let parts = self.parts.entry((process.clone(), piece.covers)).or_default();
        parts.insert(piece.index);
        if (0..piece.count).all(|index| parts.contains(&index)) {
            self.covers = piece.covers;
            self.completed = Some(now);
            self.parts.retain(|(_, covers), _| *covers > piece.covers);
        }
    }

    /// Notes the oldest retained offset.
    pub const fn note_first(&mut self, first: LogOffset) {
        self.first = first;
    }

    /// Whether a snapshot that covers all groups below `next` is due; it counts as asked for then.
    pub fn due(&mut self, next: LogOffset, now: Instant) -> bool {
        if self.asked.is_some_and(|asked| now.saturating_duration_since(asked) < PENDING_FOR) {
            return false;
        }
        let completed = *self.completed.get_or_insert(now);
        let useless = self.first > self.covers;
        let old = now.saturating_duration_since(completed) >= EVERY;
        if next == 0 || !(useless || old || next >= self.covers + EVERY_GROUPS) {
            return false;
        }
        self.asked = Some(now);
        true
    }
}
