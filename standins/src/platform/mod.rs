//! Stand-ins for the users' platform: its log store, its workers and its placement advisor.

mod advisor;
mod store;
mod worker;
mod worker_state;

pub use advisor::AdvisorStandin;
pub use store::StoreStandin;
pub use worker::PlatformWorker;
pub use worker_state::WorkerEvent;
