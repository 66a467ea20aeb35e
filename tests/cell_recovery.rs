//! Tests of what a new owner learns from the store while the former one still acts.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::FutureExt;
use godwithaven::clock::unix_time;
use godwithaven::kernel::ResourceVector;
use godwithaven::kernel::cell::admission::MemoryBudget;
use godwithaven::kernel::cell::{CellRecord, EndCause, GraphSpec, JobStatus, StepSpec, TaskKey};
use godwithaven::prelude::FastSet;
use godwithaven::tasks::cell::intake::JobRecord;
use godwithaven::tasks::cell::metrics::CellMetrics;
use godwithaven::tasks::cell::owner::{JobAnswer, OwnerMessage, OwnerTask};
use godwithaven::tasks::cell::ownership_lease::OwnershipLease;
use godwithaven::tasks::cell::ports::{
    AppendOutcome, AppendRequest, CellAdapter, ReadFault, StoreClient, TopicPage, TopicRecord,
};
use godwithaven::tasks::cell::record_codec::RecordDecoder;
use godwithaven::tasks::cell::store_limits::StoreLimits;
use googletest::prelude::*;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

const JOB: &str = "00000000000000a1";
/// Tasks of a job whose snapshot exceeds a record of the store.
const LARGE_JOB_TASKS: u32 = 3_000;
/// Longest wait for the state of the job, far above the usual time.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

fn job() -> GraphSpec {
    let need = ResourceVector::new(1_000, 100, 0);
    GraphSpec {
        id: JOB.into(),
        queue: "q".into(),
        team: "".into(),
        payload: "x".into(),
        steps: vec![StepSpec { tasks: 1, need, ..StepSpec::default() }],
        schedule: None,
        submitted: Duration::from_secs(1_000_000),
    }
}

/// Returns a page of records from offset 0; reads from later offsets are empty.
fn page(values: Vec<Vec<u8>>, from: u64) -> TopicPage {
    let end = values.len() as u64;
    let record = |(offset, value): (u64, Vec<u8>)| TopicRecord { offset, key: None, value: value.into() };
    let records = (0..).zip(values).skip(usize::try_from(from).unwrap_or(usize::MAX)).map(record);
    TopicPage { records: records.collect(), next: end, end, first: 0 }
}

/// Returns a store in which a job is stored, started and completed by the former owner after the new owner
/// has read the submissions for the first time and before it has fenced the former one.
fn store_with_a_late_job() -> StoreClient {
    let is_fenced = Rc::new(Cell::new(false));
    let fence = is_fenced.clone();
    let append = move |request: AppendRequest| {
        let fence = fence.clone();
        async move {
            if request.topic == "cell" && request.records.is_empty() {
                // Longer than the first reads of the submissions take.
                tokio::time::sleep(Duration::from_millis(200)).await;
                fence.set(true);
            }
            AppendOutcome::Stored(0)
        }
        .boxed_local()
    };
    let read = move |topic: &'static str, partition, from, wait| {
        let is_fenced = is_fenced.get();
        async move {
            tokio::time::sleep(wait).await;
            let task = TaskKey::parse(&format!("{JOB}.0.0.0")).expect("the name is valid");
            let values = match topic {
                "jobs" if is_fenced && partition == 0 => {
                    vec![serde_json::to_vec(&JobRecord::Submit(job())).expect("the job is serialized")]
                }
                "cell" => vec![
                    serde_json::to_vec(&CellRecord::Started(task.clone(), 1, "w0".into())),
                    serde_json::to_vec(&CellRecord::Ended(task, 1, EndCause::Done, None)),
                ]
                .into_iter()
                .map(|value| value.expect("the record is serialized"))
                .collect(),
                _ => Vec::new(),
            };
            Ok(page(values, from))
        }
        .boxed_local()
    };
    StoreClient {
        limits: StoreLimits::default(),
        append: Rc::new(append),
        read: Rc::new(read),
        newest: Rc::new(|_| std::future::ready(Err(ReadFault::Failed("none".to_owned()))).boxed_local()),
    }
}

