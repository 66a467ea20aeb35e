//! Syncs one worker: carries commands to it and its reports to the scheduler.

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::kernel::{SyncTiming, TaskReport, TrackedTasks, WorkerCommand};
use crate::prelude::*;
use crate::tasks::adapter::{SyncAnswer, SyncRequest, SyncResult, WorkerAdapter, WorkerClient};
use crate::tasks::metrics::EntryMetrics;
use crate::tasks::scheduler::SchedulerMessage;
use crate::tasks::worker::{CompletedSync, ReceivedStamp};

/// What a sync loop is told.
pub enum SyncMessage {
    /// Sends a command with the next sync.
    Command(WorkerCommand),
    /// Lets the next syncs extend the lease from the stamp.
    Renew(ReceivedStamp),
}

/// A command that no answered sync has carried yet.
struct PendingCommand {
    command: WorkerCommand,
    /// Whether a sync carried it; the worker may have seen it.
    sent: bool,
    /// Whether the last sync carried it.
    carried: bool,
}

impl PendingCommand {
    const fn is_start(&self) -> bool {
        matches!(self.command, WorkerCommand::Start { .. })
    }
}

/// A worker that is synced under the token of its shard.
pub struct SyncTarget {
    /// The worker.
    pub vm: VmId,
    /// Its address.
    pub address: String,
    /// Its shard.
    pub shard: ShardId,
    /// Token of the shard.
    pub fencing: FencingToken,
}

/// Syncs with one worker and keeps what was not carried out yet.
pub struct SyncLoop {
    vm: VmId,
    shard: ShardId,
    fencing: FencingToken,
    client: WorkerClient,
    /// Whether the worker stamps its answers.
    stamps: bool,
    /// Newest stamp whose answer the scheduler has handled.
    stamp: Option<ReceivedStamp>,
    /// Whether the worker waits for its first sync with a valid stamp.
    renewed: bool,
    timing: SyncTiming,
    scheduler: mpsc::Sender<SchedulerMessage>,
    pending: Vec<PendingCommand>,
    withdrawn: Vec<TaskId>,
    /// End of the lease that the first of the failed syncs may have granted to a worker without stamps.
    granted_until: Option<Instant>,
    /// Running tasks of the last report and their revision, if the worker gives revisions.
    held: Option<(ReportRevision, Vec<TaskReport>)>,
    /// Whether the last sync failed, carried commands or told of ends, so that the next one follows soon.
    news: bool,
    tasks: TrackedTasks,
    metrics: EntryMetrics,
}

impl SyncLoop {
    /// Returns a loop that has not synced yet.
    #[must_use]
    pub fn new(
        target: SyncTarget,
        adapter: WorkerAdapter,
        timing: SyncTiming,
        scheduler: mpsc::Sender<SchedulerMessage>,
        metrics: EntryMetrics,
    ) -> Self {
        Self {
            vm: target.vm,
            shard: target.shard,
            fencing: target.fencing,
            client: (adapter.connect)(&target.address),
            stamps: adapter.stamps,
            stamp: None,
            renewed: false,
            timing,
            scheduler,
            pending: Vec::new(),
            withdrawn: Vec::new(),
            granted_until: None,
            held: None,
            news: true,
            tasks: TrackedTasks::default(),
            metrics,
        }
    }

