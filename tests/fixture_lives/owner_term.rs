use std::time::{Duration, Instant};

use godwithaven::kernel::cell::{
    CallFence, CellEffect, CellEvent, CellRecord, CellScheduler, CommandOutcome, EndCause, EndSource,
    EndedRun, InheritedLeases, KnownWorker, PollReport, PollRequest, RestartRule, StartCommand, StopCommand,
    TaskKey, TermAuthority, WorkerLease, WorkerListing, WorkerSession, longest_real_time,
};
use godwithaven::prelude::*;
use godwithaven::tasks::cell::ownership_lease::OWNERSHIP_LEASE;
use godwithaven_standins::platform::{
    CallState, ModelCall, RunsReport, WorkerAction, WorkerAnswer, WorkerOutcome, WorkerRequest,
};

use super::{CellStore, START_UNIX_MS};
use crate::fixture_cell::{config, running};

/// Leases that owners grant, and the longest that workers accept.
const WORKER_LEASE: Duration = Duration::from_millis(6_500);
const LONGEST_LEASE: Duration = Duration::from_secs(10);
const LOG_RETENTION: Duration = Duration::from_secs(150);
const TICK_INTERVAL: u64 = 100;
const LIST_INTERVAL: u64 = 400;
const HEARTBEAT_INTERVAL: u64 = 500;
/// Longest wait for the answer to a command, and to a poll beyond the time for which the worker may hold it open.
const COMMAND_TIMEOUT: u64 = 500;
const POLL_TIMEOUT_MARGIN: u64 = 900;

/// What an owner asks of a worker.
#[derive(Clone, Debug)]
pub enum CallRequest {
    Poll(PollRequest),
    Look(PollRequest),
    Start(StartCommand, WorkerTime),
    Stop(StopCommand),
}

/// The connection of an owner to a worker.
struct OwnerLink {
    number: u64,
    session: WorkerSession,
    /// Numbers of the open poll and the open look.
    poll: Option<u64>,
    look: Option<u64>,
}

/// A call that an owner has sent, and what it knew then.
pub struct OutboundCall {
    pub worker: WorkerId,
    pub known: KnownWorker,
    link: u64,
    request: CallRequest,
}

/// One term of ownership, which wires the decision types as `OwnerTask`, `WorkerLink` and `CellRecovery` do.
pub struct OwnerTerm {
    pub token: FencingToken,
    pub scheduler: CellScheduler,
    /// Whether the store neither takes records nor confirms the ownership any more.
    pub is_cut_from_store: bool,
    /// When the process ends.
    pub ends_at: Option<u64>,
    /// Number of records that the owner stores before it is killed.
    pub stores_left: Option<usize>,
    /// Why the term has ended.
    pub ended: Option<String>,
    pub started_at: u64,
    origin: Instant,
    wall_ms: i64,
    links: FastMap<WorkerId, OwnerLink>,
    /// Calls without an answer, by number.
    open: FastMap<u64, OutboundCall>,
    /// Numbers of those that are to be sent.
    unsent: Vec<u64>,
    listed: Vec<WorkerListing>,
    /// When the store confirmed the ownership last.
    confirmed_at: u64,
    newest_token: FencingToken,
    /// Whether effects wait for a record that the store does not take.
    is_blocked: bool,
    next_number: u64,
}

impl OwnerTerm {
    /// Claims the cell and recovers its state.
    pub fn claim(store: &mut CellStore, origin: Instant, wall_ms: i64, now: u64) -> Self {
        store.next_claim += 1;
        let at = origin + Duration::from_millis(now);
        let longest = longest_real_time(WORKER_LEASE);
        let inherited = InheritedLeases::new(longest, OWNERSHIP_LEASE, store.release.take(), at);
        let mut scheduler = CellScheduler::new(inherited)
            .with_log_retention(LOG_RETENTION)
            .with_restart_rule(RestartRule::new(WORKER_LEASE, LONGEST_LEASE));
        let wall = Duration::from_millis((START_UNIX_MS + now).saturating_add_signed(wall_ms));
        scheduler.handle(CellEvent::Tick(wall), at);
        scheduler.handle(CellEvent::Configured(config(None).into()), at);
        for job in &store.jobs {
            scheduler.handle(CellEvent::Submitted(job.clone()), at);
        }
        for (record, _) in &store.records {
            scheduler.replay(record.clone(), at);
        }
        scheduler.end_replay();
        Self {
            token: store.next_claim,
            scheduler,
            is_cut_from_store: false,
            ends_at: None,
            stores_left: None,
            ended: None,
            started_at: now,
            origin,
            wall_ms,
            links: FastMap::default(),
            open: FastMap::default(),
            unsent: Vec::new(),
            listed: Vec::new(),
            confirmed_at: now,
            newest_token: store.next_claim,
            is_blocked: false,
            next_number: 0,
        }
    }

