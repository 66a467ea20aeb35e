//! Owns the connections to one endpoint.

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use crate::kernel::{AttemptFailure, EndpointHealth};
use crate::prelude::*;
use crate::tasks::adapter::{
    EndpointCall, EndpointClient, EndpointConnection, EndpointExchange, EndpointOpen,
};
use crate::tasks::metrics::EntryMetrics;
use crate::tasks::router::{AttemptResult, RouterMessage};

/// Time between two health probes; an endpoint that leaves is known within this and one answer.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Idle connections are closed after this; HTTP servers commonly close theirs after 5 s.
const IDLE_TIME: Duration = Duration::from_secs(2);

/// A request to send to the endpoint.
pub struct EndpointRequest {
    /// The service partition whose router sent it.
    pub shard: ShardId,
    /// Token of the partition.
    pub token: FencingToken,
    /// Number of the attempt.
    pub attempt: AttemptId,
    /// The request.
    pub request: RequestId,
    /// Its body.
    pub body: Bytes,
    /// Longest time to the answer.
    pub timeout: Duration,
}

/// What the task of an endpoint is told.
pub enum EndpointMessage {
    /// Sends a request.
    Send(EndpointRequest),
    /// Ends an attempt unless a part of its answer has arrived; holds partition, token and attempt.
    Abandon(ShardId, FencingToken, AttemptId),
}

type AttemptKey = (ShardId, FencingToken, AttemptId);
type Attempts = FuturesUnordered<LocalBoxFuture<'static, (AttemptKey, EndpointExchange)>>;
type Probe = Option<LocalBoxFuture<'static, (Instant, Option<EndpointHealth>)>>;

/// State of the task of one endpoint.
pub struct EndpointTask {
    vm: VmId,
    client: EndpointClient,
    router: mpsc::Sender<RouterMessage>,
    metrics: EntryMetrics,
    idle: Vec<(Instant, EndpointConnection)>,
    running: FastMap<AttemptKey, CancellationToken>,
}

impl EndpointTask {
    /// Returns the task; results go to `router`.
    #[must_use]
    pub fn new(
        vm: VmId,
        client: EndpointClient,
        router: mpsc::Sender<RouterMessage>,
        metrics: EntryMetrics,
    ) -> Self {
        Self { vm, client, router, metrics, idle: Vec::new(), running: FastMap::default() }
    }

    /// Runs until the token is cancelled, or the router dropped its sender and the last request has ended.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<EndpointMessage>, token: CancellationToken) {
        let mut attempts = Attempts::new();
        let mut probe: Probe = None;
        let mut tick = tokio::time::interval(PROBE_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut open = true;
        while open || !attempts.is_empty() {
            tokio::select! {
                () = token.cancelled() => return,
                received = inbox.recv(), if open => match received {
                    Some(EndpointMessage::Send(request)) => attempts.push(self.send(request)),
                    Some(EndpointMessage::Abandon(shard, token, attempt)) => {
                        if let Some(abandon) = self.running.get(&(shard, token, attempt)) {
                            abandon.cancel();
                        }
                    }
                    None => open = false,
                },
                Some((key, exchange)) = attempts.next(), if !attempts.is_empty() => {
                    self.finish(key, exchange).await;
                }
                (sent, health) = poll_probe(&mut probe) => {
                    probe = None;
                    let _ = self.router.send(RouterMessage::Probed(self.vm.clone(), sent, health)).await;
                }
                _ = tick.tick(), if open => {
                    self.idle.retain(|(since, _)| since.elapsed() < IDLE_TIME);
                    if probe.is_none() {
                        probe = Some(self.start_probe());
                    }
                }
            }
        }
    }

    fn start_probe(&self) -> LocalBoxFuture<'static, (Instant, Option<EndpointHealth>)> {
        let (sent, health) = (Instant::now(), (self.client.probe)());
        Box::pin(async move { (sent, health.await) })
    }

    fn send(&mut self, request: EndpointRequest) -> LocalBoxFuture<'static, (AttemptKey, EndpointExchange)> {
        let key = (request.shard, request.token, request.attempt);
        let abandon = CancellationToken::new();
        self.running.insert(key.clone(), abandon.clone());
        let call =
            EndpointCall { request: request.request, body: request.body, timeout: request.timeout, abandon };
        let fresh = |(since, _): &(Instant, EndpointConnection)| since.elapsed() < IDLE_TIME;
        let idle = self.idle.pop().filter(fresh).map(|(_, connection)| connection);
        let open = self.client.open.clone();
        Box::pin(async move { (key, exchange(open, idle, call).await) })
    }

    async fn finish(&mut self, key: AttemptKey, exchange: EndpointExchange) {
        self.running.remove(&key);
        if let Some(reason) = exchange.dropped {
            self.metrics.dropped_answers.with_label_values(&[reason]).inc();
            log::warn!(vm = &*self.vm, reason = reason; "bytes of an endpoint dropped");
        }
        // A request takes an idle connection first, so there are never more connections than slots.
        self.idle.extend(exchange.connection.map(|connection| (Instant::now(), connection)));
        let (shard, token, attempt) = key;
        let result = AttemptResult { shard, token, attempt, result: exchange.result };
        let _ = self.router.send(RouterMessage::Attempted(Box::new(result))).await;
    }
}

/// Sends the call; an idle connection that the endpoint closed is replaced, as no byte was sent on it.
async fn exchange(
    open: EndpointOpen,
    idle: Option<EndpointConnection>,
    call: EndpointCall,
) -> EndpointExchange {
    let mut dropped = None;
    if let Some(connection) = idle {
        let exchange = (connection.exchange)(call.clone()).await;
        if exchange.result != Err(AttemptFailure::Unreachable) {
            return exchange;
        }
        dropped = exchange.dropped;
    }
    let Some(connection) = open().await else {
        return EndpointExchange { result: Err(AttemptFailure::Unreachable), connection: None, dropped };
    };
    let exchange = (connection.exchange)(call).await;
    EndpointExchange { dropped: exchange.dropped.or(dropped), ..exchange }
}

async fn poll_probe(probe: &mut Probe) -> (Instant, Option<EndpointHealth>) {
    match probe {
        Some(probe) => probe.await,
        None => std::future::pending().await,
    }
}
