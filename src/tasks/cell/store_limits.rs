//! Sizes that the platform's store accepts.

use bytes::Bytes;

/// Bytes of the length that precedes each record of an append.
const LENGTH_PREFIX_BYTES: usize = 4;
/// Smallest limit on records that can be used; most records take some hundred bytes, and the payload of a job
/// up to 4,000.
const MIN_RECORD_BYTES: usize = 8 << 10;
/// Largest group of records in one append; a larger one takes so long that calls behind it time out.
const MAX_GROUP_BYTES: usize = 512 << 10;

/// Largest records and appends that the store accepts, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display("records of {record_bytes} bytes in appends of {append_bytes}, partitions of {partition_bytes}")]
pub struct StoreLimits {
    /// Largest record.
    pub record_bytes: usize,
    /// Largest append, with the length of each of its records.
    pub append_bytes: usize,
    /// Bytes of a partition beyond which the store drops the oldest records.
    pub partition_bytes: u64,
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self { record_bytes: 256 << 10, append_bytes: 2 << 20, partition_bytes: 200_000_000 }
    }
}

impl StoreLimits {
    /// Returns whether the usual records fit, and each of them into a partition.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        self.largest_record() >= MIN_RECORD_BYTES && self.partition_bytes >= self.largest_record() as u64
    }

    /// Returns how many bytes of a partition a stored record takes.
    #[must_use]
    pub fn stored_bytes(record: &Bytes) -> u64 {
        (record.len() + LENGTH_PREFIX_BYTES) as u64
    }

    /// Returns the size of the largest record that can be stored, in bytes.
    #[must_use]
    pub fn largest_record(&self) -> usize {
        self.record_bytes.min(self.append_bytes.saturating_sub(LENGTH_PREFIX_BYTES))
    }

    /// Returns how many of the records, in their order, form the next append: at least one, even if it alone
    /// exceeds the limits.
    pub fn group_len<'a>(&self, records: impl IntoIterator<Item = &'a Bytes>) -> usize {
        let max_bytes = self.append_bytes.min(MAX_GROUP_BYTES);
        let mut bytes = 0;
        let fits = records.into_iter().take_while(|record| {
            bytes += record.len() + LENGTH_PREFIX_BYTES;
            bytes <= max_bytes
        });
        fits.count().max(1)
    }
}
