use crate::kernel::cell::PermitRequestKind;
use crate::prelude::*;

/// Remaining validity below which a ticket is not used, as the start needs time to reach its worker.
const EXPIRY_MARGIN: Duration = Duration::from_millis(150);
/// Delay after a failed permit request before the next one.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Verdicts of the advisor on whether workers may run a step, with the tickets of the granted ones.
#[derive(Clone, Debug, Default)]
pub struct PermitCache {
    verdicts: FastMap<u32, PermitVerdict>,
    request_open: bool,
    retry_at: Option<Instant>,
    /// When the last request was sent.
    last_request: Option<Instant>,
    /// Whether the open request only renews tickets.
    renewing: bool,
    /// Number of renewals since a task of the step last started.
    unused_renewals: u32,
}

/// Verdict of the advisor on one worker.
#[derive(Clone, Debug)]
enum PermitVerdict {
    /// The worker may not run the step; this verdict never changes.
    Denied,
    /// The worker may run the step with the ticket, which is valid until the given time.
    Granted(PermitTicket, Instant),
    /// The worker may run the step, but its ticket was refused, so a new one is needed.
    Revoked,
}

impl PermitCache {
    /// Whether there is no verdict yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.verdicts.is_empty()
    }

    /// Whether the advisor gave a verdict on the worker.
    #[must_use]
    pub fn has_verdict(&self, slot: u32) -> bool {
        self.verdicts.contains_key(&slot)
    }

    /// Records that a permit request is sent.
    pub const fn begin_request(&mut self, kind: PermitRequestKind, now: Instant) {
        self.request_open = true;
        self.last_request = Some(now);
        self.renewing = matches!(kind, PermitRequestKind::Renewal);
    }

    /// Whether the last request was sent at least `age` ago.
    #[must_use]
    pub fn last_request_is_older(&self, age: Duration, now: Instant) -> bool {
        self.last_request.is_some_and(|sent| now.saturating_duration_since(sent) >= age)
    }

    /// Records that a task of the step has started.
    pub const fn note_start(&mut self) {
        self.unused_renewals = 0;
    }

    /// Returns the number of renewals since a task of the step last started.
    #[must_use]
    pub const fn unused_renewals(&self) -> u32 {
        self.unused_renewals
    }

    /// Returns the number of workers that the advisor gave a verdict on.
    #[must_use]
    pub fn verdict_count(&self) -> usize {
        self.verdicts.len()
    }

    /// Whether a permit request is open.
    #[must_use]
    pub const fn has_open_request(&self) -> bool {
        self.request_open
    }

    /// Whether a permit request may be sent now.
    #[must_use]
    pub fn may_request(&self, now: Instant) -> bool {
        !self.request_open && self.retry_at.is_none_or(|at| now >= at)
    }

    /// Applies the answer to a permit request for the workers in `requested_slots`. Those that are not in
    /// `granted` are denied. The tickets are valid for `validity` from `now` on.
    pub fn apply_answer(
        &mut self,
        requested_slots: &[u32],
        granted: Vec<(u32, PermitTicket)>,
        validity: Duration,
        now: Instant,
    ) {
        self.request_open = false;
        self.retry_at = None;
        self.unused_renewals += u32::from(std::mem::take(&mut self.renewing));
        for slot in requested_slots {
            self.verdicts.insert(*slot, PermitVerdict::Denied);
        }
        for (slot, ticket) in granted {
            self.verdicts.insert(slot, PermitVerdict::Granted(ticket, now + validity));
        }
    }

    /// Records that the permit request failed.
    pub fn fail_request(&mut self, now: Instant) {
        (self.request_open, self.renewing) = (false, false);
        self.retry_at = Some(now + RETRY_DELAY);
    }

    /// Drops the ticket for a worker after the worker refused it.
    pub fn revoke(&mut self, slot: u32) {
        if let Some(verdict) = self.verdicts.get_mut(&slot)
            && matches!(verdict, PermitVerdict::Granted(..))
        {
            *verdict = PermitVerdict::Revoked;
        }
    }

    /// Returns a ticket that the worker would accept now, if there is one.
    #[must_use]
    pub fn ticket(&self, slot: u32, now: Instant) -> Option<&PermitTicket> {
        match self.verdicts.get(&slot)? {
            PermitVerdict::Granted(ticket, until) if now + EXPIRY_MARGIN < *until => Some(ticket),
            _ => None,
        }
    }

    /// Whether the advisor denied the worker.
    #[must_use]
    pub fn is_denied(&self, slot: u32) -> bool {
        matches!(self.verdicts.get(&slot), Some(PermitVerdict::Denied))
    }

    /// Whether the advisor has granted the worker, even if the ticket is no longer valid.
    #[must_use]
    pub fn was_granted(&self, slot: u32) -> bool {
        matches!(self.verdicts.get(&slot), Some(PermitVerdict::Granted(..) | PermitVerdict::Revoked))
    }
}
