//! Guards against ledger states that diverge between processes, grow without bound or drop entries too early.

mod fixture;

use std::sync::Arc;

use godwithaven::kernel::{
    BundleVerifier, JobKind, JobOutcome, JobSpec, LedgerChange, LedgerState, LogRecord, PluginRegistry,
    PriorityClass, RecordGroup, ResourceVector, SnapshotCollector, SnapshotItem, SnapshotPiece,
};
use godwithaven::plugins::bundle_signature;
use googletest::prelude::*;

const HOUR_MS: u64 = 3_600_000;

fn verifier() -> BundleVerifier {
    bundle_signature::verifier(PluginRegistry::collect(), vec![fixture::public_key()], 1)
}

fn group(process: &str, sequence: u64, at_ms: u64, records: Vec<LogRecord>) -> RecordGroup {
    RecordGroup { process: process.into(), sequence, at_ms, records }
}

fn spec(name: &str, tasks: u32) -> JobSpec {
    JobSpec {
        id: format!("blue/{name}").into(),
        team: "blue".into(),
        queue: "main".into(),
        kind: JobKind::Batch,
        priority: PriorityClass::Normal,
        tasks,
        need: ResourceVector::new(1_000, 1_024, 0),
        run_time: None,
        retries: 0,
    }
}

fn submit(name: &str, tasks: u32, shard: &str) -> LogRecord {
    LogRecord::Submit { spec: spec(name, tasks), shard: shard.into() }
}

fn claim(shard: &str, process: &str, over: u64) -> LogRecord {
    LogRecord::Claim { shard: shard.into(), process: process.into(), over }
}

fn intent(request: &str, token: u64) -> LogRecord {
    let shard = "service:planner/0".into();
    LogRecord::Intent { request: request.into(), digest: [7; 32], shard, token, at_ms: 0 }
}

/// Returns the groups of a small log: a bundle, claims, jobs of which some end, transfers and intents.
fn history(jobs: u64) -> Vec<RecordGroup> {
    let bundle = LogRecord::Bundle(fixture::signed(1, 0, fixture::bundle_text(1, 0)));
    let claims = vec![claim("r1/0", "a", 0), claim("r1/1", "a", 0), claim("service:planner/0", "a", 0)];
    let mut groups = vec![group("operator", 1, 0, vec![bundle]), group("a", 1, 1, claims)];
    for index in 0..jobs {
        let (name, at_ms) = (format!("job-{index}"), index * 1_000 + 2);
        let mut records = vec![submit(&name, 3, "r1/0"), intent(&format!("blue/{index}"), 2)];
        let amount = ResourceVector::new(10, 10, 0);
        let (team, from, to) = ("blue".into(), "r1/0".into(), "r1/1".into());
        records.push(LogRecord::Transfer { team, from, to, amount, token: 2 });
        if index % 3 > 0 {
            let job = format!("blue/job-{}", index - 1).into();
            records.push(LogRecord::Outcome {
                job,
                token: 2,
                outcome: JobOutcome::Finished(vec!["x".into(); 3]),
            });
        }
        groups.push(group("a", index + 2, at_ms, records));
    }
    groups
}

fn apply(ledger: &mut LedgerState, from: u64, groups: &[RecordGroup]) {
    for (offset, group) in (from..).zip(groups) {
        ledger.apply_group(offset, group);
    }
}

/// Guards against processes that restored a snapshot and diverge from those that applied every group.
#[gtest]
fn a_restored_ledger_matches_one_that_applied_every_group() {
    let groups = history(2_000);
    for cut in [1, 2, 3, 700, 1_999] {
        // Arrange
        let mut replayed = LedgerState::new(verifier());
        apply(&mut replayed, 0, &groups[..cut]);
        let pieces = replayed.snapshot();
        apply(&mut replayed, cut as u64, &groups[cut..]);
        let mut restored = LedgerState::new(verifier());

        // Act
        let items = pieces.into_iter().flat_map(|piece| piece.items).collect();
        restored.restore(cut as u64, items);
        apply(&mut restored, cut as u64, &groups[cut..]);

        // Assert
        expect_true!(restored.snapshot() == replayed.snapshot(), "cut at {cut}");
    }
}