/// Returns a store in which other jobs are submitted faster than an owner reads them, after its recovery.
fn store_with_endless_submissions() -> StoreClient {
    let read = |topic: &'static str, partition, from: u64, wait: Duration| {
        async move {
            tokio::time::sleep(wait.min(Duration::from_millis(20))).await;
            // Reads of the recovery do not wait; it ends once they have reached the end.
            if topic != "jobs" || partition != 0 || wait.is_zero() {
                return Ok(TopicPage { records: Vec::new(), next: from, end: from, first: 0 });
            }
            let other = GraphSpec { id: format!("{from:016x}").into(), ..job() };
            let value = serde_json::to_vec(&JobRecord::Submit(other)).expect("the job is serialized");
            let record = TopicRecord { offset: from, key: None, value: value.into() };
            Ok(TopicPage { records: vec![record], next: from + 1, end: u64::MAX, first: 0 })
        }
        .boxed_local()
    };
    StoreClient {
        limits: StoreLimits::default(),
        append: Rc::new(|_| std::future::ready(AppendOutcome::Stored(0)).boxed_local()),
        read: Rc::new(read),
        newest: Rc::new(|_| std::future::ready(Err(ReadFault::Failed("none".to_owned()))).boxed_local()),
    }
}

/// Starts the owner of a cell; returns the sender of its messages.
fn start_owner(store: StoreClient, token: &CancellationToken) -> Result<mpsc::Sender<OwnerMessage>> {
    let (owner, inbox) = mpsc::channel(64);
    let (advisor_sender, advisor_inbox) = mpsc::channel(64);
    let (admission_sender, admission_inbox) = mpsc::channel(64);
    let task = OwnerTask {
        token: 2,
        adapter: CellAdapter::find(|_| Some(String::new())).or_fail()?.0,
        store,
        own_sender: owner.clone(),
        advisor_sender,
        admission_sender,
        config: None,
        closed_zones: FastSet::default(),
        longest_lease: Duration::from_secs(10),
        ownership: OwnershipLease::new(),
        former_release: None,
        log_retention: Duration::from_secs(300),
        usage_half_life: Duration::ZERO,
        memory_budget: MemoryBudget::of_process(260_000_000),
        metrics: CellMetrics::new().or_fail()?,
    };
    let stop = token.clone();
    actix_rt::spawn(async move {
        let _inboxes = (advisor_inbox, admission_inbox);
        task.run(inbox, stop).await
    });
    Ok(owner)
}

/// Asks the owner for the state of the job.
async fn inspect(owner: &mpsc::Sender<OwnerMessage>) -> Result<JobAnswer> {
    let (reply, state) = oneshot::channel();
    owner.send(OwnerMessage::Inspect(JOB.into(), reply)).await.or_fail()?;
    state.await.or_fail()
}

/// Guards against tasks that run again: a job that is stored, started and completed by the former owner while
/// the new one recovers is unknown when its records are replayed, and would start anew once its submission is
/// read.
#[gtest]
#[actix_rt::test]
async fn a_job_completed_before_the_fence_is_known_after_recovery() -> Result<()> {
    let token = CancellationToken::new();
    let owner = start_owner(store_with_a_late_job(), &token)?;

    let started = Instant::now();
    let mut answer = JobAnswer::Missing;
    while !matches!(answer, JobAnswer::Known(_)) && started.elapsed() < WAIT_TIMEOUT {
        answer = inspect(&owner).await?;
    }
    token.cancel();

    verify_that!(answer, eq(JobAnswer::Known(JobStatus::Completed)))
}

/// Guards against an accepted job that is said not to exist: pages of submissions are bounded in size, and one
/// that does not reach the end of its partition counted as if it had shown all jobs.
#[gtest]
#[actix_rt::test]
async fn a_job_that_is_not_read_yet_is_not_missing() -> Result<()> {
    let token = CancellationToken::new();
    let owner = start_owner(store_with_endless_submissions(), &token)?;
    let at_first = inspect(&owner).await?;

    // Longer than the age up to which the last complete read counts.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let answer = inspect(&owner).await?;
    token.cancel();

    verify_that!(at_first, eq(JobAnswer::Missing))?;
    verify_that!(answer, eq(JobAnswer::SubmissionsStale))
}

