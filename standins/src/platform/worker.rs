//! A worker of the users' platform, which runs tasks under a fencing token and sends an event for each start
//! and end, for the acknowledgement of an end, for the expiry of its lease and for its restart.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use serde_json::json;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::platform::worker_state::{
    CallBody, FIRST_BORN, POLL_INTERVAL, WorkerCall, WorkerMessage, WorkerState,
};
use crate::platform::{StoreStandin, WorkerEvent};
use crate::server;

/// Which callers reach a worker.
#[derive(Clone, Debug)]
struct WorkerReach {
    /// Fencing tokens of the owners that reach it.
    tokens: RangeInclusive<u64>,
    /// Whether the worker is cut off from all callers.
    is_cut: bool,
}

/// A running worker.
#[derive(Clone, Debug)]
pub struct PlatformWorker {
    /// Address of its HTTP server.
    pub address: SocketAddr,
    name: String,
    store: StoreStandin,
    inbox: mpsc::Sender<WorkerMessage>,
    highest_token: watch::Receiver<u64>,
    held_leases: watch::Receiver<usize>,
    reach: watch::Sender<WorkerReach>,
    refuses_connections: watch::Sender<bool>,
}

impl PlatformWorker {
    /// Starts a worker with 8 cores and 8 GiB of memory on a free loopback port, and registers it in the
    /// store.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the port cannot be bound.
    pub async fn start(
        name: &str,
        store: &StoreStandin,
        events: mpsc::UnboundedSender<WorkerEvent>,
        token: CancellationToken,
    ) -> std::io::Result<Self> {
        let (listener, address) = server::bind("127.0.0.1:0").await?;
        let (inbox, messages) = mpsc::channel(256);
        let (born, seen_born) = watch::channel(FIRST_BORN);
        let (highest_token, seen_token) = watch::channel(0);
        let (held_leases, seen_leases) = watch::channel(0);
        let (reach, seen_reach) = watch::channel(WorkerReach { tokens: 0..=u64::MAX, is_cut: false });
        let (refuses_connections, refuses) = watch::channel(false);
        let state = WorkerState::new(name, born, highest_token, held_leases, events);
        actix_rt::spawn(state.run(messages));
        let state_inbox = inbox.clone();
        actix_rt::spawn(server::serve_unless_refused(listener, refuses, token, move |request| {
            answer(state_inbox.clone(), *seen_born.borrow(), seen_reach.clone(), request)
        }));
        let worker = Self {
            address,
            name: name.to_owned(),
            store: store.clone(),
            inbox,
            highest_token: seen_token,
            held_leases: seen_leases,
            reach,
            refuses_connections,
        };
        worker.register(FIRST_BORN).await;
        Ok(worker)
    }

    /// Registers an incarnation of the worker in the store.
    async fn register(&self, born: u64) {
        let entry = json!({
            "service": "planner", "address": self.address.to_string(), "zone": "a", "version": "v1", "slots": 8,
            "state": "ready", "cold_remaining_ms": 0, "labels": ["kind", "r1"], "seq": 1, "born": born,
            "capacity": {"cpu": 8_000, "mem_mb": 8_192, "gpu": 0},
        });
        self.store.publish("keyed.servers", &self.name, &entry.to_string()).await;
    }

    /// Ends the worker and starts it again after `dark`, under its id and at its address. It has lost all it knew,
    /// and its clock is behind. Calls of the time between are not carried out unless they are held. Connections
    /// are reset if `resets` is set; otherwise they stay open, and calls of the former incarnation and of
    /// the time between are never answered.
    pub async fn restart(&self, dark: Duration, resets: bool) {
        if resets {
            self.refuses_connections.send_replace(true);
        }
        let _ = self.inbox.send(WorkerMessage::Stop).await;
        tokio::time::sleep(dark).await;
        let (reply, started) = oneshot::channel();
        let _ = self.inbox.send(WorkerMessage::Start(reply)).await;
        if let Ok(born) = started.await {
            self.register(born).await;
        }
        if resets {
            self.refuses_connections.send_replace(false);
        }
    }

    /// Holds the calls that arrive from now on, until the next restart is over.
    pub async fn hold_calls(&self) {
        let _ = self.inbox.send(WorkerMessage::Hold).await;
    }

    /// Waits until a call is held that renews the lease.
    pub async fn await_held_lease(&self) {
        let _ = self.held_leases.clone().wait_for(|count| *count > 0).await;
    }

    /// Carries out the held calls now, whatever the present incarnation is; callers that still wait get an answer if
    /// `answers` is set.
    pub async fn release_calls(&self, answers: bool) {
        let _ = self.inbox.send(WorkerMessage::Release(answers)).await;
    }

    /// Waits until the worker has seen a fencing token above this one.
    pub async fn await_token_above(&self, token: u64) {
        let _ = self.highest_token.clone().wait_for(|highest| *highest > token).await;
    }

    /// Returns the highest fencing token that the worker has seen.
    #[must_use]
    pub fn highest_token(&self) -> u64 {
        *self.highest_token.borrow()
    }

    /// Sets which owners reach the worker, by their fencing tokens. Calls of the others are not answered, as if
    /// the network between them were cut.
    pub fn set_reachable_by(&self, tokens: RangeInclusive<u64>) {
        self.reach.send_modify(|reach| reach.tokens = tokens);
    }

    /// Sets whether the worker is cut off from all callers, besides what [`Self::set_reachable_by`] says.
    pub fn set_cut(&self, is_cut: bool) {
        self.reach.send_modify(|reach| reach.is_cut = is_cut);
    }
}

async fn answer(
    inbox: mpsc::Sender<WorkerMessage>,
    born: u64,
    mut reach: watch::Receiver<WorkerReach>,
    mut request: Request,
) -> Response<Bytes> {
    let path = request.path().to_owned();
    let body = server::read_body(&mut request).await.unwrap_or_default();
    let Ok(mut body) = serde_json::from_slice::<CallBody>(&body) else {
        return Response::with_body(StatusCode::BAD_REQUEST, Bytes::new());
    };
    let deadline = Instant::now() + Duration::from_millis(body.wait_ms);
    let fencing_token = body.fencing_token;
    let mut waits = false;
    loop {
        let is_reached = |reach: &WorkerReach| !reach.is_cut && reach.tokens.contains(&fencing_token);
        if reach.wait_for(is_reached).await.is_err() {
            return Response::with_body(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
        }
        let (reply, answer) = oneshot::channel();
        let call = WorkerCall { path: path.clone(), body, born, waits, reply };
        let _ = inbox.send(WorkerMessage::Call(call)).await;
        let Ok((status, report)) = answer.await else {
            return Response::with_body(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
        };
        let must_wait = report["finished"].as_array().is_some_and(Vec::is_empty) && Instant::now() < deadline;
        if !must_wait {
            return server::json_response(status, &report);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
        waits = true;
        // The ends that the call acknowledges are forgotten at its arrival, and no later ones.
        body = CallBody { fencing_token, ..CallBody::default() };
    }
}
