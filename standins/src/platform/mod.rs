//! Fakes of the users' platform: its store, its workers and its placement advisor.

mod advisor;
mod store;
mod worker;

pub use advisor::AdvisorStandin;
pub use store::StoreStandin;
pub use worker::{PlatformWorker, WorkerEvent};
