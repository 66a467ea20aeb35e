use crate::kernel::cell::UsageRecord;
use crate::prelude::*;

/// Shortest time between two records.
const RECORD_INTERVAL: Duration = Duration::from_secs(10);
/// Records that are written within the retention time of the store, so that the store always keeps one of them.
const RECORDS_PER_RETENTION: u32 = 3;

/// Decides when the past use is recorded: on a change after `RECORD_INTERVAL`, and in any case before the last
/// record expires.
#[derive(Clone, Debug, Default)]
pub struct UsageSchedule {
    last: Option<(Instant, UsageRecord)>,
}

impl UsageSchedule {
    /// Whether the account is looked at for a record at `now`; `retention` is how long the store keeps records.
    #[must_use]
    pub fn is_due(&self, retention: Duration, now: Instant) -> bool {
        let interval = RECORD_INTERVAL.min(retention / RECORDS_PER_RETENTION);
        self.elapsed(now).is_none_or(|elapsed| elapsed >= interval)
    }

    /// Returns the record if it has to be written: it differs from the last one, or that one expires soon.
    /// An account without any use is written only if there is a record to replace.
    pub fn record(&mut self, record: UsageRecord, retention: Duration, now: Instant) -> Option<UsageRecord> {
        let expires = self.elapsed(now).is_none_or(|elapsed| elapsed >= retention / RECORDS_PER_RETENTION);
        let unchanged = match &self.last {
            Some((_, last)) => last.teams == record.teams,
            None => record.teams.is_empty(),
        };
        if unchanged && (record.teams.is_empty() || !expires) {
            return None;
        }
        self.last = Some((now, record.clone()));
        Some(record)
    }

    /// Lets the account be recorded at the next look, as the store is about to drop the last record.
    pub fn expire(&mut self) {
        self.last = None;
    }

    fn elapsed(&self, now: Instant) -> Option<Duration> {
        self.last.as_ref().map(|(at, _)| now.saturating_duration_since(*at))
    }
}
