//! Measures the CPU time, memory and traffic of one entry process at several loads, and fits straight lines
//! to the measured points.

pub mod budget;
pub mod child;
pub mod platform;
pub mod report;
pub mod scenario;
pub mod slope;
