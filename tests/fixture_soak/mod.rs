//! Entry processes and faults of a soak run.

mod partitions;
mod restarts;
mod seeded_random;
mod soak_process;

pub use partitions::{Partitions, owner_of};
pub use restarts::{RestartStep, WorkerRestarts, cut_on_takeover, restart_worker};
pub use seeded_random::SeededRandom;
pub use soak_process::SoakProcess;