/// Guards against snapshots that the log rejects, because a piece exceeds its limit of 512 KB for a record.
#[gtest]
fn pieces_of_a_large_snapshot_stay_below_the_record_limit() {
    // Arrange
    let mut ledger = LedgerState::new(verifier());
    apply(&mut ledger, 0, &history(3_000));

    // Act
    let pieces = ledger.snapshot();
    let sizes: Vec<usize> = pieces
        .into_iter()
        .map(|piece| {
            let body = serde_json::to_string(&group("a", 1, 0, vec![piece.into()])).unwrap();
            serde_json::json!({ "body": body }).to_string().len()
        })
        .collect();

    // Assert
    expect_that!(sizes.len(), ge(3));
    expect_that!(sizes, each(lt(&(512_000))));
}

/// Guards against restoring a part of the ledger from a snapshot whose writer stopped before its last piece.
#[gtest]
fn a_snapshot_with_a_missing_piece_is_ignored() {
    // Arrange
    let items = vec![SnapshotItem::Clock(1, 1); 10_000];
    let piece = |covers, skip: Option<u32>| -> Vec<LogRecord> {
        let pieces = SnapshotPiece::split(covers, items.clone()).into_iter();
        pieces.filter(|piece| Some(piece.index) != skip).map(LogRecord::from).collect()
    };
    let mut collector = SnapshotCollector::new(40);

    // Act: an outdated snapshot, a complete one, a newer incomplete one, and a record that cannot be decoded.
    collector.add_group(40, Some(&group("a", 1, 0, piece(30, None))));
    let too_old = collector.take(40);
    collector.add_group(41, Some(&group("a", 2, 0, piece(41, None))));
    collector.add_group(42, Some(&group("a", 3, 0, piece(42, Some(1)))));
    collector.add_group(43, None);
    collector.add_group(44, Some(&group("b", 1, 0, piece(42, Some(0)))));

    // Assert
    expect_that!(too_old.map(|(covers, _)| covers), none());
    expect_that!(collector.take(40).map(|(covers, _)| covers), some(eq(41)));
}

/// Guards against tasks that are not told of claims and job ends in groups that a snapshot replaced.
#[gtest]
fn a_restore_returns_the_changes_of_the_missed_groups() {
    // Arrange
    let groups = history(10);
    let mut old = LedgerState::new(verifier());
    apply(&mut old, 0, &groups[..4]);
    let mut new = LedgerState::new(verifier());
    apply(&mut new, 0, &groups);
    new.apply_group(12, &group("b", 1, 0, vec![claim("r1/0", "b", 2)]));

    // Act
    let items = new.snapshot().into_iter().flat_map(|piece| piece.items).collect();
    let changes = old.restore(13, items);

    // Assert
    let claimed = |change: &&LedgerChange| matches!(change, LedgerChange::ShardClaimed(..));
    expect_that!(changes.iter().filter(claimed).count(), eq(1));
    let ended = |change: &&LedgerChange| matches!(change, LedgerChange::JobEnded(..));
    expect_that!(changes.iter().filter(ended).count(), ge(5));
}

#[gtest]
fn a_job_beyond_the_bound_of_open_tasks_is_refused() {
    // Arrange
    let mut ledger = LedgerState::new(verifier());
    let text = fixture::bundle_text(1, 0).replace("share = 1", "share = 1\nmax_waiting = 10");
    let bundle = LogRecord::Bundle(fixture::signed(1, 0, text));
    ledger.apply_group(0, &group("operator", 1, 0, vec![bundle, claim("r1/0", "operator", 0)]));

    // Act
    let records = vec![submit("a", 6, "r1/0"), submit("b", 5, "r1/0"), submit("c", 5, "r1/1")];
    let full = ledger.apply_group(1, &group("a", 1, 0, records));
    let outcome = JobOutcome::Finished(Vec::new());
    let ended = LogRecord::Outcome { job: "blue/a".into(), token: 1, outcome };
    let after = ledger.apply_group(2, &group("a", 2, 0, vec![ended, submit("b", 5, "r1/0")]));

    // Assert
    expect_that!(full, contains(eq(&LedgerChange::JobRefused("blue/b".into()))));
    expect_that!(full, contains(eq(&LedgerChange::JobAccepted(Arc::new(spec("c", 5)), "r1/1".into()))));
    expect_that!(after, contains(eq(&LedgerChange::JobAccepted(Arc::new(spec("b", 5)), "r1/0".into()))));
}

#[gtest]
fn intents_and_ended_jobs_expire_by_ledger_time() {
    // Arrange
    let mut ledger = LedgerState::new(verifier());
    apply(&mut ledger, 0, &history(9));
    let before = (ledger.intents.len(), ledger.jobs.len());

    // Act: two hours pass.
    for index in 0..40 {
        let records = vec![LogRecord::Alive];
        ledger.apply_group(11 + index, &group("a", 11 + index, 2 * HOUR_MS + index, records));
    }

    // Assert: only the open jobs are left.
    expect_that!(before, eq((9, 9)));
    expect_that!((ledger.intents.len(), ledger.jobs.len()), eq((0, 3)));
}

