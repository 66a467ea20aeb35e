//! Follows who owns the cell, claims it when nobody does, and runs the terms of this process.

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::kernel::cell::{
    CellConfig, CellEvent, CellOwner, ClaimKind, ClaimRecord, ClaimWatch, HandoverWatch, Millicores,
    ProxyNumber,
};
use crate::prelude::*;
use crate::tasks::CHANNEL_CAPACITY;
use crate::tasks::cell::advisor::AdvisorMessage;
use crate::tasks::cell::await_optional::await_optional;
use crate::tasks::cell::metrics::CellMetrics;
use crate::tasks::cell::owner::{OwnerMessage, OwnerTask};
use crate::tasks::cell::peer::{self, AssistSession, OwnerRoute};
use crate::tasks::cell::ports::{
    AdvisorPort, AppendCall, AppendOutcome, CellAdapter, PageFuture, ReadFault, StorePort, TopicPage,
};

/// Topic of the claims.
const CLAIM_TOPIC: &str = "claims";
/// Time between two signs of life of the owner.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a sign of life after which the owner is replaced.
pub const OWNER_TIMEOUT: Duration = Duration::from_millis(1_700);
/// How long the store may wait for claims before it answers an empty page.
const READ_WAIT: Duration = Duration::from_secs(1);
/// Wait after a read that failed.
const READ_RETRY: Duration = Duration::from_millis(200);
/// Time between looks at whether to claim.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between questions to other processes who owns the cell.
const ASK_INTERVAL: Duration = Duration::from_millis(600);
/// Time without a read of the log after which other processes are asked; more than a read that waits takes.
const UNREAD: Duration = Duration::from_millis(1_300);
/// Longest wait for an append of a claim.
const APPEND_TIMEOUT: Duration = Duration::from_secs(1);

/// What the task is told.
#[derive(Debug)]
pub enum ClaimMessage {
    /// A configuration came into force.
    Configured(Arc<CellConfig>),
    /// The zones that are out of service changed.
    ZonesClosed(FastSet<ZoneId>),
    /// Another process knows this owner.
    OwnerReported(CellOwner),
    /// Whether the owner of a token can be reached.
    LivenessChanged(FencingToken, OwnerLiveness),
    /// Another process with this processor time reaches the owner in this process.
    ProxyJoined(ProxyNumber, Millicores),
    /// It no longer does.
    ProxyLeft(ProxyNumber),
    /// Give the cell up and never claim it again.
    Resign(oneshot::Sender<()>),
}

/// What a process that speaks to the owner finds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerLiveness {
    /// It answers.
    Reached,
    /// It does not answer.
    Unreachable,
    /// Another life of its process answers.
    Replaced,
}

/// The task that follows the ownership of the cell.
pub struct ClaimTask {
    /// This process.
    pub process: ProcessId,
    /// Where other processes reach it.
    pub address: Arc<str>,
    /// What speaks to the platform.
    pub adapter: CellAdapter,
    /// The store.
    pub store: StorePort,
    /// The placement advisor, to ask it for another owner.
    pub advisor: Option<AdvisorPort>,
    /// The task that asks the advisor for this owner.
    pub advice: mpsc::Sender<AdvisorMessage>,
    /// Counters.
    pub metrics: CellMetrics,
    /// The inbox of this task.
    pub inbox: mpsc::Sender<ClaimMessage>,
    /// Where the owner is reached.
    pub route: watch::Sender<OwnerRoute>,
    /// Longest lease that the platform's workers accept.
    pub longest_lease: Duration,
    /// How long the store keeps records.
    pub log_retention: Duration,
    /// The log of claims.
    pub watch: ClaimWatch,
    /// Processes with more processor time.
    pub handover: HandoverWatch,
    /// Processor time of this process.
    pub cpu_limit: Millicores,
    /// Addresses of processes that may know the owner when the log cannot be read.
    pub peers: Vec<Arc<str>>,
}

/// What the task holds besides.
struct ClaimState {
    config: Option<Arc<CellConfig>>,
    closed: FastSet<ZoneId>,
    /// The present term of this process.
    term: Option<(mpsc::Sender<OwnerMessage>, CancellationToken)>,
    /// Ends what is done for an owner in another process.
    assisting: Option<CancellationToken>,
    leaving: bool,
    claiming: Option<LocalBoxFuture<'static, AppendOutcome>>,
}

