//! A cluster scheduler for services, batch jobs and all-at-once jobs on one shared fleet.
//!
//! [`kernel`] makes the decisions, [`plugins`] holds the policies and adapters that register
//! themselves, and [`tasks`] holds the actix-rt tasks that own sockets and state.

/// Registers plug-ins; re-exported so that other crates register theirs with the same version.
pub use inventory;

pub mod clock;
pub mod kernel;
pub mod log_pipe;
pub mod log_timeline;
pub mod logging;
mod platform;
pub mod plugins;
pub mod prelude;
pub mod proto;
pub mod settings;
pub mod tasks;
