use crate::kernel::cell::permits::PermitRequestKind;
use crate::prelude::*;

/// Workers that count as named, half of them as granted, before any answer, so that a few answers do not
/// decide on the grant rate alone.
const PRIOR_WORKERS: u64 = 20;
/// Number of named workers at which both counts are halved, so that the rate follows the advisor.
const MAX_COUNTED_WORKERS: u64 = 4_000;
/// Lower bound on the grant rate, as a request for a queue of which nothing was granted still has to end.
const MIN_GRANT_RATE: f64 = 0.05;

/// Permit requests and answers of one queue in this term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueuePermitStats {
    /// First requests, which is the number of steps that asked.
    pub first: u64,
    /// Requests that renewed tickets.
    pub renewals: u64,
    /// Requests for further workers.
    pub more_workers: u64,
    /// Tickets in the answers.
    pub tickets: u64,
    /// Starts with a ticket.
    pub starts: u64,
    /// Workers without an earlier verdict in recent answers.
    judged_workers: u64,
    /// Those of them that were granted.
    granted_workers: u64,
}

impl QueuePermitStats {
    /// Returns the share of named workers that the advisor grants.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "the counts are small")]
    pub fn grant_rate(&self) -> f64 {
        let granted = (self.granted_workers + PRIOR_WORKERS / 2) as f64;
        (granted / (self.judged_workers + PRIOR_WORKERS) as f64).max(MIN_GRANT_RATE)
    }
}

/// Permit requests and answers by queue.
#[derive(Clone, Debug, Default)]
pub struct PermitStats {
    queues: FastMap<QueueId, QueuePermitStats>,
}

impl PermitStats {
    /// Returns the counts of a queue.
    #[must_use]
    pub fn of(&self, queue: &QueueId) -> QueuePermitStats {
        self.queues.get(queue).copied().unwrap_or_default()
    }

    /// Returns the counts of each queue, sorted by its name.
    #[must_use]
    pub fn sorted(&self) -> Vec<(QueueId, QueuePermitStats)> {
        let mut queues: Vec<_> = self.queues.iter().map(|(queue, stats)| (queue.clone(), *stats)).collect();
        queues.sort_by(|(left, _), (right, _)| left.cmp(right));
        queues
    }

    /// Counts a request.
    pub fn count_request(&mut self, queue: &QueueId, kind: PermitRequestKind) {
        let stats = self.queues.entry(queue.clone()).or_default();
        match kind {
            PermitRequestKind::First => stats.first += 1,
            PermitRequestKind::Renewal => stats.renewals += 1,
            PermitRequestKind::MoreWorkers => stats.more_workers += 1,
        }
    }

    /// Counts an answer with `tickets` tickets, and with verdicts on `judged` workers that had none, of which
    /// `granted` are granted.
    pub fn count_answer(&mut self, queue: &QueueId, tickets: u64, judged: u64, granted: u64) {
        let stats = self.queues.entry(queue.clone()).or_default();
        stats.tickets += tickets;
        stats.judged_workers += judged;
        stats.granted_workers += granted.min(judged);
        if stats.judged_workers > MAX_COUNTED_WORKERS {
            stats.judged_workers /= 2;
            stats.granted_workers /= 2;
        }
    }

    /// Counts starts with a ticket.
    pub fn count_starts(&mut self, queue: &QueueId, starts: u32) {
        self.queues.entry(queue.clone()).or_default().starts += u64::from(starts);
    }
}
