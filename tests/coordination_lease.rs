//! Guards against leases and starts that outlive what the scheduler believes of a worker.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use godwithaven::kernel::{ResourceVector, WorkerCommand};
use godwithaven::tasks::adapter::{AdapterEntry, SyncAnswer, SyncResult, WorkerAdapter, WorkerClient};
use godwithaven::tasks::metrics::EntryMetrics;
use godwithaven::tasks::scheduler::SchedulerMessage;
use godwithaven::tasks::worker::{CompletedSync, SyncTiming, WorkerMessage, WorkerTask};
use godwithaven_standins::worker::{WorkerFaults, WorkerStandin};
use googletest::prelude::*;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Longest wait for an answer in these tests.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// The worker task against a stand-in; the test takes the place of the scheduler.
struct Bench {
    workers: WorkerStandin,
    tell: mpsc::Sender<WorkerMessage>,
    heard: mpsc::Receiver<SchedulerMessage>,
    token: CancellationToken,
}

/// Starts to sync with worker `w` under a lease of 1 s.
async fn bench(adapter: WorkerAdapter) -> Bench {
    let token = CancellationToken::new();
    let workers = WorkerStandin::start("127.0.0.1:0", token.child_token()).await.unwrap();
    let timing = SyncTiming {
        interval: Duration::from_millis(20),
        lease: Duration::from_secs(1),
        answer_timeout: ANSWER_TIMEOUT,
    };
    let (scheduler, heard) = mpsc::channel(1_024);
    let (tell, inbox) = mpsc::channel(16);
    let task = WorkerTask::new(adapter, timing, scheduler, EntryMetrics::new().unwrap());
    actix_rt::spawn(task.run(inbox, token.child_token()));
    let address = workers.address.to_string();
    let own = WorkerMessage::StartSync { vm: "w".into(), address, shard: "r1/0".into(), token: 7 };
    tell.send(own).await.unwrap();
    Bench { workers, tell, heard, token }
}

impl Bench {
    async fn answered(&mut self) -> CompletedSync {
        loop {
            if let SchedulerMessage::Synced(sync) = self.heard.recv().await.unwrap() {
                return *sync;
            }
        }
    }

    /// Drops what the scheduler has not looked at and waits for the next answer.
    async fn next_answered(&mut self) -> CompletedSync {
        while self.heard.try_recv().is_ok() {}
        self.answered().await
    }

    async fn command(&self, command: WorkerCommand) {
        self.tell.send(WorkerMessage::Command("w".into(), command)).await.unwrap();
    }

    async fn renew(&self, sync: &CompletedSync) {
        let stamp = sync.stamp.clone().unwrap();
        self.tell.send(WorkerMessage::Renew("w".into(), stamp)).await.unwrap();
    }

    /// Handles answers as the scheduler does until one delivers commands; returns their tasks.
    async fn renew_until_delivered(&mut self, first: &CompletedSync) -> Vec<Arc<str>> {
        self.renew(first).await;
        loop {
            let sync = self.answered().await;
            if !sync.tasks.is_empty() {
                return sync.tasks;
            }
            self.renew(&sync).await;
        }
    }

    async fn pause(&self, paused: bool) {
        self.workers.set_faults("w", WorkerFaults { paused, ..WorkerFaults::default() }).await;
    }
}

fn worker_http() -> WorkerAdapter {
    AdapterEntry::find(AdapterEntry::worker).unwrap()
}

/// Returns a client that accepts everything and sends no stamp.
fn connect_unstamped(_address: &str) -> WorkerClient {
    Rc::new(|_| Box::pin(std::future::ready(SyncResult::FullReport(SyncAnswer::default()))))
}

fn start(task: &str) -> WorkerCommand {
    let need = ResourceVector::new(1_000, 1_024, 0);
    WorkerCommand::Start { task: task.into(), team: "blue".into(), need, run_time: None }
}

