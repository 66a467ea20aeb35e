//! Tests of what an owner says about its term when it releases the cell.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use godwithaven::kernel::cell::admission::MemoryBudget;
use godwithaven::kernel::cell::{CellConfig, ClaimKind, ClaimRecord, ClaimWatch, HandoverWatch};
use godwithaven::tasks::cell::claim::{CLAIM_TOPIC, ClaimMessage, ClaimTask};
use godwithaven::tasks::cell::metrics::CellMetrics;
use godwithaven::tasks::cell::peer::OwnerRoute;
use godwithaven::tasks::cell::ports::{
    AppendOutcome, AppendRequest, CellAdapter, ReadFault, StoreClient, TopicPage, TopicRecord,
};
use godwithaven::tasks::cell::store_limits::StoreLimits;
use googletest::prelude::*;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

/// Time in which a process claims a cell without an owner and begins its term; far above the usual time.
const TERM_START_TIME: Duration = Duration::from_secs(2);

/// The records of the claim log.
type ClaimLog = Rc<RefCell<Vec<ClaimRecord>>>;

/// Returns a store that keeps the claim log and answers appends that fence earlier owners only if `fences`.
fn store(claims: &ClaimLog, fences: bool) -> StoreClient {
    let (appended, read) = (claims.clone(), claims.clone());
    let append = move |request: AppendRequest| {
        let mut log = appended.borrow_mut();
        let next = log.len() as u64;
        if request.topic != CLAIM_TOPIC {
            return if fences {
                std::future::ready(AppendOutcome::Stored(0)).boxed_local()
            } else {
                std::future::pending().boxed_local()
            };
        }
        if request.expected_offset.is_some_and(|expected| expected != next) {
            return std::future::ready(AppendOutcome::OffsetMismatch(next)).boxed_local();
        }
        log.extend(request.records.iter().map(|value| serde_json::from_slice(value).expect("a claim")));
        std::future::ready(AppendOutcome::Stored(next)).boxed_local()
    };
    let read = move |topic: &'static str, _, from: u64, wait: Duration| {
        let read = read.clone();
        async move {
            tokio::time::sleep(wait.min(Duration::from_millis(20))).await;
            let log = read.borrow();
            let records = (0..).zip(log.iter()).filter(|(offset, _)| topic == CLAIM_TOPIC && *offset >= from);
            let record = |(offset, claim): (u64, &ClaimRecord)| {
                let value = serde_json::to_vec(claim).expect("the claim is serialized");
                TopicRecord { offset, key: None, value: value.into() }
            };
            let records: Vec<TopicRecord> = records.map(record).collect();
            let end = from + records.len() as u64;
            Ok(TopicPage { records, next: end, end, first: 0 })
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

/// Lets a process claim the cell and then resign; returns the records of the claim log.
async fn claim_and_resign(fences: bool) -> Result<Vec<ClaimRecord>> {
    let claims = ClaimLog::default();
    let (own_sender, inbox) = mpsc::channel(64);
    let (advisor_sender, _advisor_inbox) = mpsc::channel(64);
    let (admission_sender, _admission_inbox) = mpsc::channel(64);
    let (intake_sender, _intake_inbox) = mpsc::channel(64);
    let task = ClaimTask {
        process: "p1".into(),
        address: "127.0.0.1:1".into(),
        adapter: CellAdapter::find(|_| Some(String::new())).or_fail()?.0,
        store: store(&claims, fences),
        advisor: None,
        advisor_sender,
        admission_sender,
        intake_sender,
        metrics: CellMetrics::new().or_fail()?,
        own_sender: own_sender.clone(),
        route: watch::Sender::new(OwnerRoute::Unknown),
        longest_lease: Duration::from_secs(10),
        log_retention: Duration::from_secs(300),
        usage_half_life: Duration::ZERO,
        memory_budget: MemoryBudget::of_process(260_000_000),
        claim_watch: ClaimWatch::new(Duration::from_millis(100), Duration::ZERO),
        handover_watch: HandoverWatch::new(1_000),
        cpu_limit: 1_000,
        peers: Vec::new(),
    };
    let token = CancellationToken::new();
    let stop = token.clone();
    actix_rt::spawn(async move { task.run(inbox, stop).await });
    own_sender.send(ClaimMessage::Configured(CellConfig::default().into())).await.or_fail()?;

    tokio::time::sleep(TERM_START_TIME).await;
    let (done, released) = oneshot::channel();
    own_sender.send(ClaimMessage::Resign(done)).await.or_fail()?;
    released.await.or_fail()?;
    token.cancel();
    Ok(claims.take())
}

/// Guards against tasks that run twice: an owner that had not fenced the one before it must not let its successor
/// wait for less, as that one may still grant leases.
#[gtest]
#[actix_rt::test]
async fn a_release_tells_whether_the_term_had_fenced_earlier_owners() -> Result<()> {
    let fenced = claim_and_resign(true).await?;
    let not_fenced = claim_and_resign(false).await?;

    let told = |claims: &[ClaimRecord]| {
        let last = claims.last().filter(|claim| claim.kind == ClaimKind::Release)?;
        last.release.map(|release| (release.token, release.fenced_for.is_some()))
    };
    verify_that!(told(&fenced), some(eq((1, true))))?;
    verify_that!(told(&not_fenced), some(eq((1, false))))
}