impl ClaimTask {
    /// Runs until the token is cancelled.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<ClaimMessage>, token: CancellationToken) {
        let mut state = ClaimState {
            config: None,
            closed: FastSet::default(),
            term: None,
            assisting: None,
            leaving: false,
            claiming: None,
        };
        let mut read = self.read(Duration::ZERO);
        let mut renew = tokio::time::interval(RENEW_INTERVAL);
        renew.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut check = tokio::time::interval(CHECK_INTERVAL);
        check.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut ask = tokio::time::interval(ASK_INTERVAL);
        ask.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = token.cancelled() => return,
                Some(message) = inbox.recv() => self.handle(message, &mut state, &token).await,
                page = &mut read => {
                    let pause = self.note_page(page, &mut state, &token);
                    read = self.read(pause);
                }
                outcome = await_optional(&mut state.claiming) => self.note_claim(&outcome, &mut state),
                _ = renew.tick() => self.renew(&state),
                _ = check.tick() => self.check(&mut state).await,
                _ = ask.tick() => self.ask_peers(),
            }
        }
    }

    async fn handle(&mut self, message: ClaimMessage, state: &mut ClaimState, token: &CancellationToken) {
        let event = match message {
            ClaimMessage::Configured(config) => {
                state.config = Some(config.clone());
                CellEvent::Configured(config)
            }
            ClaimMessage::ZonesClosed(zones) => {
                state.closed.clone_from(&zones);
                CellEvent::ZonesClosed(zones)
            }
            ClaimMessage::LivenessChanged(claim, liveness) => {
                match liveness {
                    OwnerLiveness::Reached => self.watch.note_reach(claim, true),
                    OwnerLiveness::Unreachable => self.watch.note_reach(claim, false),
                    OwnerLiveness::Replaced => self.watch.note_gone(claim, Instant::now()),
                }
                return;
            }
            ClaimMessage::OwnerReported(owner) => {
                if self.watch.note_told(owner) {
                    self.follow_owner(state, token);
                }
                return;
            }
            ClaimMessage::ProxyJoined(proxy, cpu_limit) => {
                self.handover.add_proxy(proxy, cpu_limit);
                return;
            }
            ClaimMessage::ProxyLeft(proxy) => {
                self.handover.remove_proxy(proxy);
                return;
            }
            ClaimMessage::Resign(done) => {
                state.leaving = true;
                self.release(state).await;
                if done.send(()).is_err() {
                    log::debug!("nobody waits for the end of the ownership");
                }
                return;
            }
        };
        if let Some((owner, _)) = &state.term
            && owner.send(OwnerMessage::Event(event)).await.is_err()
        {
            log::debug!("term is over, change dropped");
        }
    }

    /// Ends the present term of this process, if there is one.
    async fn release(&self, state: &mut ClaimState) {
        let Some((_, term)) = state.term.take() else { return };
        term.cancel();
        let outcome = (self.store.append)(self.call(ClaimKind::Release, None)).await;
        log::info!(process = &*self.process, outcome:%; "ownership is released");
    }

    fn read(&self, pause: Duration) -> PageFuture {
        let (store, from) = (self.store.clone(), self.watch.end());
        async move {
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            (store.read)(CLAIM_TOPIC, 0, from, READ_WAIT).await
        }
        .boxed_local()
    }

    /// Notes what was read; returns how long to wait before the next read.
    fn note_page(
        &mut self,
        page: Result<TopicPage, ReadFault>,
        state: &mut ClaimState,
        token: &CancellationToken,
    ) -> Duration {
        let now = Instant::now();
        let page = match page {
            Ok(page) => page,
            Err(ReadFault::Expired(first)) => {
                self.watch.skip_to(first);
                return Duration::ZERO;
            }
            Err(fault) => {
                log::info!(reason:% = fault; "claims cannot be read");
                return READ_RETRY;
            }
        };
        let mut changed = false;
        for record in &page.records {
            let claim = match serde_json::from_slice::<ClaimRecord>(&record.value) {
                Ok(claim) => {
                    if !self.peers.contains(&claim.address) && claim.address != self.address {
                        self.peers.push(claim.address.clone());
                    }
                    Some(claim)
                }
                Err(error) => {
                    log::warn!(topic = CLAIM_TOPIC, offset = record.offset, error:%; "record cannot be read");
                    None
                }
            };
            changed |= self.watch.note(record.offset, claim, now);
        }
        if page.next >= page.end {
            self.watch.note_read(now);
        }
        if changed {
            self.follow_owner(state, token);
        }
        Duration::ZERO
    }

    /// Starts or ends what this process does for the present owner.
    fn follow_owner(&mut self, state: &mut ClaimState, token: &CancellationToken) {
        let Some(owner) = self.watch.owner().cloned() else { return };
        if let Some((_, term)) = state.term.take() {
            term.cancel();
        }
        if let Some(assisting) = state.assisting.take() {
            assisting.cancel();
        }
        log::info!(owner = &*owner.process, token = owner.token; "cell has an owner");
        let route = if owner.process == self.process {
            self.start_term(&owner, state, token)
        } else {
            self.assist(&owner, state, token)
        };
        self.route.send_replace(route);
    }

    fn start_term(
        &mut self,
        owner: &CellOwner,
        state: &mut ClaimState,
        token: &CancellationToken,
    ) -> OwnerRoute {
        let (sender, inbox) = mpsc::channel(CHANNEL_CAPACITY);
        let term = token.child_token();
        let task = OwnerTask {
            token: owner.token,
            adapter: self.adapter,
            store: self.store.clone(),
            inbox: sender.clone(),
            advice: self.advice.clone(),
            config: state.config.clone(),
            closed: state.closed.clone(),
            longest_lease: self.longest_lease,
            log_retention: self.log_retention,
            metrics: self.metrics.clone(),
        };
        self.handover.note_term(Instant::now());
        let stop = term.clone();
        actix_rt::spawn(async move { task.run(inbox, stop).await });
        state.term = Some((sender.clone(), term));
        OwnerRoute::Local(owner.clone(), sender)
    }

    fn assist(&self, owner: &CellOwner, state: &mut ClaimState, token: &CancellationToken) -> OwnerRoute {
        let client = match peer::connect(&owner.address) {
            Ok(client) => client,
            Err(error) => {
                log::warn!(owner = &*owner.process, address = &*owner.address, error:%; "owner cannot be reached");
                return OwnerRoute::Unknown;
            }
        };
        let stop = token.child_token();
        let session = AssistSession {
            client: client.clone(),
            owner: owner.clone(),
            advisor: self.advisor.clone(),
            claim: self.inbox.clone(),
            cpu_limit: self.cpu_limit,
        };
        actix_rt::spawn(session.run(stop.clone()));
        state.assisting = Some(stop);
        OwnerRoute::Remote(owner.clone(), client)
    }

    async fn check(&self, state: &mut ClaimState) {
        // A term that ended on its own was taken by another process, whose claim is read soon.
        if state.term.as_ref().is_some_and(|(_, term)| term.is_cancelled()) {
            state.term = None;
        }
        if state.term.is_some() && self.handover.should_hand_over(Instant::now()) {
            log::info!(process = &*self.process; "cell is handed over to a process with more processor time");
            self.release(state).await;
        }
        if state.leaving || state.claiming.is_some() || state.term.is_some() || state.config.is_none() {
            return;
        }
        if self.watch.should_claim(Instant::now()) {
            log::info!(process = &*self.process, at = self.watch.end(); "cell is claimed");
            let call = self.call(ClaimKind::Claim, Some(self.watch.end()));
            state.claiming = Some((self.store.append)(call));
        }
    }

    /// Asks other processes who owns the cell while the log of claims cannot be read.
    fn ask_peers(&self) {
        let read = self.watch.last_read();
        if read.is_some_and(|read| read.elapsed() < UNREAD) || self.peers.is_empty() {
            return;
        }
        let (peers, inbox) = (self.peers.clone(), self.inbox.clone());
        actix_rt::spawn(async move {
            if let Some(owner) = peer::locate(peers).await
                && inbox.send(ClaimMessage::OwnerReported(owner)).await.is_err()
            {
                log::debug!("process is stopping");
            }
        });
    }

    fn note_claim(&mut self, outcome: &AppendOutcome, state: &mut ClaimState) {
        state.claiming = None;
        if !matches!(outcome, AppendOutcome::Stored(_)) {
            log::info!(process = &*self.process, outcome:%; "claim is not taken");
            self.watch.note_lost_race(Instant::now());
        }
    }

    fn renew(&self, state: &ClaimState) {
        if state.term.is_none() {
            return;
        }
        // At the end that is known now, so that a sign of life that is stored late does not count.
        let call = (self.store.append)(self.call(ClaimKind::Renew, Some(self.watch.end())));
        actix_rt::spawn(async move {
            let outcome = call.await;
            if !matches!(outcome, AppendOutcome::Stored(_)) {
                log::info!(outcome:%; "sign of life is not stored");
            }
        });
    }

    fn call(&self, kind: ClaimKind, at: Option<LogOffset>) -> AppendCall {
        let (process, address) = (self.process.clone(), self.address.clone());
        let record = ClaimRecord { kind, process, address };
        let records = match serde_json::to_vec(&record) {
            Ok(value) => vec![Bytes::from(value)],
            Err(error) => {
                log::error!(error:%; "claim cannot be written");
                Vec::new()
            }
        };
        AppendCall {
            topic: CLAIM_TOPIC,
            partition: 0,
            records,
            expected_offset: at,
            stamp: None,
            timeout: APPEND_TIMEOUT,
        }
    }
}
