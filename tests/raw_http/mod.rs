//! Raw HTTP/1.1 over sockets, for tests that send what no client library would.

#![allow(dead_code, reason = "each test file uses some of the functions")]

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest wait for a response.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Set to write golden files instead of comparing them.
const REGENERATE: &str = "GODWITHAVEN_REGENERATE";

/// A response as it came over the socket.
#[derive(Debug)]
pub struct RawResponse {
    /// Status; 0 if the connection ended without one.
    pub status: u16,
    /// Status line and headers.
    pub head: String,
    /// Body.
    pub body: String,
}

/// One request with its response.
pub struct Exchange<'a> {
    /// The request text.
    pub request: &'a str,
    /// The response.
    pub response: &'a RawResponse,
}

impl Exchange<'_> {
    /// Returns both as text, with stars in place of dates, keys and shards.
    pub fn masked(&self) -> String {
        let request =
            mask_lines(self.request, &["host: ", "x-team-key: ", "connection: ", "content-length: "]);
        let head = mask_lines(&self.response.head, &["date: ", "connection: "]);
        let mut body = self.response.body.clone();
        if let Some(start) = body.find("\"shard\":\"").map(|start| start + 9) {
            let end = start + body[start..].find('"').unwrap_or(0);
            body.replace_range(start..end, "*");
        }
        format!(">>> {}\n<<< {}\n{body}\n\n", request.trim_end(), head.trim_end())
    }
}

/// Returns a request that closes its connection.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> String {
    let line = |(name, value): &(&str, &str)| format!("{name}: {value}\r\n");
    let headers: String = headers.iter().map(line).collect();
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: entry\r\n{headers}connection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// Sends bytes and reads until the connection ends.
pub async fn send(address: SocketAddr, bytes: &[u8]) -> RawResponse {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let (mut reader, mut writer) = stream.split();
    let mut response = Vec::new();
    let exchange = async {
        // The server may refuse before it has read everything.
        let _ = writer.write_all(bytes).await;
        let _ = reader.read_to_end(&mut response).await;
    };
    tokio::time::timeout(TIMEOUT, exchange).await.expect("a response in time");
    let text = String::from_utf8_lossy(&response).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    RawResponse { status, head: head.to_owned(), body: body.to_owned() }
}

/// Compares a text with a golden file.
pub fn compare_golden(name: &str, text: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    if std::env::var_os(REGENERATE).is_some() {
        fs::write(&path, text).unwrap();
    }
    let expected = fs::read_to_string(&path).unwrap();
    assert!(text == expected, "{name} differs; the session was:\n{text}");
}

fn mask_lines(text: &str, prefixes: &[&str]) -> String {
    let mask = |line: &str| match prefixes.iter().find(|prefix| line.starts_with(*prefix)) {
        Some(prefix) => format!("{prefix}*"),
        None => line.to_owned(),
    };
    let mut lines: Vec<String> = text.lines().map(mask).collect();
    // Header order is not part of the protocol.
    let headers = lines.iter().position(String::is_empty).unwrap_or(lines.len());
    if headers > 1 {
        lines[1..headers].sort();
    }
    lines.join("\n")
}