    /// Runs until the token is cancelled or the worker has a newer owner.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<SyncMessage>, token: CancellationToken) {
        let mut due = tokio::time::Instant::now();
        loop {
            tokio::select! {
                biased;
                () = token.cancelled() => return,
                received = inbox.recv() => match received {
                    Some(message) => {
                        let command = matches!(message, SyncMessage::Command(_));
                        self.take(message);
                        if !command && !self.renewed {
                            continue;
                        }
                    }
                    None => return,
                },
                () = tokio::time::sleep_until(due) => {}
            }
            while let Ok(message) = inbox.try_recv() {
                self.take(message);
            }
            self.renewed = false;
            // A command of a shard that was lost meanwhile must not go out.
            if token.is_cancelled() || !self.sync(&mut inbox).await {
                return;
            }
            let wait = if self.renewed { Duration::ZERO } else { self.next_wait() };
            due = tokio::time::Instant::now() + wait;
        }
    }

    fn take(&mut self, message: SyncMessage) {
        match message {
            SyncMessage::Command(command) => self.queue(command),
            SyncMessage::Renew(stamp) => {
                let first = self.valid_stamp().is_none();
                self.stamp = Some(stamp);
                self.renewed |= first && self.valid_stamp().is_some();
            }
        }
    }

    /// Queues a command; a stop takes the place of a start that did not surely reach the worker.
    fn queue(&mut self, command: WorkerCommand) {
        if let WorkerCommand::Stop { task } = &command {
            let unsent = self
                .pending
                .iter()
                .any(|pending| pending.command.task() == task && pending.is_start() && !pending.sent);
            self.pending.retain(|pending| pending.command.task() != task);
            if unsent {
                self.withdrawn.push(task.clone());
                return;
            }
        }
        self.pending.push(PendingCommand { command, sent: false, carried: false });
    }

    /// Returns the stamp unless a lease counted from it is over here already.
    fn valid_stamp(&self) -> Option<&ReceivedStamp> {
        self.stamp.as_ref().filter(|held| held.at.elapsed() < self.timing.lease)
    }

    /// Syncs once; returns whether this process may still own the worker.
    async fn sync(&mut self, inbox: &mut mpsc::Receiver<SyncMessage>) -> bool {
        let request = self.request();
        let commands = request.commands.clone();
        let result = self.exchange(request, inbox).await;
        let (shard, vm) = (self.shard.clone(), self.vm.clone());
        let message = match self.complete(result) {
            SyncResult::Report(answer) => {
                self.count("answered");
                self.granted_until = None;
                let SyncAnswer { report, stamp, rejected, .. } = answer;
                self.tasks.note(&commands, &report, Instant::now());
                let refused = |command: &WorkerCommand| rejected.contains(command.task());
                self.pending.retain(|pending| !pending.carried || refused(&pending.command));
                self.news = !commands.is_empty() || !report.ended.is_empty() || !self.pending.is_empty();
                let tasks = delivered(commands.into_iter().filter(|command| !refused(command)));
                let stamp = stamp.map(|stamp| ReceivedStamp { stamp, at: Instant::now() });
                let token = self.fencing;
                SchedulerMessage::Synced(Box::new(CompletedSync { shard, token, vm, tasks, report, stamp }))
            }
            // Completed above.
            SyncResult::Unchanged(_) => return true,
            SyncResult::Unknown(fault) => {
                self.count("unknown");
                log::warn!(vm = &*self.vm, fault = fault.as_str(); "worker sync failed");
                let lease = self.timing.lease;
                self.news = true;
                self.granted_until.get_or_insert_with(|| Instant::now() + lease);
                SchedulerMessage::SyncFailed(shard, self.fencing, vm)
            }
            SyncResult::Fenced(newer) => {
                self.count("fenced");
                log::info!(vm = &*self.vm, token = self.fencing, newer = newer; "worker has a newer owner");
                let message = SchedulerMessage::Fenced(shard, self.fencing);
                self.send(message, inbox).await;
                return false;
            }
        };
        self.send(message, inbox).await && self.report_withdrawn(inbox).await
    }

    /// Returns the next sync and marks what it carries. Without a valid stamp it starts nothing.
    fn request(&mut self) -> SyncRequest {
        let stamp = self.valid_stamp().map(|held| held.stamp.clone());
        let starts = stamp.is_some() || !self.stamps;
        for pending in &mut self.pending {
            pending.carried = starts || !pending.is_start();
            pending.sent |= pending.carried;
        }
        let carried = self.pending.iter().filter(|pending| pending.carried);
        let commands = carried.map(|pending| pending.command.clone()).collect();
        let lease = if starts { self.grant() } else { Duration::ZERO };
        let known = self.held.as_ref().map(|(revision, _)| *revision);
        SyncRequest { vm: self.vm.clone(), token: self.fencing, lease, stamp, commands, known }
    }

    fn next_wait(&self) -> Duration {
        if self.news {
            return self.timing.interval;
        }
        self.timing.next(self.tasks.iter(), Instant::now())
    }

    /// Fills in the running tasks of a report that says that they are the known ones.
    fn complete(&mut self, result: SyncResult) -> SyncResult {
        match (result, &mut self.held) {
            (SyncResult::Unchanged(mut answer), Some((_, running))) => {
                answer.report.running.clone_from(running);
                SyncResult::Report(answer)
            }
            (SyncResult::Unchanged(_), None) => SyncResult::Unknown("no running tasks are known".into()),
            (SyncResult::Report(answer), held) => {
                *held = answer.revision.map(|revision| (revision, answer.report.running.clone()));
                SyncResult::Report(answer)
            }
            (result, _) => result,
        }
    }

    /// Sends a sync and takes messages until it is answered or the time for the answer is over.
    async fn exchange(
        &mut self,
        request: SyncRequest,
        inbox: &mut mpsc::Receiver<SyncMessage>,
    ) -> SyncResult {
        let (sent_at, within) = (Instant::now(), self.timing.answer_within);
        let mut answer = (self.client)(request);
        let result = loop {
            tokio::select! {
                result = &mut answer => break result,
                () = tokio::time::sleep_until((sent_at + within).into()) => break SyncResult::Unknown("no answer in time".into()),
                Some(message) = inbox.recv() => self.take(message),
            }
        };
        match result {
            // This process may have been paused while the answer waited in its socket.
            SyncResult::Report(_) | SyncResult::Unchanged(_) if sent_at.elapsed() > within => {
                SyncResult::Unknown("late answer".into())
            }
            result => result,
        }
    }

    /// Returns the lease of the next sync. A stamped lease ends at the same time however often it is granted. A
    /// worker without stamps gets only the rest of what a failed sync may have granted, so that the end of the
    /// lease of one that hears but is not heard can be known.
    fn grant(&self) -> Duration {
        let until = self.granted_until.filter(|_| !self.stamps);
        until.map_or(self.timing.lease, |until| until.saturating_duration_since(Instant::now()))
    }

    async fn report_withdrawn(&mut self, inbox: &mut mpsc::Receiver<SyncMessage>) -> bool {
        while let Some(task) = self.withdrawn.pop() {
            let message =
                SchedulerMessage::StartWithdrawn(self.shard.clone(), self.fencing, self.vm.clone(), task);
            if !self.send(message, inbox).await {
                return false;
            }
        }
        true
    }

    /// Sends to the scheduler and takes commands meanwhile, as the scheduler may be waiting to send one.
    async fn send(&mut self, message: SchedulerMessage, inbox: &mut mpsc::Receiver<SyncMessage>) -> bool {
        let scheduler = self.scheduler.clone();
        loop {
            tokio::select! {
                permit = scheduler.reserve() => {
                    let Ok(permit) = permit else { return false };
                    permit.send(message);
                    return true;
                }
                Some(received) = inbox.recv() => self.take(received),
            }
        }
    }

    fn count(&self, result: &str) {
        self.metrics.syncs.with_label_values(&[result]).inc();
    }
}

/// Returns the tasks whose starts or stops a sync carried.
fn delivered(commands: impl Iterator<Item = WorkerCommand>) -> Vec<TaskId> {
    commands
        .filter_map(|command| match command {
            WorkerCommand::Start { task, .. } | WorkerCommand::Stop { task } => Some(task),
            _ => None,
        })
        .collect()
}
