use crate::kernel::cell::{ClaimKind, ClaimRecord, FormerRelease};
use crate::prelude::*;

/// The owner of the cell, as known from the claim log or from another process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellOwner {
    /// Process that owns the cell.
    pub process: ProcessId,
    /// Address at which other processes reach the owner, `ip:port`.
    pub address: Arc<str>,
    /// Fencing token of the claim: one more than the offset of its record in the claim log.
    pub token: FencingToken,
}

/// Time without a heartbeat in the claim log after which an owner that this process cannot reach is
/// replaced. It is longer than the heartbeat interval, so that a process that is cut off from a live owner
/// does not replace it.
const UNREACHABLE_OWNER_TIMEOUT: Duration = Duration::from_millis(850);

/// Follows the claim log and decides when this process claims the cell.
#[derive(Clone, Debug)]
pub struct ClaimWatch {
    owner_timeout: Duration,
    claim_delay: Duration,
    owner: Option<CellOwner>,
    /// When this process learned that the owner has released the cell or that its process was restarted.
    owner_gone_at: Option<Instant>,
    /// The release of the owner, if it has released the cell after it had fenced earlier owners.
    release: Option<FormerRelease>,
    /// The same of the owner before the present one.
    former_release: Option<FormerRelease>,
    /// Whether this process fails to reach the owner.
    unreachable: bool,
    next_offset: LogOffset,
    /// Start of the present time without a heartbeat: when the last claim or heartbeat was read, when reads
    /// resumed after an interruption, or when a claim of this process was refused.
    silent_since: Option<Instant>,
    last_read: Option<Instant>,
}

impl ClaimWatch {
    /// Returns a watch that claims the cell after `owner_timeout` without a heartbeat of the owner.
    /// `claim_delay` is added for processes that should claim only if no other does.
    #[must_use]
    pub const fn new(owner_timeout: Duration, claim_delay: Duration) -> Self {
        Self {
            owner_timeout,
            claim_delay,
            owner: None,
            owner_gone_at: None,
            release: None,
            former_release: None,
            unreachable: false,
            next_offset: 0,
            silent_since: None,
            last_read: None,
        }
    }

    /// Returns the newest known owner; `None` until a claim is read or reported.
    #[must_use]
    pub const fn owner(&self) -> Option<&CellOwner> {
        self.owner.as_ref()
    }

    /// Returns the release of the owner before the present one; `None` if it did not release the cell, or is not
    /// known to have fenced earlier owners.
    #[must_use]
    pub const fn former_release(&self) -> Option<FormerRelease> {
        self.former_release
    }

    /// Returns the offset of the next read of the log. A claim is valid only if it is appended at this
    /// offset.
    #[must_use]
    pub const fn next_offset(&self) -> LogOffset {
        self.next_offset
    }

    /// Returns when the log was last read up to its end; `None` before the first time.
    #[must_use]
    pub const fn last_read(&self) -> Option<Instant> {
        self.last_read
    }

    /// Continues at a later offset, as the store has dropped the records before it.
    pub fn skip_to(&mut self, first: LogOffset) {
        self.next_offset = self.next_offset.max(first);
    }

    /// Applies the record at an offset, `None` if it cannot be decoded; returns whether the owner changed.
    pub fn note(&mut self, offset: LogOffset, record: Option<ClaimRecord>, now: Instant) -> bool {
        self.next_offset = self.next_offset.max(offset + 1);
        let Some(record) = record else { return false };
        match record.kind {
            ClaimKind::Claim => {
                // Another process may have reported a newer owner before this claim was read.
                if self.owner.as_ref().is_some_and(|owner| owner.token > offset) {
                    return false;
                }
                let (process, address) = (record.process, record.address);
                self.owner = Some(CellOwner { process, address, token: offset + 1 });
                self.former_release = self.release.take();
                self.owner_gone_at = None;
                self.unreachable = false;
                self.silent_since = Some(now);
                true
            }
            ClaimKind::Renew if self.is_owner(&record.process) => {
                self.silent_since = Some(now);
                false
            }
            ClaimKind::Release if self.is_owner(&record.process) => {
                // A release that the store receives late may be that of an earlier term of the owner's process.
                if record.release.is_none_or(|release| self.owner_token() == Some(release.token)) {
                    self.owner_gone_at.get_or_insert(now);
                    let fenced_for = record.release.and_then(|release| release.fenced_for);
                    self.release = fenced_for.map(|fenced_for| FormerRelease { read_at: now, fenced_for });
                }
                false
            }
            ClaimKind::Renew | ClaimKind::Release => false,
        }
    }

    /// Applies an owner that another process reported; returns whether it is newer than the known one.
    pub fn note_reported_owner(&mut self, owner: CellOwner) -> bool {
        let newer = self.owner.as_ref().is_none_or(|known| known.token < owner.token);
        if newer {
            self.owner = Some(owner);
            (self.owner_gone_at, self.unreachable) = (None, false);
            (self.release, self.former_release) = (None, None);
        }
        newer
    }

    /// Records whether this process reaches the owner with this token.
    pub fn note_reachability(&mut self, token: FencingToken, reached: bool) {
        if self.owner.as_ref().is_some_and(|owner| owner.token == token) {
            self.unreachable = !reached;
        }
    }

    /// Records that another incarnation of the owner's process answers, so that the owner with this token is
    /// gone.
    pub fn note_owner_replaced(&mut self, token: FencingToken, now: Instant) {
        if self.owner.as_ref().is_some_and(|owner| owner.token == token) {
            self.owner_gone_at.get_or_insert(now);
        }
    }

    /// Records that the log was read up to its end, whether or not there were new records.
    pub fn note_read(&mut self, now: Instant) {
        // Without reads there are no heartbeats to see, so the time without one starts again.
        let reads_interrupted =
            self.last_read.is_none_or(|last| now.saturating_duration_since(last) > self.owner_timeout);
        if reads_interrupted || self.silent_since.is_none() {
            self.silent_since = Some(now);
        }
        self.last_read = Some(now);
    }

    /// Whether this process should append a claim at [`Self::next_offset`] now.
    #[must_use]
    pub fn should_claim(&self, now: Instant) -> bool {
        let Some(read) = self.last_read else { return false };
        if now.saturating_duration_since(read) > self.owner_timeout {
            return false;
        }
        let silent_for =
            self.silent_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        // The owner may have been silent for long before this process learned that it is gone, so only the
        // time since then counts here.
        if let Some(owner_gone_at) = self.owner_gone_at {
            return now.saturating_duration_since(owner_gone_at) >= self.claim_delay;
        }
        match self.owner {
            None => silent_for >= self.claim_delay,
            Some(_) if self.unreachable => {
                silent_for >= UNREACHABLE_OWNER_TIMEOUT.min(self.owner_timeout) + self.claim_delay
            }
            Some(_) => silent_for >= self.owner_timeout + self.claim_delay,
        }
    }

    /// Records that a claim was refused because another record was appended first.
    pub fn note_rejected_claim(&mut self, now: Instant) {
        self.silent_since = Some(now);
        self.owner_gone_at = self.owner_gone_at.map(|_| now);
    }

    fn owner_token(&self) -> Option<FencingToken> {
        self.owner.as_ref().map(|owner| owner.token)
    }

    fn is_owner(&self, process: &ProcessId) -> bool {
        self.owner.as_ref().is_some_and(|owner| owner.process == *process)
    }
}
