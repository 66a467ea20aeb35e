//! Property tests of the reader of requests and of the connection table, short and seeded. They guard against
//! requests that change with the pieces in which they arrive, against buffers beyond what was allowed, against
//! input that makes the reader panic, and against connections whose bytes exceed the capacity.

use std::net::IpAddr;

use actix_http::{KeepAlive, ServiceConfig};
use bytes::BufMut;
use godwithaven::kernel::connections::{
    ClientLimits, ConnectionCapacity, ConnectionClass, ConnectionEffect, ConnectionPhase, ConnectionTable,
    INCLUDED_BYTES, RequestFault,
};
use godwithaven::plugins::http::{ReadStep, RequestReader};
use godwithaven::prelude::{Duration, FastMap, FastSet};
use googletest::prelude::*;
use proptest::prelude::{ProptestConfig, Strategy, any, prop};
use proptest::test_runner::{RngAlgorithm, RngSeed, TestRunner};
use proptest::{prop_assert, prop_assert_eq};

/// Limits on a connection in these tests.
const LIMITS: ClientLimits = ClientLimits {
    head_bytes: 1_024,
    body_bytes: 20_000,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
    exchange_timeout: Duration::from_secs(60),
};
/// Bytes of all buffers for which the reader may ask: the body, twice its growth, and the input.
const MAX_ALLOWED: usize = 3 * 20_000 + 2 * 16_384;

fn runner(cases: u32) -> TestRunner {
    TestRunner::new(ProptestConfig {
        cases,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(39),
        ..ProptestConfig::default()
    })
}

/// What became of the bytes of a client.
#[derive(Debug, PartialEq)]
enum Outcome {
    Bodies(Vec<Vec<u8>>),
    Refused(RequestFault),
}

/// Lets a reader read pieces of these lengths, in turn, and returns the outcome with the largest number of bytes
/// that the reader asked to hold.
fn read_pieces(bytes: &[u8], lengths: &[usize]) -> (Outcome, usize) {
    let config = ServiceConfig::new(KeepAlive::Os, Duration::ZERO, Duration::ZERO, false, None);
    let mut reader = RequestReader::new(config, INCLUDED_BYTES);
    let mut lengths = lengths.iter().copied().cycle();
    let (mut rest, mut bodies, mut allowed) = (bytes, Vec::new(), INCLUDED_BYTES);
    loop {
        match reader.advance(&LIMITS) {
            ReadStep::Complete(request) => bodies.push(request.body.to_vec()),
            ReadStep::Fault(fault) => return (Outcome::Refused(fault), allowed),
            ReadStep::SendContinue => {}
            ReadStep::NeedBytes(total) => {
                allowed = allowed.max(total);
                reader.allow(total);
            }
            ReadStep::NeedInput => {
                if rest.is_empty() {
                    return (Outcome::Bodies(bodies), allowed);
                }
                let (input, room) = reader.input();
                let length = lengths.next().unwrap_or(1).clamp(1, room.min(rest.len()));
                input.put_slice(&rest[..length]);
                rest = &rest[length..];
            }
        }
    }
}

