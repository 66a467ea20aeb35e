//! Leases under which workers run tasks: what an owner grants, and when every lease that a worker may hold has
//! certainly expired.

mod call_fence;
mod former_lease;
mod inherited_leases;
mod lease_basis;
mod lease_watch;
mod restart_rule;
mod worker_fence;
mod worker_lease;

pub use call_fence::CallFence;
pub use former_lease::FormerLease;
pub use inherited_leases::{CLOCK_READING_ERROR, InheritedLeases};
pub use lease_basis::LeaseBasis;
pub use lease_watch::LeaseWatch;
pub use restart_rule::{FORMER_CALL_TIME, LATE_CALL_WINDOW, RestartRule};
pub use worker_fence::WorkerFence;
pub use worker_lease::{WorkerLease, longest_real_time};
