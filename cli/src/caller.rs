//! HTTP client for the callers' interface of entry processes, which the demo sends jobs and requests with.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::error::SendRequestError;
use awc::{Client, ClientRequest};
use godwithaven::plugins::http;
use serde_json::Value;
use tokio::time::Instant;

/// Delay before the next attempt, which goes to the next entry process.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time after which no further attempt of a request is started.
const RETRY_TIMEOUT: Duration = Duration::from_secs(15);

/// How a request to a service ended, as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The service answered; holds HTTP status and body.
    Answered(u16, String),
    /// The last reply says that the request was not run; holds the refusal code.
    NotRun(String),
    /// The last reply says that the request may have run; holds the refusal code.
    MayHaveRun(String),
    /// No attempt got a complete reply.
    NoReply,
}

/// Client of one team that sends its requests to the entry processes in turn, as a load balancer does.
#[derive(Clone)]
pub struct CallerClient {
    entries: Rc<[SocketAddr]>,
    /// Number of requests sent so far, which selects the next entry process; shared by all clones.
    sent: Rc<Cell<usize>>,
    /// Attempts of service requests that failed after the connection was open and before the response head,
    /// because the connection broke or timed out; shared by all clones. A response that breaks off in its
    /// body is not counted.
    pub broken_attempts: Rc<Cell<u32>>,
    /// Id of the team.
    pub team: &'static str,
    /// Team key, sent in `x-team-key`.
    pub key: &'static str,
}

impl CallerClient {
    /// Returns a client of a team for the given callers' addresses, which must not be empty.
    #[must_use]
    pub fn new(entries: &[SocketAddr], team: &'static str, key: &'static str) -> Self {
        Self {
            entries: entries.into(),
            sent: Rc::new(Cell::new(0)),
            broken_attempts: Rc::new(Cell::new(0)),
            team,
            key,
        }
    }

    /// Submits a job, retrying after connection errors and 5xx statuses. Returns the first other HTTP status,
    /// or 0 if there was none within [`RETRY_TIMEOUT`].
    pub async fn submit(&self, job: &Value) -> u16 {
        let deadline = Instant::now() + RETRY_TIMEOUT;
        loop {
            let request = self.request("POST", "/v1/jobs").send_json(job).await;
            match request {
                Ok(response) if response.status().as_u16() < 500 => return response.status().as_u16(),
                _ if Instant::now() >= deadline => return 0,
                _ => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Cancels a job, retrying until an entry process confirms it with a 2xx status. Returns whether one did
    /// within [`RETRY_TIMEOUT`].
    pub async fn cancel(&self, job: &str) -> bool {
        let deadline = Instant::now() + RETRY_TIMEOUT;
        while Instant::now() < deadline {
            let request = self.request("DELETE", &format!("/v1/jobs/{job}")).send().await;
            if request.is_ok_and(|response| response.status().is_success()) {
                return true;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        false
    }

    /// Polls a job for its outcome. Returns it as JSON, or `None` if the job has none at the deadline.
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
            tokio::time::sleep(RETRY_DELAY).await;
        }
        None
    }

    /// Sends a request to a service and retries it under the same id until it is answered, for up to
    /// [`RETRY_TIMEOUT`]. A request that is not idempotent is not retried after a reply that it may have run.
    pub async fn call(&self, service: &str, id: &str, idempotent: bool, body: &str) -> CallOutcome {
        let deadline = Instant::now() + RETRY_TIMEOUT;
        let mut last = CallOutcome::NoReply;
        while Instant::now() < deadline {
            let request = self
                .request("POST", &format!("/v1/services/{service}/requests"))
                .insert_header(("x-team", self.team))
                .insert_header(("x-request-id", id))
                .insert_header(("x-idempotent", if idempotent { "true" } else { "false" }));
            let sent = request.send_body(body.to_owned()).await;
            self.count_broken_attempt(sent.as_ref().err());
            if let Ok(mut response) = sent {
                let ran = response.headers().contains_key("x-run");
                let status = response.status().as_u16();
                match response.body().await {
                    Ok(body) if ran => {
                        return CallOutcome::Answered(status, String::from_utf8_lossy(&body).into());
                    }
                    Ok(body) => last = parse_refusal(&body),
                    Err(_) => {}
                }
                if matches!(last, CallOutcome::MayHaveRun(_)) && !idempotent {
                    return last;
                }
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        last
    }

    /// Counts an attempt that failed on an open connection before the response head.
    fn count_broken_attempt(&self, error: Option<&SendRequestError>) {
        let broken = error.is_some_and(|error| !http::is_unsent(error));
        self.broken_attempts.set(self.broken_attempts.get() + u32::from(broken));
    }

    /// Builds a request to the next entry process.
    fn request(&self, method: &str, path: &str) -> ClientRequest {
        let sent = self.sent.get();
        self.sent.set(sent + 1);
        let entry = self.entries[sent % self.entries.len()];
        let method = method.parse().unwrap_or_default();
        Client::default()
            .request(method, format!("http://{entry}{path}"))
            .timeout(Duration::from_secs(10))
            .insert_header(("x-team-key", self.key))
    }
}

/// Parses a refusal; one that does not say `not_run` counts as may have run.
fn parse_refusal(body: &[u8]) -> CallOutcome {
    let refusal: Value = serde_json::from_slice(body).unwrap_or_default();
    let code = refusal["code"].as_str().unwrap_or("unreadable").to_owned();
    match refusal["run"].as_str() {
        Some("not_run") => CallOutcome::NotRun(code),
        _ => CallOutcome::MayHaveRun(code),
    }
}