fn announced_request(body: &[u8]) -> Vec<u8> {
    let head = format!("POST /q HTTP/1.1\r\nhost: h\r\ncontent-length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

fn chunked_request(body: &[u8], chunk: usize) -> Vec<u8> {
    let mut bytes = b"POST /q HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    for part in body.chunks(chunk) {
        bytes.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
        bytes.extend_from_slice(part);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

/// Guards against bodies that depend on the pieces in which they arrive, and against buffers that grow with what
/// is announced.
#[gtest]
#[actix_rt::test]
async fn requests_are_read_whole_from_any_pieces() {
    let body = prop::collection::vec(any::<u8>(), 0..LIMITS.body_bytes);
    let pieces = prop::collection::vec(1..5_000_usize, 1..8);
    let outcome = runner(150).run(&(body, 1..300_usize, pieces), |(body, chunk, pieces)| {
        let bytes = [announced_request(&body), chunked_request(&body, chunk)].concat();
        let (outcome, allowed) = read_pieces(&bytes, &pieces);
        prop_assert_eq!(outcome, Outcome::Bodies(vec![body.clone(), body]));
        prop_assert!(allowed <= MAX_ALLOWED, "{} bytes", allowed);
        Ok(())
    });
    expect_that!(outcome, ok(anything()));
}

/// Guards against bytes of a client that make the reader panic or hold more than the limits allow.
#[gtest]
#[actix_rt::test]
async fn random_input_is_refused_or_waited_for() {
    let edit = (any::<prop::sample::Index>(), prop::collection::vec(any::<u8>(), 0..6));
    let edits = prop::collection::vec(edit, 1..6);
    let pieces = prop::collection::vec(1..400_usize, 1..8);
    let outcome = runner(400).run(&(edits, any::<bool>(), pieces), |(edits, chunked, pieces)| {
        let body = vec![b'x'; 500];
        let mut bytes = if chunked { chunked_request(&body, 7) } else { announced_request(&body) };
        for (position, text) in edits {
            let start = position.index(bytes.len());
            let end = (start + text.len()).min(bytes.len());
            bytes.splice(start..end, text);
        }
        let (_, allowed) = read_pieces(&bytes, &pieces);
        prop_assert!(allowed <= MAX_ALLOWED, "{} bytes", allowed);
        Ok(())
    });
    expect_that!(outcome, ok(anything()));
}

/// Guards against a request over a limit that is read further, and against a limit that refuses a request of
/// exactly its size.
#[gtest]
#[actix_rt::test]
async fn requests_over_a_limit_are_refused_with_the_reason() {
    let body = vec![b'x'; LIMITS.body_bytes];
    let announced = b"POST /q HTTP/1.1\r\nhost: h\r\ncontent-length: 20001\r\n\r\n".to_vec();
    let long_head = format!("GET / HTTP/1.1\r\nhost: h\r\nx: {}\r\n\r\n", "a".repeat(LIMITS.head_bytes));
    let chunk_line = [b"1".as_slice(), &[b' '; 200], b"\r\nx\r\n"].concat();
    let framing = [chunked_request(b"", 1)[..57].to_vec(), chunk_line.repeat(1_000)].concat();
    let cases = [
        (announced_request(&body), Outcome::Bodies(vec![body.clone()])),
        (chunked_request(&body, 1), Outcome::Bodies(vec![body.clone()])),
        (announced, Outcome::Refused(RequestFault::BodyTooLarge)),
        (chunked_request(&vec![b'x'; 20_001], 4_000), Outcome::Refused(RequestFault::BodyTooLarge)),
        (framing, Outcome::Refused(RequestFault::BodyTooLarge)),
        (long_head.clone().into_bytes(), Outcome::Refused(RequestFault::HeadTooLarge)),
        (long_head.as_bytes()[..1_024].to_vec(), Outcome::Refused(RequestFault::HeadTooLarge)),
    ];
    for (number, (bytes, expected)) in cases.into_iter().enumerate() {
        let (outcome, _) = read_pieces(&bytes, &[4_096]);

        expect_that!(outcome, eq(&expected), "case {number}");
    }
}

/// One step of a client in the table test.
#[derive(Clone, Debug)]
enum TableStep {
    Open(u8),
    Reserve(prop::sample::Index, usize),
    HoldAnswer(prop::sample::Index, usize),
    Phase(prop::sample::Index, ConnectionPhase),
    Close(prop::sample::Index),
}

fn table_step() -> impl Strategy<Value = TableStep> {
    let index = any::<prop::sample::Index>;
    let phases = prop::sample::select(vec![
        ConnectionPhase::Idle,
        ConnectionPhase::Receiving,
        ConnectionPhase::Handling,
        ConnectionPhase::Answering,
    ]);
    proptest::prop_oneof![
        (1..4_u8).prop_map(TableStep::Open),
        (index(), 1..600_usize).prop_map(|(index, total)| TableStep::Reserve(index, total)),
        (index(), 0..200_usize).prop_map(|(index, bytes)| TableStep::HoldAnswer(index, bytes)),
        (index(), phases).prop_map(|(index, phase)| TableStep::Phase(index, phase)),
        index().prop_map(TableStep::Close),
    ]
}

/// What the clients of a table know.
struct TableClients {
    table: ConnectionTable,
    phases: FastMap<u64, ConnectionPhase>,
    evicted: FastSet<u64>,
    /// Connections that wait for bytes.
    waiting: FastSet<u64>,
    last_id: u64,
}

impl TableClients {
    /// Returns the connections that can do something.
    fn acting(&self) -> Vec<u64> {
        let mut ids: Vec<u64> = self.phases.keys().copied().filter(|id| !self.waiting.contains(id)).collect();
        ids.sort_unstable();
        ids
    }

    /// Carries out a step; returns what is wrong with its effects.
    fn act(&mut self, step: &TableStep) -> std::result::Result<(), String> {
        let ids = self.acting();
        if ids.is_empty() && !matches!(step, TableStep::Open(_)) {
            return Ok(());
        }
        let effects = match step {
            TableStep::Open(address) => {
                self.last_id += 1;
                self.table.open(self.last_id, IpAddr::from([127, 0, 0, *address]), ConnectionClass::Caller)
            }
            TableStep::Reserve(index, total) => {
                self.waiting.insert(*index.get(&ids));
                self.table.reserve(*index.get(&ids), *total)
            }
            TableStep::HoldAnswer(index, bytes) => {
                self.phases.insert(*index.get(&ids), ConnectionPhase::Answering);
                let mut effects = self.table.hold_answer(*index.get(&ids), *bytes);
                effects.extend(self.table.set_phase(*index.get(&ids), ConnectionPhase::Answering));
                effects
            }
            TableStep::Phase(index, phase) => {
                self.phases.insert(*index.get(&ids), *phase);
                self.table.set_phase(*index.get(&ids), *phase)
            }
            TableStep::Close(index) => return self.close(*index.get(&ids)),
        };
        self.apply(effects)
    }

    fn close(&mut self, id: u64) -> std::result::Result<(), String> {
        self.phases.remove(&id);
        self.evicted.remove(&id);
        self.waiting.remove(&id);
        let effects = self.table.close(id);
        self.apply(effects)
    }

    fn apply(&mut self, effects: Vec<ConnectionEffect>) -> std::result::Result<(), String> {
        for effect in effects {
            match effect {
                ConnectionEffect::Admit(id) => {
                    self.phases.insert(id, ConnectionPhase::Idle);
                }
                ConnectionEffect::Grant(id) | ConnectionEffect::Deny(id) if !self.waiting.remove(&id) => {
                    return Err(format!("{id} did not ask for bytes"));
                }
                ConnectionEffect::Evict(id) if self.phases[&id] == ConnectionPhase::Handling => {
                    return Err(format!("{id} is closed while it is handled"));
                }
                ConnectionEffect::Evict(id) => {
                    self.evicted.insert(id);
                }
                ConnectionEffect::Grant(_) | ConnectionEffect::Deny(_) => {}
            }
        }
        Ok(())
    }
}

/// Guards against more connections or bytes than the capacity, against a connection that is closed while its
/// request is being answered, and against requests for bytes that get no answer.
#[gtest]
fn the_connection_table_keeps_its_capacity() {
    let capacity = ConnectionCapacity {
        callers: 8,
        callers_per_address: 6,
        operators: 2,
        peers: 2,
        bytes: 1_000,
        answer_bytes: 500,
    };
    let steps = prop::collection::vec(table_step(), 1..200);
    let outcome = runner(300).run(&steps, |steps| {
        let mut clients = TableClients {
            table: ConnectionTable::new(capacity),
            phases: FastMap::default(),
            evicted: FastSet::default(),
            waiting: FastSet::default(),
            last_id: 0,
        };
        for step in steps {
            prop_assert_eq!(clients.act(&step), Ok(()));
            prop_assert!(clients.table.len() <= capacity.callers, "{} connections", clients.table.len());
            prop_assert!(
                clients.table.used_bytes() <= capacity.bytes,
                "{} bytes",
                clients.table.used_bytes()
            );
        }
        // Connections that wait get an answer when those that were told to close, and the others, end.
        while let Some(id) = clients.evicted.iter().copied().next().or(clients.acting().pop()) {
            prop_assert_eq!(clients.close(id), Ok(()));
        }
        prop_assert!(clients.waiting.is_empty(), "{:?} wait", clients.waiting);
        prop_assert_eq!((clients.table.used_bytes(), clients.table.used_answer_bytes()), (0, 0));
        Ok(())
    });
    expect_that!(outcome, ok(anything()));
}
