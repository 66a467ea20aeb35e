//! The platform's store: a log with topics, partitions and producers, and topics with keys.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Reply, Request};

/// Time that an append takes.
const APPEND_TIME: Duration = Duration::from_millis(2);

#[derive(Default)]
struct Partition {
    records: Vec<Vec<u8>>,
    /// Epoch, last number, and the offsets of the last appends by number, of each producer.
    producers: HashMap<String, (u64, u64, Vec<(u64, u64)>)>,
}

#[derive(Default)]
struct State {
    partitions: HashMap<(String, u64), Partition>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let state: Arc<(Mutex<State>, Condvar)> = Arc::default();
        let served = state.clone();
        let address = http::serve(move |request| answer(&served, &request));
        Self { address, state }
    }

    /// Writes a record of a key; an empty value drops the key.
    pub fn publish(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the store");
        state.partitions.entry((topic.to_owned(), 0)).or_default().records.push(record);
        changed.notify_all();
    }
}

fn answer(state: &(Mutex<State>, Condvar), request: &Request) -> Reply {
    match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/api/log-append") => append(state, request),
        ("GET", "/api/log-read") => read(state, request),
        ("GET", "/api/log-newest") => newest(state, request),
        _ => Reply::Answer(404, Vec::new()),
    }
}

fn partition_of(request: &Request) -> Option<(String, u64)> {
    Some((request.query("topic")?.to_owned(), request.query_number("part")?))
}

fn json(status: u16, body: String) -> Reply {
    Reply::Answer(status, body.into_bytes())
}

fn append((state, changed): &(Mutex<State>, Condvar), request: &Request) -> Reply {
    let Some(key) = partition_of(request) else { return json(400, "{}".to_owned()) };
    if key.0 == "keyed.op" || key.0 == "keyed.servers" {
        return json(403, "{}".to_owned());
    }
    std::thread::sleep(APPEND_TIME);
    let mut records = Vec::new();
    let mut rest = &request.body[..];
    while rest.len() >= 4 {
        let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
        if rest.len() < 4 + length || length > 262_144 {
            return json(400, "{}".to_owned());
        }
        records.push(rest[4..4 + length].to_vec());
        rest = &rest[4 + length..];
    }
    let mut state = state.lock().expect("the store");
    let partition = state.partitions.entry(key).or_default();
    let end = partition.records.len() as u64;
    if request.query_number("at").is_some_and(|at| at != end) {
        return json(412, format!("{{\"end\":{end}}}"));
    }
    if let Some(producer) = request.query("producer") {
        let epoch = request.query_number("epoch").unwrap_or(0);
        let seq = request.query_number("seq").unwrap_or(0);
        let known = partition.producers.get(producer).cloned();
        match known {
            Some((newest, ..)) if epoch < newest => {
                return json(409, "{\"reason\":\"fenced\"}".to_owned());
            }
            Some((newest, last, offsets)) if epoch == newest && !records.is_empty() => {
                if let Some((_, offset)) = offsets.iter().find(|(number, _)| *number == seq) {
                    return json(200, format!("{{\"offset\":{offset},\"end\":{end}}}"));
                }
                if seq != last + 1 {
                    return json(409, format!("{{\"reason\":\"seq\",\"seq\":{}}}", last + 1));
                }
                let mut offsets = offsets;
                offsets.push((seq, end));
                if offsets.len() > 5 {
                    offsets.remove(0);
                }
                partition.producers.insert(producer.to_owned(), (epoch, seq, offsets));
            }
            Some((newest, ..)) if epoch == newest => {}
            _ => {
                let offsets = if records.is_empty() { Vec::new() } else { vec![(seq, end)] };
                partition.producers.insert(producer.to_owned(), (epoch, seq, offsets));
            }
        }
    }
    partition.records.extend(records);
    let new_end = partition.records.len();
    changed.notify_all();
    json(200, format!("{{\"offset\":{end},\"end\":{new_end}}}"))
}

fn read((state, changed): &(Mutex<State>, Condvar), request: &Request) -> Reply {
    let Some(key) = partition_of(request) else { return json(400, "{}".to_owned()) };
    let from = request.query_number("from").unwrap_or(0) as usize;
    let most = request.query_number("max_kilobytes").unwrap_or(1_024) as usize * 1_024;
    let deadline = Instant::now() + Duration::from_millis(request.query_number("wait_ms").unwrap_or(0));
    let mut state = state.lock().expect("the store");
    loop {
        let records = state.partitions.get(&key).map_or(&[][..], |partition| &partition.records[..]);
        let left = deadline.saturating_duration_since(Instant::now());
        if records.len() > from || left.is_zero() {
            let mut body = Vec::new();
            body.extend_from_slice(&(records.len() as u64).to_be_bytes());
            body.extend_from_slice(&0u64.to_be_bytes());
            for record in records.iter().skip(from) {
                if body.len() > 16 && body.len() + record.len() > most {
                    break;
                }
                body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                body.extend_from_slice(record);
            }
            return Reply::Answer(200, body);
        }
        state = changed.wait_timeout(state, left).expect("the store").0;
    }
}

fn newest((state, _): &(Mutex<State>, Condvar), request: &Request) -> Reply {
    let Some(key) = partition_of(request) else { return json(400, "{}".to_owned()) };
    let state = state.lock().expect("the store");
    let records = state.partitions.get(&key).map_or(&[][..], |partition| &partition.records[..]);
    let mut newest: BTreeMap<&[u8], (usize, &[u8])> = BTreeMap::new();
    for (offset, record) in records.iter().enumerate() {
        let length = record[0] as usize;
        newest.insert(&record[1..1 + length], (offset, &record[1 + length..]));
    }
    let items: Vec<String> = newest
        .iter()
        .filter(|(_, (_, value))| !value.is_empty())
        .map(|(key, (offset, value))| {
            let key = String::from_utf8_lossy(key);
            format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
        })
        .collect();
    json(200, format!("{{\"items\":[{}],\"has_more\":false,\"end\":{}}}", items.join(","), records.len()))
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let bits = u32::from(group[0]) << 16
            | u32::from(group.get(1).copied().unwrap_or(0)) << 8
            | u32::from(group.get(2).copied().unwrap_or(0));
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
