//! Client of the platform's store, which keeps topics of records in partitions.

use std::rc::Rc;

use awc::http::StatusCode;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::{Buf, BufMut, Bytes};
use futures_util::FutureExt;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::platform::calls::{self, CallFault, CallResponse};
use crate::plugins::http;
use crate::prelude::*;
use crate::tasks::cell::ports::{
    AppendOutcome, AppendRequest, ReadFault, StoreClient, TopicPage, TopicRecord,
};
use crate::tasks::cell::settings::CellSettings;

/// Largest number of connections to the store: several for long polls, the others for appends.
const MAX_CONNECTIONS: usize = 24;
/// Longest wait for the answer to a read beyond the time for which the store may hold it open, which is zero
/// for a read of the newest records.
const READ_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_200);
/// Prefix of the names of keyed topics, which retain the newest record of each key.
const KEYED_PREFIX: &str = "keyed.";

#[derive(Deserialize)]
struct AppendReply {
    offset: LogOffset,
}

/// Fields of the replies to appends and reads other than the offset; those that a reply lacks are zero or
/// empty.
#[derive(Default, Deserialize)]
#[serde(default)]
struct StoreReply {
    /// End of the partition, if the append expected another one or was empty.
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
    /// Parsed one by one, so that an item that cannot be read does not hide the others.
    items: Vec<Box<RawValue>>,
    has_more: bool,
    end: LogOffset,
}

/// The key of an item, from which a list is continued even if the rest of the item cannot be read.
#[derive(Deserialize)]
struct ItemKey {
    key: Arc<str>,
}

#[derive(Deserialize)]
struct NewestItem {
    key: String,
    /// Base64.
    value: String,
    offset: LogOffset,
}

/// Returns a client of the store whose address is in the settings.
pub fn connect(settings: &CellSettings) -> StoreClient {
    let client = http::persistent_client(MAX_CONNECTIONS);
    let base: Rc<str> = format!("http://{}/api", settings.store_address).into();
    let (reader, read_base) = (client.clone(), base.clone());
    let (lister, list_base) = (client.clone(), base.clone());
    StoreClient {
        limits: settings.store_limits,
        append: Rc::new(move |request| append(client.clone(), base.clone(), request).boxed_local()),
        read: Rc::new(move |topic, partition, from, wait| {
            read(reader.clone(), read_base.clone(), topic, partition, from, wait).boxed_local()
        }),
        newest: Rc::new(move |topic| newest(lister.clone(), list_base.clone(), topic).boxed_local()),
    }
}

async fn append(client: awc::Client, base: Rc<str>, request: AppendRequest) -> AppendOutcome {
    let mut url = format!("{base}/log-append?topic={}&part={}", request.topic, request.partition);
    if let Some(at) = request.expected_offset {
        append_query(&mut url, "at", &at);
    }
    if let Some(stamp) = &request.stamp {
        append_query(&mut url, "producer", &stamp.writer);
        append_query(&mut url, "epoch", &stamp.epoch);
        append_query(&mut url, "seq", &stamp.sequence);
    }
    // Each record has a prefix of 4 bytes, its length.
    let mut body = Vec::with_capacity(request.records.iter().map(|record| record.len() + 4).sum());
    for record in &request.records {
        body.put_u32(u32::try_from(record.len()).unwrap_or(u32::MAX));
        body.put_slice(record);
    }
    match calls::send(client.post(url), body, request.timeout).await {
        Ok(response) => append_outcome(&response),
        Err(fault) if fault.unsent => AppendOutcome::Refused(fault.reason),
        Err(fault) => AppendOutcome::Unknown(fault.reason),
    }
}

