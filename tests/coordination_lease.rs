//! Guards against worker leases and task starts that are still valid after the scheduler has given the tasks
//! up.

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

/// Longest wait for the answer to a sync.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// A worker task that syncs with a stand-in. The test takes the place of the scheduler.
struct WorkerTaskHarness {
    workers: WorkerStandin,
    /// Messages to the worker task.
    task_sender: mpsc::Sender<WorkerMessage>,
    /// Messages that the worker task sends to the scheduler.
    scheduler_inbox: mpsc::Receiver<SchedulerMessage>,
    token: CancellationToken,
}

/// Starts a worker task and makes it sync with worker `w` under a lease of 1 s.
async fn start_harness(adapter: WorkerAdapter) -> WorkerTaskHarness {
    let token = CancellationToken::new();
    let workers = WorkerStandin::start("127.0.0.1:0", token.child_token()).await.unwrap();
    let timing = SyncTiming {
        interval: Duration::from_millis(20),
        lease: Duration::from_secs(1),
        answer_timeout: ANSWER_TIMEOUT,
    };
    let (scheduler, scheduler_inbox) = mpsc::channel(1_024);
    let (task_sender, inbox) = mpsc::channel(16);
    let task = WorkerTask::new(adapter, timing, scheduler, EntryMetrics::new().unwrap());
    actix_rt::spawn(task.run(inbox, token.child_token()));
    let address = workers.address.to_string();
    let start_sync = WorkerMessage::StartSync { vm: "w".into(), address, shard: "r1/0".into(), token: 7 };
    task_sender.send(WorkerMessage::OwnershipConfirmed(Instant::now())).await.unwrap();
    task_sender.send(start_sync).await.unwrap();
    WorkerTaskHarness { workers, task_sender, scheduler_inbox, token }
}

impl WorkerTaskHarness {
    /// Returns the next completed sync; other messages are dropped.
    async fn next_sync(&mut self) -> CompletedSync {
        loop {
            if let SchedulerMessage::Synced(sync) = self.scheduler_inbox.recv().await.unwrap() {
                return *sync;
            }
        }
    }

    /// Drops the messages that have already arrived and returns the next completed sync.
    async fn next_new_sync(&mut self) -> CompletedSync {
        while self.scheduler_inbox.try_recv().is_ok() {}
        self.next_sync().await
    }

    async fn command(&self, command: WorkerCommand) {
        self.task_sender.send(WorkerMessage::Command("w".into(), command)).await.unwrap();
    }

    /// Extends the lease with the stamp of a sync, as the scheduler does once it has handled the sync.
    async fn renew(&self, sync: &CompletedSync) {
        let stamp = sync.stamp.clone().unwrap();
        self.task_sender.send(WorkerMessage::Renew("w".into(), stamp)).await.unwrap();
    }

    /// Renews the lease after each completed sync, as the scheduler does, until one has delivered commands.
    /// Returns the tasks of these commands.
    async fn renew_until_delivered(&mut self, first: &CompletedSync) -> Vec<Arc<str>> {
        self.renew(first).await;
        loop {
            let sync = self.next_sync().await;
            if !sync.tasks.is_empty() {
                return sync.tasks;
            }
            self.renew(&sync).await;
        }
    }

    /// Pauses or resumes the worker.
    async fn set_paused(&self, paused: bool) {
        self.workers.set_faults("w", WorkerFaults { paused, ..WorkerFaults::default() }).await;
    }
}

fn worker_http() -> WorkerAdapter {
    AdapterEntry::find(AdapterEntry::worker).unwrap()
}

/// Returns a client whose worker accepts every sync and sends no stamp.
fn connect_unstamped(_address: &str) -> WorkerClient {
    Rc::new(|_| Box::pin(std::future::ready(SyncResult::FullReport(SyncAnswer::default()))))
}

fn start(task: &str) -> WorkerCommand {
    let need = ResourceVector::new(1_000, 1_024, 0);
    WorkerCommand::Start { task: task.into(), team: "blue".into(), need, run_time: None }
}

