//! Guards against a budget that leaves out a line or does not follow the size that it is worked out for.

use godwithaven_capacity::budget::{self, DesignSize};
use godwithaven_capacity::scenario::MeasuredPoint;
use googletest::prelude::*;

/// Returns two points of a line through zero.
fn line(scenario: &'static str, metric: &'static str, slope: f64) -> [MeasuredPoint; 2] {
    [1.0, 2.0].map(|units| MeasuredPoint { scenario, units, metric, value: slope * units })
}

#[gtest]
fn the_table_follows_the_size_and_its_sum_holds_every_line() -> Result<()> {
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
        running: 400.0,
        list_changes: 86_400.0,
        jobs: 0.0,
        configurations: 0.0,
        ..DesignSize::default()
    };

    // Act
    let table = budget::table(&points, &size);
    let smaller = budget::table(&points, &DesignSize { workers: 120.0, ..size });

    // Assert: 700 of syncs, 300 of running tasks, 600 of the list, 1,200 of heartbeats to 3 remote peers.
    let sum = |bytes| format!("| sum |  | 0 | {bytes} | 1200 |");
    expect_that!(table, contains_substring("| 2.0 syncs/s of 350 bytes |"));
    expect_that!(table, contains_substring(sum(2_800)));
    verify_that!(smaller, contains_substring(sum(2_450)))
}
