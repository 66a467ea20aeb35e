use crate::kernel::cell::{ClaimKind, ClaimRecord};
use crate::prelude::*;

/// The owner of the cell as the log of claims shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellOwner {
    /// The process.
    pub process: ProcessId,
    /// Where other processes reach it.
    pub address: Arc<str>,
    /// Token of its claim.
    pub token: FencingToken,
}

/// Silence in the log after which an owner is replaced that cannot be reached either; more than the time between
/// two signs of life, so that a process that is cut off from a live owner does not replace it.
const SUSPECTED_SILENCE: Duration = Duration::from_millis(850);

/// Follows the log of claims and says when to claim the cell.
#[derive(Clone, Debug)]
pub struct ClaimWatch {
    silence: Duration,
    claim_delay: Duration,
    owner: Option<CellOwner>,
    /// Since when this process knows that the owner is gone.
    released: Option<Instant>,
    /// Whether this process cannot reach the owner.
    suspected: bool,
    end: LogOffset,
    /// Since when nothing was heard of the owner, while the log could be read.
    quiet_since: Option<Instant>,
    last_read: Option<Instant>,
}

impl ClaimWatch {
    /// Returns a watch that claims after an owner was silent for `silence`; `claim_delay` is added for processes
    /// that should claim only if no other does.
    #[must_use]
    pub const fn new(silence: Duration, claim_delay: Duration) -> Self {
        Self {
            silence,
            claim_delay,
            owner: None,
            released: None,
            suspected: false,
            end: 0,
            quiet_since: None,
            last_read: None,
        }
    }

    /// Returns the present owner.
    #[must_use]
    pub const fn owner(&self) -> Option<&CellOwner> {
        self.owner.as_ref()
    }

    /// Returns the offset from which the log is read on, which is also where a claim is valid.
    #[must_use]
    pub const fn end(&self) -> LogOffset {
        self.end
    }

    /// Returns when the log was last read.
    #[must_use]
    pub const fn last_read(&self) -> Option<Instant> {
        self.last_read
    }

    /// Goes on at a later offset, as the records before it are no longer kept.
    pub fn skip_to(&mut self, first: LogOffset) {
        self.end = self.end.max(first);
    }

    /// Notes a record; returns whether the owner changed.
    pub fn note(&mut self, offset: LogOffset, record: Option<ClaimRecord>, now: Instant) -> bool {
        self.end = self.end.max(offset + 1);
        let Some(record) = record else { return false };
        match record.kind {
            ClaimKind::Claim => {
                // Another process may have told of it before.
                if self.owner.as_ref().is_some_and(|owner| owner.token > offset) {
                    return false;
                }
                let (process, address) = (record.process, record.address);
                self.owner = Some(CellOwner { process, address, token: offset + 1 });
                self.released = None;
                self.suspected = false;
                self.quiet_since = Some(now);
                true
            }
            ClaimKind::Renew if self.is_owner(&record.process) => {
                self.quiet_since = Some(now);
                false
            }
            ClaimKind::Release if self.is_owner(&record.process) => {
                self.released.get_or_insert(now);
                false
            }
            ClaimKind::Renew | ClaimKind::Release => false,
        }
    }

    /// Notes an owner that another process knows; returns whether it is newer than the known one.
    pub fn note_told(&mut self, owner: CellOwner) -> bool {
        let newer = self.owner.as_ref().is_none_or(|known| known.token < owner.token);
        if newer {
            self.owner = Some(owner);
            (self.released, self.suspected) = (None, false);
        }
        newer
    }

    /// Notes whether this process can reach the owner of a token.
    pub fn note_reach(&mut self, token: FencingToken, reached: bool) {
        if self.owner.as_ref().is_some_and(|owner| owner.token == token) {
            self.suspected = !reached;
        }
    }

    /// Notes that another life of the owner's process answers, so that the owner of the token is gone.
    pub fn note_gone(&mut self, token: FencingToken, now: Instant) {
        if self.owner.as_ref().is_some_and(|owner| owner.token == token) {
            self.released.get_or_insert(now);
        }
    }

    /// Notes that the log was read up to its end, whether or not there were records.
    pub fn note_read(&mut self, now: Instant) {
        // A time in which the log could not be read says nothing about the owner.
        let gap = self.last_read.is_none_or(|last| now.saturating_duration_since(last) > self.silence);
        if gap || self.quiet_since.is_none() {
            self.quiet_since = Some(now);
        }
        self.last_read = Some(now);
    }

    /// Whether to claim the cell at [`Self::end`] now.
    #[must_use]
    pub fn should_claim(&self, now: Instant) -> bool {
        let Some(read) = self.last_read else { return false };
        if now.saturating_duration_since(read) > self.silence {
            return false;
        }
        let quiet = self.quiet_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        // The owner may have been silent for long before its end is known, so the silence says nothing here.
        if let Some(released) = self.released {
            return now.saturating_duration_since(released) >= self.claim_delay;
        }
        match self.owner {
            None => quiet >= self.claim_delay,
            Some(_) if self.suspected => quiet >= SUSPECTED_SILENCE.min(self.silence) + self.claim_delay,
            Some(_) => quiet >= self.silence + self.claim_delay,
        }
    }

    /// Notes that a claim was refused because another record came first.
    pub fn note_lost_race(&mut self, now: Instant) {
        self.quiet_since = Some(now);
        self.released = self.released.map(|_| now);
    }

    fn is_owner(&self, process: &ProcessId) -> bool {
        self.owner.as_ref().is_some_and(|owner| owner.process == *process)
    }
}
