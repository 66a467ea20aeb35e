use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::error::SendRequestError;
use awc::{Client, ClientRequest};
use serde_json::Value;
use tokio::time::Instant;

/// Wait between two tries at different entry processes.
const RETRY_WAIT: Duration = Duration::from_millis(100);
/// Longest time for all tries of one request.
const TRY_TIME: Duration = Duration::from_secs(15);

/// How a request to a service ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// An answer came; holds status and body.
    Answered(u16, String),
    /// The caller was told that the request was not run.
    NotRun(String),
    /// The caller was told that the request may have run.
    MayHaveRun(String),
    /// No reply came at all.
    Silence,
}

/// A caller that spreads its requests over the entry processes, as a balancer does.
#[derive(Clone)]
pub struct CallerClient {
    entries: Rc<[SocketAddr]>,
    turn: Rc<Cell<usize>>,
    /// Requests whose connection broke after it was open; clones count together.
    pub cuts: Rc<Cell<u32>>,
    /// Team of the caller.
    pub team: &'static str,
    /// Key of the caller.
    pub key: &'static str,
}

impl CallerClient {
    /// Returns a caller of a team.
    #[must_use]
    pub fn new(entries: &[SocketAddr], team: &'static str, key: &'static str) -> Self {
        Self { entries: entries.into(), turn: Rc::new(Cell::new(0)), cuts: Rc::new(Cell::new(0)), team, key }
    }

    /// Submits a job until it is accepted or refused for good; returns the status, 0 without any reply.
    pub async fn submit(&self, job: &Value) -> u16 {
        let deadline = Instant::now() + TRY_TIME;
        loop {
            let request = self.request("POST", "/v1/jobs").send_json(job).await;
            match request {
                Ok(response) if response.status().as_u16() < 500 => return response.status().as_u16(),
                _ if Instant::now() >= deadline => return 0,
                _ => tokio::time::sleep(RETRY_WAIT).await,
            }
        }
    }

    /// Cancels a job; returns whether a process took the request.
    pub async fn cancel(&self, job: &str) -> bool {
        let deadline = Instant::now() + TRY_TIME;
        while Instant::now() < deadline {
            let request = self.request("DELETE", &format!("/v1/jobs/{job}")).send().await;
            if request.is_ok_and(|response| response.status().is_success()) {
                return true;
            }
            tokio::time::sleep(RETRY_WAIT).await;
        }
        false
    }

    /// Waits for the outcome of a job until the deadline; returns the JSON of the outcome.
    pub async fn outcome(&self, job: &str, deadline: Instant) -> Option<Value> {
        while Instant::now() < deadline {
            let request = self.request("GET", &format!("/v1/jobs/{job}?wait_ms=1000")).send().await;
            if let Ok(mut response) = request {
                let state: Option<Value> = response.json().await.ok();
                let outcome =
                    state.and_then(|state| state.get("outcome").cloned()).filter(|found| !found.is_null());
                if outcome.is_some() {
                    return outcome;
                }
            }
            tokio::time::sleep(RETRY_WAIT).await;
        }
        None
    }

    /// Sends a request to a service and tries again where the reply says that it was not run.
    pub async fn call(&self, service: &str, id: &str, idempotent: bool, body: &str) -> CallEnd {
        let deadline = Instant::now() + TRY_TIME;
        let mut last = CallEnd::Silence;
        while Instant::now() < deadline {
            let request = self
                .request("POST", &format!("/v1/services/{service}/requests"))
                .insert_header(("x-team", self.team))
                .insert_header(("x-request-id", id))
                .insert_header(("x-idempotent", if idempotent { "true" } else { "false" }));
            let sent = request.send_body(body.to_owned()).await;
            self.count_cut(sent.as_ref().err());
            if let Ok(mut response) = sent {
                let ran = response.headers().contains_key("x-run");
                let status = response.status().as_u16();
                match response.body().await {
                    Ok(body) if ran => {
                        return CallEnd::Answered(status, String::from_utf8_lossy(&body).into());
                    }
                    Ok(body) => last = refusal(&body),
                    Err(_) => {}
                }
                if matches!(last, CallEnd::MayHaveRun(_)) && !idempotent {
                    return last;
                }
            }
            tokio::time::sleep(RETRY_WAIT).await;
        }
        last
    }

    fn count_cut(&self, error: Option<&SendRequestError>) {
        let cut = error.is_some_and(|error| !matches!(error, SendRequestError::Connect(_)));
        self.cuts.set(self.cuts.get() + u32::from(cut));
    }

    fn request(&self, method: &str, path: &str) -> ClientRequest {
        let turn = self.turn.get();
        self.turn.set(turn + 1);
        let entry = self.entries[turn % self.entries.len()];
        let method = method.parse().unwrap_or_default();
        Client::default()
            .request(method, format!("http://{entry}{path}"))
            .timeout(Duration::from_secs(10))
            .insert_header(("x-team-key", self.key))
    }
}

fn refusal(body: &[u8]) -> CallEnd {
    let refusal: Value = serde_json::from_slice(body).unwrap_or_default();
    let text = refusal["code"].as_str().unwrap_or("unreadable").to_owned();
    match refusal["run"].as_str() {
        Some("not_run") => CallEnd::NotRun(text),
        _ => CallEnd::MayHaveRun(text),
    }
}
