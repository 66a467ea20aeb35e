//! HTTP/1.1 over loopback: a server with one thread per connection, and a client that opens a connection for
//! each call.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

pub struct Call {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Call {
    pub fn query(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }
}

pub enum Answer {
    /// Status and body.
    Send(u16, Vec<u8>),
    /// Close the connection without an answer.
    Close,
    /// Send nothing on this connection any more, and keep it open.
    Silence,
}

pub fn json(status: u16, body: String) -> Answer {
    Answer::Send(status, body.into_bytes())
}

/// Serves calls on a free loopback port until the process ends.
pub fn serve(handler: impl Fn(Call) -> Answer + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the socket has an address");
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
    address
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(Call) -> Answer) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(call) = read_call(&mut reader)? {
        match handler(call) {
            Answer::Send(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                let mut answer = head.into_bytes();
                answer.extend(body);
                writer.write_all(&answer)?;
            }
            Answer::Close => return Ok(()),
            Answer::Silence => {
                // Ends once the other side closes the connection.
                std::io::copy(&mut reader, &mut std::io::sink())?;
                return Ok(());
            }
        }
    }
    Ok(())
}

fn read_head(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn body_length(headers: &[(String, String)]) -> usize {
    let length = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}

fn read_call(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Call>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let mut body = vec![0; body_length(&headers)];
    reader.read_exact(&mut body)?;
    let mut words = first.split(' ');
    let target = words.nth(1).unwrap_or("");
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(key, value)| (key.to_owned(), value.to_owned())).collect();
    Ok(Some(Call { path: path.to_owned(), query, headers, body }))
}

/// Sends one call on a connection of its own; `None` if there is no complete answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Option<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    let mut request = (head + "\r\n").into_bytes();
    request.extend(body);
    stream.write_all(&request).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader).ok()??;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let mut body = vec![0; body_length(&headers)];
    reader.read_exact(&mut body).ok()?;
    Some((status, body))
}
