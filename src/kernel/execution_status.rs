use serde::{Deserialize, Serialize};

/// Whether work was run, as told to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionStatus {
    /// No part of the work has run or will run.
    #[display("not_run")]
    NotRun,
    /// The work may have run; it is not known.
    #[display("may_have_run")]
    MayHaveRun,
    /// The work has run.
    #[display("ran")]
    Ran,
}
