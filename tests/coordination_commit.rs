//! Guards against more appends than the log takes, and against false `not_run` answers.

use std::time::{Duration, Instant};

use godwithaven::kernel::{GroupCommit, LogRecord};
use googletest::prelude::*;

const PROCESSES: u64 = 9;
const SECONDS: u64 = 60;
/// Time from the start of an append until its group is folded.
const APPEND_MS: u64 = 20;

/// When a group that was opened, after the last append, at a rate of records a second, is due; in milliseconds.
type DueRule = fn(opened: u64, last: u64, rate: f64) -> u64;

/// Appends a second of all processes, and mean and longest wait for an append in milliseconds.
#[derive(Debug)]
struct CommitCost {
    appends: u64,
    mean_ms: u64,
    longest_ms: u64,
}

/// Returns the arrival times of one process in milliseconds: exponential gaps from a fixed seed.
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

/// Runs a rule for groups with one append in flight for each process.
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

/// Runs the committer of the journal.
fn run_committer(rate: u64) -> CommitCost {
    let start = Instant::now();
    let (mut appends, mut waits) = (0, Vec::new());
    for process in 0..PROCESSES {
        let mut times = arrivals(process, rate).into_iter().peekable();
        let mut commit = GroupCommit::new("a".into(), Duration::from_millis(11 * PROCESSES));
        let (mut open, mut busy) = (std::collections::VecDeque::new(), None);
        for now in 0..SECONDS * 1_000 + 1_000 {
            let at = start + Duration::from_millis(now);
            if let Some((sequence, _)) = busy.take_if(|(_, until)| now >= *until) {
                commit.complete(sequence);
            }
            while let Some(arrival) = times.next_if(|arrival| *arrival <= now) {
                commit.push(LogRecord::Alive, None, at);
                open.push_back(arrival);
            }
            if let Some(group) = commit.take(at, 0) {
                appends += 1;
                busy = Some((group.sequence, now + APPEND_MS));
                waits.extend(open.drain(..group.records.len()).map(|arrival| now - arrival));
            }
        }
    }
    summarise(appends, &waits)
}

/// Window that fills a group of 16 KB with records of 400 bytes, but waits 10 to 100 ms.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "small")]
fn computed(opened: u64, _last: u64, rate: f64) -> u64 {
    opened + (16_384.0 / 400.0 / rate * 1_000.0).clamp(10.0, 100.0) as u64
}

#[gtest]
fn nine_processes_stay_within_the_append_budget() {
    for rate in [5, 500, 2_000] {
        // Act
        let single = arrivals(0, rate).len() as u64 * PROCESSES / SECONDS;
        let short = run_rule(rate, |opened, _, _| opened + 50);
        let long = run_rule(rate, |opened, _, _| opened + 100);
        let by_rate = run_rule(rate, computed);
        let kept = run_committer(rate);
        println!("{rate}/s: single {single} appends, 50 ms {short:?}, 100 ms {long:?}, computed {by_rate:?}");
        println!("{rate}/s: spacing {kept:?}");

        // Assert
        expect_that!(kept.appends, lt(100), "at {rate} records a second");
        expect_that!(kept.longest_ms, le(120), "at {rate} records a second");
        expect_that!(kept.mean_ms, le(long.mean_ms), "at {rate} records a second");
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

    // Assert: the first is in flight, the record without a ticket is kept.
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
