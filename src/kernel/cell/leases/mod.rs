//! Leases under which workers run tasks: what an owner grants, and when every lease that a worker may hold has
//! certainly expired.

mod lease_basis;
mod lease_watch;
mod worker_lease;

pub use lease_basis::LeaseBasis;
pub use lease_watch::LeaseWatch;
pub use worker_lease::{WorkerLease, longest_real_time};
