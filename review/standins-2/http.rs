//! HTTP/1.1 on blocking sockets: a server with a thread a connection, and a client with a connection a request.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A request as a server received it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// What a server does with a request.
pub enum Reply {
    /// Status and body.
    Answer(u16, Vec<u8>),
    /// No answer; the connection stays silent until the caller gives up.
    Silence,
}

impl Request {
    pub fn query(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }
}

/// Serves requests on a free loopback port; returns its address.
pub fn serve(handler: impl Fn(Request) -> Reply + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    let address = listener.local_addr().expect("the address of a listener");
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            let _ = std::thread::Builder::new().stack_size(256 << 10).spawn(move || answer_all(stream, &*handler));
        }
    });
    address
}

fn answer_all(stream: TcpStream, handler: &(dyn Fn(Request) -> Reply + Send + Sync)) {
    let _ = stream.set_nodelay(true);
    let Ok(mut output) = stream.try_clone() else { return };
    let mut input = BufReader::new(stream);
    while let Some(request) = read_request(&mut input) {
        match handler(request) {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                let mut bytes = head.into_bytes();
                bytes.extend_from_slice(&body);
                if output.write_all(&bytes).is_err() {
                    return;
                }
            }
            Reply::Silence => {
                let _ = input.read(&mut [0; 1]);
                return;
            }
        }
    }
}

fn read_line(input: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    let read = input.read_line(&mut line).ok()?;
    (read > 0).then(|| line.trim_end().to_owned())
}

fn read_headers(input: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(input)?;
        if line.is_empty() {
            return Some(headers);
        }
        let (key, value) = line.split_once(':')?;
        headers.push((key.to_owned(), value.trim().to_owned()));
    }
}

fn content_length(headers: &[(String, String)]) -> usize {
    let length = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case("content-length"));
    length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}

fn read_request(input: &mut BufReader<TcpStream>) -> Option<Request> {
    let line = read_line(input)?;
    let mut words = line.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let headers = read_headers(input)?;
    let mut body = vec![0; content_length(&headers)];
    input.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(key, value)| (key.to_owned(), value.to_owned())).collect();
    Some(Request { method, path: path.to_owned(), query, headers, body })
}

/// Sends a request on a connection of its own; returns status and body, or why there is no complete answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Result<(u16, String), String> {
    let describe = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect_timeout(&address, timeout).map_err(describe)?;
    stream.set_read_timeout(Some(timeout)).map_err(describe)?;
    stream.set_write_timeout(Some(timeout)).map_err(describe)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    if headers.iter().all(|(key, _)| *key != "Host") {
        head.push_str(&format!("Host: {address}\r\n"));
    }
    for (key, value) in headers {
        head.push_str(&format!("{key}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).map_err(describe)?;
    let mut input = BufReader::new(stream);
    let line = read_line(&mut input).ok_or("no answer")?;
    let status = line.split(' ').nth(1).and_then(|word| word.parse().ok()).ok_or("no status")?;
    let headers = read_headers(&mut input).ok_or("no headers")?;
    let mut body = vec![0; content_length(&headers)];
    input.read_exact(&mut body).map_err(describe)?;
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
