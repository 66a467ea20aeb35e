//! What a process knows about the ownership of shards.

mod ownership_evidence;

pub use ownership_evidence::OwnershipEvidence;
