//! Tests of the log lines about the records that a new owner has read, and those that it has not.

mod fixture_log;

use std::rc::Rc;
use std::time::Duration;

use fixture_log::{await_line, keep_lines, lines_with};
use futures_util::FutureExt;
use godwithaven::kernel::ResourceVector;
use godwithaven::kernel::cell::admission::MemoryBudget;
use godwithaven::kernel::cell::{CellRecord, EndCause, GraphSpec, StepSpec, TaskKey};
use godwithaven::prelude::FastSet;
use godwithaven::tasks::cell::intake::JobRecord;
use godwithaven::tasks::cell::metrics::CellMetrics;
use godwithaven::tasks::cell::owner::OwnerTask;
use godwithaven::tasks::cell::ownership_lease::OwnershipLease;
use godwithaven::tasks::cell::ports::{
    AppendOutcome, AppendRequest, CellAdapter, ReadFault, StoreClient, TopicPage, TopicRecord,
};
use godwithaven::tasks::cell::store_limits::StoreLimits;
use googletest::prelude::*;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

const JOB: &str = "00000000000000a1";

/// The log of a cell in a store.
#[derive(Clone)]
struct CellLog {
    /// Offset of the oldest retained record.
    first: u64,
    records: Vec<CellRecord>,
    /// Whether the store refuses reads below the oldest retained record, rather than to answer from there.
    refuses_expired: bool,
    /// Offset in the answer to the fencing append.
    fence: u64,
}

impl CellLog {
    fn read(&self, from: u64) -> std::result::Result<TopicPage, ReadFault> {
        if self.refuses_expired && from < self.first {
            return Err(ReadFault::Expired(self.first));
        }
        let values = self.records.iter().map(|record| serde_json::to_vec(record).expect("it is serialized"));
        Ok(page(self.first, from.max(self.first), values.collect()))
    }

    /// Returns a store with this log and the submission of a job of two tasks.
    fn into_store(self) -> StoreClient {
        let fence = self.fence;
        let append = move |request: AppendRequest| {
            let offset = if request.records.is_empty() { fence } else { 0 };
            std::future::ready(AppendOutcome::Stored(offset)).boxed_local()
        };
        let read = move |topic: &'static str, partition, from, wait| {
            let page = match topic {
                "jobs" if partition == 0 => Ok(page(0, from, vec![submission()])),
                "cell" => self.read(from),
                _ => Ok(TopicPage { next: from, end: from, ..TopicPage::default() }),
            };
            async move {
                tokio::time::sleep(wait).await;
                page
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
}

/// Returns the records from an offset on, of which the first is at `first`.
fn page(first: u64, from: u64, values: Vec<Vec<u8>>) -> TopicPage {
    let end = first + values.len() as u64;
    let records = (first..).zip(values).filter(|(offset, _)| *offset >= from);
    let records = records.map(|(offset, value)| TopicRecord { offset, key: None, value: value.into() });
    TopicPage { records: records.collect(), next: end, end, first }
}

fn submission() -> Vec<u8> {
    let need = ResourceVector::new(1_000, 100, 0);
    let job = GraphSpec {
        id: JOB.into(),
        queue: "q".into(),
        team: "".into(),
        payload: "x".into(),
        steps: vec![StepSpec { tasks: 2, need, ..StepSpec::default() }],
        schedule: None,
        submitted: Duration::from_secs(1_000_000),
    };
    serde_json::to_vec(&JobRecord::Submit(job)).expect("the job is serialized")
}

fn task(name: &str) -> TaskKey {
    TaskKey::parse(name).expect("the name is valid")
}

/// Returns records of which one can be applied, two are of an unknown job and one is of an unknown step.
fn records() -> Vec<CellRecord> {
    let other = task("00000000000000b2.0.0.0");
    vec![
        CellRecord::Started(task(&format!("{JOB}.0.0.0")), 1, "w0".into()),
        CellRecord::Started(other.clone(), 1, "w0".into()),
        CellRecord::Lost(other, 1),
        CellRecord::Ended(task(&format!("{JOB}.0.7.0")), 1, EndCause::Done, None),
    ]
}

/// Lets an owner with this fencing token recover; returns its line about that.
async fn recover(log: CellLog, token: u64) -> Result<String> {
    keep_lines();
    let (owner, inbox) = mpsc::channel(64);
    let (advisor_sender, advisor_inbox) = mpsc::channel(64);
    let (admission_sender, admission_inbox) = mpsc::channel(64);
    let task = OwnerTask {
        token,
        adapter: CellAdapter::find(|_| Some(String::new())).or_fail()?.0,
        store: log.into_store(),
        own_sender: owner,
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
    let stop = CancellationToken::new();
    let owner_stop = stop.clone();
    actix_rt::spawn(async move {
        let _inboxes = (advisor_inbox, admission_inbox);
        task.run(inbox, owner_stop).await
    });
    let line = await_line(&["message=\"cell recovered\"", &format!("token=\"{token}\"")]).await;
    stop.cancel();
    line.or_fail()
}

/// Guards against a recovery whose log does not tell how much was read and which records were skipped.
#[gtest]
#[actix_rt::test]
async fn a_recovery_tells_what_was_read_and_skipped() -> Result<()> {
    let log = CellLog { first: 3, records: records(), refuses_expired: true, fence: 7 };

    let line = recover(log, 101).await?;

    let counts = "records=\"4\" first=\"3\" next=\"7\" fence=\"7\" submissions=\"1\" open_jobs=\"1\" \
                  closed_jobs=\"0\" placed_tasks=\"1\" skipped_unknown_jobs=\"2\" skipped_closed_jobs=\"0\" \
                  skipped_unknown_steps=\"1\"";
    verify_that!(line, contains_substring(counts))?;
    verify_that!(lines_with(&["expired records are skipped", "topic=\"cell\"", "first=\"3\""]).len(), eq(1))?;
    verify_that!(lines_with(&["below the fence", "token=\"101\""]), is_empty())
}

/// Guards against a new owner that misses records in silence: it reads them after its fence is in place, so the
/// read has to reach at least the offset of the fence.
#[gtest]
#[actix_rt::test]
async fn a_read_that_ends_below_the_fence_is_an_error() -> Result<()> {
    let log = CellLog { first: 0, records: records(), refuses_expired: false, fence: 9 };

    recover(log, 102).await?;

    let errors = lines_with(&["level=error", "records end below the fence", "token=\"102\""]);
    verify_that!(errors.len(), eq(1))?;
    verify_that!(errors[0], contains_substring("next=\"4\" fence=\"9\""))
}

/// Guards against expired records that are skipped in silence, as a store may also answer from its oldest record.
#[gtest]
#[actix_rt::test]
async fn a_page_that_begins_after_expired_records_leaves_a_line() -> Result<()> {
    let log = CellLog { first: 11, records: records(), refuses_expired: false, fence: 15 };

    let line = recover(log, 103).await?;

    verify_that!(line, contains_substring("first=\"11\" next=\"15\" fence=\"15\""))?;
    verify_that!(lines_with(&["expired records are skipped", "topic=\"cell\"", "first=\"11\""]).len(), eq(1))
}
