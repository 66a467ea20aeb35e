//! Tests of the records that an owner writes again before a store with small partitions drops them.

mod fixture_cell;

use std::collections::VecDeque;
use std::time::Duration;

use fixture_cell::{CellDriver, cell_with, config, job, step, submit, worker};
use godwithaven::kernel::ResourceVector;
use godwithaven::kernel::cell::{CellRecord, CellScheduler, CellState, EndCause, StepSpec, TaskKey};
use godwithaven::prelude::{FastSet, JobId};
use godwithaven::tasks::cell::record_codec::encode;
use googletest::prelude::*;

/// Largest record of the store.
const MAX_RECORD_BYTES: usize = 16_384;
/// Retention time of the store, which is not over in these tests.
const RETENTION: Duration = Duration::from_secs(3_600);
/// Jobs that are open during a test; each has three tasks that are done, three that run and one that waits for the
/// others.
const JOBS: usize = 20;
/// Records of other jobs at each tick, of some 70 bytes each.
const TICK_RECORDS: usize = 20;

/// A store that drops the oldest records beyond a number of bytes.
struct BoundedStore {
    partition_bytes: u64,
    records: VecDeque<(u64, CellRecord)>,
    bytes: u64,
}

impl BoundedStore {
    /// Stores the records that the owner has emitted; the owner counts them.
    fn store(&mut self, driver: &mut CellDriver) {
        for record in std::mem::take(&mut driver.records) {
            let values = encode(&record, MAX_RECORD_BYTES).expect("the record can be encoded");
            let bytes = values.iter().map(|value| value.len() as u64 + 4).sum();
            driver.scheduler.count_record(&record, bytes);
            self.records.push_back((bytes, record));
            self.bytes += bytes;
        }
        while self.bytes > self.partition_bytes {
            self.bytes -= self.records.pop_front().expect("the store is not empty").0;
        }
    }

    /// Returns the state of a new owner, which reads all submissions and the records that are left.
    fn replay(&self, driver: &CellDriver) -> CellDriver {
        let mut new = cell_with(config(None), Vec::new());
        let lease_expires_at = new.now + RETENTION;
        new.scheduler = new_scheduler(CellScheduler::new(lease_expires_at), self.partition_bytes);
        for job in driver.scheduler.state().jobs.values() {
            submit(&mut new, (*job.spec).clone());
        }
        for (bytes, record) in &self.records {
            new.scheduler.count_record(record, *bytes);
            new.scheduler.replay(record.clone(), new.now);
        }
        new
    }
}

fn new_scheduler(scheduler: CellScheduler, partition_bytes: u64) -> CellScheduler {
    scheduler.with_log_retention(RETENTION).with_partition_bytes(partition_bytes)
}

/// Returns a cell with [`JOBS`] open jobs and the store that has their records.
fn cell_with_jobs(partition_bytes: u64) -> (CellDriver, BoundedStore) {
    let mut worker = worker("w0");
    worker.capacity = ResourceVector::new(1_000_000, 1_000_000, 0);
    let mut driver = cell_with(config(None), vec![worker]);
    driver.scheduler = new_scheduler(std::mem::take(&mut driver.scheduler), partition_bytes);
    for number in 0..JOBS {
        let last = StepSpec { after: vec![0], ..step(1) };
        submit(&mut driver, job(&format!("j{number}"), "urgent", vec![step(6), last]));
        for task in 0..3 {
            driver.end(&format!("j{number}.0.0.{task}"), EndCause::Done);
        }
    }
    let mut store = BoundedStore { partition_bytes, records: VecDeque::new(), bytes: 0 };
    store.store(&mut driver);
    (driver, store)
}

/// Lets other jobs add [`TICK_RECORDS`] at each of these ticks; returns how many snapshots were written.
fn add_traffic(driver: &mut CellDriver, store: &mut BoundedStore, ticks: usize) -> usize {
    let mut snapshots = 0;
    for _ in 0..ticks {
        driver.advance(100);
        snapshots += driver.records.iter().filter(|record| matches!(record, CellRecord::Snapshot(_))).count();
        let task = TaskKey::parse("over.0.0.1").expect("the name is valid");
        let other = CellRecord::Ended(task, 1, EndCause::Done, Some("a checkpoint".into()));
        driver.records.extend(std::iter::repeat_n(other, TICK_RECORDS));
        store.store(driver);
    }
    snapshots
}

