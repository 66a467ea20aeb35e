use serde::{Deserialize, Serialize};

/// Whether work was executed, as told to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionStatus {
    /// No part of the work has run or will run.
    #[display("not_run")]
    NotRun,
    /// Unknown: the work may or may not have run.
    #[display("may_have_run")]
    MayHaveRun,
    /// The work has run.
    #[display("ran")]
    Ran,
}
