//! Guards who owns the cell, how long leases may last, how submissions are counted, and that the owner loses no
//! message.

use std::time::{Duration, Instant};

use godwithaven::kernel::cell::{
    ClaimKind, ClaimRecord, ClaimWatch, HandoverWatch, StoreHealth, SubmitRate, WorkerLease,
};
use godwithaven::tasks::cell::inbox;
use googletest::prelude::*;
use tokio::sync::mpsc;

const SILENCE: Duration = Duration::from_millis(1_700);

fn record(kind: ClaimKind, process: &str) -> ClaimRecord {
    ClaimRecord { kind, process: process.into(), address: "127.0.0.1:1".into() }
}

/// Returns a watch that has read a claim of `p1` at `now`.
fn owned(now: Instant) -> ClaimWatch {
    let mut watch = ClaimWatch::new(SILENCE, Duration::ZERO);
    watch.note_read(now);
    watch.note(0, Some(record(ClaimKind::Claim, "p1")), now);
    watch
}

/// Reads the log every 100 ms without records.
fn read_until(watch: &mut ClaimWatch, from: Instant, millis: u64) -> Instant {
    for step in (0..=millis).step_by(100) {
        watch.note_read(from + Duration::from_millis(step));
    }
    from + Duration::from_millis(millis)
}

/// An owner that is gone must be replaced, or nothing starts any more.
#[gtest]
fn a_silent_owner_is_replaced() -> Result<()> {
    let start = Instant::now();
    let mut watch = owned(start);

    let early = read_until(&mut watch, start, 1_600);
    let early = watch.should_claim(early);
    let late = read_until(&mut watch, start, 1_800);

    verify_that!(early, eq(false))?;
    verify_that!(watch.should_claim(late), eq(true))
}

/// A process that could not read the log knows nothing of the owner's signs of life.
#[gtest]
fn an_unread_log_says_nothing_about_the_owner() -> Result<()> {
    let start = Instant::now();
    let mut watch = owned(start);

    let back = start + Duration::from_secs(10);
    watch.note_read(back);

    verify_that!(watch.should_claim(back), eq(false))?;
    let later = read_until(&mut watch, back, 1_800);
    verify_that!(watch.should_claim(later), eq(true))
}

/// A process that is cut off from a live owner must not replace it, as the owner's signs of life go on.
#[gtest]
fn an_unreachable_owner_is_replaced_only_without_signs_of_life() -> Result<()> {
    let start = Instant::now();
    let mut watch = owned(start);
    watch.note_reach(1, false);

    let mut claims = Vec::new();
    for step in 1..=6 {
        let now = start + Duration::from_millis(step * 500);
        watch.note_read(now);
        claims.push(watch.should_claim(now));
        watch.note(step, Some(record(ClaimKind::Renew, "p1")), now);
    }
    let silent = read_until(&mut watch, start + Duration::from_secs(3), 1_000);

    verify_that!(claims, each(eq(&false)))?;
    verify_that!(watch.should_claim(silent), eq(true))
}

/// Waiting for the silence of an owner that has left on its own only delays the next one.
#[gtest]
fn a_released_cell_is_claimed_at_once() -> Result<()> {
    let start = Instant::now();
    let mut watch = owned(start);

    watch.note(1, Some(record(ClaimKind::Release, "p1")), start);
    watch.note_read(start);

    verify_that!(watch.should_claim(start), eq(true))
}

/// A process with little processor time that claims the cell as fast as the others is the owner in most cases where
/// most processes are small, and then decides too slowly for the whole fleet.
#[gtest]
fn a_small_process_leaves_the_cell_of_a_lost_owner_to_larger_ones() -> Result<()> {
    let start = Instant::now();
    let delay = Duration::from_millis(900);
    let mut watch = ClaimWatch::new(SILENCE, delay);
    watch.note_read(start);
    watch.note(0, Some(record(ClaimKind::Claim, "p1")), start);

    let lost = read_until(&mut watch, start, 1_200);
    watch.note_gone(1, lost);
    let early = watch.should_claim(lost + Duration::from_millis(200));
    let later = lost + delay;
    watch.note_read(later);

    verify_that!(early, eq(false))?;
    verify_that!(watch.should_claim(later), eq(true))
}

