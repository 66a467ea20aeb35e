//! Refusal of jobs that cannot be of use to their callers any more.
//!
//! It answers a flood of submissions: more work is accepted than the workers, the placement advisor or the limit
//! of a team let through in the time for which callers can use the results. The owner of the cell estimates how
//! long a new job would wait, and each process refuses the jobs for which that is too long.

mod admission_estimate;
mod admission_gate;
mod admission_notice;
mod admission_watch;
mod cell_backlog;
mod expected_wait;
mod load_refusal;
mod memory_budget;
mod memory_gate;
mod memory_room;
mod queue_estimate;
mod queue_wait;
mod refusal_tally;
mod start_rates;
mod state_bytes;
mod waiting_work;

pub use admission_estimate::AdmissionEstimate;
pub use admission_gate::AdmissionGate;
pub use admission_notice::AdmissionNotice;
pub use admission_watch::AdmissionWatch;
pub use expected_wait::{ExpectedWait, WaitCause};
pub use load_refusal::LoadRefusal;
pub use memory_budget::MemoryBudget;
pub use memory_gate::MemoryGate;
pub use memory_room::MemoryRoom;
pub use queue_estimate::QueueEstimate;
pub use queue_wait::QueueWait;
pub use refusal_tally::RefusalTally;
pub use start_rates::{ObservedWait, StartRates};
pub use state_bytes::{StateBytes, waiting_bytes};
pub use waiting_work::WaitingWork;
