//! Log adapter: appends to and reads from the log service over HTTP/1.1.

use futures_util::FutureExt;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

use crate::kernel::RecordGroup;
use crate::plugins::http;
use crate::prelude::*;
use crate::tasks::adapter::{AdapterEntry, LogAdapter, LogClient, LogFault, LogPage};

inventory::submit!(AdapterEntry::Log(LogAdapter { name: "log_http", connect }));

/// Stream that holds the records of all entry processes in one total order.
const STREAM: &str = "control";
/// Time limit until the response head, added to the time that a read waits for records; a slow log service
/// can need 5 s.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);
/// Maximum number of connections; a slow log service has several overlapping reads and one append in flight.
const MAX_CONNECTIONS: usize = 12;
/// Maximum size of the reply to an append.
const MAX_APPEND_REPLY_BYTES: usize = 64 << 10;
/// Maximum size of a read's reply, which has up to [`LogPage::MAX_GROUPS`] groups of records.
const MAX_PAGE_BYTES: usize = 512 << 20;

#[derive(Serialize)]
struct AppendBody {
    body: String,
}

#[derive(Deserialize)]
struct AppendReply {
    offset: LogOffset,
}

#[derive(Deserialize)]
struct ReadReply {
    first: LogOffset,
    next: LogOffset,
    records: Vec<ReadRecord>,
}

#[derive(Deserialize)]
struct ReadRecord {
    offset: LogOffset,
    body: String,
}

fn connect(address: &str) -> LogClient {
    let client = http::client(MAX_CONNECTIONS, RESPONSE_TIMEOUT);
    let base = format!("http://{address}/streams/{STREAM}/records");
    let (read_client, read_url) = (client.clone(), base.clone());
    LogClient {
        append: Rc::new(move |group| append(client.clone(), base.clone(), group).boxed_local()),
        read: Rc::new(move |from, wait| {
            read(read_client.clone(), read_url.clone(), from, wait).boxed_local()
        }),
    }
}

async fn append(client: awc::Client, url: String, group: RecordGroup) -> Result<LogOffset, LogFault> {
    let body = serde_json::to_string(&group).map_err(fault)?;
    let mut response = client.post(url).send_json(&AppendBody { body }).await.map_err(fault)?;
    if !response.status().is_success() {
        return Err(LogFault(format!("status {}", response.status())));
    }
    let body = http::read_answer(&mut response, MAX_APPEND_REPLY_BYTES).await.map_err(LogFault)?;
    let reply: AppendReply = serde_json::from_slice(&body).map_err(fault)?;
    Ok(reply.offset)
}

async fn read(
    client: awc::Client,
    base: String,
    from: LogOffset,
    wait: Duration,
) -> Result<LogPage, LogFault> {
    let url = format!("{base}?from={from}&max={}&wait_ms={}", LogPage::MAX_GROUPS, wait.as_millis());
    let mut response = client.get(url).timeout(wait + RESPONSE_TIMEOUT).send().await.map_err(fault)?;
    if !response.status().is_success() {
        return Err(LogFault(format!("status {}", response.status())));
    }
    let body = http::read_answer(&mut response, MAX_PAGE_BYTES).await.map_err(LogFault)?;
    let reply: ReadReply = serde_json::from_slice(&body).map_err(fault)?;
    let decode = |record: ReadRecord| (record.offset, serde_json::from_str(&record.body).ok());
    let groups = reply.records.into_iter().map(decode).collect();
    Ok(LogPage { first: reply.first, next: reply.next, groups })
}

fn fault(error: impl std::fmt::Display) -> LogFault {
    LogFault(error.to_string())
}