    /// Does what is due now; returns the calls to send, with their workers and what is known of these.
    pub fn step(
        &mut self,
        store: &mut CellStore,
        entries: Vec<WorkerListing>,
        now: u64,
    ) -> Vec<(WorkerId, KnownWorker, ModelCall)> {
        if self.ends_at.is_some_and(|ends_at| now >= ends_at) {
            self.ended.get_or_insert_with(|| "killed".to_owned());
        }
        if self.ended.is_some() {
            return Vec::new();
        }
        let (at, age) = (self.at(now), now - self.started_at);
        if age > 0 && age.is_multiple_of(HEARTBEAT_INTERVAL) && !self.is_cut_from_store {
            store.next_claim += 1;
            (self.newest_token, self.confirmed_at) = (store.next_claim, now);
        }
        if age.is_multiple_of(LIST_INTERVAL) && !self.is_cut_from_store {
            let repeats = |(new, old): (&WorkerListing, &WorkerListing)| new.repeats(old);
            if self.listed.is_empty() || !entries.iter().zip(&self.listed).all(repeats) {
                self.listed.clone_from(&entries);
                self.scheduler.handle(CellEvent::WorkersListed(entries), at);
            }
        }
        if age.is_multiple_of(TICK_INTERVAL) {
            let wall = Duration::from_millis((START_UNIX_MS + now).saturating_add_signed(self.wall_ms));
            self.scheduler.handle(CellEvent::Tick(wall), at);
            if !self.is_blocked {
                self.scheduler.record_lease_bounds(at);
            }
        }
        for effect in self.scheduler.decide(!self.is_blocked, at) {
            if self.ended.is_none() {
                self.apply(effect, store, now);
            }
        }
        let authority = self.authority(now);
        let workers: Vec<WorkerId> = self.links.keys().cloned().collect();
        for worker in workers {
            let Some(link) = self.links.get_mut(&worker) else { continue };
            if link.poll.is_none() && link.session.poll_delay(at).is_none() {
                let poll = link.session.next_poll(authority, at);
                let number = self.send(&worker, CallRequest::Poll(poll));
                self.links.entry(worker).and_modify(|link| link.poll = number);
            }
        }
        let unsent = std::mem::take(&mut self.unsent);
        // The records of a torn batch are stored before the kill, and nothing is sent after them.
        let sent = unsent.into_iter().filter(|_| self.ended.is_none());
        sent.filter_map(|number| {
            let call = self.open.get(&number)?;
            Some((call.worker.clone(), call.known, call.wire(number, now)))
        })
        .collect()
    }

    /// Returns the incarnations of a worker that has answered this owner last, and that is listed.
    pub fn known_incarnations(&self, worker: &WorkerId) -> [Option<u64>; 2] {
        let state = self.scheduler.state();
        let worker = state.slot(worker).and_then(|slot| state.worker(slot));
        let known = worker.map(|worker| [worker.incarnation, worker.listing.incarnation]);
        known.unwrap_or_default().map(|incarnation| incarnation.map(milliseconds))
    }