/// Guards against a ledger clock that starts at 0: a job that ends before the first
/// step would expire at that step.
#[gtest]
fn a_job_that_ends_before_the_first_step_of_the_clock_is_retained() {
    // Arrange
    let mut ledger = LedgerState::new(verifier());
    ledger
        .apply_group(0, &group("a", 1, 1_000 * HOUR_MS, vec![claim("r1/0", "a", 0), submit("a", 1, "r1/0")]));
    let outcome = LogRecord::Outcome { job: "blue/a".into(), token: 1, outcome: JobOutcome::Cancelled };
    ledger.apply_group(1, &group("a", 2, 1_000 * HOUR_MS, vec![outcome]));

    // Act
    for index in 2..40 {
        ledger.apply_group(index, &group("a", index + 1, 1_000 * HOUR_MS + index, vec![LogRecord::Alive]));
    }

    // Assert
    expect_that!(ledger.jobs.len(), eq(1));
}

/// Guards against intents that expire too early, so that a request could run twice,
/// because one process has a fast clock.
#[gtest]
fn one_fast_clock_does_not_expire_intents() {
    // Arrange
    let mut ledger = LedgerState::new(verifier());
    apply(&mut ledger, 0, &history(9));

    // Act: the clock of process `c` is a day ahead, those of `a` and `b` are right.
    for index in 0..60 {
        let (process, ahead) = [("a", 0), ("b", 0), ("c", 24 * HOUR_MS)][usize::try_from(index % 3).unwrap()];
        let records = vec![LogRecord::Alive];
        ledger.apply_group(11 + index, &group(process, 11 + index, 10_000 + index + ahead, records));
    }

    // Assert
    expect_that!(ledger.processes.now_ms, lt(HOUR_MS));
    expect_that!(ledger.intents.len(), eq(9));
}

/// Guards against records that are applied twice because an append with an unknown result was repeated.
#[gtest]
fn a_repeated_append_changes_nothing_even_after_a_restore() {
    // Arrange
    let groups = history(5);
    let mut ledger = LedgerState::new(verifier());
    apply(&mut ledger, 0, &groups);
    let items = ledger.snapshot().into_iter().flat_map(|piece| piece.items).collect();
    let mut restored = LedgerState::new(verifier());
    restored.restore(7, items);

    // Act and assert
    for ledger in [&mut ledger, &mut restored] {
        expect_that!(ledger.apply_group(7, &groups[6]), is_empty());
    }
}

/// Guards against a process that takes a shard from its owner in the name of a third one.
#[gtest]
fn only_the_current_owner_hands_a_shard_to_another_process() {
    // Arrange
    let mut ledger = LedgerState::new(verifier());
    ledger.apply_group(0, &group("a", 1, 0, vec![claim("r1/0", "a", 0)]));

    // Act
    ledger.apply_group(1, &group("c", 1, 0, vec![claim("r1/0", "b", 1)]));
    let stolen = ledger.claims["r1/0"].process.clone();
    ledger.apply_group(2, &group("a", 2, 0, vec![claim("r1/0", "b", 1)]));
    ledger.apply_group(3, &group("a", 3, 0, vec![claim("r1/0", "a", 1)]));

    // Assert
    expect_that!(&*stolen, eq("a"));
    expect_that!(&*ledger.claims["r1/0"].process, eq("b"));
}

/// Guards against a bundle that silently overwrites another one published at the same time.
#[gtest]
fn of_two_operators_on_the_same_base_one_wins() {
    // Arrange
    let mut ledger = LedgerState::new(verifier());
    let bundle = |version, base| {
        LogRecord::Bundle(fixture::signed(version, base, fixture::bundle_text(version, base)))
    };
    ledger.apply_group(0, &group("first", 1, 0, vec![bundle(1, 0)]));

    // Act
    ledger.apply_group(1, &group("second", 1, 0, vec![bundle(3, 1)]));
    let late = ledger.apply_group(2, &group("third", 1, 0, vec![bundle(2, 1)]));
    let same = ledger.apply_group(3, &group("fourth", 1, 0, vec![bundle(4, 1)]));

    // Assert
    expect_that!(ledger.bundle.as_ref().map(|bundle| bundle.version), some(eq(3)));
    for changes in [late, same] {
        expect_that!(changes[0], pat!(LedgerChange::BundleRefused(anything(), anything())));
    }
}
