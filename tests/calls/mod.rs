//! Callers over sockets, and counts of what they and the endpoints saw.

#![allow(dead_code, reason = "each program uses some of the functions")]

use std::collections::HashMap;
use std::time::Duration;

use awc::Client;
use awc::error::SendRequestError;
use godwithaven_standins::endpoint::EndpointRecord;
use serde_json::Value;
use tokio::sync::watch;

use crate::fixture::BLUE_KEY;
use crate::routing;

/// Times that a caller sends one id.
const TRIES: u32 = 12;
/// A process that lives answers before this; the longest deadline is 4 s.
const ANSWER_TIME: Duration = Duration::from_secs(15);

/// The callers of one run.
#[derive(Clone, Copy, Debug)]
pub struct CallPlan {
    /// Callers that send at once.
    pub callers: u64,
    /// Requests that each sends, one after the other.
    pub requests: u64,
    /// Selects ids, idempotency and waits.
    pub seed: u64,
    /// One request in this many has a deadline of 40 or 600 ms instead of 4 s: before most intents are folded, or
    /// before late answers.
    pub short_one_in: u64,
    /// One request in this many is not sent again after it was refused as not run.
    pub give_up_one_in: u64,
    /// Longest wait between two requests of a caller, in milliseconds.
    pub pause_ms: u64,
}

/// What a caller learned of one id.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallRecord {
    idempotent: bool,
    answers: Vec<String>,
    last_not_run: bool,
    may_have_run: bool,
    cut: u32,
    hung: u32,
}

/// Counts of broken promises, and of what makes the run meaningful.
#[derive(Debug, Default, PartialEq)]
pub struct FaultCounts {
    /// Requests whose caller learned nothing although the process that took them lived.
    pub lost: u32,
    /// Non-idempotent requests that ran more than once.
    pub doubled: u32,
    /// Answers of other requests, incomplete ones, and ones that no endpoint gave.
    pub wrong: u32,
    /// Requests that ran although every caller was told that they had not.
    pub false_not_run: u32,
    /// Endpoints with more requests or connections at once than they take.
    pub over_slots: u32,
    /// Requests with an answer.
    pub answered: u32,
    /// Requests without an answer that may have run.
    pub unknown: u32,
    /// Requests that were refused as not run in the end.
    pub refused: u32,
    /// Exchanges that ended with the entry process.
    pub cut: u32,
}

/// Addresses of the running entry processes.
pub type Addresses = watch::Receiver<Vec<String>>;

/// Sends one id once; `Err(true)` if the process kept the connection and gave no answer.
async fn send(address: &str, id: &str, idempotent: bool, deadline_ms: u64) -> Result<(u16, String), bool> {
    let request = Client::default()
        .post(format!("http://{address}/v1/services/planner/requests"))
        .timeout(ANSWER_TIME)
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

/// Sends one id until there is an answer or nothing more can be learned.
async fn call(
    addresses: &Addresses,
    id: &str,
    idempotent: bool,
    deadline_ms: u64,
    gives_up: bool,
    turn: u64,
) -> CallRecord {
    let mut record = CallRecord { idempotent, ..CallRecord::default() };
    for attempt in 0..TRIES {
        let known = addresses.borrow().clone();
        let index = usize::try_from(turn + u64::from(attempt)).unwrap_or(0) % known.len();
        let (status, body) = match send(&known[index], id, idempotent, deadline_ms).await {
            Ok(reply) => reply,
            Err(hung) => {
                // The entry process ended, so the caller does not know.
                record.cut += u32::from(!hung);
                record.hung += u32::from(hung);
                record.last_not_run = false;
                continue;
            }
        };
        let refusal: Value = serde_json::from_str(&body).unwrap_or_default();
        let run = refusal["run"].as_str().unwrap_or("ran");
        record.last_not_run = run == "not_run";
        if run == "ran" && status == 200 {
            record.answers.push(body);
            // A repeat must give the same answer or say that it is not known.
            if record.answers.len() > 1 || !turn.is_multiple_of(4) {
                break;
            }
            continue;
        }
        record.may_have_run |= run == "may_have_run";
        if gives_up && record.last_not_run {
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
        let gives_up = (pick >> 24).is_multiple_of(plan.give_up_one_in);
        let record = call(&addresses, &id, pick.is_multiple_of(3), deadline_ms, gives_up, pick >> 8).await;
        records.insert(id, record);
        tokio::time::sleep(Duration::from_millis(pick % plan.pause_ms)).await;
    }
    records
}

/// Runs all callers to their end.
pub async fn run_callers(addresses: Addresses, plan: CallPlan) -> HashMap<String, CallRecord> {
    let callers =
        (0..plan.callers).map(|caller| actix_rt::spawn(run_caller(addresses.clone(), caller, plan)));
    let mut records = HashMap::new();
    for caller in callers.collect::<Vec<_>>() {
        records.extend(caller.await.unwrap_or_default());
    }
    records
}

/// Compares what callers learned with what endpoints saw.
pub fn count(calls: &HashMap<String, CallRecord>, endpoints: &[EndpointRecord]) -> FaultCounts {
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
        let told = !call.answers.is_empty() || call.may_have_run || call.last_not_run || call.cut > 0;
        counts.lost += u32::from(!told || call.hung > 0);
        counts.answered += u32::from(!call.answers.is_empty());
        counts.unknown += u32::from(call.answers.is_empty() && call.may_have_run);
        counts.refused += u32::from(refused);
        counts.cut += call.cut;
    }
    let peaks = endpoints.iter().filter(|endpoint| endpoint.peak_busy > 8 || endpoint.peak_connections > 64);
    counts.over_slots = u32::try_from(peaks.count()).unwrap_or(u32::MAX);
    counts
}
