//! Distributes the owner's permit requests to the placement advisor over the processes that act as proxies.
//!
//! The advisor serves the requests of one VM one after another, so each proxy has at most one permit request
//! in flight that is not overdue. A proxy may get another one while an overdue request still waits for the
//! advisor.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::kernel::cell::{CellEvent, PermitRule, ProxyNumber, StepKey};
use crate::prelude::*;
use crate::tasks::cell::metrics::CellMetrics;
use crate::tasks::cell::owner::OwnerMessage;
use crate::tasks::cell::ports::AdvisorClient;

/// Time beyond the expected decision time after which a permit request counts as failed.
const DEADLINE_MARGIN: Duration = Duration::from_millis(1_200);
/// Interval between checks for permit requests whose deadline has passed.
const DEADLINE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Number of a permit request, unique within one [`AdvisorTask`].
pub type PermitRequestNumber = u64;

/// A permit request to the placement advisor: which of the workers may run a step.
#[derive(Clone, Debug)]
pub struct PermitRequest {
    /// The step that needs permits.
    pub step: StepKey,
    /// Expected decision time of the advisor, and how long its permits are valid.
    pub rule: PermitRule,
    /// Order among waiting permit requests; lower values are sent first.
    pub priority: u32,
    /// The workers that the step could run on.
    pub workers: Vec<WorkerId>,
}

/// The workers that the advisor permits, with their tickets, or the reason why it gave no answer.
pub type PermitResult = Result<Vec<(WorkerId, PermitTicket)>, String>;

/// Messages to the [`AdvisorTask`].
#[derive(Debug)]
pub enum AdvisorMessage {
    /// A term of ownership has started in this process. Its owner task is told the number of proxies, now and
    /// whenever it changes.
    OwnerStarted(mpsc::Sender<OwnerMessage>),
    /// Gets permits from the advisor and sends the result to this owner task as a [`CellEvent`].
    Request(PermitRequest, mpsc::Sender<OwnerMessage>),
    /// Another process acts as a proxy; the permit requests for it go to this channel.
    ProxyJoined(ProxyNumber, mpsc::Sender<(PermitRequestNumber, StepKey, Vec<WorkerId>)>),
    /// A proxy has disconnected; its unanswered permit request goes to another proxy.
    ProxyLeft(ProxyNumber),
    /// A proxy received the answer to a permit request, or failed to get one.
    Answered(PermitRequestNumber, PermitResult),
}

/// A permit request without a result, either waiting for an idle proxy or in flight.
struct OpenRequest {
    request: PermitRequest,
    owner_sender: mpsc::Sender<OwnerMessage>,
    received_at: Instant,
    /// The proxy that was given the permit request; `None` while it waits.
    proxy: Option<ProxyNumber>,
    /// When a permit request in flight counts as failed.
    deadline: Option<Instant>,
}

/// A process that passes permit requests on to the advisor.
struct AdvisorProxy {
    output: mpsc::Sender<(PermitRequestNumber, StepKey, Vec<WorkerId>)>,
    in_flight: Option<PermitRequestNumber>,
}

/// The async task that queues permit requests and assigns them to proxies.
pub struct AdvisorTask {
    client: Option<AdvisorClient>,
    /// Sends messages to this task; cloned for the task that calls the advisor.
    own_sender: mpsc::Sender<AdvisorMessage>,
    proxies: FastMap<ProxyNumber, AdvisorProxy>,
    open_requests: FastMap<PermitRequestNumber, OpenRequest>,
    /// Priority and number of the permit requests to assign; entries of finished permit requests are skipped.
    waiting: BinaryHeap<Reverse<(u32, PermitRequestNumber)>>,
    last_number: PermitRequestNumber,
    owner_sender: Option<mpsc::Sender<OwnerMessage>>,
    metrics: CellMetrics,
}

impl AdvisorTask {
    /// Returns the task of a process that calls the advisor through `client`; without a client, the process
    /// is no proxy itself. `own_sender` sends to the inbox with which the task will run.
    #[must_use]
    pub fn new(
        client: Option<AdvisorClient>,
        own_sender: mpsc::Sender<AdvisorMessage>,
        metrics: CellMetrics,
    ) -> Self {
        Self {
            client,
            own_sender,
            proxies: FastMap::default(),
            open_requests: FastMap::default(),
            waiting: BinaryHeap::new(),
            last_number: 0,
            owner_sender: None,
            metrics,
        }
    }

