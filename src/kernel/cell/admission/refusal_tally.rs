use crate::prelude::*;

/// Shortest time between two log lines about refusals of the same queue and team.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Bounds the log lines about refusals, which come most often when the processes are busiest.
#[derive(Clone, Debug, Default)]
pub struct RefusalTally {
    /// Time of the last line and refusals since, by queue and team.
    queues: FastMap<(QueueId, TeamId), (Instant, u64)>,
}

impl RefusalTally {
    /// Counts a refusal. Returns the refusals since the last line about the queue and team, this one included,
    /// if another line is due.
    pub fn count(&mut self, queue: &QueueId, team: &TeamId, now: Instant) -> Option<u64> {
        let key = (queue.clone(), team.clone());
        let Some((last, refusals)) = self.queues.get_mut(&key) else {
            self.queues.insert(key, (now, 0));
            return Some(1);
        };
        *refusals += 1;
        if now.saturating_duration_since(*last) < LINE_INTERVAL {
            return None;
        }
        *last = now;
        Some(std::mem::take(refusals))
    }
}
