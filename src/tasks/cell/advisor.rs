//! Distributes the owner's permit requests to the placement advisor over the processes that act as proxies.

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::kernel::cell::{
    CellEvent, PermitDispatch, PermitRequest, PermitRequestNumber, ProxyNumber, StepKey,
};
use crate::prelude::*;
use crate::tasks::cell::metrics::CellMetrics;
use crate::tasks::cell::owner::OwnerMessage;
use crate::tasks::cell::ports::AdvisorClient;

/// Interval between checks for permit requests whose deadline has passed, and for proxies that may get requests
/// again.
const DEADLINE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

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

/// A permit request without a result.
struct OpenRequest {
    request: PermitRequest,
    owner_sender: mpsc::Sender<OwnerMessage>,
    received_at: Instant,
}

/// The async task that queues permit requests and assigns them to proxies, as [`PermitDispatch`] decides.
pub struct AdvisorTask {
    client: Option<AdvisorClient>,
    /// Sends messages to this task; cloned for the task that calls the advisor.
    own_sender: mpsc::Sender<AdvisorMessage>,
    dispatch: PermitDispatch,
    outputs: FastMap<ProxyNumber, mpsc::Sender<(PermitRequestNumber, StepKey, Vec<WorkerId>)>>,
    open_requests: FastMap<PermitRequestNumber, OpenRequest>,
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
            dispatch: PermitDispatch::default(),
            outputs: FastMap::default(),
            open_requests: FastMap::default(),
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
            self.add_proxy(0, output);
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
            self.send_assigned();
        }
    }

    fn add_proxy(
        &mut self,
        proxy: ProxyNumber,
        output: mpsc::Sender<(PermitRequestNumber, StepKey, Vec<WorkerId>)>,
    ) {
        self.dispatch.add_proxy(proxy);
        self.outputs.insert(proxy, output);
    }

    async fn handle(&mut self, message: AdvisorMessage) {
        match message {
            AdvisorMessage::OwnerStarted(owner_sender) => {
                self.owner_sender = Some(owner_sender);
                self.drop_ended_terms();
                self.report_proxy_count().await;
            }
            AdvisorMessage::Request(request, owner_sender) => {
                self.last_number += 1;
                self.dispatch.add_request(self.last_number, &request);
                let open = OpenRequest { request, owner_sender, received_at: Instant::now() };
                self.open_requests.insert(self.last_number, open);
            }
            AdvisorMessage::ProxyJoined(proxy, output) => {
                self.add_proxy(proxy, output);
                self.report_proxy_count().await;
            }
            AdvisorMessage::ProxyLeft(proxy) => {
                self.dispatch.remove_proxy(proxy);
                self.outputs.remove(&proxy);
                self.report_proxy_count().await;
            }
            AdvisorMessage::Answered(number, result) => self.finish(number, result).await,
        }
    }

    /// Drops the requests of terms that have ended in this process and were not sent.
    fn drop_ended_terms(&mut self) {
        let now = Instant::now();
        let ended = self.open_requests.iter().filter(|(_, open)| open.owner_sender.is_closed());
        let ended: Vec<PermitRequestNumber> = ended.map(|(number, _)| *number).collect();
        for number in ended {
            if !self.dispatch.is_sent(number) {
                self.dispatch.finish(number, false, now);
                self.open_requests.remove(&number);
            }
        }
    }

    async fn report_proxy_count(&mut self) {
        let Some(owner_sender) = &self.owner_sender else { return };
        let event = CellEvent::ProxiesChanged(self.dispatch.proxy_count());
        if owner_sender.send(OwnerMessage::Event(event)).await.is_err() {
            self.owner_sender = None;
        }
    }

    /// Sends waiting permit requests to the proxies that are assigned to them.
    fn send_assigned(&mut self) {
        for (proxy, number) in self.dispatch.assign(Instant::now()) {
            let Some(open) = self.open_requests.get(&number) else { continue };
            let message = (number, open.request.step.clone(), open.request.workers.clone());
            let sent = self.outputs.get(&proxy).is_some_and(|output| output.try_send(message).is_ok());
            if !sent {
                // The proxy has disconnected; its `ProxyLeft` message follows.
                self.dispatch.return_request(number);
            }
        }
    }

    async fn finish(&mut self, number: PermitRequestNumber, result: PermitResult) {
        self.dispatch.finish(number, result.is_ok(), Instant::now());
        let Some(open) = self.open_requests.remove(&number) else { return };
        self.metrics.advisor_question_seconds.observe(open.received_at.elapsed().as_secs_f64());
        let label = if result.is_ok() { "answered" } else { "failed" };
        self.metrics.advisor_questions.with_label_values(&[label]).inc();
        let PermitRequest { step, queue, kind, rule, workers, .. } = open.request;
        let event = match result {
            Ok(granted) => {
                log::info!(step:%, queue:%, kind:%, asked = workers.len(), granted = granted.len(),
                    took_ms = open.received_at.elapsed().as_millis(), waiting = self.dispatch.waiting_count();
                    "advisor answered");
                CellEvent::PermitsAnswered {
                    step,
                    requested_workers: workers,
                    granted,
                    validity: rule.validity,
                }
            }
            Err(reason) => {
                log::info!(step:%, queue:%, kind:%, reason = &*reason; "advisor question failed");
                CellEvent::PermitsFailed(step)
            }
        };
        if open.owner_sender.send(OwnerMessage::Event(event)).await.is_err() {
            log::debug!("advisor answer dropped: the term of ownership has ended");
        }
    }

    async fn fail_overdue(&mut self) {
        for number in self.dispatch.overdue(Instant::now()) {
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
