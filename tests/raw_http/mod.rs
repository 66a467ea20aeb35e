//! Raw HTTP/1.1 over sockets, for tests that send malformed requests, which a client library would reject.

#![allow(dead_code, reason = "each test file uses some of the functions")]

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time limit of one exchange.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// Environment variable that writes the golden files before the comparison.
const REGENERATE: &str = "GODWITHAVEN_REGENERATE";

/// A response as read from the socket.
#[derive(Debug)]
pub struct RawResponse {
    /// Status code; 0 if the connection ended without a status line.
    pub status: u16,
    /// Status line and headers.
    pub head: String,
    /// Everything after the headers, without any decoding.
    pub body: String,
}

/// A request and its response, to be written to a golden file.
pub struct Exchange<'a> {
    /// The request as it was sent.
    pub request: &'a str,
    /// The response as it was read.
    pub response: &'a RawResponse,
}

impl Exchange<'_> {
    /// Returns both as text. Values that vary between runs, such as dates and shards, and team keys are
    /// masked with stars.
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

/// Returns the text of a request that asks the server to close the connection after it.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> String {
    let line = |(name, value): &(&str, &str)| format!("{name}: {value}\r\n");
    let headers: String = headers.iter().map(line).collect();
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: entry\r\n{headers}connection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// Sends bytes over a new connection and reads the response until the connection ends.
pub async fn send(address: SocketAddr, bytes: &[u8]) -> RawResponse {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let (mut reader, mut writer) = stream.split();
    let mut response = Vec::new();
    let exchange = async {
        // The server may respond and close the connection before it has read all bytes.
        let _ = writer.write_all(bytes).await;
        let _ = reader.read_to_end(&mut response).await;
    };
    tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await.expect("a response in time");
    let text = String::from_utf8_lossy(&response).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    RawResponse { status, head: head.to_owned(), body: body.to_owned() }
}

/// Asserts that a text equals the golden file `name`.
pub fn compare_golden(name: &str, text: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    if std::env::var_os(REGENERATE).is_some() {
        fs::write(&path, text).unwrap();
    }
    let expected = fs::read_to_string(&path).unwrap();
    assert!(text == expected, "{name} differs; the session was:\n{text}");
}

/// Masks the values of the header lines with the given prefixes, and sorts the header lines.
fn mask_lines(text: &str, prefixes: &[&str]) -> String {
    let mask = |line: &str| match prefixes.iter().find(|prefix| line.starts_with(*prefix)) {
        Some(prefix) => format!("{prefix}*"),
        None => line.to_owned(),
    };
    let mut lines: Vec<String> = text.lines().map(mask).collect();
    // Sorted because the order of headers is not part of the protocol.
    let headers = lines.iter().position(String::is_empty).unwrap_or(lines.len());
    if headers > 1 {
        lines[1..headers].sort();
    }
    lines.join("\n")
}
