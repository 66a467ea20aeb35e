//! Owns the connections to one endpoint: sends requests over them, reuses idle ones and probes its health.

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

/// Time between two health probes. An endpoint that starts to leave is noticed after at most this time plus
/// the duration of one probe.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Idle connections are closed after this time; HTTP servers commonly close theirs after 5 s.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// One attempt of a request, to be sent to the endpoint.
pub struct EndpointAttempt {
    /// Service partition whose router dispatched the attempt.
    pub shard: ShardId,
    /// Fencing token of the partition.
    pub token: FencingToken,
    /// Number of the attempt within the claim of the partition.
    pub attempt: AttemptId,
    /// Id of the request.
    pub request_id: RequestId,
    /// Body of the request.
    pub body: Bytes,
    /// Maximum time until the complete answer.
    pub timeout: Duration,
}

/// Message to an [`EndpointTask`].
pub enum EndpointMessage {
    /// Sends a request to the endpoint and reports the result to the router.
    Send(EndpointAttempt),
    /// Ends the attempt with this partition, fencing token and number, unless a part of its answer has
    /// arrived.
    Abandon(ShardId, FencingToken, AttemptId),
}

type AttemptKey = (ShardId, FencingToken, AttemptId);
type Attempts = FuturesUnordered<LocalBoxFuture<'static, (AttemptKey, EndpointExchange)>>;
type Probe = Option<LocalBoxFuture<'static, (Instant, Option<EndpointHealth>)>>;

/// Task that owns the connections to one endpoint.
pub struct EndpointTask {
    vm: VmId,
    client: EndpointClient,
    router: mpsc::Sender<RouterMessage>,
    metrics: EntryMetrics,
    /// Reusable connections, each with the time since which it has been idle.
    idle: Vec<(Instant, EndpointConnection)>,
    /// Tokens that are cancelled to abandon an attempt that is under way.
    abandon_by_attempt: FastMap<AttemptKey, CancellationToken>,
}

impl EndpointTask {
    /// Returns a task without connections; results and probes are sent to `router`.
    #[must_use]
    pub fn new(
        vm: VmId,
        client: EndpointClient,
        router: mpsc::Sender<RouterMessage>,
        metrics: EntryMetrics,
    ) -> Self {
        Self { vm, client, router, metrics, idle: Vec::new(), abandon_by_attempt: FastMap::default() }
    }

    /// Runs until `shutdown` is cancelled, or until the router has dropped its sender and the last attempt
    /// has ended.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<EndpointMessage>, shutdown: CancellationToken) {
        let mut attempts = Attempts::new();
        let mut probe: Probe = None;
        let mut tick = tokio::time::interval(PROBE_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut inbox_open = true;
        while inbox_open || !attempts.is_empty() {
            tokio::select! {
                () = shutdown.cancelled() => return,
                received = inbox.recv(), if inbox_open => match received {
                    Some(EndpointMessage::Send(attempt)) => attempts.push(self.send(attempt)),
                    Some(EndpointMessage::Abandon(shard, token, attempt)) => {
                        if let Some(abandon) = self.abandon_by_attempt.get(&(shard, token, attempt)) {
                            abandon.cancel();
                        }
                    }
                    None => inbox_open = false,
                },
                Some((key, exchange)) = attempts.next(), if !attempts.is_empty() => {
                    self.finish(key, exchange).await;
                }
                (sent, health) = poll_probe(&mut probe) => {
                    probe = None;
                    let _ = self.router.send(RouterMessage::ProbeEnded(self.vm.clone(), sent, health)).await;
                }
                _ = tick.tick(), if inbox_open => {
                    self.idle.retain(|(since, _)| since.elapsed() < IDLE_TIMEOUT);
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

    fn send(&mut self, attempt: EndpointAttempt) -> LocalBoxFuture<'static, (AttemptKey, EndpointExchange)> {
        let key = (attempt.shard, attempt.token, attempt.attempt);
        let abandon = CancellationToken::new();
        self.abandon_by_attempt.insert(key.clone(), abandon.clone());
        let call = EndpointCall {
            request_id: attempt.request_id,
            body: attempt.body,
            timeout: attempt.timeout,
            abandon,
        };
        let fresh = |(since, _): &(Instant, EndpointConnection)| since.elapsed() < IDLE_TIMEOUT;
        let idle = self.idle.pop().filter(fresh).map(|(_, connection)| connection);
        let open = self.client.open.clone();
        Box::pin(async move { (key, exchange_with_reuse(open, idle, call).await) })
    }

    async fn finish(&mut self, key: AttemptKey, exchange: EndpointExchange) {
        self.abandon_by_attempt.remove(&key);
        if let Some(reason) = exchange.dropped {
            self.metrics.dropped_answers.with_label_values(&[reason]).inc();
            log::warn!(vm = &*self.vm, reason = reason; "dropped bytes that the endpoint sent");
        }
        // The router keeps at most as many attempts in flight as the endpoint has slots, and an attempt
        // reuses an idle connection if there is one. So there are never more connections for requests than
        // slots.
        self.idle.extend(exchange.connection.map(|connection| (Instant::now(), connection)));
        let (shard, token, attempt) = key;
        let result = AttemptResult { shard, token, attempt, result: exchange.result };
        let _ = self.router.send(RouterMessage::AttemptEnded(Box::new(result))).await;
    }
}

/// Sends the call over the idle connection, or over a new one if there is none or the endpoint has closed it:
/// no byte of the call was sent on a closed connection, so sending again is safe.
async fn exchange_with_reuse(
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
