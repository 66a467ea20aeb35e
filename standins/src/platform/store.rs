//! A log store with topics, keyed topics, conditional appends and fenced writers.

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

/// A partition of a topic.
type PartitionKey = (String, u64);

enum StoreMessage {
    Append(AppendRequest, oneshot::Sender<(StatusCode, serde_json::Value)>),
    Read(PartitionKey, u64, oneshot::Sender<Vec<Bytes>>),
}

struct AppendRequest {
    partition: PartitionKey,
    at: Option<u64>,
    /// Writer, epoch and sequence number.
    stamp: Option<(String, u64, u64)>,
    records: Vec<Bytes>,
}

#[derive(Default)]
struct PartitionState {
    records: Vec<Bytes>,
    writers: FxHashMap<String, (u64, u64)>,
}

/// A running store.
#[derive(Clone)]
pub struct StoreStandin {
    /// Its address.
    pub address: SocketAddr,
    inbox: mpsc::Sender<StoreMessage>,
    down: watch::Sender<bool>,
}

#[derive(Clone)]
struct StoreHandler {
    inbox: mpsc::Sender<StoreMessage>,
    appended: watch::Receiver<u64>,
    down: watch::Receiver<bool>,
}

impl StoreStandin {
    /// Starts the store on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub async fn start(token: CancellationToken) -> std::io::Result<Self> {
        let (listener, address) = server::bind("127.0.0.1:0").await?;
        let (inbox, messages) = mpsc::channel(1_024);
        let (appended, seen) = watch::channel(0);
        let (down, is_down) = watch::channel(false);
        actix_rt::spawn(keep(messages, appended));
        let handler = StoreHandler { inbox: inbox.clone(), appended: seen, down: is_down };
        actix_rt::spawn(server::serve(listener, token, move |request| handler.clone().answer(request)));
        Ok(Self { address, inbox, down })
    }

    /// Lets the store refuse every call, or serve again.
    pub fn set_down(&self, down: bool) {
        self.down.send_replace(down);
    }

    /// Writes the newest record of a key; an empty value drops it.
    pub async fn publish(&self, topic: &str, key: &str, value: &str) {
        let mut record = BytesMut::new();
        record.put_u8(u8::try_from(key.len()).unwrap_or(u8::MAX));
        record.put_slice(key.as_bytes());
        record.put_slice(value.as_bytes());
        let partition = (topic.to_owned(), 0);
        let request = AppendRequest { partition, at: None, stamp: None, records: vec![record.freeze()] };
        let (reply, done) = oneshot::channel();
        let _ = self.inbox.send(StoreMessage::Append(request, reply)).await;
        let _ = done.await;
    }
}

