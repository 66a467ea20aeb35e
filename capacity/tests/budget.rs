//! Guards against a budget table that leaves out a line in its sum or ignores the design size.

use godwithaven_capacity::budget::{self, DesignSize};
use godwithaven_capacity::scenario::MeasuredPoint;
use googletest::prelude::*;

/// Returns two points on a line through the origin.
fn line(scenario: &'static str, metric: &'static str, slope: f64) -> [MeasuredPoint; 2] {
    [1.0, 2.0].map(|units| MeasuredPoint { scenario, units, metric, value: slope * units })
}

#[gtest]
fn the_budget_scales_with_the_design_size_and_sums_every_line() -> Result<()> {
    // Arrange
    let points = [
        line("workers", "worker_bytes_per_s", 350.0),
        line("workers", "syncs_per_s", 1.0),
        line("processes", "peer_bytes_per_s", 400.0),
        line("list_changes_per_s", "directory_bytes_per_s", 600.0),
        line("running_tasks", "worker_bytes_per_s", 3.0),
    ]
    .concat();
    let size = DesignSize {
        processes: 4.0,
        workers: 240.0,
        running_tasks: 400.0,
        list_changes_per_day: 86_400.0,
        jobs_per_day: 0.0,
        bundles_per_day: 0.0,
        ..DesignSize::default()
    };

    // Act
    let table = budget::table(&points, &size);
    let smaller = budget::table(&points, &DesignSize { workers: 120.0, ..size });

    // Assert: the bytes are 700 for syncs, 300 for running tasks, 600 for the list and 1,200 for heartbeats
    // to three peers in other regions.
    let sum = |bytes| format!("| sum |  | 0 | {bytes} | 1200 |");
    expect_that!(table, contains_substring("| 2.0 syncs/s of 350 bytes |"));
    expect_that!(table, contains_substring(sum(2_800)));
    verify_that!(smaller, contains_substring(sum(2_450)))
}
