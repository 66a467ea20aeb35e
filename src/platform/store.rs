//! Client of the platform's store, which keeps topics of records in partitions.

use std::rc::Rc;

use awc::http::StatusCode;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::{Buf, BufMut, Bytes};
use futures_util::FutureExt;
use serde::Deserialize;

use crate::platform::calls::{self, CallAnswer, CallFault};
use crate::plugins::http;
use crate::prelude::*;
use crate::tasks::cell::ports::{AppendCall, AppendOutcome, ReadFault, StorePort, TopicPage, TopicRecord};
use crate::tasks::cell::settings::CellSettings;

/// Connections to the store: several long polls, and appends.
const MAX_CONNECTIONS: usize = 24;
/// Longest wait for an answer beyond the time for which the store may hold a read open.
const READ_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Prefix of the names of keyed topics, which retain the newest record of each key.
const KEYED_PREFIX: &str = "keyed.";

#[derive(Deserialize)]
struct AppendReply {
    offset: LogOffset,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct RefusedReply {
    /// End of the partition, if the append expected another one.
    end: LogOffset,
    /// `fenced` for an old epoch, `seq` for a wrong sequence number.
    reason: String,
    /// The expected sequence number.
    seq: u64,
    /// The first retained offset, if a read came too late.
    first: LogOffset,
}

#[derive(Deserialize)]
struct NewestReply {
    items: Vec<NewestItem>,
    has_more: bool,
    end: LogOffset,
}

#[derive(Deserialize)]
struct NewestItem {
    key: String,
    /// Base64.
    value: String,
    offset: LogOffset,
}

/// Returns the port of the store whose address is in the settings.
pub fn connect(settings: &CellSettings) -> StorePort {
    let client = http::persistent_client(MAX_CONNECTIONS);
    let base: Rc<str> = format!("http://{}/api", settings.store).into();
    let (reader, read_base) = (client.clone(), base.clone());
    let (lister, list_base) = (client.clone(), base.clone());
    StorePort {
        append: Rc::new(move |call| append(client.clone(), base.clone(), call).boxed_local()),
        read: Rc::new(move |topic, partition, from, wait| {
            read(reader.clone(), read_base.clone(), topic, partition, from, wait).boxed_local()
        }),
        newest: Rc::new(move |topic| newest(lister.clone(), list_base.clone(), topic).boxed_local()),
    }
}

async fn append(client: awc::Client, base: Rc<str>, call: AppendCall) -> AppendOutcome {
    let mut url = format!("{base}/log-append?topic={}&part={}", call.topic, call.partition);
    if let Some(at) = call.expected_offset {
        append_query(&mut url, "at", &at);
    }
    if let Some(stamp) = &call.stamp {
        append_query(&mut url, "producer", &stamp.writer);
        append_query(&mut url, "epoch", &stamp.epoch);
        append_query(&mut url, "seq", &stamp.sequence);
    }
    let mut body = Vec::with_capacity(call.records.iter().map(|record| record.len() + 4).sum());
    for record in &call.records {
        body.put_u32(u32::try_from(record.len()).unwrap_or(u32::MAX));
        body.put_slice(record);
    }
    match calls::send(client.post(url), body, call.timeout).await {
        Ok(answer) => append_outcome(&answer),
        Err(fault) if fault.unsent => AppendOutcome::Refused(fault.reason),
        Err(fault) => AppendOutcome::Unknown(fault.reason),
    }
}

fn append_outcome(answer: &CallAnswer) -> AppendOutcome {
    let refused = answer.json::<RefusedReply>().unwrap_or_default();
    match answer.status {
        // The answer to an empty append may contain no offset.
        StatusCode::OK => {
            let offset = answer.json::<AppendReply>().map_or(refused.end, |reply| reply.offset);
            AppendOutcome::Stored(offset)
        }
        StatusCode::PRECONDITION_FAILED => AppendOutcome::OffsetMismatch(refused.end),
        StatusCode::CONFLICT if refused.reason == "seq" => AppendOutcome::OutOfSequence(refused.seq),
        StatusCode::CONFLICT => AppendOutcome::Fenced,
        StatusCode::SERVICE_UNAVAILABLE
        | StatusCode::TOO_MANY_REQUESTS
        | StatusCode::INSUFFICIENT_STORAGE => AppendOutcome::Refused(answer.status.to_string()),
        status if status.is_client_error() => AppendOutcome::Refused(status.to_string()),
        status => AppendOutcome::Unknown(status.to_string()),
    }
}

async fn read(
    client: awc::Client,
    base: Rc<str>,
    topic: &'static str,
    partition: PartitionNumber,
    from: LogOffset,
    wait: Duration,
) -> Result<TopicPage, ReadFault> {
    let mut url = format!("{base}/log-read?topic={topic}&part={partition}&from={from}");
    if !wait.is_zero() {
        append_query(&mut url, "wait_ms", &wait.as_millis());
    }
    let answer = calls::send(client.get(url), Vec::new(), wait + READ_TIMEOUT).await.map_err(read_fault)?;
    match answer.status {
        StatusCode::OK => {
            decode_page(answer.body, topic.starts_with(KEYED_PREFIX), from).map_err(ReadFault::Failed)
        }
        StatusCode::GONE => {
            Err(ReadFault::Expired(answer.json::<RefusedReply>().map_err(ReadFault::Failed)?.first))
        }
        status => Err(ReadFault::Failed(status.to_string())),
    }
}

/// Decodes a page: the end offset, the first retained offset, and length-prefixed records from `from` on.
fn decode_page(mut body: Bytes, keyed: bool, from: LogOffset) -> Result<TopicPage, String> {
    if body.len() < 16 {
        return Err("page is too short".to_owned());
    }
    let end = body.get_u64();
    let first = body.get_u64();
    let mut offset = from.max(first);
    let mut records = Vec::new();
    while body.len() >= 4 {
        let length = body.get_u32() as usize;
        if body.len() < length {
            return Err("record is cut off".to_owned());
        }
        records.push(decode_record(body.split_to(length), keyed, offset)?);
        offset += 1;
    }
    Ok(TopicPage { records, next: offset, end })
}

fn decode_record(mut value: Bytes, keyed: bool, offset: LogOffset) -> Result<TopicRecord, String> {
    if !keyed {
        return Ok(TopicRecord { offset, key: None, value });
    }
    let length = if value.is_empty() { 0 } else { usize::from(value.get_u8()) };
    if value.len() < length {
        return Err("key is cut off".to_owned());
    }
    let key = String::from_utf8_lossy(&value.split_to(length)).as_ref().into();
    Ok(TopicRecord { offset, key: Some(key), value })
}

async fn newest(client: awc::Client, base: Rc<str>, topic: &'static str) -> Result<TopicPage, ReadFault> {
    let mut records: Vec<TopicRecord> = Vec::new();
    let mut end = None;
    loop {
        let mut url = format!("{base}/log-newest?topic={topic}&part=0");
        if let Some(key) = records.last().and_then(|record| record.key.clone()) {
            append_query(&mut url, "after", &escape(&key));
        }
        let answer = calls::send(client.get(url), Vec::new(), READ_TIMEOUT).await.map_err(read_fault)?;
        if answer.status != StatusCode::OK {
            return Err(ReadFault::Failed(answer.status.to_string()));
        }
        let reply: NewestReply = answer.json().map_err(ReadFault::Failed)?;
        // The pages do not form a consistent snapshot, so changes since the first page are read again from
        // its end.
        let end = *end.get_or_insert(reply.end);
        let more = reply.has_more && !reply.items.is_empty();
        for item in reply.items {
            let value = STANDARD.decode(&item.value).unwrap_or_default();
            let (key, value) = (Some(item.key.into()), value.into());
            records.push(TopicRecord { offset: item.offset, key, value });
        }
        if !more {
            return Ok(TopicPage { records, next: end, end });
        }
    }
}

fn read_fault(fault: CallFault) -> ReadFault {
    ReadFault::Failed(fault.reason)
}

fn append_query(url: &mut String, name: &str, value: &dyn std::fmt::Display) {
    url.push('&');
    url.push_str(name);
    url.push('=');
    url.push_str(&value.to_string());
}

fn escape(key: &str) -> String {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b'~');
    key.bytes()
        .map(|byte| if plain(byte) { char::from(byte).to_string() } else { format!("%{byte:02X}") })
        .collect()
}
