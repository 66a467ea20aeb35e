//! Follows the claim log, claims the cell when it has no live owner, and runs the terms of ownership of
//! this process.

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::clock;
use crate::kernel::cell::admission::MemoryBudget;
use crate::kernel::cell::{
    CellConfig, CellEvent, CellOwner, ClaimKind, ClaimRecord, ClaimWatch, ClockReading, HandoverWatch,
    Millicores, ProxyNumber, TermRelease,
};
use crate::prelude::*;
use crate::tasks::CHANNEL_CAPACITY;
use crate::tasks::cell::admission::{self, AdmissionMessage};
use crate::tasks::cell::advisor::AdvisorMessage;
use crate::tasks::cell::await_optional::await_optional;
use crate::tasks::cell::intake::IntakeMessage;
use crate::tasks::cell::metrics::CellMetrics;
use crate::tasks::cell::owner::{OwnerMessage, OwnerTask};
use crate::tasks::cell::ownership_check::OwnershipCheck;
use crate::tasks::cell::ownership_lease::{OWNERSHIP_LEASE, OwnershipLease};
use crate::tasks::cell::peer::{self, AssistSession, OwnerRoute};
use crate::tasks::cell::ports::{
    AdvisorClient, AppendOutcome, AppendRequest, CellAdapter, ReadFault, StoreClient, TopicPage,
};

/// Topic of the claim log, which holds the claims, heartbeats and releases of ownership.
pub const CLAIM_TOPIC: &str = "claims";
/// Interval between the owner's heartbeats in the claim log.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for the store to answer a heartbeat; a later answer would not extend the ownership lease.
const HEARTBEAT_TIMEOUT: Duration = OWNERSHIP_LEASE;
/// Age of the last confirmation of the ownership from which the claim log is read to confirm it, beside the
/// heartbeats. They fail while the store is slow, as each has to follow the one before it.
const CHECK_OWNERSHIP_AFTER: Duration = Duration::from_millis(900);
/// Time without a heartbeat after which another process claims the cell even if it can reach the owner; its
/// claim delay is added.
pub const OWNER_TIMEOUT: Duration = Duration::from_millis(1_700);
/// How long the store may hold a read of the claim log open before it answers with an empty page.
const READ_LONG_POLL: Duration = Duration::from_secs(1);
/// Delay before a failed read is retried.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Interval between checks whether to claim the cell or to hand it over.
const CLAIM_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between queries to other processes for the owner while the claim log cannot be read.
const PEER_QUERY_INTERVAL: Duration = Duration::from_millis(600);
/// Time since the last successful read after which other processes are queried; longer than a read that the
/// store holds open.
const MAX_READ_AGE: Duration = Duration::from_millis(1_300);
/// Longest wait for the store to answer an append to the claim log.
const APPEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Messages to the [`ClaimTask`].
#[derive(Debug)]
pub enum ClaimMessage {
    /// A configuration came into force.
    Configured(Arc<CellConfig>),
    /// The complete set of zones that are out of service, after a change.
    ZonesClosed(FastSet<ZoneId>),
    /// Another process answered a query with this owner.
    OwnerReported(CellOwner),
    /// Whether the owner with this fencing token can be reached from this process, reported whenever a stream
    /// to it is opened, ends or fails.
    LivenessReported(FencingToken, OwnerLiveness),
    /// Another entry process, with this CPU limit, has connected as a proxy, which sends permit requests of
    /// the owner in this process to the placement advisor.
    ProxyJoined(ProxyNumber, Millicores),
    /// The proxy has disconnected.
    ProxyLeft(ProxyNumber),
    /// Releases the cell, if this process owns it, and never claims it again; the sender is notified when
    /// that is done.
    Resign(oneshot::Sender<()>),
}

/// Whether a process that is not the owner can reach the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerLiveness {
    /// The owner answers.
    Reachable,
    /// The owner does not answer.
    Unreachable,
    /// A later incarnation of the owner's process answers, so that the owner no longer exists.
    Replaced,
}

