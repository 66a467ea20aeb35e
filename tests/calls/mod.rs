//! Callers that send requests over sockets, and a comparison of what they learned with what the endpoints
//! ran.

#![allow(dead_code, reason = "each test program uses some of the functions")]

use std::collections::HashMap;
use std::time::Duration;

use awc::Client;
use awc::error::SendRequestError;
use godwithaven_standins::endpoint::EndpointCounts;
use serde_json::Value;
use tokio::sync::watch;

use crate::fixture::BLUE_KEY;
use crate::routing;

/// Maximum number of times that a caller sends one id.
const MAX_ATTEMPTS: u32 = 12;
/// Time within which a running process must respond; the longest deadline of a request is 4 s.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// Number and behaviour of the callers of one run.
#[derive(Clone, Copy, Debug)]
pub struct CallPlan {
    /// Number of concurrent callers.
    pub callers: u64,
    /// Number of requests that each caller sends, one after the other.
    pub requests: u64,
    /// Seed from which ids, idempotency, deadlines and pauses are derived.
    pub seed: u64,
    /// One request in this many has a deadline of 40 or 600 ms instead of 4 s. Of these, 40 ms pass before
    /// the ledger has applied most intents, and 600 ms before late answers arrive.
    pub short_one_in: u64,
    /// One request in this many is not retried after a response that says that it was not run.
    pub give_up_one_in: u64,
    /// Upper bound of the pause between two requests of a caller, in milliseconds.
    pub pause_ms: u64,
}

/// What a caller learned about one id.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallRecord {
    idempotent: bool,
    /// Bodies of all answers; more than one if the caller repeated the id.
    answers: Vec<String>,
    /// Whether the last response said that the request was not run.
    last_not_run: bool,
    /// Whether any response said that the request may have run.
    may_have_run: bool,
    /// Attempts whose connection failed because the entry process ended.
    cut: u32,
    /// Attempts without a response although the connection stayed open.
    timed_out: u32,
}

/// Counts of violated guarantees, and of the outcomes that show that the run exercised them.
#[derive(Debug, Default, PartialEq)]
pub struct FaultCounts {
    /// Requests whose caller learned no outcome although the entry process was running.
    pub lost: u32,
    /// Non-idempotent requests that ran more than once.
    pub doubled: u32,
    /// Answers that belong to another request, are incomplete, or were given by no endpoint.
    pub wrong: u32,
    /// Requests that ran although the caller learned only that they had not.
    pub false_not_run: u32,
    /// Endpoints that had more concurrent requests or connections than they allow.
    pub over_slots: u32,
    /// Requests with at least one answer.
    pub answered: u32,
    /// Requests without an answer that may have run.
    pub unknown: u32,
    /// Requests without an answer whose last response said that they were not run.
    pub refused: u32,
    /// Attempts whose connection failed because the entry process ended.
    pub cut: u32,
}

/// The current addresses of the running entry processes.
pub type Addresses = watch::Receiver<Vec<String>>;

/// Sends one id once and returns status and body; `Err(true)` if the request timed out, `Err(false)` if the
/// connection failed.
async fn send(address: &str, id: &str, idempotent: bool, deadline_ms: u64) -> Result<(u16, String), bool> {
    let request = Client::default()
        .post(format!("http://{address}/v1/services/planner/requests"))
        .timeout(RESPONSE_TIMEOUT)
        .insert_header(("x-team", "blue"))
        .insert_header(("x-team-key", BLUE_KEY))
        .insert_header(("x-request-id", id))
        .insert_header(("x-deadline-ms", deadline_ms.to_string()))
        .insert_header(("x-idempotent", if idempotent { "true" } else { "false" }));
    let sent = request.send_body(format!("body of {id}")).await;
    let mut response = sent.map_err(|error| matches!(error, SendRequestError::Timeout))?;
    let body = response.body().await.map_err(|_| false)?;
    Ok((response.status().as_u16(), String::from_utf8_lossy(&body).into_owned()))
}