/// Guards against a start under an answer that the scheduler has not handled: it may have given the task up.
#[gtest]
#[actix_rt::test]
async fn a_start_waits_for_a_stamp_that_the_scheduler_has_handled() {
    // Arrange
    let mut bench = bench(worker_http()).await;
    bench.answered().await;

    // Act
    for task in ["blue/given-up#0@0", "blue/kept#0@0"] {
        bench.command(start(task)).await;
    }
    bench.next_answered().await;
    let unstamped = bench.next_answered().await;
    let early = bench.workers.running().await;
    bench.command(WorkerCommand::Stop { task: "blue/given-up#0@0".into() }).await;
    let tasks = bench.renew_until_delivered(&unstamped).await;

    // Assert
    expect_that!((unstamped.tasks.len(), early.len()), eq((0, 0)));
    expect_that!(tasks, elements_are![eq(&"blue/kept#0@0".into())]);
    expect_that!(bench.workers.records().await.len(), eq(1));
    bench.token.cancel();
}

/// Guards against a start that the worker rejects, as the lease of its sync is over, and that is never sent again.
#[gtest]
#[actix_rt::test]
async fn a_rejected_start_goes_out_under_the_next_stamp() {
    // Arrange: the stamp is old, but its answer seems to have arrived just now.
    let mut bench = bench(worker_http()).await;
    let mut old = bench.answered().await;
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    old.stamp.as_mut().unwrap().at = Instant::now();
    bench.renew(&old).await;

    // Act
    bench.command(start("blue/job#0@0")).await;
    bench.next_answered().await;
    let rejected = bench.next_answered().await;
    let early = bench.workers.running().await;
    let tasks = bench.renew_until_delivered(&rejected).await;

    // Assert
    expect_that!((rejected.tasks.len(), early.len()), eq((0, 0)));
    expect_that!(tasks.len(), eq(1));
    expect_that!(bench.workers.running().await.len(), eq(1));
    bench.token.cancel();
}

/// Guards against a start that was meant for an earlier life of the worker.
#[gtest]
#[actix_rt::test]
async fn a_restarted_worker_starts_nothing_under_an_old_stamp() {
    // Arrange
    let mut bench = bench(worker_http()).await;
    let before = bench.answered().await;
    bench.renew(&before).await;
    bench.next_answered().await;

    // Act
    bench.workers.restart("w").await;
    bench.command(start("blue/job#0@0")).await;
    bench.next_answered().await;
    let rejected = bench.next_answered().await;
    let early = bench.workers.running().await;
    let tasks = bench.renew_until_delivered(&rejected).await;

    // Assert
    expect_that!((rejected.tasks.len(), early.len(), tasks.len()), eq((0, 0, 1)));
    expect_that!(bench.workers.running().await.len(), eq(1));
    bench.token.cancel();
}

/// Guards against a report that is older than the lag that the kernel allows for when it ends leases.
#[gtest]
#[actix_rt::test]
async fn an_answer_later_than_the_report_lag_is_no_answer() {
    // Arrange
    let mut bench = bench(worker_http()).await;
    bench.answered().await;
    bench.pause(true).await;
    while bench.heard.try_recv().is_ok() {}

    // Act: the worker answers late, but before the client of the adapter would give up.
    tokio::time::sleep(ANSWER_TIMEOUT * 3).await;
    bench.pause(false).await;
    let mut silent = 0;
    for _ in 0..10 {
        silent += usize::from(matches!(bench.heard.recv().await.unwrap(), SchedulerMessage::SyncFailed(..)));
    }

    // Assert
    expect_that!(silent, ge(1));
    expect_true!(bench.answered().await.stamp.is_some());
    bench.token.cancel();
}

/// Guards against an adapter without stamps that never starts anything.
#[gtest]
#[actix_rt::test]
async fn an_adapter_without_stamps_sends_starts_at_once() {
    // Arrange
    let mut bench =
        bench(WorkerAdapter { supports_stamps: false, connect: connect_unstamped, ..worker_http() }).await;
    bench.answered().await;

    // Act
    bench.command(start("blue/job#0@0")).await;
    let mut tasks = Vec::new();
    while tasks.is_empty() {
        tasks = bench.answered().await.tasks;
    }

    // Assert
    expect_that!(tasks.len(), eq(1));
    bench.token.cancel();
}