    /// Applies the answer to a call, or the fact that there is none.
    pub fn finish(&mut self, sent: &ModelCall, answer: Option<&WorkerAnswer>, now: u64) {
        let at = self.at(now);
        let Some(call) = self.open.remove(&sent.id.1) else { return };
        let worker = &call.worker;
        let Some(link) = self.links.get_mut(worker).filter(|link| link.number == call.link) else { return };
        if self.ended.is_some() {
            return;
        }
        let clock = answer.map(|answer| Duration::from_millis(answer.clock_ms));
        let is_fenced = answer.is_some_and(|answer| answer.outcome == WorkerOutcome::Refused("fence"));
        let is_stale = call.known.token < link.session.known().token;
        let report = answer.and_then(|answer| match &answer.outcome {
            WorkerOutcome::Reported(report) => Some(poll_report(report, self.origin, sent.sent_at)),
            _ => None,
        });
        match &call.request {
            CallRequest::Poll(_) if link.poll != Some(sent.id.1) => {}
            CallRequest::Poll(_) => {
                link.poll = None;
                if let (Some(report), Some(clock)) = (report, clock) {
                    let change = link.session.note_answer(&report, clock, self.newest_token, at);
                    if change.is_unfenced {
                        self.scheduler.handle(CellEvent::WorkerUnfenced(worker.clone()), at);
                    }
                    if let Some(fence) = change.fence {
                        self.scheduler.handle(CellEvent::WorkerFenced(worker.clone(), fence), at);
                    }
                    self.scheduler.handle(CellEvent::WorkerPolled(worker.clone(), report), at);
                } else if is_fenced {
                    self.ended = Some(format!("{worker} knows a newer owner"));
                } else {
                    link.session.note_silence(at);
                    let expires_by = link.session.lease().expires_by();
                    self.scheduler.handle(CellEvent::WorkerUnresponsive(worker.clone(), expires_by), at);
                }
            }
            CallRequest::Look(_) => {
                link.look = None;
                if let Some(PollReport { incarnation, running, .. }) = report {
                    let event = CellEvent::ProgressReported(worker.clone(), incarnation, running);
                    self.scheduler.handle(event, at);
                } else if is_fenced && !is_stale {
                    self.ended = Some(format!("{worker} knows a newer owner"));
                }
            }
            CallRequest::Start(..) | CallRequest::Stop(_) => {
                let outcome = match answer.map(|answer| &answer.outcome) {
                    _ if is_fenced && !is_stale => {
                        self.ended = Some(format!("{worker} knows a newer owner"));
                        return;
                    }
                    None if sent.state == CallState::Refused => CommandOutcome::NotSent,
                    None => CommandOutcome::Unknown,
                    Some(WorkerOutcome::Refused(_)) => CommandOutcome::Refused,
                    Some(_) => CommandOutcome::Accepted,
                };
                let clock = clock.filter(|_| !is_fenced);
                if clock.is_some_and(|clock| link.session.note_command_clock(clock, call.known, at)) {
                    link.poll = None;
                    self.scheduler.handle(CellEvent::WorkerUnfenced(worker.clone()), at);
                }
                let event = match call.request.clone() {
                    CallRequest::Start(command, _) => {
                        CellEvent::StartAnswered(command.task, command.run, command.worker, outcome)
                    }
                    CallRequest::Stop(command) => {
                        CellEvent::StopAnswered(command.task, command.run, command.worker, outcome)
                    }
                    _ => return,
                };
                self.scheduler.handle(event, at);
            }
        }
    }

    fn at(&self, now: u64) -> Instant {
        self.origin + Duration::from_millis(now)
    }

    fn authority(&self, now: u64) -> TermAuthority {
        let is_confirmed = Duration::from_millis(now - self.confirmed_at) < OWNERSHIP_LEASE;
        TermAuthority { is_confirmed, newest_token: self.newest_token }
    }

    /// Carries out an effect. Without the store, those that follow a record wait for ever.
    fn apply(&mut self, effect: CellEffect, store: &mut CellStore, now: u64) {
        match effect {
            CellEffect::Record(record) => self.record(record, None, store, now),
            CellEffect::RecordEnd(record, end) => self.record(record, Some(end.source), store, now),
            CellEffect::Watch(listing) => self.open_link(&listing, now),
            CellEffect::Unwatch(worker) => {
                self.links.remove(&worker);
            }
            effect => {
                let waits = !matches!(
                    effect,
                    CellEffect::Look(_) | CellEffect::RenewLease { after_records: false, .. }
                );
                if !(waits && self.is_blocked) {
                    self.pass_on(effect, now);
                }
            }
        }
    }

    fn record(&mut self, record: CellRecord, source: Option<EndSource>, store: &mut CellStore, now: u64) {
        if self.is_cut_from_store {
            self.is_blocked = true;
            return;
        }
        if let Some(left) = &mut self.stores_left {
            if *left == 0 {
                self.ended = Some("killed before a record was stored".to_owned());
                return;
            }
            *left -= 1;
        }
        store.records.push((record, source));
        self.confirmed_at = now;
    }

    fn open_link(&mut self, listing: &WorkerListing, now: u64) {
        let at = self.at(now);
        let (fence, lease) = match self.scheduler.inherited_lease_of(&listing.worker) {
            Some(expires_by) => {
                (CallFence::new(self.token), WorkerLease::new(WORKER_LEASE, LONGEST_LEASE, expires_by))
            }
            None => (
                CallFence::reopened(self.token.max(self.newest_token)),
                WorkerLease::reopened(WORKER_LEASE, LONGEST_LEASE, at),
            ),
        };
        let rule = RestartRule::new(WORKER_LEASE, LONGEST_LEASE);
        let recorded_fence = self.scheduler.fence_of(&listing.worker);
        let session = WorkerSession::new(fence, lease, rule, recorded_fence);
        let number = next(&mut self.next_number);
        let link = OwnerLink { number, session, poll: None, look: None };
        self.links.insert(listing.worker.clone(), link);
    }

