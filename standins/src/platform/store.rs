//! A log store with partitioned topics, keyed topics, conditional appends and fencing of old producers.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::{Method, Request, Response, StatusCode};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use rustc_hash::FxHashMap;
use serde_json::json;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::server;

/// Largest record that the store takes.
const MAX_RECORD_BYTES: usize = 262_144;

/// Topic and number of a partition.
type PartitionKey = (String, u64);

/// Messages to the task that owns the partitions.
enum StoreMessage {
    /// Appends records; the reply is status and body of the response.
    Append(AppendRequest, oneshot::Sender<(StatusCode, serde_json::Value)>),
    /// Returns the records of a partition from an offset on.
    Read(PartitionKey, u64, oneshot::Sender<Vec<Bytes>>),
}

struct AppendRequest {
    partition: PartitionKey,
    /// End that the partition must have for the append to take effect; `None` for any.
    expected_end: Option<u64>,
    /// Producer, its epoch and the sequence number of the append; `None` for an append that is not fenced.
    stamp: Option<(String, u64, u64)>,
    records: Vec<Bytes>,
}

#[derive(Default)]
struct PartitionState {
    records: Vec<Bytes>,
    /// Epoch and sequence number of the last append of each producer.
    producers: FxHashMap<String, (u64, u64)>,
}

/// A running store; a topic and its partitions exist from their first append on.
#[derive(Clone, Debug)]
pub struct StoreStandin {
    /// Address of its HTTP server.
    pub address: SocketAddr,
    inbox: mpsc::Sender<StoreMessage>,
    down: watch::Sender<bool>,
    delay: watch::Sender<Duration>,
}

#[derive(Clone)]
struct StoreHandler {
    inbox: mpsc::Sender<StoreMessage>,
    /// Number of appends to all partitions.
    append_count: watch::Receiver<u64>,
    down: watch::Receiver<bool>,
    delay: watch::Receiver<Duration>,
}

impl StoreStandin {
    /// Starts an empty store on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the port cannot be bound.
    pub async fn start(token: CancellationToken) -> std::io::Result<Self> {
        let (listener, address) = server::bind("127.0.0.1:0").await?;
        let (inbox, messages) = mpsc::channel(1_024);
        let (append_counter, receiver) = watch::channel(0);
        let (down, is_down) = watch::channel(false);
        let (delay, call_delay) = watch::channel(Duration::ZERO);
        actix_rt::spawn(run_partitions(messages, append_counter));
        let handler =
            StoreHandler { inbox: inbox.clone(), append_count: receiver, down: is_down, delay: call_delay };
        actix_rt::spawn(server::serve(listener, token, move |request| handler.clone().answer(request)));
        Ok(Self { address, inbox, down, delay })
    }

    /// Sets whether the store refuses every call with status 503.
    pub fn set_down(&self, down: bool) {
        self.down.send_replace(down);
    }

    /// Sets how much longer each call takes, half of it before and half after it is carried out.
    pub fn set_delay(&self, delay: Duration) {
        self.delay.send_replace(delay);
    }

    /// Appends a record of a key to partition 0 of a keyed topic; an empty value deletes the key.
    pub async fn publish(&self, topic: &str, key: &str, value: &str) {
        let mut record = BytesMut::new();
        record.put_u8(u8::try_from(key.len()).unwrap_or(u8::MAX));
        record.put_slice(key.as_bytes());
        record.put_slice(value.as_bytes());
        self.publish_raw(topic, record.freeze()).await;
    }

    /// Appends a record to partition 0 of a topic as it is, also if a keyed topic cannot hold it.
    pub async fn publish_raw(&self, topic: &str, record: Bytes) {
        let partition = (topic.to_owned(), 0);
        let request = AppendRequest { partition, expected_end: None, stamp: None, records: vec![record] };
        let (reply, done) = oneshot::channel();
        let _ = self.inbox.send(StoreMessage::Append(request, reply)).await;
        let _ = done.await;
    }
}

async fn run_partitions(mut messages: mpsc::Receiver<StoreMessage>, append_counter: watch::Sender<u64>) {
    let mut partitions: FxHashMap<PartitionKey, PartitionState> = FxHashMap::default();
    while let Some(message) = messages.recv().await {
        match message {
            StoreMessage::Append(request, reply) => {
                let state = partitions.entry(request.partition.clone()).or_default();
                let _ = reply.send(state.append(request));
                append_counter.send_modify(|count| *count += 1);
            }
            StoreMessage::Read(partition, from, reply) => {
                let records = partitions.get(&partition).map_or(&[][..], |state| &state.records);
                let skipped = records.iter().skip(usize::try_from(from).unwrap_or(usize::MAX));
                let _ = reply.send(skipped.cloned().collect());
            }
        }
    }
}