/// The async task that follows and claims the ownership of the cell.
pub struct ClaimTask {
    /// Name of this process and its incarnation.
    pub process: ProcessId,
    /// Address at which other entry processes reach this process.
    pub address: Arc<str>,
    /// The adapter of the platform.
    pub adapter: CellAdapter,
    /// Client of the platform's store.
    pub store: StoreClient,
    /// The placement advisor, called on behalf of an owner in another process; `None` if the platform has
    /// none.
    pub advisor: Option<AdvisorClient>,
    /// Sends messages to the task that distributes the permit requests of an owner in this process.
    pub advisor_sender: mpsc::Sender<AdvisorMessage>,
    /// Sends messages to the task that distributes notices of long waits.
    pub admission_sender: mpsc::Sender<AdmissionMessage>,
    /// Sends messages to the task that admits calls.
    pub intake_sender: mpsc::Sender<IntakeMessage>,
    /// Metrics of the process.
    pub metrics: CellMetrics,
    /// Sends messages to this task; cloned for the tasks that it starts.
    pub own_sender: mpsc::Sender<ClaimMessage>,
    /// Publishes the route to the current owner.
    pub route: watch::Sender<OwnerRoute>,
    /// Longest lease that the platform's workers accept.
    pub longest_lease: Duration,
    /// How long the store retains records.
    pub log_retention: Duration,
    /// Time in which past use of the teams loses half of its weight; zero if it is not accounted for.
    pub usage_half_life: Duration,
    /// Memory for accepted jobs.
    pub memory_budget: MemoryBudget,
    /// Decides from the claim log when to claim the cell.
    pub claim_watch: ClaimWatch,
    /// Decides when to hand the cell over to a process with a higher CPU limit.
    pub handover_watch: HandoverWatch,
    /// CPU limit of this process.
    pub cpu_limit: Millicores,
    /// Addresses of entry processes to query for the owner while the claim log cannot be read.
    pub peers: Vec<Arc<str>>,
}

/// A term of ownership of this process.
struct OwnerTerm {
    /// Fencing token of the term.
    token: FencingToken,
    /// Sends messages to the owner task.
    sender: mpsc::Sender<OwnerMessage>,
    /// Ends the term.
    stop: CancellationToken,
    /// The lease under which the owner grants leases to workers.
    ownership: OwnershipLease,
}

/// The result of a read of the claim log, and when it was sent.
type ClaimRead = (ClockReading, Result<TopicPage, ReadFault>);

/// State of the running task.
struct ClaimState {
    config: Option<Arc<CellConfig>>,
    closed_zones: FastSet<ZoneId>,
    /// The present term; `None` while this process does not own the cell.
    term: Option<OwnerTerm>,
    /// Stops the session with an owner in another process.
    assist_session: Option<CancellationToken>,
    resigned: bool,
    pending_claim: Option<LocalBoxFuture<'static, AppendOutcome>>,
}