async fn keep(mut messages: mpsc::Receiver<StoreMessage>, appended: watch::Sender<u64>) {
    let mut partitions: FxHashMap<PartitionKey, PartitionState> = FxHashMap::default();
    while let Some(message) = messages.recv().await {
        match message {
            StoreMessage::Append(request, reply) => {
                let state = partitions.entry(request.partition.clone()).or_default();
                let _ = reply.send(state.append(request));
                appended.send_modify(|count| *count += 1);
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
        if request.at.is_some_and(|at| at != end) {
            return (StatusCode::PRECONDITION_FAILED, json!({"end": end}));
        }
        if let Some((writer, epoch, sequence)) = request.stamp {
            let known = self.writers.get(&writer).copied();
            match known {
                Some((newest, _)) if epoch < newest => {
                    return (StatusCode::CONFLICT, json!({"reason": "fenced"}));
                }
                Some((newest, last)) if epoch == newest && sequence != last + 1 && sequence != last => {
                    return (StatusCode::CONFLICT, json!({"reason": "seq", "seq": last + 1}));
                }
                // A repeated append has its effect once.
                Some((newest, last)) if epoch == newest && sequence == last && sequence > 0 => {
                    return (StatusCode::OK, json!({"offset": end, "end": end}));
                }
                _ => {
                    self.writers.insert(writer, (epoch, sequence));
                }
            }
        }
        self.records.extend(request.records);
        (StatusCode::OK, json!({"offset": end, "end": self.records.len()}))
    }
}

impl StoreHandler {
    async fn answer(self, mut request: Request) -> Response<Bytes> {
        if *self.down.borrow() {
            return Response::with_body(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
        }
        let partition =
            (text(&request, "topic").unwrap_or_default(), server::query(&request, "part").unwrap_or(0));
        match (request.method().clone(), request.path()) {
            (Method::POST, "/api/log-append") => self.append(&mut request, partition).await,
            (Method::GET, "/api/log-read") => self.read(&request, partition).await,
            (Method::GET, "/api/log-newest") => self.newest(partition).await,
            _ => Response::with_body(StatusCode::NOT_FOUND, Bytes::new()),
        }
    }

    async fn append(&self, request: &mut Request, partition: PartitionKey) -> Response<Bytes> {
        let stamp = text(request, "producer").map(|writer| {
            let number = |name| server::query(request, name).unwrap_or_default();
            (writer, number("epoch"), number("seq"))
        });
        let at = server::query(request, "at");
        let Some(mut body) = server::read_body(request).await else {
            return Response::with_body(StatusCode::BAD_REQUEST, Bytes::new());
        };
        let mut records = Vec::new();
        while body.len() >= 4 {
            let length = body.get_u32() as usize;
            records.push(body.split_to(length.min(body.len())));
        }
        let (reply, answer) = oneshot::channel();
        let request = AppendRequest { partition, at, stamp, records };
        let _ = self.inbox.send(StoreMessage::Append(request, reply)).await;
        match answer.await {
            Ok((status, body)) => server::json(status, &body),
            Err(_) => Response::with_body(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        }
    }

    async fn records(&self, partition: PartitionKey, from: u64) -> Vec<Bytes> {
        let (reply, records) = oneshot::channel();
        let _ = self.inbox.send(StoreMessage::Read(partition, from, reply)).await;
        records.await.unwrap_or_default()
    }

    async fn read(&self, request: &Request, partition: PartitionKey) -> Response<Bytes> {
        let from = server::query(request, "from").unwrap_or(0);
        let wait = Duration::from_millis(server::query(request, "wait_ms").unwrap_or(0));
        let deadline = tokio::time::Instant::now() + wait;
        let mut appended = self.appended.clone();
        let mut records = self.records(partition.clone(), from).await;
        while records.is_empty() && tokio::time::timeout_at(deadline, appended.changed()).await.is_ok() {
            records = self.records(partition.clone(), from).await;
        }
        let mut body = BytesMut::new();
        body.put_u64(from + records.len() as u64);
        body.put_u64(0);
        for record in records {
            body.put_u32(u32::try_from(record.len()).unwrap_or(u32::MAX));
            body.put_slice(&record);
        }
        Response::with_body(StatusCode::OK, body.freeze())
    }

    async fn newest(&self, partition: PartitionKey) -> Response<Bytes> {
        let records = self.records(partition, 0).await;
        let end = records.len();
        let mut newest: FxHashMap<String, (usize, Bytes)> = FxHashMap::default();
        for (offset, mut record) in records.into_iter().enumerate() {
            let length = usize::from(record.get_u8());
            let key = String::from_utf8_lossy(&record.split_to(length)).into_owned();
            if record.is_empty() {
                newest.remove(&key);
            } else {
                newest.insert(key, (offset, record));
            }
        }
        let item = |(key, (offset, value)): (String, (usize, Bytes))| json!({"key": key, "value": STANDARD.encode(value), "offset": offset});
        let items: Vec<serde_json::Value> = newest.into_iter().map(item).collect();
        server::json(StatusCode::OK, &json!({"items": items, "has_more": false, "end": end}))
    }
}

fn text(request: &Request, name: &str) -> Option<String> {
    let pairs = request.uri().query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
}
