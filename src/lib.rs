//! A cluster scheduler for services, batch jobs and gang jobs on one shared fleet; the tasks of a gang job
//! start all at once.
//!
//! An entry process runs on each entry VM and takes requests of callers. It can instead serve a cell: the
//! work that one owner process schedules on the users' platform. [`kernel`] makes the decisions, [`plugins`]
//! holds the policies and adapters that register themselves, and [`tasks`] holds the actix-rt tasks that own
//! sockets and state and exchange messages.

/// The crate that registers plug-ins, re-exported so that other crates register theirs with the same version.
pub use inventory;

pub mod clock;
pub mod group_writer;
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
pub mod write_fault;
