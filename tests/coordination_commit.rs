//! Guards against more appends per second than the log allows, groups above its record limit, and commits
//! that are reported as `not_run` although they were appended.

use std::time::{Duration, Instant};

use godwithaven::kernel::{GroupCommit, LogRecord};
use googletest::prelude::*;

const PROCESSES: u64 = 9;
/// Length of the simulated run in seconds.
const SECONDS: u64 = 60;
/// Time from the start of an append until its group is applied, in milliseconds.
const APPEND_MS: u64 = 20;

/// Returns when a group is due for an append, from when it was opened and the last append started, both in
/// milliseconds, and the rate of records per second. The result is in milliseconds.
type DueRule = fn(opened: u64, last: u64, rate: f64) -> u64;

/// Load on the log, and latency of the records.
#[derive(Debug)]
struct CommitCost {
    /// Appends per second of all processes together.
    appends: u64,
    /// Mean time from the arrival of a record to the start of its append, in milliseconds.
    mean_ms: u64,
    /// Longest such time, in milliseconds.
    longest_ms: u64,
}

/// Returns the arrival times of the records of one process in milliseconds, with exponentially distributed
/// gaps. The process is the seed; `rate` is the records per second of all processes together.
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "small"
)]
fn arrivals(process: u64, rate: u64) -> Vec<u64> {
    let mut state = process.wrapping_mul(0x9e37_79b9_7f4a_7c15) + 1;
    let (mut at, mut times) = (0.0, Vec::new());
    loop {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let uniform = ((state >> 11) as f64 + 1.0) / (1_u64 << 53) as f64;
        at += -uniform.ln() * 1_000.0 * PROCESSES as f64 / rate as f64;
        if at >= SECONDS as f64 * 1_000.0 {
            return times;
        }
        times.push(at as u64);
    }
}

fn summarise(appends: u64, waits: &[u64]) -> CommitCost {
    CommitCost {
        appends: appends / SECONDS,
        mean_ms: waits.iter().sum::<u64>() / waits.len() as u64,
        longest_ms: waits.iter().copied().max().unwrap_or_default(),
    }
}

/// Simulates a due rule with at most one append in flight per process.
#[expect(clippy::cast_precision_loss, reason = "small")]
fn run_rule(rate: u64, due: DueRule) -> CommitCost {
    let (mut appends, mut waits) = (0, Vec::new());
    for process in 0..PROCESSES {
        let mut times = arrivals(process, rate).into_iter().peekable();
        let (mut group, mut last, mut free) = (Vec::new(), 0, 0);
        for now in 0..SECONDS * 1_000 + 1_000 {
            while let Some(at) = times.next_if(|at| *at <= now) {
                group.push(at);
            }
            let Some(opened) = group.first() else { continue };
            if now >= free && now >= due(*opened, last, rate as f64 / PROCESSES as f64) {
                appends += 1;
                (last, free) = (now, now + APPEND_MS);
                waits.extend(group.drain(..).map(|at| now - at));
            }
        }
    }
    summarise(appends, &waits)
}

/// Simulates [`GroupCommit`], which the journal uses.
fn run_group_commit(rate: u64) -> CommitCost {
    let start = Instant::now();
    let (mut appends, mut waits) = (0, Vec::new());
    for process in 0..PROCESSES {
        let mut times = arrivals(process, rate).into_iter().peekable();
        let mut commit = GroupCommit::new("a".into(), Duration::from_millis(11 * PROCESSES));
        let (mut waiting, mut in_flight) = (std::collections::VecDeque::new(), None);
        for now in 0..SECONDS * 1_000 + 1_000 {
            let at = start + Duration::from_millis(now);
            if let Some((sequence, _)) = in_flight.take_if(|(_, until)| now >= *until) {
                commit.complete(sequence);
            }
            while let Some(arrival) = times.next_if(|arrival| *arrival <= now) {
                commit.push(LogRecord::Alive, None, at);
                waiting.push_back(arrival);
            }
            if let Some(group) = commit.take(at, 0) {
                appends += 1;
                in_flight = Some((group.sequence, now + APPEND_MS));
                waits.extend(waiting.drain(..group.records.len()).map(|arrival| now - arrival));
            }
        }
    }
    summarise(appends, &waits)
}

/// Due rule with a window in which records of 400 bytes fill a group of 16 KB at the rate, but at least 10
/// and at most 100 ms.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "small")]
fn window_by_rate(opened: u64, _last: u64, rate: f64) -> u64 {
    opened + (16_384.0 / 400.0 / rate * 1_000.0).clamp(10.0, 100.0) as u64
}

#[gtest]
fn nine_processes_stay_within_the_append_budget() {
    for rate in [5, 500, 2_000] {
        // Act
        let single = arrivals(0, rate).len() as u64 * PROCESSES / SECONDS;
        let short = run_rule(rate, |opened, _, _| opened + 50);
        let long = run_rule(rate, |opened, _, _| opened + 100);
        let by_rate = run_rule(rate, window_by_rate);
        let group_commit = run_group_commit(rate);
        println!("{rate}/s: single {single} appends, 50 ms {short:?}, 100 ms {long:?}, computed {by_rate:?}");
        println!("{rate}/s: group commit {group_commit:?}");

        // Assert
        expect_that!(group_commit.appends, lt(100), "at {rate} records a second");
        expect_that!(group_commit.longest_ms, le(120), "at {rate} records a second");
        expect_that!(group_commit.mean_ms, le(long.mean_ms), "at {rate} records a second");
    }
}

#[gtest]
fn only_commits_that_were_never_appended_are_withdrawn() {
    // Arrange
    let now = Instant::now();
    let mut commit = GroupCommit::new("a".into(), Duration::from_millis(100));
    commit.push(LogRecord::Alive, Some(1), now);
    let group = commit.take(now, 0);
    commit.push(LogRecord::Alive, Some(2), now);
    commit.push(LogRecord::Cancel { job: "blue/kept".into() }, None, now);
    commit.push(LogRecord::Alive, Some(3), now + Duration::from_secs(4));

    // Act
    let old = commit.withdraw(now + Duration::from_secs(1));
    let retried = commit.in_flight().cloned();
    let done = commit.complete(1);
    let rest = commit.withdraw(now + Duration::from_secs(9));
    let last = commit.take(now + Duration::from_secs(9), 0);

    // Assert: the first record is in flight, and the record without a ticket stays in the open group.
    expect_that!(old, eq(&vec![2]));
    expect_that!(retried, eq(&group));
    expect_that!(done, eq(&vec![1]));
    expect_that!(rest, eq(&vec![3]));
    expect_that!(last.map(|group| group.records.len()), some(eq(1)));
}

#[gtest]
fn a_group_stays_below_the_record_limit() {
    // Arrange
    let now = Instant::now();
    let mut commit = GroupCommit::new("a".into(), Duration::ZERO);
    let result = "quoted \" result".repeat(20);
    for index in 0..1_500 {
        let outcome = godwithaven::kernel::JobOutcome::Finished(vec![result.clone()]);
        commit.push(LogRecord::Outcome { job: format!("blue/{index}").into(), token: 1, outcome }, None, now);
    }

    // Act
    let mut sizes = Vec::new();
    let mut records = 0;
    while let Some(group) = commit.take(now, 0) {
        records += group.records.len();
        let body = serde_json::to_string(&group).unwrap();
        sizes.push(serde_json::json!({ "body": body }).to_string().len());
        commit.complete(group.sequence);
    }

    // Assert
    expect_that!(records, eq(1_500));
    expect_that!(sizes, each(lt(&512_000)));
}
