//! Tests of the tally by which the soak test judges the runs of tasks.

mod fixture_platform;

use fixture_platform::RunTally;
use godwithaven_standins::platform::WorkerEvent;
use googletest::prelude::*;
use tokio::sync::mpsc;

fn started(worker: &str, run: u64) -> WorkerEvent {
    WorkerEvent::Started(worker.to_owned(), "task".to_owned(), run)
}

fn ended(worker: &str, run: u64, done: bool) -> WorkerEvent {
    WorkerEvent::Ended(worker.to_owned(), "task".to_owned(), run, done)
}

fn acknowledged(worker: &str, run: u64) -> WorkerEvent {
    WorkerEvent::Acknowledged(worker.to_owned(), "task".to_owned(), run)
}

fn lapsed(worker: &str) -> WorkerEvent {
    WorkerEvent::Lapsed(worker.to_owned())
}

/// Returns the number of duplicated starts among these events.
fn duplicate_count(events: &[WorkerEvent]) -> usize {
    let (sender, mut receiver) = mpsc::unbounded_channel();
    for event in events {
        sender.send(event.clone()).expect("the receiver exists");
    }
    RunTally::of(&mut receiver).duplicated.len()
}

/// Guards against a tally that misses two runs at once, or counts a run whose lease has expired as running.
#[gtest]
fn only_runs_that_go_on_overlap() -> Result<()> {
    let overlapping = [started("w0", 1), started("w1", 2), lapsed("w0")];
    let after_a_lapse = [started("w0", 1), ended("w0", 1, false), lapsed("w0"), started("w1", 2)];

    verify_that!(duplicate_count(&overlapping), eq(1))?;
    verify_that!(duplicate_count(&after_a_lapse), eq(0))
}

/// Guards against a tally that misses a start after an end as done, whenever that end is acknowledged.
#[gtest]
fn a_start_after_an_end_as_done_is_a_duplicate() -> Result<()> {
    let end = [started("w0", 1), ended("w0", 1, true)];
    let unacknowledged = [&end[..], &[started("w1", 2), lapsed("w1")]].concat();
    let acknowledged_later = [&end[..], &[started("w1", 2), acknowledged("w0", 1), lapsed("w0")]].concat();
    let acknowledged_before = [&end[..], &[acknowledged("w0", 1), lapsed("w0"), started("w1", 2)]].concat();

    verify_that!(duplicate_count(&unacknowledged), eq(1))?;
    verify_that!(duplicate_count(&acknowledged_later), eq(1))?;
    verify_that!(duplicate_count(&acknowledged_before), eq(1))
}

/// Guards against a false report: an end is void if the lease expired before its acknowledgement.
#[gtest]
fn a_start_after_a_void_end_is_allowed() -> Result<()> {
    let end = [started("w0", 1), ended("w0", 1, true)];
    let lapsed_before = [&end[..], &[lapsed("w0"), started("w1", 2), acknowledged("w0", 1)]].concat();
    let lapsed_later = [&end[..], &[started("w1", 2), lapsed("w0"), acknowledged("w0", 1)]].concat();

    verify_that!(duplicate_count(&lapsed_before), eq(0))?;
    verify_that!(duplicate_count(&lapsed_later), eq(0))
}
