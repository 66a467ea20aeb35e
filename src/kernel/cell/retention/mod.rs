//! How long the store keeps the records of a cell when it drops them by size.

mod partition_bound;

pub use partition_bound::PartitionBound;

/// Position in the log of a cell: bytes of all records and submissions before it, without the snapshots of jobs.
pub type LogPosition = u64;
