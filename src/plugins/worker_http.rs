//! Worker adapter: sends commands and leases to workers and reads their reports over HTTP/1.1.

use std::rc::Rc;

use futures_util::FutureExt;
use serde::{Deserialize, Serialize};

use crate::kernel::{TaskEnd, TaskOutcome, TaskReport, WorkerCommand, WorkerReport};
use crate::plugins::http;
use crate::prelude::*;
use crate::tasks::adapter::{
    AdapterEntry, SyncAnswer, SyncRequest, SyncResult, WorkerAdapter, WorkerClient, WorkerStamp,
};

inventory::submit!(AdapterEntry::Worker(WorkerAdapter {
    name: "worker_http",
    supports_fencing: true,
    supports_stamps: true,
    connect
}));

/// Time limit until the response head of a sync; the sync loop has a shorter limit and closes the connection
/// when that expires.
const SYNC_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a reply.
const MAX_REPLY_BYTES: usize = 16 << 20;

/// Body of a sync request.
#[derive(Serialize)]
struct SyncBody<'a> {
    token: FencingToken,
    lease_ms: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    stamp: Option<&'a str>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    commands: Vec<CommandBody<'a>>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    acknowledge: Vec<&'a str>,
    /// Revision of the running tasks in the last reply; omitted if the entry process knows none.
    #[serde(skip_serializing_if = "Option::is_none")]
    known: Option<ReportRevision>,
}

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum CommandBody<'a> {
    Start {
        task: &'a str,
        team: &'a str,
        cores_milli: u64,
        memory_mib: u64,
        accelerators: u64,
        #[serde(skip_serializing_if = "Option::is_none")]
        run_ms: Option<u64>,
    },
    Stop {
        task: &'a str,
    },
    Checkpoint {
        task: &'a str,
    },
    Throttle {
        task: &'a str,
        percent: u32,
    },
}

/// Reply to a sync; with status 409 only `token` is meaningful, the newer owner's fencing token.
#[derive(Deserialize)]
struct SyncReply {
    token: FencingToken,
    /// Stamp for the next sync; required unless the status is 409.
    stamp: Option<WorkerStamp>,
    #[serde(default)]
    rejected: Vec<TaskId>,
    /// The running tasks; `None` in a reply with `unchanged`.
    #[serde(default)]
    running: Option<Vec<RunningBody>>,
    #[serde(default)]
    ended: Vec<EndedBody>,
    /// Revision of `running`, for the next request's `known`; `None` if the worker gives none.
    #[serde(default)]
    revision: Option<ReportRevision>,
    /// The revision that the request named as known, sent in place of `running` if the running tasks have not
    /// changed.
    #[serde(default)]
    unchanged: Option<ReportRevision>,
}

#[derive(Deserialize)]
struct RunningBody {
    task: TaskId,
    team: TeamId,
    cores_milli: u64,
    memory_mib: u64,
    accelerators: u64,
    #[serde(default)]
    used_cores_milli: u64,
    #[serde(default)]
    used_memory_mib: u64,
    #[serde(default)]
    checkpointed: bool,
}

#[derive(Deserialize)]
struct EndedBody {
    task: TaskId,
    end: TaskOutcome,
    #[serde(default)]
    result: String,
}

fn connect(address: &str) -> WorkerClient {
    let client = http::client_without_default_headers(1, SYNC_TIMEOUT);
    let base = format!("http://{address}/workers");
    Rc::new(move |request| sync(client.clone(), format!("{base}/{}/sync", request.vm), request).boxed_local())
}

async fn sync(client: awc::Client, url: String, request: SyncRequest) -> SyncResult {
    let acknowledge = request.commands.iter().filter_map(|command| match command {
        WorkerCommand::Acknowledge { task } => Some(&**task),
        _ => None,
    });
    let body = SyncBody {
        token: request.token,
        lease_ms: milliseconds(request.lease),
        stamp: request.stamp.as_deref(),
        commands: request.commands.iter().filter_map(encode).collect(),
        acknowledge: acknowledge.collect(),
        known: request.known_revision,
    };
    // Decompression is off because it would add an `accept-encoding` header of 25 bytes to every sync.
    let mut response = match client.post(url).no_decompress().send_json(&body).await {
        Ok(response) => response,
        Err(error) => return SyncResult::Unknown(error.to_string()),
    };
    let status = response.status().as_u16();
    if status != 200 && status != 409 {
        return SyncResult::Unknown(format!("status {status}"));
    }
    let body = match http::read_answer(&mut response, MAX_REPLY_BYTES).await {
        Ok(body) => body,
        Err(reason) => return SyncResult::Unknown(reason),
    };
    match serde_json::from_slice::<SyncReply>(&body) {
        Ok(reply) if status == 409 => SyncResult::Fenced(reply.token),
        Ok(reply) if reply.stamp.is_none() => SyncResult::Unknown("the answer has no stamp".into()),
        Ok(reply) if reply.unchanged.is_none() && reply.running.is_none() => {
            SyncResult::Unknown("the answer has no list of running tasks".to_owned())
        }
        Ok(reply) if reply.unchanged.is_none() => SyncResult::FullReport(decode(reply)),
        Ok(reply) if reply.unchanged == request.known_revision => SyncResult::Unchanged(decode(reply)),
        Ok(_) => SyncResult::Unknown(
            "the answer reports no change since a revision other than the known one".to_owned(),
        ),
        Err(error) => SyncResult::Unknown(error.to_string()),
    }
}

/// Returns the command in wire form; `None` for an acknowledgement, which has its own field.
fn encode(command: &WorkerCommand) -> Option<CommandBody<'_>> {
    Some(match command {
        WorkerCommand::Start { task, team, need, run_time } => CommandBody::Start {
            task,
            team,
            cores_milli: need.cores_milli,
            memory_mib: need.memory_mib,
            accelerators: need.accelerators,
            run_ms: run_time.map(milliseconds),
        },
        WorkerCommand::Stop { task } => CommandBody::Stop { task },
        WorkerCommand::Checkpoint { task } => CommandBody::Checkpoint { task },
        WorkerCommand::Throttle { task, percent } => CommandBody::Throttle { task, percent: *percent },
        WorkerCommand::Acknowledge { .. } => return None,
    })
}

fn decode(reply: SyncReply) -> SyncAnswer {
    let running = reply.running.unwrap_or_default().into_iter().map(|body| TaskReport {
        task: body.task,
        team: body.team,
        need: ResourceVector::new(body.cores_milli, body.memory_mib, body.accelerators),
        used: ResourceVector::new(body.used_cores_milli, body.used_memory_mib, body.accelerators),
        checkpointed: body.checkpointed,
    });
    let ended = reply.ended.into_iter().map(|body| TaskEnd {
        task: body.task,
        outcome: body.end,
        result: body.result,
    });
    let report = WorkerReport { running: running.collect(), ended: ended.collect() };
    SyncAnswer { report, stamp: reply.stamp, rejected: reply.rejected, revision: reply.revision }
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
