//! Syncs with one worker: sends commands to it and passes its reports to the scheduler.

use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::kernel::{OWNERSHIP_LEASE, SyncTiming, TaskReport, TrackedTasks, WorkerCommand};
use crate::prelude::*;
use crate::tasks::adapter::{SyncAnswer, SyncRequest, SyncResult, WorkerAdapter, WorkerClient};
use crate::tasks::metrics::EntryMetrics;
use crate::tasks::scheduler::SchedulerMessage;
use crate::tasks::worker::{CompletedSync, ReceivedStamp};

/// Message to a [`SyncLoop`].
pub enum SyncMessage {
    /// Sends a command with the next sync.
    Command(WorkerCommand),
    /// Extends the worker's lease with the next syncs, counted from this stamp.
    Renew(ReceivedStamp),
}

/// A command that still has to be carried by a sync that the worker answers.
struct PendingCommand {
    command: WorkerCommand,
    /// Whether any sync carried it, so that the worker may have received it.
    ever_sent: bool,
    /// Whether the last sync carried it.
    in_last_sync: bool,
}

impl PendingCommand {
    const fn is_start(&self) -> bool {
        matches!(self.command, WorkerCommand::Start { .. })
    }
}

/// The worker that a [`SyncLoop`] syncs with, and the claim under which it does so.
pub struct SyncTarget {
    /// VM of the worker.
    pub vm: VmId,
    /// Address of the worker.
    pub address: String,
    /// Shard that the worker belongs to.
    pub shard: ShardId,
    /// Fencing token under which this process owns the shard.
    pub fencing_token: FencingToken,
}

/// Syncs with one worker and keeps the commands that the worker has not confirmed yet.
pub struct SyncLoop {
    vm: VmId,
    shard: ShardId,
    fencing_token: FencingToken,
    client: WorkerClient,
    /// Whether the worker stamps its answers; see [`WorkerAdapter::supports_stamps`].
    supports_stamps: bool,
    /// Stamp of the newest answer that the scheduler has handled.
    newest_stamp: Option<ReceivedStamp>,
    /// Whether the worker has no lease and a valid stamp has just arrived, so that the next sync is due at
    /// once.
    first_lease_due: bool,
    timing: SyncTiming,
    /// Newest time at which certainly no other process owned the shard.
    ownership: watch::Receiver<Option<Instant>>,
    scheduler: mpsc::Sender<SchedulerMessage>,
    pending: Vec<PendingCommand>,
    /// Tasks whose starts were dropped before any sync carried them; not yet reported to the scheduler.
    withdrawn_starts: Vec<TaskId>,
    /// End of the lease that the first failed sync since the last answer may have granted; used for workers
    /// without stamps.
    unconfirmed_lease_end: Option<Instant>,
    /// Running tasks of the last report and their revision; `None` if the worker gives no revisions.
    known_running: Option<(ReportRevision, Vec<TaskReport>)>,
    /// Whether the next sync is due after the minimum interval: at the start, and after a sync that failed,
    /// carried commands, reported ended tasks or left commands pending.
    sync_soon: bool,
    tracked_tasks: TrackedTasks,
    metrics: EntryMetrics,
}

impl SyncLoop {
    /// Returns a sync loop that syncs at once when it runs.
    #[must_use]
    pub fn new(
        target: SyncTarget,
        adapter: WorkerAdapter,
        timing: SyncTiming,
        ownership: watch::Receiver<Option<Instant>>,
        scheduler: mpsc::Sender<SchedulerMessage>,
        metrics: EntryMetrics,
    ) -> Self {
        Self {
            vm: target.vm,
            shard: target.shard,
            fencing_token: target.fencing_token,
            client: (adapter.connect)(&target.address),
            supports_stamps: adapter.supports_stamps,
            newest_stamp: None,
            first_lease_due: false,
            timing,
            ownership,
            scheduler,
            pending: Vec::new(),
            withdrawn_starts: Vec::new(),
            unconfirmed_lease_end: None,
            known_running: None,
            sync_soon: true,
            tracked_tasks: TrackedTasks::default(),
            metrics,
        }
    }

