use super::StateBytes;
use crate::prelude::*;

/// How many bytes of further jobs of a team the owner of the cell can keep.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemoryRoom {
    /// The team; `None` stands for each team that is not named.
    pub team: Option<TeamId>,
    /// Bytes of the jobs that may still be accepted.
    pub bytes: StateBytes,
}
