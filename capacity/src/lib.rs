//! Measures what one entry process spends, and fits slopes to the points.

pub mod budget;
pub mod child;
pub mod platform;
pub mod report;
pub mod scenario;
pub mod slope;
