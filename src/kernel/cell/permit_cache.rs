use crate::prelude::*;

/// A permit this close to its end is not used, as the start needs time to reach its worker.
const MARGIN: Duration = Duration::from_millis(150);
/// Wait after a question that was not answered.
const RETRY: Duration = Duration::from_millis(300);

/// Which workers may run a step, as far as the advisor was asked.
#[derive(Clone, Debug, Default)]
pub struct PermitCache {
    verdicts: FastMap<u32, PermitVerdict>,
    asking: bool,
    retry_at: Option<Instant>,
}

/// What the advisor said of one worker.
#[derive(Clone, Debug)]
enum PermitVerdict {
    /// It may not run the step; that does not change.
    Denied,
    /// It may, with the ticket until the time.
    Granted(PermitTicket, Instant),
    /// It may, but the ticket is no longer valid.
    Expired,
}

impl PermitCache {
    /// Whether nothing was asked yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.verdicts.is_empty()
    }

    /// Notes that a question was asked.
    pub const fn ask(&mut self) {
        self.asking = true;
    }

    /// Returns the number of workers that the advisor was asked about.
    #[must_use]
    pub fn verdict_count(&self) -> usize {
        self.verdicts.len()
    }

    /// Whether a question is open.
    #[must_use]
    pub const fn is_asking(&self) -> bool {
        self.asking
    }

    /// Whether a question may be asked now.
    #[must_use]
    pub fn may_ask(&self, now: Instant) -> bool {
        !self.asking && self.retry_at.is_none_or(|at| now >= at)
    }

    /// Notes the answer to a question about workers; tickets hold for `valid` from `now` on.
    pub fn answer(
        &mut self,
        asked: &[u32],
        granted: Vec<(u32, PermitTicket)>,
        valid: Duration,
        now: Instant,
    ) {
        self.asking = false;
        self.retry_at = None;
        for slot in asked {
            self.verdicts.insert(*slot, PermitVerdict::Denied);
        }
        for (slot, ticket) in granted {
            self.verdicts.insert(slot, PermitVerdict::Granted(ticket, now + valid));
        }
    }

    /// Notes that a question was not answered.
    pub fn fail(&mut self, now: Instant) {
        self.asking = false;
        self.retry_at = Some(now + RETRY);
    }

    /// Forgets the ticket for a worker, which did not accept it or has started anew.
    pub fn revoke(&mut self, slot: u32) {
        if let Some(verdict) = self.verdicts.get_mut(&slot)
            && matches!(verdict, PermitVerdict::Granted(..))
        {
            *verdict = PermitVerdict::Expired;
        }
    }

    /// Returns a ticket that a worker accepts now.
    #[must_use]
    pub fn ticket(&self, slot: u32, now: Instant) -> Option<&PermitTicket> {
        match self.verdicts.get(&slot)? {
            PermitVerdict::Granted(ticket, until) if now + MARGIN < *until => Some(ticket),
            _ => None,
        }
    }

    /// Whether the advisor denied the worker.
    #[must_use]
    pub fn is_denied(&self, slot: u32) -> bool {
        matches!(self.verdicts.get(&slot), Some(PermitVerdict::Denied))
    }

    /// Whether the advisor has ever granted the worker.
    #[must_use]
    pub fn is_known_good(&self, slot: u32) -> bool {
        matches!(self.verdicts.get(&slot), Some(PermitVerdict::Granted(..) | PermitVerdict::Expired))
    }
}