/// Returns how many tasks a new owner starts again, as it misses that they run or are done.
fn repeated_tasks(old: &CellState, new: &CellState) -> usize {
    let is_done = |state: &CellState, key: &TaskKey| {
        state
            .step(&key.step)
            .is_some_and(|(_, _, step)| step.tasks.get(key.index).is_some_and(|task| task.done))
    };
    let keys = |id: &str| (0..6).map(move |task| format!("{id}.0.0.{task}")).collect::<Vec<String>>();
    let keys = old.jobs.keys().flat_map(|id| keys(id));
    let keys = keys.map(|key| TaskKey::parse(&key).expect("the name is valid"));
    let repeated = keys.filter(|key| {
        is_done(old, key) && !is_done(new, key)
            || old.placements.contains_key(key) && !new.placements.contains_key(key)
    });
    repeated.count()
}

/// Guards against tasks that run twice after a change of the owner: the store had dropped the records of their jobs
/// by size, and jobs were recorded again by time alone.
#[gtest]
fn a_new_owner_knows_the_runs_of_jobs_whose_records_were_dropped_by_size() -> Result<()> {
    let (mut driver, mut store) = cell_with_jobs(60_000);
    let mut repeated = Vec::new();

    for _ in 0..40 {
        add_traffic(&mut driver, &mut store, 10);
        let new = store.replay(&driver);
        repeated.push(repeated_tasks(driver.scheduler.state(), new.scheduler.state()));
    }

    verify_that!(repeated, each(eq(&0)))
}

/// Guards against a gap after a change of the owner, which counts the records that it reads.
#[gtest]
fn a_new_owner_records_jobs_again_in_time() -> Result<()> {
    let (mut driver, mut store) = cell_with_jobs(60_000);
    let mut repeated = Vec::new();

    for _ in 0..10 {
        add_traffic(&mut driver, &mut store, 15);
        let new = store.replay(&driver);
        repeated.push(repeated_tasks(driver.scheduler.state(), new.scheduler.state()));
        driver = new;
        driver.records.clear();
    }

    verify_that!(repeated, each(eq(&0)))
}

/// Guards against writes that a store with large partitions does not need.
#[gtest]
fn jobs_are_not_recorded_again_while_the_bound_is_far() -> Result<()> {
    let (mut driver, mut store) = cell_with_jobs(200_000_000);

    let snapshots = add_traffic(&mut driver, &mut store, 400);

    verify_that!(snapshots, eq(0))
}

/// Guards against a job that a new owner does not know: its submission lies in a partition that others have filled, and
/// the log of the cell holds no snapshot of it.
#[gtest]
fn jobs_are_recorded_before_others_fill_the_partition_of_their_submission() -> Result<()> {
    let (mut driver, mut store) = cell_with_jobs(60_000);

    for _ in 0..55 {
        driver.scheduler.count_submission(1_000);
        driver.advance(100);
        store.store(&mut driver);
    }

    let recorded = store.records.iter().filter_map(|(_, record)| match record {
        CellRecord::Snapshot(snapshot) => Some(&snapshot.spec.id),
        _ => None,
    });
    let recorded: FastSet<&JobId> = recorded.collect();
    verify_that!(recorded.len(), eq(JOBS))
}

/// Guards against snapshots that cause further ones: those of all jobs together exceed the partition.
#[gtest]
fn snapshots_that_do_not_fit_are_not_written_without_end() -> Result<()> {
    let (mut driver, mut store) = cell_with_jobs(4_000);
    add_traffic(&mut driver, &mut store, 100);
    driver.advance(100);
    store.store(&mut driver);
    let mut snapshots = 0;

    for _ in 0..100 {
        driver.advance(100);
        snapshots += driver.records.len();
        store.store(&mut driver);
    }

    verify_that!(snapshots, le(JOBS))
}
