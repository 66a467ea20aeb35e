use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Why the tasks of a job are where they are, as the owner of its shard sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobExplanation {
    /// Running tasks with their workers.
    pub running: Vec<(TaskId, VmId)>,
    /// Tasks that wait.
    pub waiting: u32,
    /// Present reasons of waiting, with the number of workers or tasks that each applies to.
    pub reasons: Vec<(String, u32)>,
}
