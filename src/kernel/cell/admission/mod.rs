//! Refusal of jobs that cannot be of use to their callers any more.
//!
//! It answers a flood of submissions: more work is accepted than the workers, the placement advisor or the limit
//! of a team let through in the time for which callers can use the results. The owner of the cell estimates how
//! long a new job would wait, and each process refuses the jobs for which that is too long.

mod admission_estimate;
mod admission_gate;
mod admission_notice;
mod admission_watch;
mod expected_wait;
mod load_refusal;
mod refusal_tally;
mod start_rates;
mod waiting_work;

pub use admission_estimate::{AdmissionEstimate, QueueEstimate};
pub use admission_gate::AdmissionGate;
pub use admission_notice::{AdmissionNotice, QueueWait};
pub use admission_watch::AdmissionWatch;
pub use expected_wait::{ExpectedWait, WaitCause};
pub use load_refusal::LoadRefusal;
pub use refusal_tally::RefusalTally;
pub use start_rates::{ObservedWait, StartRates};
pub use waiting_work::WaitingWork;
