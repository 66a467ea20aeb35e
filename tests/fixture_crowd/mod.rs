//! Crowds of clients that hold connections of an entry process, and the memory and descriptors of that process.

use std::net::SocketAddr;
use std::process::Child;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Number of clients in a crowd.
pub const CROWD: usize = 600;
/// Memory of the process in the settings, in MB; its largest resident size may not exceed it.
pub const MEMORY_MB: u64 = 64;
/// Descriptors of the process in the settings; it may not have more open.
pub const MAX_FDS: usize = 500;
/// Largest body in the configuration of the fixtures, in bytes.
pub const MAX_BODY_BYTES: usize = 262_144;

/// Bytes of a body of legal size that a client sends before it stops, and its announced length.
const SENT_BYTES: usize = 249_990;
const ANNOUNCED_BYTES: usize = 250_000;
/// Bytes of a head that never ends.
const HEAD_BYTES: usize = 120_000;
/// Bytes of a body far over the limit.
const HUGE_BYTES: usize = 4 << 20;
/// Requests that a client sends without reading an answer.
const UNREAD_REQUESTS: usize = 2_000;
/// Time in which a client that is not read any more gives up sending.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit of the ordinary call after the crowd has come.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// What the clients of a crowd send.
#[derive(Clone, Copy, Debug)]
pub enum CrowdKind {
    /// A body of legal size at once, which stops just short of its end.
    WholeBodies,
    /// The same in pieces.
    BodiesInPieces,
    /// The same in large chunks.
    LargeChunks,
    /// The same in very small chunks.
    SmallChunks,
    /// A body that is announced far over the limit and begun.
    HugeAnnounced,
    /// A chunked body that is sent far over the limit.
    HugeSent,
    /// A head that never ends.
    EndlessHeads,
    /// Requests whose answers are not read.
    UnreadAnswers,
}

/// The request line and headers of requests to one interface, without the headers that tell a body's length.
pub struct Target {
    /// Address of the interface.
    pub address: SocketAddr,
    /// Request line and headers of a submission, each with its line end.
    pub submit: String,
    /// A complete request that asks for something.
    pub query: String,
}

impl Target {
    /// Returns a complete submission.
    pub fn submission(&self, body: &[u8]) -> Vec<u8> {
        let mut bytes = format!("{}content-length: {}\r\n\r\n", self.submit, body.len()).into_bytes();
        bytes.extend_from_slice(body);
        bytes
    }

    /// Opens the connections of a crowd, sends what its clients send and returns the connections, which stay
    /// open. A client whose connection the process closes has done its part.
    pub async fn bring(&self, kind: CrowdKind) -> Vec<TcpStream> {
        let pieces = Rc::new(self.pieces(kind));
        let mut clients = tokio::task::JoinSet::new();
        for _ in 0..CROWD {
            clients.spawn_local(send_pieces(self.address, pieces.clone()));
        }
        clients.join_all().await.into_iter().flatten().collect()
    }

    /// Returns the pieces that a client of the crowd writes one after the other.
    fn pieces(&self, kind: CrowdKind) -> Vec<Vec<u8>> {
        let announced =
            |length: usize| format!("{}content-length: {length}\r\n\r\n", self.submit).into_bytes();
        let chunked = format!("{}transfer-encoding: chunked\r\n\r\n", self.submit).into_bytes();
        match kind {
            CrowdKind::WholeBodies => vec![[announced(ANNOUNCED_BYTES), vec![b' '; SENT_BYTES]].concat()],
            CrowdKind::BodiesInPieces => {
                let pieces = vec![b' '; SENT_BYTES];
                let pieces = pieces.chunks(5_000).map(<[u8]>::to_vec);
                std::iter::once(announced(ANNOUNCED_BYTES)).chain(pieces).collect()
            }
            CrowdKind::LargeChunks => {
                let chunk = [b"f230\r\n".to_vec(), vec![b' '; 0xf230], b"\r\n".to_vec()].concat();
                vec![chunked, chunk.clone(), chunk.clone(), chunk.clone(), chunk]
            }
            CrowdKind::SmallChunks => vec![chunked, b"1\r\n \r\n".repeat(SENT_BYTES / 5)],
            CrowdKind::HugeAnnounced => vec![announced(1 << 40), vec![b' '; SENT_BYTES]],
            CrowdKind::HugeSent => {
                let chunk = [b"10000\r\n".to_vec(), vec![b' '; 0x10000], b"\r\n".to_vec()].concat();
                std::iter::once(chunked).chain(std::iter::repeat_n(chunk, HUGE_BYTES >> 16)).collect()
            }
            CrowdKind::EndlessHeads => {
                vec![format!("{}x-long: {}", self.submit, "a".repeat(HEAD_BYTES)).into_bytes()]
            }
            CrowdKind::UnreadAnswers => vec![self.query.as_bytes().repeat(UNREAD_REQUESTS)],
        }
    }

    /// Sends a complete request over a new connection and returns the status of its answer, or how the exchange
    /// failed.
    pub async fn call(&self, request: &[u8]) -> Result<u16, String> {
        let started = Instant::now();
        let outcome = tokio::time::timeout(CALL_TIMEOUT, self.exchange(request)).await;
        let outcome = outcome.unwrap_or_else(|_| Err("no answer in time".to_owned()));
        outcome.map_err(|fault| format!("{fault}, after {:?}", started.elapsed()))
    }

    async fn exchange(&self, request: &[u8]) -> Result<u16, String> {
        let stream = TcpStream::connect(self.address).await;
        let mut stream = stream.map_err(|error| format!("cannot connect: {error}"))?;
        let (mut reader, mut writer) = stream.split();
        let mut answer = Vec::new();
        // An early refusal ends the writing.
        let _ = writer.write_all(request).await;
        while !answer.windows(4).any(|window| window == b"\r\n\r\n") {
            let read = reader.read_buf(&mut answer).await;
            let read = read.map_err(|error| format!("{error} after {} bytes", answer.len()))?;
            if read == 0 {
                break;
            }
        }
        let status = answer.get(9..12).and_then(|status| std::str::from_utf8(status).ok()?.parse().ok());
        status.ok_or_else(|| format!("closed without a status: {:?}", String::from_utf8_lossy(&answer)))
    }
}

/// Opens a connection and sends the pieces; a client that the process does not read from stops after a time
/// and keeps its connection.
async fn send_pieces(address: SocketAddr, pieces: Rc<Vec<Vec<u8>>>) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let sending = async {
        for piece in pieces.iter() {
            if stream.write_all(piece).await.is_err() {
                break;
            }
            tokio::task::yield_now().await;
        }
    };
    let _ = tokio::time::timeout(SEND_TIMEOUT, sending).await;
    Some(stream)
}

/// A child process, which is killed when the value is dropped.
pub struct EntryChild(pub Child);

impl EntryChild {
    /// Returns whether the process has not ended.
    pub fn lives(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(None))
    }

    /// Returns the largest resident size that the process has had, in MB, rounded up.
    pub fn peak_mb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.0.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap_or_default();
        let kilobytes: u64 = line.trim().trim_end_matches(" kB").parse().unwrap_or(u64::MAX);
        kilobytes.div_ceil(1_024)
    }

    /// Returns the number of descriptors that the process has open.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.0.id())).map_or(usize::MAX, Iterator::count)
    }
}

impl Drop for EntryChild {
    fn drop(&mut self) {
        // The process may already have ended, so errors are ignored.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