/// Sends one id until it has an answer or further attempts cannot give one.
async fn call(
    addresses: &Addresses,
    id: &str,
    idempotent: bool,
    deadline_ms: u64,
    stops_when_not_run: bool,
    turn: u64,
) -> CallRecord {
    let mut record = CallRecord { idempotent, ..CallRecord::default() };
    for attempt in 0..MAX_ATTEMPTS {
        let current = addresses.borrow().clone();
        let index = usize::try_from(turn + u64::from(attempt)).unwrap_or(0) % current.len();
        let (status, body) = match send(&current[index], id, idempotent, deadline_ms).await {
            Ok(reply) => reply,
            Err(timed_out) => {
                // The entry process ended or hung, so the caller does not know the outcome of this attempt.
                record.cut += u32::from(!timed_out);
                record.timed_out += u32::from(timed_out);
                record.last_not_run = false;
                continue;
            }
        };
        let refusal: Value = serde_json::from_str(&body).unwrap_or_default();
        let run = refusal["run"].as_str().unwrap_or("ran");
        record.last_not_run = run == "not_run";
        if run == "ran" && status == 200 {
            record.answers.push(body);
            // Some answered requests are repeated: the repeat must give the same answer or say that it is
            // unknown.
            if record.answers.len() > 1 || !turn.is_multiple_of(4) {
                break;
            }
            continue;
        }
        record.may_have_run |= run == "may_have_run";
        if stops_when_not_run && record.last_not_run {
            break;
        }
        if run == "may_have_run" && (!idempotent || !record.answers.is_empty()) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    record
}

async fn run_caller(addresses: Addresses, caller: u64, plan: CallPlan) -> HashMap<String, CallRecord> {
    let mut random = plan.seed * 1_000 + caller + 1;
    let mut records = HashMap::new();
    for number in 0..plan.requests {
        let pick = routing::next_random(&mut random);
        let id = format!("s{}-c{caller}-{number}", plan.seed);
        let short = (pick >> 16).is_multiple_of(plan.short_one_in);
        let deadline_ms = match (short, pick >> 40 & 1) {
            (false, _) => 4_000,
            (true, 0) => 600,
            (true, _) => 40,
        };
        let stops_when_not_run = (pick >> 24).is_multiple_of(plan.give_up_one_in);
        let record =
            call(&addresses, &id, pick.is_multiple_of(3), deadline_ms, stops_when_not_run, pick >> 8).await;
        records.insert(id, record);
        tokio::time::sleep(Duration::from_millis(pick % plan.pause_ms)).await;
    }
    records
}

/// Runs all callers until they have sent their requests, and returns their records by id.
pub async fn run_callers(addresses: Addresses, plan: CallPlan) -> HashMap<String, CallRecord> {
    let callers =
        (0..plan.callers).map(|caller| actix_rt::spawn(run_caller(addresses.clone(), caller, plan)));
    let mut records = HashMap::new();
    for caller in callers.collect::<Vec<_>>() {
        records.extend(caller.await.unwrap_or_default());
    }
    records
}

/// Compares what callers learned with what the endpoints ran.
pub fn count(calls: &HashMap<String, CallRecord>, endpoints: &[EndpointCounts]) -> FaultCounts {
    let mut counts = FaultCounts::default();
    for (id, call) in calls {
        let key = format!("blue/{id}");
        let runs: u32 = endpoints.iter().filter_map(|endpoint| endpoint.runs.get(&key)).sum();
        let expected = format!("answer to {key}: body of {id}");
        counts.wrong += u32::from(call.answers.iter().any(|answer| *answer != expected));
        counts.wrong += u32::from(!call.answers.is_empty() && runs == 0);
        counts.doubled += u32::from(!call.idempotent && runs > 1);
        let refused = call.answers.is_empty() && call.last_not_run;
        counts.false_not_run += u32::from(refused && !call.may_have_run && call.cut == 0 && runs > 0);
        let informed = !call.answers.is_empty() || call.may_have_run || call.last_not_run || call.cut > 0;
        counts.lost += u32::from(!informed || call.timed_out > 0);
        counts.answered += u32::from(!call.answers.is_empty());
        counts.unknown += u32::from(call.answers.is_empty() && call.may_have_run);
        counts.refused += u32::from(refused);
        counts.cut += call.cut;
    }
    let peaks = endpoints.iter().filter(|endpoint| endpoint.peak_busy > 8 || endpoint.peak_connections > 64);
    counts.over_slots = u32::try_from(peaks.count()).unwrap_or(u32::MAX);
    counts
}
