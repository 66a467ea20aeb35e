//! Guards against an invariant check that misses a violation, which would let the fault tests of the other
//! packages pass for a faulty scheduler, and against one that reports a violation for valid events.

use std::time::{Duration, Instant};

use godwithaven_standins::invariant::{InvariantViolations, TaskEvent, TaskRecord, WorldFacts, check};
use googletest::prelude::*;

fn facts() -> WorldFacts {
    WorldFacts {
        capacity: [("vm-1".to_owned(), [4, 4, 0]), ("vm-2".to_owned(), [4, 4, 0])].into_iter().collect(),
        zones: [("vm-1".to_owned(), "a".to_owned())].into_iter().collect(),
        limits: [("blue".to_owned(), [6, 6, 0])].into_iter().collect(),
        closed: Vec::new(),
    }
}

fn start(vm: &str, task: &str, cores: u64) -> TaskRecord {
    TaskRecord::new(vm, task, TaskEvent::Started { team: "blue".into(), need: [cores, 1, 0] })
}

fn end(vm: &str, task: &str) -> TaskRecord {
    TaskRecord::new(vm, task, TaskEvent::Ended("finished".into()))
}

#[gtest]
fn events_within_all_limits_violate_no_invariant() -> Result<()> {
    // Arrange
    let records = [start("vm-1", "j#0@0", 4), end("vm-1", "j#0@0"), start("vm-2", "j#0@1", 4)];

    // Act
    let violations = check(&records, &facts());

    // Assert
    verify_that!(violations, eq(InvariantViolations::default()))
}

#[gtest]
fn each_kind_of_violation_is_counted() -> Result<()> {
    // Arrange
    let doubled = [start("vm-1", "j#0@0", 1), start("vm-2", "j#0@1", 1)];
    let over_capacity = [start("vm-1", "j#0@0", 5)];
    let over_limit = [start("vm-1", "j#0@0", 4), start("vm-2", "j#1@0", 3)];
    let before = Instant::now();
    let closed = [start("vm-1", "j#0@0", 1)];
    let mut closed_facts = facts();
    closed_facts.closed.push(("a".into(), before, before + Duration::from_secs(60)));

    // Act and assert
    expect_that!(check(&doubled, &facts()).doubled, eq(1));
    expect_that!(check(&over_capacity, &facts()).over_capacity, eq(1));
    expect_that!(check(&over_limit, &facts()).over_limit, eq(1));
    verify_that!(check(&closed, &closed_facts).started_in_closed_zone, eq(1))
}