    /// Passes an effect on to the link of its worker.
    fn pass_on(&mut self, effect: CellEffect, now: u64) {
        let (at, authority) = (self.at(now), self.authority(now));
        match effect {
            CellEffect::Start(command) => {
                let worker = command.worker.clone();
                let may_start =
                    command.expires_at >= at && self.scheduler.may_start(&command.task, command.run);
                let link = self.links.get_mut(&worker).filter(|_| may_start);
                if let Some(Ok(until)) = link.map(|link| link.session.permit_start(&command, authority, at)) {
                    self.send(&worker, CallRequest::Start(command, until));
                } else {
                    let outcome = CommandOutcome::NotSent;
                    let event = CellEvent::StartAnswered(command.task, command.run, worker, outcome);
                    self.scheduler.handle(event, at);
                }
            }
            CellEffect::Stop(command) => {
                let worker = command.worker.clone();
                self.send(&worker, CallRequest::Stop(command));
            }
            CellEffect::Look(worker) => {
                let Some(link) = self.links.get(&worker).filter(|link| link.look.is_none()) else { return };
                let request = CallRequest::Look(link.session.look());
                if link.session.is_answered() {
                    let look = self.send(&worker, request);
                    self.links.entry(worker).and_modify(|link| link.look = look);
                }
            }
            CellEffect::RenewLease { worker, polled_at, .. } => {
                self.links.entry(worker).and_modify(|link| link.session.allow_renewal(polled_at));
            }
            CellEffect::Acknowledge(worker, incarnation, number) => {
                self.links.entry(worker).and_modify(|link| link.session.acknowledge(incarnation, number));
            }
            _ => {}
        }
    }

    /// Sends a call with the present token; returns its number.
    fn send(&mut self, worker: &WorkerId, request: CallRequest) -> Option<u64> {
        let link = self.links.get(worker)?;
        let number = next(&mut self.next_number);
        let (known, link) = (link.session.known(), link.number);
        self.open.insert(number, OutboundCall { worker: worker.clone(), known, link, request });
        self.unsent.push(number);
        Some(number)
    }
}

impl OutboundCall {
    /// Returns the call as the worker gets it; its owner and the incarnation that it is meant for are set by the world.
    fn wire(&self, number: u64, now: u64) -> ModelCall {
        let (until, action, wait_ms) = match &self.request {
            CallRequest::Poll(poll) | CallRequest::Look(poll) => {
                (poll.lease, WorkerAction::Report(poll.acknowledged), milliseconds(poll.wait))
            }
            CallRequest::Start(command, until) => {
                let run_ms = command.payload.trim_start_matches("ms=").parse().unwrap_or_default();
                let run_time = Duration::from_millis(run_ms);
                (Some(*until), WorkerAction::Start(command.task.to_string(), command.run, run_time), 0)
            }
            CallRequest::Stop(command) => {
                (None, WorkerAction::Stop(command.task.to_string(), command.run), 0)
            }
        };
        let is_poll = matches!(action, WorkerAction::Report(_));
        let timeout = if is_poll { wait_ms + POLL_TIMEOUT_MARGIN } else { COMMAND_TIMEOUT };
        ModelCall {
            id: (0, number),
            life: 0,
            request: WorkerRequest { token: self.known.token, until_ms: until.map(milliseconds), action },
            wait_ms,
            sent_at: now,
            times_out_at: now + timeout,
            state: CallState::Over,
            is_delayed: false,
            loses_answer: false,
            is_awaited: true,
        }
    }
}

fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn next(number: &mut u64) -> u64 {
    *number += 1;
    *number
}

fn poll_report(report: &RunsReport, origin: Instant, sent_at: u64) -> PollReport {
    let ended = report.finished.iter().map(|(number, task, run, cause)| EndedRun {
        number: *number,
        task: TaskKey::parse(task).expect("the name is valid"),
        run: *run,
        cause: match *cause {
            "done" => EndCause::Done,
            "stopped" => EndCause::Stopped,
            _ => EndCause::LeaseExpired,
        },
        checkpoint: None,
    });
    PollReport {
        poll_sent_at: origin + Duration::from_millis(sent_at),
        incarnation: Duration::from_millis(report.born),
        running: report.running.iter().map(|(task, run)| running(task, *run, 50)).collect(),
        ended: ended.collect(),
        ends_complete: true,
    }
}
