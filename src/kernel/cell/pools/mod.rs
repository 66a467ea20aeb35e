//! Listed workers by what a step may ask for.

mod worker_pools;

pub use worker_pools::WorkerPools;
