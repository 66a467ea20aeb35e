//! Entry processes and faults of a soak run.

mod partitions;
mod seeded_random;
mod soak_process;

pub use partitions::Partitions;
pub use seeded_random::SeededRandom;
pub use soak_process::SoakProcess;
