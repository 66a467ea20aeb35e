use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// A shard as its owner sees it, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardSummary {
    /// The shard.
    pub shard: ShardId,
    /// Workers on the VM list.
    pub workers: u32,
    /// Workers that accepted this owner.
    pub workers_heard: u32,
    /// What the workers hold.
    pub capacity: ResourceVector,
    /// What is taken.
    pub used: ResourceVector,
    /// Tasks that wait.
    pub waiting: u32,
    /// What is taken by each team.
    pub used_by_team: Vec<(TeamId, ResourceVector)>,
    /// Allotment of each team.
    pub allotments: Vec<(TeamId, ResourceVector)>,
}
