//! A cell on a logical clock with a worker that restarts under its id, cuts, late calls and changes of the owner. The
//! decisions are those of the product; the workers are the model of the stand-ins.

mod cell_store;
mod cell_world;
mod life_case;
mod owner_term;
mod run_ledger;
mod worker_entry;

pub use cell_store::CellStore;
pub use cell_world::CellWorld;
pub use life_case::{LifeAction, LifeCase, OpenMoments, OwnerChange};
pub use owner_term::OwnerTerm;
pub use run_ledger::RunLedger;
pub use worker_entry::WorkerEntry;

/// Unix time at the start of each case, in milliseconds.
pub const START_UNIX_MS: u64 = 1_000_000_000;