impl PartitionState {
    fn append(&mut self, request: AppendRequest) -> (StatusCode, serde_json::Value) {
        let end = self.records.len() as u64;
        if request.expected_end.is_some_and(|expected| expected != end) {
            return (StatusCode::PRECONDITION_FAILED, json!({"end": end}));
        }
        if let Some((producer, epoch, sequence)) = request.stamp {
            let known = self.producers.get(&producer).copied();
            match known {
                Some((newest, _)) if epoch < newest => {
                    return (StatusCode::CONFLICT, json!({"reason": "fenced"}));
                }
                Some((newest, last)) if epoch == newest && sequence != last + 1 && sequence != last => {
                    return (StatusCode::CONFLICT, json!({"reason": "seq", "seq": last + 1}));
                }
                // A repeated append, such as a retry after a lost reply, takes effect once. Sequence 0 only
                // registers an epoch, and does so again if repeated.
                Some((newest, last)) if epoch == newest && sequence == last && sequence > 0 => {
                    return (StatusCode::OK, json!({"offset": end, "end": end}));
                }
                _ => {
                    self.producers.insert(producer, (epoch, sequence));
                }
            }
        }
        self.records.extend(request.records);
        (StatusCode::OK, json!({"offset": end, "end": self.records.len()}))
    }
}

impl StoreHandler {
    async fn answer(self, mut request: Request) -> Response<Bytes> {
        let delay = *self.delay.borrow() / 2;
        tokio::time::sleep(delay).await;
        if *self.down.borrow() {
            return Response::with_body(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
        }
        let partition = (
            query_text(&request, "topic").unwrap_or_default(),
            server::query_number(&request, "part").unwrap_or(0),
        );
        let response = match (request.method().clone(), request.path()) {
            (Method::POST, "/api/log-append") => self.append(&mut request, partition).await,
            (Method::GET, "/api/log-read") => self.read(&request, partition).await,
            (Method::GET, "/api/log-newest") => self.newest(partition).await,
            _ => Response::with_body(StatusCode::NOT_FOUND, Bytes::new()),
        };
        tokio::time::sleep(delay).await;
        response
    }

    async fn append(&self, request: &mut Request, partition: PartitionKey) -> Response<Bytes> {
        let stamp = query_text(request, "producer").map(|producer| {
            let number = |name| server::query_number(request, name).unwrap_or_default();
            (producer, number("epoch"), number("seq"))
        });
        let expected_end = server::query_number(request, "at");
        let Some(mut body) = server::read_body(request).await else {
            return Response::with_body(StatusCode::BAD_REQUEST, Bytes::new());
        };
        let mut records = Vec::new();
        while body.len() >= 4 {
            let length = body.get_u32() as usize;
            records.push(body.split_to(length.min(body.len())));
        }
        if records.iter().any(|record| record.len() > MAX_RECORD_BYTES) {
            return Response::with_body(StatusCode::PAYLOAD_TOO_LARGE, Bytes::new());
        }
        let (reply, answer) = oneshot::channel();
        let request = AppendRequest { partition, expected_end, stamp, records };
        let _ = self.inbox.send(StoreMessage::Append(request, reply)).await;
        match answer.await {
            Ok((status, body)) => server::json_response(status, &body),
            Err(_) => Response::with_body(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        }
    }

    async fn records(&self, partition: PartitionKey, from: u64) -> Vec<Bytes> {
        let (reply, records) = oneshot::channel();
        let _ = self.inbox.send(StoreMessage::Read(partition, from, reply)).await;
        records.await.unwrap_or_default()
    }

    /// Answers with the records from an offset on, and waits up to `wait_ms` for the first one.
    async fn read(&self, request: &Request, partition: PartitionKey) -> Response<Bytes> {
        let from = server::query_number(request, "from").unwrap_or(0);
        let wait = Duration::from_millis(server::query_number(request, "wait_ms").unwrap_or(0));
        let deadline = tokio::time::Instant::now() + wait;
        let mut append_count = self.append_count.clone();
        let mut records = self.records(partition.clone(), from).await;
        while records.is_empty() && tokio::time::timeout_at(deadline, append_count.changed()).await.is_ok() {
            records = self.records(partition.clone(), from).await;
        }
        let mut body = BytesMut::new();
        body.put_u64(from + records.len() as u64);
        // Offset of the oldest record; this store drops none.
        body.put_u64(0);
        for record in records {
            body.put_u32(u32::try_from(record.len()).unwrap_or(u32::MAX));
            body.put_slice(&record);
        }
        Response::with_body(StatusCode::OK, body.freeze())
    }

    /// Answers with the newest record of each key of a keyed topic.
    async fn newest(&self, partition: PartitionKey) -> Response<Bytes> {
        let records = self.records(partition, 0).await;
        let end = records.len();
        let mut newest: FxHashMap<String, (usize, Bytes)> = FxHashMap::default();
        for (offset, mut record) in records.into_iter().enumerate() {
            let length = if record.is_empty() { 0 } else { usize::from(record.get_u8()) };
            let key = record.split_to(length.min(record.len()));
            let key = String::from_utf8_lossy(&key).into_owned();
            if record.is_empty() {
                newest.remove(&key);
            } else {
                newest.insert(key, (offset, record));
            }
        }
        let item = |(key, (offset, value)): (String, (usize, Bytes))| json!({"key": key, "value": STANDARD.encode(value), "offset": offset});
        let items: Vec<serde_json::Value> = newest.into_iter().map(item).collect();
        server::json_response(StatusCode::OK, &json!({"items": items, "has_more": false, "end": end}))
    }
}

/// Returns a query parameter as text; `None` if it is missing.
fn query_text(request: &Request, name: &str) -> Option<String> {
    let pairs = request.uri().query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
}
