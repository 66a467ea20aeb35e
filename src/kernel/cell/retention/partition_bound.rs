use crate::kernel::cell::LogPosition;

/// Part of the partition that may hold what a new owner needs, in percent. The rest is a reserve for records that
/// are not stored yet and for the estimate of the snapshots.
const USABLE_PERCENT: u64 = 75;
/// Rate at which snapshots are written at most, as a multiple of the rate at which they fall due.
const RATE_FACTOR: u64 = 2;
/// Parts of the partition of which at least one is written between two snapshots of a job. If the snapshots of all
/// jobs do not fit, more frequent ones would only displace each other.
const MAX_SNAPSHOTS_PER_PARTITION: u64 = 8;

/// Decides by the bytes in the log of a cell which records are written again before the store drops them.
///
/// Positions do not count snapshots: they do not let further ones fall due, so snapshots cannot cause snapshots.
/// Submissions lie in partitions of their own, which are bounded in the same way. All of them count, so a job is
/// recorded before its submission is dropped, wherever the others lie.
#[derive(Clone, Debug, Default)]
pub struct PartitionBound {
    /// Bytes that the store keeps; `None` if it does not drop records by size.
    partition_bytes: Option<u64>,
    position: LogPosition,
    /// Bytes and number of the snapshots so far, for the mean size.
    snapshot_bytes: u64,
    snapshots: u64,
    /// Position at the last call of [`Self::take_budget`].
    last_budget: Option<LogPosition>,
}

impl PartitionBound {
    /// Returns the bound of a store that keeps this many bytes of a partition.
    #[must_use]
    pub fn new(partition_bytes: u64) -> Self {
        Self { partition_bytes: Some(partition_bytes), ..Self::default() }
    }

    /// Returns the present end of the log.
    #[must_use]
    pub const fn position(&self) -> LogPosition {
        self.position
    }

    /// Counts a record or a submission of this size.
    pub const fn count_record(&mut self, bytes: u64) {
        self.position += bytes;
    }

    /// Counts the snapshot of a job of this size.
    pub const fn count_snapshot(&mut self, bytes: u64) {
        self.snapshot_bytes += bytes;
        self.snapshots += 1;
    }

    /// Returns whether what was recorded at this position is to be recorded again; `jobs` is the number of jobs
    /// whose snapshots the log holds.
    #[must_use]
    pub fn is_due(&self, recorded: LogPosition, jobs: usize) -> bool {
        self.interval(jobs).is_some_and(|interval| self.position.saturating_sub(recorded) >= interval)
    }

    /// Returns how many snapshots the bytes since the last call allow, so that a new owner, for which those of
    /// all jobs may be due at once, spreads them.
    pub fn take_budget(&mut self, jobs: usize) -> usize {
        let last = self.last_budget.replace(self.position).unwrap_or(self.position);
        let Some(interval) = self.interval(jobs) else { return 0 };
        let written = u128::from(self.position - last) * u128::from(RATE_FACTOR);
        let budget = jobs as u128 * written / u128::from(interval.max(1));
        usize::try_from(budget).unwrap_or(usize::MAX / 2)
    }

    /// Returns the bytes of other records between two snapshots of a job. At [`RATE_FACTOR`], a snapshot comes up
    /// to half of that late; meanwhile each other job is recorded twice at most.
    fn interval(&self, jobs: usize) -> Option<u64> {
        let partition = self.partition_bytes?;
        let mean = self.snapshot_bytes.checked_div(self.snapshots).unwrap_or(0);
        let all_snapshots = mean.saturating_mul(jobs as u64);
        let usable = partition / 100 * USABLE_PERCENT;
        let others = usable.saturating_sub(all_snapshots.saturating_mul(2));
        Some((others / 3 * 2).max(partition / MAX_SNAPSHOTS_PER_PARTITION))
    }
}
