//! The platform's store: partitioned topics with retention, keyed topics, conditional appends and producers.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Call, json};
use crate::record::Record;

const RECORD_BYTES: usize = 262_144;
const CALL_BYTES: usize = 2_097_152;
/// Time that an append takes, and that any answer takes.
const APPEND_TIME: Duration = Duration::from_millis(2);
const ANSWER_TIME: Duration = Duration::from_millis(2);

#[derive(Default)]
struct Partition {
    /// Offset of the first retained record.
    first: u64,
    records: VecDeque<(Instant, Vec<u8>)>,
    /// Epoch and the last appends of each producer: sequence number and answer.
    producers: HashMap<String, (u64, VecDeque<(u64, String)>)>,
}

impl Partition {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn expire(&mut self, keep: Duration) {
        while self.records.front().is_some_and(|(at, _)| at.elapsed() > keep) {
            self.records.pop_front();
            self.first += 1;
        }
    }
}

type Topics = Mutex<HashMap<(String, u64), Partition>>;

#[derive(Clone)]
pub struct Store {
    topics: Arc<(Topics, Condvar)>,
    down: Arc<AtomicBool>,
    /// Time that each answer takes longer, in milliseconds.
    delay_ms: Arc<AtomicU64>,
    keep: Duration,
    record: Record,
}

impl Store {
    pub fn start(keep: Duration, record: Record) -> (Store, SocketAddr) {
        let topics = Arc::new((Mutex::default(), Condvar::new()));
        let store = Store { topics, down: Arc::default(), delay_ms: Arc::default(), keep, record };
        let server = store.clone();
        let address = http::serve(move |call| server.answer(&call));
        (store, address)
    }

    /// While it is down, the store answers each call with 503 and does nothing.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    /// From now on each answer takes `delay_ms` longer.
    pub fn set_delay(&self, delay_ms: u64) {
        self.delay_ms.store(delay_ms, Ordering::SeqCst);
    }

    /// Writes a record of a keyed topic, as the operator and the runners do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value.as_bytes());
        let mut topics = self.topics.0.lock().unwrap();
        let partition = topics.entry((topic.to_owned(), 0)).or_default();
        partition.records.push_back((Instant::now(), record));
        self.topics.1.notify_all();
    }

    fn answer(&self, call: &Call) -> Answer {
        if self.down.load(Ordering::SeqCst) {
            return json(503, "{}".to_owned());
        }
        std::thread::sleep(ANSWER_TIME + Duration::from_millis(self.delay_ms.load(Ordering::SeqCst)));
        let key = (call.query("topic").unwrap_or("").to_owned(), call.number("part").unwrap_or(0));
        match call.path.as_str() {
            "/api/log-append" => self.append(call, key),
            "/api/log-read" => self.read(call, key),
            "/api/log-newest" => self.newest(key),
            _ => json(404, "{}".to_owned()),
        }
    }

    fn append(&self, call: &Call, key: (String, u64)) -> Answer {
        std::thread::sleep(APPEND_TIME);
        let (mut records, mut rest) = (Vec::new(), &call.body[..]);
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            if rest.len() < 4 + length || length > RECORD_BYTES {
                return json(400, "{}".to_owned());
            }
            records.push(rest[4..4 + length].to_vec());
            rest = &rest[4 + length..];
        }
        let bytes: usize = records.iter().map(Vec::len).sum();
        if bytes > CALL_BYTES {
            let (topic, count) = (&key.0, records.len());
            self.record.line(&format!("store: append to {topic} refused with 400: {count} records, {bytes} bytes"));
            return json(400, "{}".to_owned());
        }
        let mut topics = self.topics.0.lock().unwrap();
        let partition = topics.entry(key).or_default();
        let end = partition.end();
        if call.number("at").is_some_and(|at| at != end) {
            return json(412, format!("{{\"end\":{end}}}"));
        }
        if let Some(producer) = call.query("producer") {
            let (epoch, seq) = (call.number("epoch").unwrap_or(0), call.number("seq").unwrap_or(0));
            let known = partition.producers.entry(producer.to_owned()).or_default();
            if epoch < known.0 {
                return json(409, "{\"reason\":\"fenced\"}".to_owned());
            }
            if epoch > known.0 {
                *known = (epoch, VecDeque::new());
            }
            if records.is_empty() {
                return json(200, format!("{{\"offset\":{end},\"end\":{end}}}"));
            }
            if let Some((_, answer)) = known.1.iter().find(|(old, _)| *old == seq) {
                return json(200, answer.clone());
            }
            if let Some((last, _)) = known.1.back()
                && seq != last + 1
            {
                return json(409, format!("{{\"reason\":\"seq\",\"seq\":{}}}", last + 1));
            }
            let answer = format!("{{\"offset\":{end},\"end\":{}}}", end + records.len() as u64);
            known.1.push_back((seq, answer));
            if known.1.len() > 5 {
                known.1.pop_front();
            }
        }
        let now = Instant::now();
        partition.records.extend(records.into_iter().map(|record| (now, record)));
        let answer = format!("{{\"offset\":{end},\"end\":{}}}", partition.end());
        self.topics.1.notify_all();
        json(200, answer)
    }

    fn read(&self, call: &Call, key: (String, u64)) -> Answer {
        let from = call.number("from").unwrap_or(0);
        let limit = call.number("max_kilobytes").unwrap_or(1_024) as usize * 1_024;
        let deadline = Instant::now() + Duration::from_millis(call.number("wait_ms").unwrap_or(0).min(30_000));
        let keyed = key.0.starts_with("keyed.");
        let mut topics = self.topics.0.lock().unwrap();
        loop {
            if self.down.load(Ordering::SeqCst) {
                return json(503, "{}".to_owned());
            }
            let partition = topics.entry(key.clone()).or_default();
            if !keyed {
                partition.expire(self.keep);
            }
            if from < partition.first {
                return json(410, format!("{{\"first\":{}}}", partition.first));
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if from < partition.end() || left.is_zero() {
                let mut body = partition.end().to_be_bytes().to_vec();
                body.extend(partition.first.to_be_bytes());
                for (_, record) in partition.records.iter().skip((from - partition.first) as usize) {
                    if body.len() > 16 && body.len() + record.len() > limit {
                        break;
                    }
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return Answer::Send(200, body);
            }
            topics = self.topics.1.wait_timeout(topics, left.min(Duration::from_millis(200))).unwrap().0;
        }
    }

    fn newest(&self, key: (String, u64)) -> Answer {
        let mut topics = self.topics.0.lock().unwrap();
        let partition = topics.entry(key).or_default();
        let mut newest: HashMap<Vec<u8>, (u64, Vec<u8>)> = HashMap::new();
        for (offset, (_, record)) in (partition.first..).zip(&partition.records) {
            let length = usize::from(record[0]);
            let (key, value) = (record[1..1 + length].to_vec(), record[1 + length..].to_vec());
            if value.is_empty() {
                newest.remove(&key);
            } else {
                newest.insert(key, (offset, value));
            }
        }
        let items: Vec<String> = newest
            .into_iter()
            .map(|(key, (offset, value))| {
                let (key, value) = (String::from_utf8_lossy(&key).into_owned(), base64(&value));
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        json(200, format!("{{\"items\":[{}],\"has_more\":false,\"end\":{}}}", items.join(","), partition.end()))
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let word = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let is_padding = digit > chunk.len();
            let value = (word >> (18 - 6 * digit)) & 63;
            text.push(if is_padding { '=' } else { char::from(DIGITS[value as usize]) });
        }
    }
    text
}