impl ClaimTask {
    /// Runs until the token is cancelled.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<ClaimMessage>, token: CancellationToken) {
        let mut state = ClaimState {
            config: None,
            closed_zones: FastSet::default(),
            term: None,
            assist_session: None,
            resigned: false,
            pending_claim: None,
        };
        let mut page_read = self.read_claims(Duration::ZERO);
        let mut heartbeat_timer = tokio::time::interval(HEARTBEAT_INTERVAL);
        heartbeat_timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut claim_check_timer = tokio::time::interval(CLAIM_CHECK_INTERVAL);
        claim_check_timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut peer_query_timer = tokio::time::interval(PEER_QUERY_INTERVAL);
        peer_query_timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = token.cancelled() => return,
                Some(message) = inbox.recv() => self.handle(message, &mut state, &token).await,
                page = &mut page_read => {
                    let pause = self.apply_page(page, &mut state, &token);
                    page_read = self.read_claims(pause);
                }
                outcome = await_optional(&mut state.pending_claim) => self.finish_claim(&outcome, &mut state),
                _ = heartbeat_timer.tick() => self.send_heartbeat(&state),
                _ = claim_check_timer.tick() => self.check_claim(&mut state).await,
                _ = peer_query_timer.tick() => self.query_peers(),
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
                state.closed_zones.clone_from(&zones);
                CellEvent::ZonesClosed(zones)
            }
            ClaimMessage::LivenessReported(token, liveness) => {
                match liveness {
                    OwnerLiveness::Reachable => self.claim_watch.note_reachability(token, true),
                    OwnerLiveness::Unreachable => self.claim_watch.note_reachability(token, false),
                    OwnerLiveness::Replaced => self.claim_watch.note_owner_replaced(token, Instant::now()),
                }
                return;
            }
            ClaimMessage::OwnerReported(owner) => {
                if self.claim_watch.note_reported_owner(owner) {
                    self.switch_owner(state, token);
                }
                return;
            }
            ClaimMessage::ProxyJoined(proxy, cpu_limit) => {
                self.handover_watch.add_proxy(proxy, cpu_limit);
                return;
            }
            ClaimMessage::ProxyLeft(proxy) => {
                self.handover_watch.remove_proxy(proxy);
                return;
            }
            ClaimMessage::Resign(done) => {
                state.resigned = true;
                self.release_ownership(state).await;
                if done.send(()).is_err() {
                    log::debug!("ownership released, but the requester has gone away");
                }
                return;
            }
        };
        if let Some(term) = &state.term
            && term.sender.send(OwnerMessage::Event(event)).await.is_err()
        {
            log::debug!("change dropped: the term of ownership has ended");
        }
    }

    /// Ends the current term of this process, if there is one, and appends the release once,
    /// without a retry.
    async fn release_ownership(&self, state: &mut ClaimState) {
        let Some(term) = state.term.take() else { return };
        term.stop.cancel();
        let release =
            TermRelease { token: term.token, fenced_for: term.ownership.fenced_for(Instant::now()) };
        let outcome = (self.store.append)(self.claim_append(ClaimKind::Release, Some(release), None)).await;
        log::info!(process = &*self.process, outcome:%; "release of ownership was attempted");
    }

    fn read_claims(&self, pause: Duration) -> LocalBoxFuture<'static, ClaimRead> {
        let (store, from) = (self.store.clone(), self.claim_watch.next_offset());
        async move {
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            let sent_at = clock::reading();
            (sent_at, (store.read)(CLAIM_TOPIC, 0, from, READ_LONG_POLL).await)
        }
        .boxed_local()
    }

    /// Applies the result of a read; returns the delay before the next read.
    fn apply_page(
        &mut self,
        (sent_at, page): ClaimRead,
        state: &mut ClaimState,
        token: &CancellationToken,
    ) -> Duration {
        let now = Instant::now();
        let page = match page {
            Ok(page) => page,
            Err(ReadFault::Expired(first)) => {
                Self::end_term_after_gap(state);
                self.claim_watch.skip_to(first);
                return Duration::ZERO;
            }
            Err(fault) => {
                log::info!(reason:% = fault; "claims cannot be read");
                return READ_RETRY_DELAY;
            }
        };
        if page.first > self.claim_watch.next_offset() {
            Self::end_term_after_gap(state);
        }
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
                    log::warn!(topic = CLAIM_TOPIC, offset = record.offset, error:%; "record cannot be decoded");
                    None
                }
            };
            changed |= self.claim_watch.note(record.offset, claim, now);
        }
        if page.next >= page.end {
            self.claim_watch.note_read(now);
        }
        if changed {
            self.switch_owner(state, token);
        }
        if page.next >= page.end
            && let Some(term) = &state.term
        {
            term.ownership.confirm(sent_at);
            term.ownership.note_claim_log(page.next);
        }
        Duration::ZERO
    }

    /// Ends the present term, as the claim of a successor may be among records that have expired unread.
    fn end_term_after_gap(state: &mut ClaimState) {
        if let Some(term) = state.term.take() {
            log::warn!(topic = CLAIM_TOPIC; "records have expired before they were read, so the term ends");
            term.stop.cancel();
        }
    }

    /// Ends the term or the session of the previous owner and starts that of the new one.
    fn switch_owner(&mut self, state: &mut ClaimState, token: &CancellationToken) {
        let Some(owner) = self.claim_watch.owner().cloned() else { return };
        if let Some(term) = state.term.take() {
            term.stop.cancel();
        }
        if let Some(assist_session) = state.assist_session.take() {
            assist_session.cancel();
        }
        log::info!(owner = &*owner.process, token = owner.token; "cell has an owner");
        let route = if owner.process == self.process {
            self.start_term(&owner, state, token)
        } else {
            self.start_assisting(&owner, state, token)
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
        let (stop, ownership) = (token.child_token(), OwnershipLease::new());
        let task = OwnerTask {
            token: owner.token,
            adapter: self.adapter,
            store: self.store.clone(),
            own_sender: sender.clone(),
            advisor_sender: self.advisor_sender.clone(),
            admission_sender: self.admission_sender.clone(),
            config: state.config.clone(),
            closed_zones: state.closed_zones.clone(),
            longest_lease: self.longest_lease,
            ownership: ownership.clone(),
            former_release: self.claim_watch.former_release(),
            log_retention: self.log_retention,
            usage_half_life: self.usage_half_life,
            memory_budget: self.memory_budget,
            metrics: self.metrics.clone(),
        };
        self.handover_watch.note_term(Instant::now());
        let stopped = stop.clone();
        actix_rt::spawn(async move { task.run(inbox, stopped).await });
        state.term = Some(OwnerTerm { token: owner.token, sender: sender.clone(), stop, ownership });
        OwnerRoute::Local(owner.clone(), sender)
    }

    fn start_assisting(
        &self,
        owner: &CellOwner,
        state: &mut ClaimState,
        token: &CancellationToken,
    ) -> OwnerRoute {
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
            claim_sender: self.own_sender.clone(),
            cpu_limit: self.cpu_limit,
        };
        actix_rt::spawn(session.run(stop.clone()));
        actix_rt::spawn(admission::follow(client.clone(), self.intake_sender.clone(), stop.clone()));
        state.assist_session = Some(stop);
        OwnerRoute::Remote(owner.clone(), client)
    }

    async fn check_claim(&self, state: &mut ClaimState) {
        // A term ends on its own when another process has fenced it; that process's claim is read soon.
        if state.term.as_ref().is_some_and(|term| term.stop.is_cancelled()) {
            state.term = None;
        }
        if state.term.is_some() && self.handover_watch.should_hand_over(Instant::now()) {
            log::info!(process = &*self.process; "cell is handed over to a process with more processor time");
            self.release_ownership(state).await;
        }
        if state.resigned || state.pending_claim.is_some() || state.term.is_some() || state.config.is_none() {
            return;
        }
        if self.claim_watch.should_claim(Instant::now()) {
            log::info!(process = &*self.process, at = self.claim_watch.next_offset(); "cell is claimed");
            let request = self.claim_append(ClaimKind::Claim, None, Some(self.claim_watch.next_offset()));
            state.pending_claim = Some((self.store.append)(request));
        }
    }

    /// Queries other processes for the owner while the claim log cannot be read.
    fn query_peers(&self) {
        let last_read = self.claim_watch.last_read();
        if last_read.is_some_and(|read| read.elapsed() < MAX_READ_AGE) || self.peers.is_empty() {
            return;
        }
        let (peers, own_sender) = (self.peers.clone(), self.own_sender.clone());
        actix_rt::spawn(async move {
            if let Some(owner) = peer::locate(peers).await
                && own_sender.send(ClaimMessage::OwnerReported(owner)).await.is_err()
            {
                log::debug!("owner from another process dropped: this process is stopping");
            }
        });
    }

    fn finish_claim(&mut self, outcome: &AppendOutcome, state: &mut ClaimState) {
        state.pending_claim = None;
        if !matches!(outcome, AppendOutcome::Stored(_)) {
            log::info!(process = &*self.process, outcome:%; "claim was not confirmed");
            self.claim_watch.note_rejected_claim(Instant::now());
        }
    }

    fn send_heartbeat(&self, state: &ClaimState) {
        let Some(term) = &state.term else { return };
        let (ownership, next_offset) = (term.ownership.clone(), self.claim_watch.next_offset());
        if !ownership.is_confirmed_within(CHECK_OWNERSHIP_AFTER) {
            let check =
                OwnershipCheck { store: self.store.clone(), ownership: ownership.clone(), next_offset };
            actix_rt::spawn(check.run());
        }
        // The append expects the end of the claim log that is known now, so that the store rejects a delayed
        // heartbeat once other records have followed.
        let heartbeat = self.claim_append(ClaimKind::Renew, None, Some(next_offset));
        let append = (self.store.append)(AppendRequest { timeout: HEARTBEAT_TIMEOUT, ..heartbeat });
        let sent_at = clock::reading();
        actix_rt::spawn(async move {
            match append.await {
                // No other process had claimed the cell, as its claim would have moved the end of the log.
                AppendOutcome::Stored(offset) => {
                    ownership.confirm(sent_at);
                    ownership.note_claim_log(offset + 1);
                }
                outcome => log::info!(outcome:%; "ownership heartbeat was not stored"),
            }
        });
    }

    fn claim_append(
        &self,
        kind: ClaimKind,
        release: Option<TermRelease>,
        at: Option<LogOffset>,
    ) -> AppendRequest {
        let (process, address) = (self.process.clone(), self.address.clone());
        let record = ClaimRecord { kind, process, address, release };
        let records = match serde_json::to_vec(&record) {
            Ok(value) => vec![Bytes::from(value)],
            Err(error) => {
                log::error!(error:%; "claim cannot be serialized");
                Vec::new()
            }
        };
        AppendRequest {
            topic: CLAIM_TOPIC,
            partition: 0,
            records,
            expected_offset: at,
            stamp: None,
            timeout: APPEND_TIMEOUT,
        }
    }
}