    /// Runs until `shutdown` is cancelled or the worker has accepted a newer fencing token.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<SyncMessage>, shutdown: CancellationToken) {
        let mut due = tokio::time::Instant::now();
        loop {
            tokio::select! {
                biased;
                () = shutdown.cancelled() => return,
                received = inbox.recv() => match received {
                    Some(message) => {
                        let is_command = matches!(message, SyncMessage::Command(_));
                        self.receive(message);
                        if !is_command && !self.first_lease_due {
                            continue;
                        }
                    }
                    None => return,
                },
                () = tokio::time::sleep_until(due) => {}
            }
            while let Ok(message) = inbox.try_recv() {
                self.receive(message);
            }
            self.first_lease_due = false;
            // No command may be sent for a shard that was lost in the meantime.
            if shutdown.is_cancelled() || !self.sync(&mut inbox).await {
                return;
            }
            let wait = if self.first_lease_due { Duration::ZERO } else { self.next_wait() };
            due = tokio::time::Instant::now() + wait;
        }
    }

    fn receive(&mut self, message: SyncMessage) {
        match message {
            SyncMessage::Command(command) => self.queue(command),
            SyncMessage::Renew(stamp) => {
                let had_no_lease = self.valid_stamp().is_none();
                self.newest_stamp = Some(stamp);
                self.first_lease_due |= had_no_lease && self.valid_stamp().is_some();
            }
        }
    }

    /// Queues a command. A stop replaces the pending commands of its task; if these include a start that no
    /// sync has carried, both are dropped and the start is reported as withdrawn.
    fn queue(&mut self, command: WorkerCommand) {
        if let WorkerCommand::Stop { task } = &command {
            let unsent_start = self
                .pending
                .iter()
                .any(|pending| pending.command.task() == task && pending.is_start() && !pending.ever_sent);
            self.pending.retain(|pending| pending.command.task() != task);
            if unsent_start {
                self.withdrawn_starts.push(task.clone());
                return;
            }
        }
        self.pending.push(PendingCommand { command, ever_sent: false, in_last_sync: false });
    }

    /// Returns the stamp unless a lease counted from its arrival has already expired or must not be granted.
    fn valid_stamp(&self) -> Option<&ReceivedStamp> {
        let newest = self.newest_stamp.as_ref().filter(|_| self.may_grant_leases());
        newest.filter(|received| received.at.elapsed() < self.timing.lease)
    }

    /// Whether this process owned the shard so recently that its successor still waits for the leases that it
    /// grants now.
    fn may_grant_leases(&self) -> bool {
        self.ownership.borrow().is_some_and(|at| at.elapsed() < OWNERSHIP_LEASE)
    }

    /// Syncs once and returns whether to go on: false if the worker has a newer owner or the scheduler has
    /// ended.
    async fn sync(&mut self, inbox: &mut mpsc::Receiver<SyncMessage>) -> bool {
        let request = self.next_request();
        let commands = request.commands.clone();
        let result = self.exchange(request, inbox).await;
        let (shard, vm) = (self.shard.clone(), self.vm.clone());
        let message = match self.fill_in_running(result) {
            SyncResult::FullReport(answer) => {
                self.count_result("answered");
                self.unconfirmed_lease_end = None;
                let SyncAnswer { report, stamp, rejected, .. } = answer;
                self.tracked_tasks.note(&commands, &report, Instant::now());
                let rejected_by_worker = |command: &WorkerCommand| rejected.contains(command.task());
                self.pending.retain(|pending| !pending.in_last_sync || rejected_by_worker(&pending.command));
                self.sync_soon = !commands.is_empty() || !report.ended.is_empty() || !self.pending.is_empty();
                let tasks =
                    delivered_tasks(commands.into_iter().filter(|command| !rejected_by_worker(command)));
                let stamp = stamp.map(|stamp| ReceivedStamp { stamp, at: Instant::now() });
                let token = self.fencing_token;
                SchedulerMessage::Synced(Box::new(CompletedSync { shard, token, vm, tasks, report, stamp }))
            }
            // `fill_in_running` returns no such result.
            SyncResult::Unchanged(_) => return true,
            SyncResult::Unknown(fault) => {
                self.count_result("unknown");
                log::warn!(vm = &*self.vm, fault = fault.as_str(); "worker sync failed");
                let lease = self.timing.lease;
                self.sync_soon = true;
                self.unconfirmed_lease_end.get_or_insert_with(|| Instant::now() + lease);
                SchedulerMessage::SyncFailed(shard, self.fencing_token, vm)
            }
            SyncResult::Fenced(newer) => {
                self.count_result("fenced");
                log::info!(
                    vm = &*self.vm, token = self.fencing_token, newer = newer;
                    "worker has a newer owner"
                );
                let message = SchedulerMessage::Fenced(shard, self.fencing_token);
                self.send_to_scheduler(message, inbox).await;
                return false;
            }
        };
        self.send_to_scheduler(message, inbox).await && self.report_withdrawn(inbox).await
    }

    /// Returns the next sync request and marks the commands that it carries. Without a valid stamp it grants
    /// no lease and carries no starts.
    fn next_request(&mut self) -> SyncRequest {
        let stamp = self.valid_stamp().map(|received| received.stamp.clone());
        let may_start = stamp.is_some() || !self.supports_stamps && self.may_grant_leases();
        for pending in &mut self.pending {
            pending.in_last_sync = may_start || !pending.is_start();
            pending.ever_sent |= pending.in_last_sync;
        }
        let carried = self.pending.iter().filter(|pending| pending.in_last_sync);
        let commands = carried.map(|pending| pending.command.clone()).collect();
        let lease = if may_start { self.lease_to_grant() } else { Duration::ZERO };
        let known_revision = self.known_running.as_ref().map(|(revision, _)| *revision);
        SyncRequest { vm: self.vm.clone(), token: self.fencing_token, lease, stamp, commands, known_revision }
    }

    fn next_wait(&self) -> Duration {
        if self.sync_soon {
            return self.timing.interval;
        }
        self.timing.next(self.tracked_tasks.iter(), Instant::now())
    }

    /// Turns an unchanged report into a full one by filling in the running tasks of the known revision.
    fn fill_in_running(&mut self, result: SyncResult) -> SyncResult {
        match (result, &mut self.known_running) {
            (SyncResult::Unchanged(mut answer), Some((_, running))) => {
                answer.report.running.clone_from(running);
                SyncResult::FullReport(answer)
            }
            (SyncResult::Unchanged(_), None) => {
                SyncResult::Unknown("worker reports no change, but its running tasks are not known".into())
            }
            (SyncResult::FullReport(answer), known) => {
                *known = answer.revision.map(|revision| (revision, answer.report.running.clone()));
                SyncResult::FullReport(answer)
            }
            (result, _) => result,
        }
    }

    /// Sends a sync and waits for the answer until the timeout; receives messages meanwhile.
    async fn exchange(
        &mut self,
        request: SyncRequest,
        inbox: &mut mpsc::Receiver<SyncMessage>,
    ) -> SyncResult {
        let (sent_at, answer_timeout) = (Instant::now(), self.timing.answer_timeout);
        let mut answer = (self.client)(request);
        let result = loop {
            tokio::select! {
                result = &mut answer => break result,
                () = tokio::time::sleep_until((sent_at + answer_timeout).into()) => break SyncResult::Unknown("no answer in time".into()),
                Some(message) = inbox.recv() => self.receive(message),
            }
        };
        match result {
            // This process may have been paused while the answer waited in the socket, so the report may be
            // too old.
            SyncResult::FullReport(_) | SyncResult::Unchanged(_) if sent_at.elapsed() > answer_timeout => {
                SyncResult::Unknown("late answer".into())
            }
            result => result,
        }
    }

    /// Returns the lease that the next sync grants. A lease counted from a stamp ends at the same time
    /// however often it is granted. A worker without stamps gets only the rest of the lease that a failed
    /// sync may have granted: it may receive syncs while its answers are lost, and the end of its lease must
    /// still be known.
    fn lease_to_grant(&self) -> Duration {
        let until = self.unconfirmed_lease_end.filter(|_| !self.supports_stamps);
        until.map_or(self.timing.lease, |until| until.saturating_duration_since(Instant::now()))
    }

    async fn report_withdrawn(&mut self, inbox: &mut mpsc::Receiver<SyncMessage>) -> bool {
        while let Some(task) = self.withdrawn_starts.pop() {
            let message = SchedulerMessage::StartWithdrawn(
                self.shard.clone(),
                self.fencing_token,
                self.vm.clone(),
                task,
            );
            if !self.send_to_scheduler(message, inbox).await {
                return false;
            }
        }
        true
    }

    /// Sends a message to the scheduler and returns whether that was possible. Receives messages meanwhile to
    /// avoid a deadlock, as the scheduler may itself be waiting to send a command.
    async fn send_to_scheduler(
        &mut self,
        message: SchedulerMessage,
        inbox: &mut mpsc::Receiver<SyncMessage>,
    ) -> bool {
        let scheduler = self.scheduler.clone();
        loop {
            tokio::select! {
                permit = scheduler.reserve() => {
                    let Ok(permit) = permit else { return false };
                    permit.send(message);
                    return true;
                }
                Some(received) = inbox.recv() => self.receive(received),
            }
        }
    }

    fn count_result(&self, result: &str) {
        self.metrics.syncs.with_label_values(&[result]).inc();
    }
}

/// Returns the tasks of the start and stop commands.
fn delivered_tasks(commands: impl Iterator<Item = WorkerCommand>) -> Vec<TaskId> {
    commands
        .filter_map(|command| match command {
            WorkerCommand::Start { task, .. } | WorkerCommand::Stop { task } => Some(task),
            _ => None,
        })
        .collect()
}
