//! Tests of the parts around the cell's owner: the claim watch, handovers, worker leases, submission rates,
//! store health and message batches.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use godwithaven::clock;
use godwithaven::kernel::cell::{
    CLOCK_READING_ERROR, CellOwner, ClaimKind, ClaimRecord, ClaimWatch, ClockReading, FormerRelease,
    HandoverWatch, InheritedLeases, StoreHealth, SubmitRate, WorkerLease, longest_real_time,
};
use godwithaven::tasks::cell::inbox;
use godwithaven::tasks::cell::ownership_lease::{OWNERSHIP_LEASE, OwnershipLease};
use godwithaven::tasks::cell::ports::{AppendOutcome, PageFuture, ReadFault, StoreClient, TopicPage};
use godwithaven::tasks::cell::store_limits::StoreLimits;
use godwithaven::tasks::cell::tail::{TailMessage, TopicTail};
use googletest::prelude::*;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Reads a partition of a topic from an offset on, as in a [`StoreClient`].
type PageReader = Rc<dyn Fn(&'static str, u32, u64, Duration) -> PageFuture>;

const OWNER_TIMEOUT: Duration = Duration::from_millis(1_700);

fn record(kind: ClaimKind, process: &str) -> ClaimRecord {
    ClaimRecord { kind, process: process.into(), address: "127.0.0.1:1".into(), release: None }
}

/// Returns a watch that has read a claim of `p1` at `now`.
fn watch_of_owned_cell(now: Instant) -> ClaimWatch {
    let mut watch = ClaimWatch::new(OWNER_TIMEOUT, Duration::ZERO);
    watch.note_read(now);
    watch.note(0, Some(record(ClaimKind::Claim, "p1")), now);
    watch
}

/// Reads the log without new records every 100 ms; returns the time of the last read.
fn read_until(watch: &mut ClaimWatch, from: Instant, millis: u64) -> Instant {
    for step in (0..=millis).step_by(100) {
        watch.note_read(from + Duration::from_millis(step));
    }
    from + Duration::from_millis(millis)
}

/// If nobody replaces a lost owner, no task of the cell starts any more.
#[gtest]
fn an_owner_without_heartbeats_is_replaced() -> Result<()> {
    let start = Instant::now();
    let mut watch = watch_of_owned_cell(start);

    let early = read_until(&mut watch, start, 1_600);
    let early = watch.should_claim(early);
    let late = read_until(&mut watch, start, 1_800);

    verify_that!(early, eq(false))?;
    verify_that!(watch.should_claim(late), eq(true))
}

/// A process that could not read the log has seen no heartbeats. If it took that for a dead owner, it would
/// replace a live one after each outage of the log.
#[gtest]
fn time_without_reads_does_not_count_as_owner_timeout() -> Result<()> {
    let start = Instant::now();
    let mut watch = watch_of_owned_cell(start);

    let back = start + Duration::from_secs(10);
    watch.note_read(back);

    verify_that!(watch.should_claim(back), eq(false))?;
    let later = read_until(&mut watch, back, 1_800);
    verify_that!(watch.should_claim(later), eq(true))
}

/// A process that is cut off from a live owner must not replace it while the owner's heartbeats still arrive
/// in the log.
#[gtest]
fn an_unreachable_owner_is_replaced_only_without_heartbeats() -> Result<()> {
    let start = Instant::now();
    let mut watch = watch_of_owned_cell(start);
    watch.note_reachability(1, false);

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

/// An owner that has released the cell sends no more heartbeats, so waiting for its timeout would only delay
/// its successor.
#[gtest]
fn a_released_cell_is_claimed_at_once() -> Result<()> {
    let start = Instant::now();
    let mut watch = watch_of_owned_cell(start);

    watch.note(1, Some(record(ClaimKind::Release, "p1")), start);
    watch.note_read(start);

    verify_that!(watch.should_claim(start), eq(true))
}

/// In a fleet that consists mostly of processes with a low CPU limit, one of these would usually become the
/// owner if they claimed as fast as the others, and would then decide too slowly for the whole fleet.
#[gtest]
fn a_small_process_delays_its_claim_after_the_owner_is_lost() -> Result<()> {
    let start = Instant::now();
    let delay = Duration::from_millis(900);
    let mut watch = ClaimWatch::new(OWNER_TIMEOUT, delay);
    watch.note_read(start);
    watch.note(0, Some(record(ClaimKind::Claim, "p1")), start);

    let lost = read_until(&mut watch, start, 1_200);
    watch.note_owner_replaced(1, lost);
    let early = watch.should_claim(lost + Duration::from_millis(200));
    let later = lost + delay;
    watch.note_read(later);

    verify_that!(early, eq(false))?;
    verify_that!(watch.should_claim(later), eq(true))
}

/// An owner with a low CPU limit must not keep the cell for good once a larger process is back.
#[gtest]
fn a_small_owner_hands_the_cell_over_to_a_larger_process() -> Result<()> {
    let start = Instant::now();
    let mut watch = HandoverWatch::new(120);
    watch.note_term(start);
    let later = start + Duration::from_secs(5);

    let without_proxies = watch.should_hand_over(later);
    watch.add_proxy(1, 120);
    let with_equal_proxy = watch.should_hand_over(later);
    watch.add_proxy(2, 500);

    verify_that!((without_proxies, with_equal_proxy), eq((false, false)))?;
    verify_that!(watch.should_hand_over(start + Duration::from_secs(1)), eq(false))?;
    verify_that!(watch.should_hand_over(later), eq(true))?;
    watch.remove_proxy(2);
    verify_that!(watch.should_hand_over(later), eq(false))
}

/// A claim that is read after another process reported a newer owner must not bring the older owner back.
#[gtest]
fn an_older_claim_does_not_replace_a_newer_owner() -> Result<()> {
    let start = Instant::now();
    let mut watch = watch_of_owned_cell(start);
    let newer = godwithaven::kernel::cell::CellOwner {
        process: "p3".into(),
        address: "127.0.0.1:3".into(),
        token: 9,
    };

    let reported = watch.note_reported_owner(newer);
    let changed = watch.note(4, Some(record(ClaimKind::Claim, "p2")), start);

    verify_that!((reported, changed), eq((true, false)))?;
    verify_that!(watch.owner().map(|owner| owner.token), some(eq(9)))
}

/// A worker's clock may run slowly, so its lease can last longer in real time than on that clock. Starting
/// its tasks elsewhere too early would run them twice. A lease of 10 s takes more than 10.2 s on a clock
/// that runs at 98 percent of the true rate.
#[gtest]
fn a_lease_does_not_expire_before_the_slowest_assumed_clock_shows_its_end() -> Result<()> {
    let start = Instant::now();
    let mut lease = WorkerLease::new(Duration::from_secs(10), Duration::from_secs(10), start);
    lease.note_clock(Duration::from_secs(100), start);

    let until = lease.grant(start);

    verify_that!(until, some(eq(Duration::from_secs(110))))?;
    verify_that!(lease.expires_by() >= start + Duration::from_millis(10_200), eq(true))
}

/// A worker may hold a lease of an earlier owner that ends later than those of the new owner. If the new
/// owner forgot it, it would start the worker's tasks elsewhere while they still run.
#[gtest]
fn the_expiry_of_an_inherited_lease_is_kept() -> Result<()> {
    let start = Instant::now();
    let bound = start + Duration::from_secs(20);
    let mut lease = WorkerLease::new(Duration::from_secs(5), Duration::from_secs(10), bound);

    let unknown = lease.grant(start);
    lease.note_clock(Duration::from_secs(1), start);
    lease.grant(start);

    verify_that!(unknown, none())?;
    verify_that!(lease.expires_by(), eq(bound))
}

/// Guards against tasks of a lost worker that wait for leases which no earlier owner can have granted: once the
/// worker has answered the new owner, it refuses calls of the others. A grant of the new owner counts in full.
#[gtest]
fn a_worker_that_has_answered_holds_no_later_lease_of_an_earlier_owner() -> Result<()> {
    let start = Instant::now();
    let (duration, longest) = (Duration::from_secs(5), Duration::from_secs(10));
    let mut lease = WorkerLease::new(duration, longest, start + Duration::from_secs(20));

    lease.note_fenced(Duration::ZERO, start);
    let fenced = lease.expires_by();
    lease.note_clock(Duration::from_secs(1), start);
    lease.grant(start + Duration::from_secs(2));

    verify_that!(fenced, eq(start + longest_real_time(duration)))?;
    verify_that!(lease.expires_by(), ge(start + Duration::from_secs(7)))
}

/// Returns a release of the cell by `p1` that tells this about its term.
fn release_telling(term: &serde_json::Value) -> Result<ClaimRecord> {
    let record =
        serde_json::json!({"kind": "release", "process": "p1", "address": "127.0.0.1:1", "release": term});
    serde_json::from_value(record).or_fail()
}

/// Guards against tasks that run twice: the wait of a successor after a release counted the term from its claim, but
/// until that term has fenced the owner before it, appends confirm the ownership of that owner, which may thus grant
/// leases. Nor does a release tell anything of a later term of its process.
#[gtest]
fn a_term_that_did_not_fence_shortens_no_wait() -> Result<()> {
    let now = Instant::now();
    let told = |term: serde_json::Value| -> Result<Option<FormerRelease>> {
        let mut watch = watch_of_owned_cell(now);
        watch.note(1, Some(release_telling(&term)?), now + Duration::from_secs(4));
        watch.note(2, Some(record(ClaimKind::Claim, "p2")), now + Duration::from_secs(5));
        Ok(watch.former_release())
    };

    let earlier_version = told(serde_json::Value::Null)?;
    let not_fenced = told(serde_json::json!({"token": 1}))?;
    let another_term = told(serde_json::json!({"token": 7, "fenced_for": {"secs": 3, "nanos": 0}}))?;
    let fenced = told(serde_json::json!({"token": 1, "fenced_for": {"secs": 3, "nanos": 0}}))?;

    verify_that!((earlier_version, not_fenced, another_term), eq((None, None, None)))?;
    let release = FormerRelease { read_at: now + Duration::from_secs(4), fenced_for: Duration::from_secs(3) };
    verify_that!(fenced, some(eq(release)))
}

/// Guards against tasks that run twice: a term that has fenced a short time before its release lets the owner before
/// it grant leases for the rest of that owner's ownership lease. Without a release, nothing shortens the wait.
#[gtest]
fn leases_are_awaited_for_the_rest_of_a_deposed_ownership_lease() -> Result<()> {
    let read_at = Instant::now();
    let (longest, recovered_at) = (Duration::from_secs(7), read_at + Duration::from_secs(1));
    let waits = |fenced_for: Option<Duration>| {
        let release = fenced_for.map(|fenced_for| FormerRelease { read_at, fenced_for });
        let leases = InheritedLeases::new(longest, OWNERSHIP_LEASE, release, recovered_at);
        leases.expire_by.duration_since(read_at).saturating_sub(longest + CLOCK_READING_ERROR)
    };
    let short = Duration::from_millis(500);

    verify_that!(waits(Some(short)), eq(OWNERSHIP_LEASE.saturating_sub(short)))?;
    verify_that!(waits(Some(OWNERSHIP_LEASE * 2)), eq(Duration::ZERO))?;
    verify_that!(waits(None), eq(OWNERSHIP_LEASE + Duration::from_secs(1)))
}

/// Guards against a successor that waits for leases of a deposed owner although there is none: the former owner
/// has released the cell. One that was lost, or that another process reported, may still grant leases.
#[gtest]
fn a_release_tells_for_how_long_the_former_owner_had_the_cell() -> Result<()> {
    let now = Instant::now();
    let after = |millis| now + Duration::from_millis(millis);
    let term = |token: u64| serde_json::json!({"token": token, "fenced_for": {"secs": 4, "nanos": 0}});
    let mut watch = watch_of_owned_cell(now);
    watch.note(1, Some(release_telling(&term(1))?), after(4_000));
    watch.note(2, Some(record(ClaimKind::Claim, "p2")), after(5_000));
    let released = watch.former_release();
    watch.note(3, Some(record(ClaimKind::Claim, "p3")), after(6_000));
    let lost = watch.former_release();
    let owner = CellOwner { process: "p1".into(), address: "a".into(), token: 9 };
    watch.note_reported_owner(owner);
    watch.note(10, Some(release_telling(&term(1))?), after(9_000));
    watch.note(11, Some(record(ClaimKind::Claim, "p5")), after(9_500));
    let reported = watch.former_release();

    verify_that!(released.map(|release| release.fenced_for), some(eq(Duration::from_secs(4))))?;
    verify_that!(lost, none())?;
    verify_that!(reported, none())
}

/// A new owner replays all submissions at once. Counted by the time of the replay, they would look like a
/// burst above the rate of the team.
#[gtest]
fn submissions_are_counted_by_their_submission_time() -> Result<()> {
    let mut rate = SubmitRate::default();
    let team = "blue".into();

    let spread =
        (0..400).filter(|second| rate.record_submission(&team, 1, Duration::from_secs(*second))).count();
    let burst = (0..400).filter(|_| rate.record_submission(&team, 1, Duration::from_secs(400))).count();

    verify_that!(spread, eq(0))?;
    verify_that!(burst > 300, eq(true))
}

/// Callers are refused at once when an outage has lasted for a while, so that they can retry in time. If each
/// failure restarted the outage, they would wait for a store that accepts nothing.
#[gtest]
fn an_outage_lasts_from_its_first_failure() -> Result<()> {
    let start = Instant::now();
    let mut health = StoreHealth::default();

    health.record_failure(start);
    health.record_failure(start + Duration::from_secs(1));
    let during = health.failing_for(start + Duration::from_secs(2));
    health.record_success();

    verify_that!(during, eq(Duration::from_secs(2)))?;
    verify_that!(health.failing_for(start + Duration::from_secs(3)), eq(Duration::ZERO))
}

/// A message that is taken from a full inbox and not handled is lost: a step whose permits it brought never
/// starts.
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

/// Guards against submissions that nobody reads for the rest of a term, once records of a partition have
/// expired before they were read.
#[gtest]
#[actix_rt::test]
async fn a_partition_is_followed_on_after_records_have_expired() -> Result<()> {
    const FIRST_RETAINED: u64 = 10;
    let read: PageReader = Rc::new(|_, _, from, _| {
        let page = if from < FIRST_RETAINED {
            Err(ReadFault::Expired(FIRST_RETAINED))
        } else {
            Ok(TopicPage { records: Vec::new(), next: from + 1, end: from + 1, first: 0 })
        };
        std::future::ready(page).boxed_local()
    });
    let store = store_with(read);
    let (sender, mut messages) = mpsc::channel(1);
    let token = CancellationToken::new();
    let tail = TopicTail { topic: "jobs", partition: 3, wait: Duration::ZERO, pause: Duration::ZERO };
    let stop = token.clone();

    actix_rt::spawn(async move { tail.follow_retained(2, &store, &sender, &stop).await });
    let first = messages.recv().await;
    let second = messages.recv().await;
    token.cancel();

    verify_that!(page_end(first), some(eq((3, 11))))?;
    verify_that!(page_end(second), some(eq((3, 12))))
}

/// Guards against a submission that is passed over because the store names an offset that is not above the
/// one that was asked for.
#[gtest]
#[actix_rt::test]
async fn an_expiry_without_a_higher_offset_skips_no_record() -> Result<()> {
    let expired = Rc::new(std::cell::Cell::new(false));
    let read: PageReader = Rc::new(move |_, _, from, _| {
        let page = if expired.replace(true) {
            Ok(TopicPage { records: Vec::new(), next: from + 1, end: from + 1, first: 0 })
        } else {
            Err(ReadFault::Expired(0))
        };
        std::future::ready(page).boxed_local()
    });
    let store = store_with(read);
    let (sender, mut messages) = mpsc::channel(1);
    let token = CancellationToken::new();
    let tail = TopicTail { topic: "jobs", partition: 3, wait: Duration::ZERO, pause: Duration::ZERO };
    let stop = token.clone();

    actix_rt::spawn(async move { tail.follow_retained(7, &store, &sender, &stop).await });
    let first = messages.recv().await;
    token.cancel();

    verify_that!(page_end(first), some(eq((3, 8))))
}

/// Returns a store of which only partitions can be read.
fn store_with(read: PageReader) -> StoreClient {
    StoreClient {
        limits: StoreLimits::default(),
        append: Rc::new(|_| std::future::ready(AppendOutcome::Stored(0)).boxed_local()),
        read,
        newest: Rc::new(|_| std::future::ready(Err(ReadFault::Failed("none".to_owned()))).boxed_local()),
    }
}

/// Returns the partition and the end of a page.
fn page_end(message: Option<TailMessage>) -> Option<(u32, u64)> {
    match message? {
        TailMessage::Page(partition, page, _) => Some((partition, page.next)),
        _ => None,
    }
}

/// Guards against leases that a process grants after it was paused, or its VM suspended, for so long that it may
/// have a successor. The wall clock of a suspended VM may be set right only some time after it goes on.
#[gtest]
fn an_ownership_lease_expires_by_any_clock() -> Result<()> {
    let (ownership, sent_at) = (OwnershipLease::new(), clock::reading());
    let later = |monotonic, since_boot, wall| ClockReading {
        monotonic: sent_at.monotonic + monotonic,
        since_boot: sent_at.since_boot + since_boot,
        wall: sent_at.wall + wall,
    };
    let (short, long) = (OWNERSHIP_LEASE.saturating_sub(Duration::from_millis(1)), OWNERSHIP_LEASE);

    let unconfirmed = ownership.is_valid_at(sent_at);
    ownership.confirm(sent_at);
    let suspended = later(short, long, short);
    let valid = [later(short, short, short), later(long, short, short), later(short, short, long), suspended]
        .map(|reading| ownership.is_valid_at(reading));
    // An older confirmation that arrives late changes nothing.
    ownership.confirm(later(short, short, short));
    ownership.confirm(sent_at);

    verify_that!(unconfirmed, eq(false))?;
    verify_that!(valid, eq([true, false, false, false]))?;
    verify_that!(ownership.is_valid_at(later(long, long, long)), eq(true))
}

/// Guards against a clock that stands still where it is not available: it would never show that a lease is over.
#[gtest]
#[actix_rt::test]
async fn the_clock_that_counts_suspensions_goes_on() -> Result<()> {
    let before = clock::reading();
    tokio::time::sleep(Duration::from_millis(20)).await;
    let passed = clock::reading().since_boot.saturating_sub(before.since_boot);

    verify_that!(passed, ge(Duration::from_millis(20)))
}