/// Returns a store with these limits that holds a job and the records of a former owner, and the records that are
/// appended to the log of the cell.
fn store_with(
    limits: StoreLimits,
    spec: GraphSpec,
    cell: Vec<CellRecord>,
) -> (StoreClient, Rc<RefCell<Vec<Bytes>>>) {
    let appended = Rc::new(RefCell::new(Vec::new()));
    let records = appended.clone();
    let append = move |request: AppendRequest| {
        if request.topic == "cell" {
            records.borrow_mut().extend(request.records);
        }
        std::future::ready(AppendOutcome::Stored(0)).boxed_local()
    };
    let read = move |topic: &'static str, partition, from, wait| {
        let (spec, cell) = (spec.clone(), cell.clone());
        async move {
            tokio::time::sleep(wait).await;
            let values = match topic {
                "jobs" if partition == 0 => vec![serde_json::to_vec(&JobRecord::Submit(spec))],
                "cell" => cell.iter().map(serde_json::to_vec).collect(),
                _ => Vec::new(),
            };
            let values = values.into_iter().map(|value| value.expect("the record is serialized"));
            Ok(page(values.collect(), from))
        }
        .boxed_local()
    };
    let client = StoreClient {
        limits,
        append: Rc::new(append),
        read: Rc::new(read),
        newest: Rc::new(|_| std::future::ready(Err(ReadFault::Failed("none".to_owned()))).boxed_local()),
    };
    (client, appended)
}

/// Returns the starts of this many tasks of a job.
fn starts(job: &str, tasks: u32) -> Vec<CellRecord> {
    let keys = (0..tasks).map(|index| TaskKey::parse(&format!("{job}.0.0.{index}")));
    keys.map(|key| CellRecord::Started(key.expect("the name is valid"), 1, "w0".into())).collect()
}

/// Waits for a snapshot of the job; returns whether one was appended in time.
async fn await_snapshot(appended: &RefCell<Vec<Bytes>>, timeout: Duration) -> bool {
    let is_snapshot =
        |record: &CellRecord| matches!(record, CellRecord::Snapshot(job) if &*job.spec.id == JOB);
    let started = Instant::now();
    while started.elapsed() < timeout {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let mut decoder = RecordDecoder::default();
        let appended = appended.borrow();
        if appended.iter().filter_map(|value| decoder.decode(value).ok().flatten()).any(|r| is_snapshot(&r)) {
            return true;
        }
    }
    false
}

/// Guards against a job that is forgotten, with all its runs, because its snapshot exceeds a record of the
/// store: it was dropped with a line in the log.
#[gtest]
#[actix_rt::test]
async fn the_snapshot_of_a_large_job_is_stored() -> Result<()> {
    let token = CancellationToken::new();
    let step = StepSpec { tasks: LARGE_JOB_TASKS, ..job().steps[0].clone() };
    let spec = GraphSpec { steps: vec![step], ..job() };
    let (store, appended) = store_with(StoreLimits::default(), spec, starts(JOB, LARGE_JOB_TASKS));
    let _owner = start_owner(store, &token)?;

    let recorded = await_snapshot(&appended, WAIT_TIMEOUT).await;
    token.cancel();

    let largest = appended.borrow().iter().map(Bytes::len).max();
    verify_that!(recorded, eq(true))?;
    verify_that!(largest, some(le(StoreLimits::default().record_bytes)))
}

/// Guards against a job whose records the store drops by size soon after a change of the owner: a new owner did not
/// know how much of the partition is full. The job is too young to be recorded again by time.
#[gtest]
#[actix_rt::test]
async fn a_new_owner_counts_the_records_that_it_reads() -> Result<()> {
    let token = CancellationToken::new();
    let limits = StoreLimits { record_bytes: 16_384, partition_bytes: 20_000, ..StoreLimits::default() };
    let young = || GraphSpec { submitted: unix_time(), ..job() };
    let (full_store, full_appended) = store_with(limits, young(), starts("b2", 400));
    let (empty_store, empty_appended) = store_with(limits, young(), starts("b2", 4));
    let _owners = (start_owner(full_store, &token)?, start_owner(empty_store, &token)?);

    let full_recorded = await_snapshot(&full_appended, WAIT_TIMEOUT).await;
    let empty_recorded = await_snapshot(&empty_appended, Duration::from_millis(500)).await;
    token.cancel();

    verify_that!(full_recorded, eq(true))?;
    verify_that!(empty_recorded, eq(false))
}
