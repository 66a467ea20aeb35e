use crate::prelude::*;

/// Idle and wanted allotment of one team in one shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardNeed {
    /// The shard.
    pub shard: ShardId,
    /// The team.
    pub team: TeamId,
    /// Allotment that nothing uses and nothing waits for.
    pub idle: ResourceVector,
    /// Amount that waiting tasks need beyond the allotment.
    pub wanted: ResourceVector,
}