/// An owner with little processor time must not keep the cell for good once a larger process is back.
#[gtest]
fn a_small_owner_hands_the_cell_over_to_a_larger_process() -> Result<()> {
    let start = Instant::now();
    let mut watch = HandoverWatch::new(120);
    watch.note_term(start);
    let later = start + Duration::from_secs(5);

    let alone = watch.should_hand_over(later);
    watch.add_proxy(1, 120);
    let among_equals = watch.should_hand_over(later);
    watch.add_proxy(2, 500);

    verify_that!((alone, among_equals), eq((false, false)))?;
    verify_that!(watch.should_hand_over(start + Duration::from_secs(1)), eq(false))?;
    verify_that!(watch.should_hand_over(later), eq(true))?;
    watch.remove_proxy(2);
    verify_that!(watch.should_hand_over(later), eq(false))
}

/// Claims read late, after another process told of a newer owner, must not bring the old one back.
#[gtest]
fn an_older_claim_does_not_replace_a_newer_owner() -> Result<()> {
    let start = Instant::now();
    let mut watch = owned(start);
    let newer = godwithaven::kernel::cell::CellOwner {
        process: "p3".into(),
        address: "127.0.0.1:3".into(),
        token: 9,
    };

    let told = watch.note_told(newer);
    let changed = watch.note(4, Some(record(ClaimKind::Claim, "p2")), start);

    verify_that!((told, changed), eq((true, false)))?;
    verify_that!(watch.owner().map(|owner| owner.token), some(eq(9)))
}

/// A worker's clock may run slowly, so its lease lasts longer than it says.
#[gtest]
fn a_lease_counts_as_over_only_when_the_slowest_clock_says_so() -> Result<()> {
    let start = Instant::now();
    let mut lease = WorkerLease::new(Duration::from_secs(10), start);
    lease.note_clock(Duration::from_secs(100), start);

    let until = lease.grant(start);

    verify_that!(until, some(eq(Duration::from_secs(110))))?;
    verify_that!(lease.over_at() >= start + Duration::from_millis(10_200), eq(true))
}

/// A lease that a former owner granted still holds while this one knows nothing of it.
#[gtest]
fn the_bound_of_an_inherited_lease_stays() -> Result<()> {
    let start = Instant::now();
    let bound = start + Duration::from_secs(20);
    let mut lease = WorkerLease::new(Duration::from_secs(5), bound);

    let unknown = lease.grant(start);
    lease.note_clock(Duration::from_secs(1), start);
    lease.grant(start);

    verify_that!(unknown, none())?;
    verify_that!(lease.over_at(), eq(bound))
}

/// A new owner folds all submissions at once and must not take them for a burst.
#[gtest]
fn submissions_count_by_the_time_of_the_submission() -> Result<()> {
    let mut rate = SubmitRate::default();
    let team = "blue".into();

    let spread =
        (0..400).filter(|second| rate.record_submission(&team, 1, Duration::from_secs(*second))).count();
    let burst = (0..400).filter(|_| rate.record_submission(&team, 1, Duration::from_secs(400))).count();

    verify_that!(spread, eq(0))?;
    verify_that!(burst > 300, eq(true))
}

/// Callers that wait for a store that takes nothing lose the time in which they could try again.
#[gtest]
fn an_outage_lasts_from_its_first_failure() -> Result<()> {
    let start = Instant::now();
    let mut health = StoreHealth::default();

    health.fail(start);
    health.fail(start + Duration::from_secs(1));
    let during = health.failing_for(start + Duration::from_secs(2));
    health.succeed();

    verify_that!(during, eq(Duration::from_secs(2)))?;
    verify_that!(health.failing_for(start + Duration::from_secs(3)), eq(Duration::ZERO))
}

/// A message that is taken from a full inbox and not handled is lost: a step whose permits it brought never starts.
#[gtest]
fn a_full_batch_leaves_further_messages_in_the_inbox() -> Result<()> {
    let (sender, mut messages) = mpsc::channel(8);
    for number in 1..=5 {
        sender.try_send(number)?;
    }

    let first: Vec<u32> = inbox::batch(0, &mut messages, 3).collect();
    let next = messages.try_recv()?;
    let rest: Vec<u32> = inbox::batch(next, &mut messages, 3).collect();

    verify_that!(first, elements_are![eq(&0), eq(&1), eq(&2)])?;
    verify_that!(rest, elements_are![eq(&3), eq(&4), eq(&5)])
}
