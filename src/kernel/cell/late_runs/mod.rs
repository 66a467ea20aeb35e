//! Runs that may be at work although their task waits to be placed again. docs/design/restarted-workers.md tells how
//! they come about.

mod late_run;
mod run_watch;

pub use late_run::{LateEvidence, LateRun};
pub use run_watch::RunWatch;