fn append_outcome(response: &CallResponse) -> AppendOutcome {
    let reply = response.json::<StoreReply>().unwrap_or_default();
    match response.status {
        // The answer to an empty append may contain no offset.
        StatusCode::OK => {
            let offset = response.json::<AppendReply>().map_or(reply.end, |stored| stored.offset);
            AppendOutcome::Stored(offset)
        }
        StatusCode::PRECONDITION_FAILED => AppendOutcome::OffsetMismatch(reply.end),
        StatusCode::CONFLICT if reply.reason == "seq" => AppendOutcome::OutOfSequence(reply.seq),
        StatusCode::CONFLICT => AppendOutcome::Fenced,
        StatusCode::SERVICE_UNAVAILABLE
        | StatusCode::TOO_MANY_REQUESTS
        | StatusCode::INSUFFICIENT_STORAGE => AppendOutcome::Refused(response.status.to_string()),
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
    let response =
        calls::send(client.get(url), Vec::new(), wait + READ_TIMEOUT_MARGIN).await.map_err(read_fault)?;
    match response.status {
        StatusCode::OK => {
            decode_page(response.body, topic.starts_with(KEYED_PREFIX), from).map_err(ReadFault::Failed)
        }
        StatusCode::GONE => {
            Err(ReadFault::Expired(response.json::<StoreReply>().map_err(ReadFault::Failed)?.first))
        }
        status => Err(ReadFault::Failed(status.to_string())),
    }
}

/// Decodes the body of a `log-read` response, whose integers are big-endian. It starts with two `u64`: the
/// offset after the newest record, then that of the oldest retained one. A `u32` with its size precedes each
/// record; the first record is at `from`, or at the oldest retained offset if that is higher.
///
/// A record of a keyed topic without a readable key has none in the page, as any writer may have left it
/// there and the records after it count.
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
        records.push(decode_record(body.split_to(length), keyed, offset));
        offset += 1;
    }
    Ok(TopicPage { records, next: offset, end, first })
}

/// Decodes a record; in a keyed topic it consists of the length of the key in one byte, the key and the
/// value.
fn decode_record(mut value: Bytes, keyed: bool, offset: LogOffset) -> TopicRecord {
    if !keyed {
        return TopicRecord { offset, key: None, value };
    }
    let length = if value.is_empty() { 0 } else { usize::from(value.get_u8()) };
    if value.len() < length {
        log::warn!(offset = offset, bytes = value.len(); "keyed record is shorter than its key");
        return TopicRecord { offset, key: None, value };
    }
    let key = String::from_utf8_lossy(&value.split_to(length)).as_ref().into();
    TopicRecord { offset, key: Some(key), value }
}

async fn newest(client: awc::Client, base: Rc<str>, topic: &'static str) -> Result<TopicPage, ReadFault> {
    let mut records: Vec<TopicRecord> = Vec::new();
    let (mut end, mut after): (Option<LogOffset>, Option<Arc<str>>) = (None, None);
    loop {
        let mut url = format!("{base}/log-newest?topic={topic}&part=0");
        if let Some(key) = &after {
            append_query(&mut url, "after", &escape(key));
        }
        let response =
            calls::send(client.get(url), Vec::new(), READ_TIMEOUT_MARGIN).await.map_err(read_fault)?;
        if response.status != StatusCode::OK {
            return Err(ReadFault::Failed(response.status.to_string()));
        }
        let reply: NewestReply = response.json().map_err(ReadFault::Failed)?;
        // The pages do not form a consistent snapshot, so changes since the first page are read again from
        // its end.
        let end = *end.get_or_insert(reply.end);
        records.extend(reply.items.iter().filter_map(|item| decode_item(topic, item)));
        if !reply.has_more {
            return Ok(TopicPage { records, next: end, end, first: 0 });
        }
        let last = reply.items.iter().rev().find_map(|item| serde_json::from_str::<ItemKey>(item.get()).ok());
        let last = last.map(|item| item.key);
        if last.is_none() || last == after {
            // The same page would come again. The keys so far are not the whole list, and those that it lacks
            // would count as removed.
            return Err(ReadFault::Failed("list cannot be continued".to_owned()));
        }
        after = last;
    }
}

/// Decodes an item of a list; one that cannot be read is logged and left out. A value that is not valid
/// Base64 counts as empty, that is, as removed.
fn decode_item(topic: &str, item: &RawValue) -> Option<TopicRecord> {
    match serde_json::from_str::<NewestItem>(item.get()) {
        Ok(NewestItem { key, value, offset }) => {
            let value = STANDARD.decode(&value).unwrap_or_default();
            Some(TopicRecord { offset, key: Some(key.into()), value: value.into() })
        }
        Err(error) => {
            log::warn!(topic = topic, error:%; "item of a list cannot be read");
            None
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