    /// Runs until the token is cancelled.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<AdvisorMessage>, token: CancellationToken) {
        if let Some(client) = self.client.clone() {
            // This process is proxy 0; the numbers of the others are random.
            let (output, requests) = mpsc::channel(1);
            self.proxies.insert(0, AdvisorProxy { output, in_flight: None });
            actix_rt::spawn(forward_permit_requests(
                client,
                requests,
                self.own_sender.clone(),
                token.clone(),
            ));
        }
        let mut check = tokio::time::interval(DEADLINE_CHECK_INTERVAL);
        check.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = token.cancelled() => return,
                Some(message) = inbox.recv() => self.handle(message).await,
                _ = check.tick() => self.fail_overdue().await,
            }
            self.dispatch();
        }
    }

    async fn handle(&mut self, message: AdvisorMessage) {
        match message {
            AdvisorMessage::OwnerStarted(owner_sender) => {
                self.owner_sender = Some(owner_sender);
                self.report_proxy_count().await;
            }
            AdvisorMessage::Request(request, owner_sender) => {
                self.last_number += 1;
                self.waiting.push(Reverse((request.priority, self.last_number)));
                let open = OpenRequest {
                    request,
                    owner_sender,
                    received_at: Instant::now(),
                    proxy: None,
                    deadline: None,
                };
                self.open_requests.insert(self.last_number, open);
            }
            AdvisorMessage::ProxyJoined(proxy, output) => {
                self.proxies.insert(proxy, AdvisorProxy { output, in_flight: None });
                self.report_proxy_count().await;
            }
            AdvisorMessage::ProxyLeft(proxy) => {
                let lost = self.proxies.remove(&proxy).and_then(|proxy| proxy.in_flight);
                if let Some(number) = lost {
                    self.requeue(number);
                }
                self.report_proxy_count().await;
            }
            AdvisorMessage::Answered(number, result) => self.finish(number, result).await,
        }
    }

    async fn report_proxy_count(&mut self) {
        let Some(owner_sender) = &self.owner_sender else { return };
        let event = CellEvent::ProxiesChanged(self.proxies.len());
        if owner_sender.send(OwnerMessage::Event(event)).await.is_err() {
            self.owner_sender = None;
        }
    }

    fn requeue(&mut self, number: PermitRequestNumber) {
        if let Some(open) = self.open_requests.get_mut(&number) {
            (open.proxy, open.deadline) = (None, None);
            self.waiting.push(Reverse((open.request.priority, number)));
        }
    }

    /// Assigns waiting permit requests to idle proxies.
    fn dispatch(&mut self) {
        for (id, proxy) in &mut self.proxies {
            if proxy.in_flight.is_some() {
                continue;
            }
            while let Some(Reverse((_, number))) = self.waiting.pop() {
                let Some(open) = self.open_requests.get_mut(&number) else { continue };
                let request = &open.request;
                let message = (number, request.step.clone(), request.workers.clone());
                if proxy.output.try_send(message).is_err() {
                    // The proxy has disconnected; its `ProxyLeft` message follows.
                    self.waiting.push(Reverse((request.priority, number)));
                    break;
                }
                let count = u32::try_from(request.workers.len()).unwrap_or(u32::MAX);
                let expected = request.rule.decision_time + request.rule.time_per_worker * count;
                (open.proxy, open.deadline) = (Some(*id), Some(Instant::now() + expected + DEADLINE_MARGIN));
                proxy.in_flight = Some(number);
                break;
            }
        }
    }

    async fn finish(&mut self, number: PermitRequestNumber, result: PermitResult) {
        let Some(open) = self.open_requests.remove(&number) else { return };
        if let Some(proxy) = open.proxy.and_then(|proxy| self.proxies.get_mut(&proxy)) {
            proxy.in_flight = None;
        }
        self.metrics.advisor_question_seconds.observe(open.received_at.elapsed().as_secs_f64());
        let label = if result.is_ok() { "answered" } else { "failed" };
        self.metrics.advisor_questions.with_label_values(&[label]).inc();
        let PermitRequest { step, rule, workers, .. } = open.request;
        let event = match result {
            Ok(granted) => {
                log::info!(step:%, asked = workers.len(), granted = granted.len(),
                    took_ms = open.received_at.elapsed().as_millis(), waiting = self.waiting.len();
                    "advisor answered");
                CellEvent::PermitsAnswered {
                    step,
                    requested_workers: workers,
                    granted,
                    validity: rule.validity,
                }
            }
            Err(reason) => {
                log::info!(step:%, reason = &*reason; "advisor question failed");
                CellEvent::PermitsFailed(step)
            }
        };
        if open.owner_sender.send(OwnerMessage::Event(event)).await.is_err() {
            log::debug!("advisor answer dropped: the term of ownership has ended");
        }
    }

    async fn fail_overdue(&mut self) {
        let now = Instant::now();
        let overdue = self
            .open_requests
            .iter()
            .filter(|(_, open)| open.deadline.is_some_and(|deadline| now >= deadline));
        let overdue: Vec<PermitRequestNumber> = overdue.map(|(number, _)| *number).collect();
        for number in overdue {
            self.finish(number, Err("no answer in time".to_owned())).await;
        }
    }
}

/// Calls the advisor for one permit request at a time and sends each result to `output`.
pub async fn forward_permit_requests(
    client: AdvisorClient,
    mut requests: mpsc::Receiver<(PermitRequestNumber, StepKey, Vec<WorkerId>)>,
    output: mpsc::Sender<AdvisorMessage>,
    token: CancellationToken,
) {
    while let Some((number, step, workers)) = requests.recv().await {
        let result = tokio::select! {
            () = token.cancelled() => return,
            result = client(step, workers) => result,
        };
        if output.send(AdvisorMessage::Answered(number, result)).await.is_err() {
            return;
        }
    }
}
