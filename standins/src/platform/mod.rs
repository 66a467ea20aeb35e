//! Stand-ins for the users' platform: its log store, its workers and its placement advisor.

mod advisor;
mod store;
mod worker;

pub use advisor::AdvisorStandin;
pub use store::StoreStandin;
pub use worker::{PlatformWorker, WorkerEvent};