/// Guards against a start that is sent under the stamp of a sync that the scheduler has not handled yet.
/// While it handles the sync it may give the task up.
#[gtest]
#[actix_rt::test]
async fn a_start_waits_for_a_stamp_that_the_scheduler_has_handled() {
    // Arrange
    let mut harness = start_harness(worker_http()).await;
    harness.next_sync().await;

    // Act
    for task in ["blue/given-up#0@0", "blue/kept#0@0"] {
        harness.command(start(task)).await;
    }
    harness.next_new_sync().await;
    let before_renewal = harness.next_new_sync().await;
    let running_before_renewal = harness.workers.running().await;
    harness.command(WorkerCommand::Stop { task: "blue/given-up#0@0".into() }).await;
    let tasks = harness.renew_until_delivered(&before_renewal).await;

    // Assert
    expect_that!((before_renewal.tasks.len(), running_before_renewal.len()), eq((0, 0)));
    expect_that!(tasks, elements_are![eq(&"blue/kept#0@0".into())]);
    expect_that!(harness.workers.records().await.len(), eq(1));
    harness.token.cancel();
}

/// Guards against a start that is not sent again after the worker rejected it because the lease of the sync
/// had expired.
#[gtest]
#[actix_rt::test]
async fn a_rejected_start_goes_out_under_the_next_stamp() {
    // Arrange: renew with a stamp whose lease has expired, but whose answer seems to have arrived just now.
    let mut harness = start_harness(worker_http()).await;
    let mut old = harness.next_sync().await;
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    old.stamp.as_mut().unwrap().at = Instant::now();
    harness.renew(&old).await;

    // Act
    harness.command(start("blue/job#0@0")).await;
    harness.next_new_sync().await;
    let rejected = harness.next_new_sync().await;
    let running_before_renewal = harness.workers.running().await;
    let tasks = harness.renew_until_delivered(&rejected).await;

    // Assert
    expect_that!((rejected.tasks.len(), running_before_renewal.len()), eq((0, 0)));
    expect_that!(tasks.len(), eq(1));
    expect_that!(harness.workers.running().await.len(), eq(1));
    harness.token.cancel();
}

/// Guards against a start under a stamp that the worker issued before it was restarted.
#[gtest]
#[actix_rt::test]
async fn a_restarted_worker_starts_nothing_under_an_old_stamp() {
    // Arrange
    let mut harness = start_harness(worker_http()).await;
    let before = harness.next_sync().await;
    harness.renew(&before).await;
    harness.next_new_sync().await;

    // Act
    harness.workers.restart("w").await;
    harness.command(start("blue/job#0@0")).await;
    harness.next_new_sync().await;
    let rejected = harness.next_new_sync().await;
    let running_before_renewal = harness.workers.running().await;
    let tasks = harness.renew_until_delivered(&rejected).await;

    // Assert
    expect_that!((rejected.tasks.len(), running_before_renewal.len(), tasks.len()), eq((0, 0, 1)));
    expect_that!(harness.workers.running().await.len(), eq(1));
    harness.token.cancel();
}

/// Guards against a report that is older than the report lag that the kernel allows for when it ends leases:
/// an answer after the timeout must count as a failed sync.
#[gtest]
#[actix_rt::test]
async fn an_answer_after_the_timeout_is_a_failed_sync() {
    // Arrange
    let mut harness = start_harness(worker_http()).await;
    harness.next_sync().await;
    harness.set_paused(true).await;
    while harness.scheduler_inbox.try_recv().is_ok() {}

    // Act: the worker answers after the timeout of the sync, but before that of the HTTP client of the
    // adapter.
    tokio::time::sleep(ANSWER_TIMEOUT * 3).await;
    harness.set_paused(false).await;
    let mut failed_syncs = 0;
    for _ in 0..10 {
        failed_syncs += usize::from(matches!(
            harness.scheduler_inbox.recv().await.unwrap(),
            SchedulerMessage::SyncFailed(..)
        ));
    }

    // Assert
    expect_that!(failed_syncs, ge(1));
    expect_true!(harness.next_sync().await.stamp.is_some());
    harness.token.cancel();
}

/// Guards against starts that wait for a stamp forever if the adapter has no stamps.
#[gtest]
#[actix_rt::test]
async fn an_adapter_without_stamps_sends_starts_at_once() {
    // Arrange
    let mut harness =
        start_harness(WorkerAdapter { supports_stamps: false, connect: connect_unstamped, ..worker_http() })
            .await;
    harness.next_sync().await;

    // Act
    harness.command(start("blue/job#0@0")).await;
    let mut tasks = Vec::new();
    while tasks.is_empty() {
        tasks = harness.next_sync().await.tasks;
    }

    // Assert
    expect_that!(tasks.len(), eq(1));
    harness.token.cancel();
}
