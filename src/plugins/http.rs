//! HTTP/1.1 clients and the HTTP/1.1 server that the adapters share.

mod buffered_request;
mod connection;
mod listen;
mod partial_request;
mod read_step;
mod request_reader;
mod server;

use awc::error::{ConnectError, PayloadError, SendRequestError};
use awc::{Client, ClientResponse, Connector};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};

pub use buffered_request::BufferedRequest;
pub use connection::{fault_status, refuse_without_body};
pub use listen::listen;
pub use read_step::ReadStep;
pub use request_reader::RequestReader;
pub use server::{HttpServer, RefusalEncoder};

use crate::prelude::*;

/// Time limit of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which an idle connection of [`persistent_client`] is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(90);

/// Age after which a connection of [`persistent_client`] is no longer used.
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(3_600);

/// Maximum time between two parts of the body of a response.
const BODY_STALL_TIMEOUT: Duration = Duration::from_secs(8);

/// Returns a client with at most `connections` connections to one host, whose requests time out unless the
/// head of the response arrives within `timeout`; [`read_answer`] reads the body.
#[must_use]
pub fn client(connections: usize, timeout: Duration) -> Client {
    let connector = Connector::new().timeout(CONNECT_TIMEOUT).limit(connections);
    Client::builder().connector(connector).timeout(timeout).disable_redirects().finish()
}

/// Returns a client like [`client`] that sends no default headers such as the user agent, for frequent
/// requests.
#[must_use]
pub fn client_without_default_headers(connections: usize, timeout: Duration) -> Client {
    let connector = Connector::new().timeout(CONNECT_TIMEOUT).limit(connections);
    Client::builder().connector(connector).timeout(timeout).disable_redirects().no_default_headers().finish()
}

/// Returns a client that keeps its connections open, sends no default headers and has no time limit; each
/// request sets its own.
#[must_use]
pub fn persistent_client(connections: usize) -> Client {
    let connector = Connector::new()
        .timeout(CONNECT_TIMEOUT)
        .limit(connections)
        .conn_keep_alive(KEEP_ALIVE_TIMEOUT)
        .conn_lifetime(MAX_CONNECTION_AGE);
    Client::builder().connector(connector).disable_timeout().disable_redirects().no_default_headers().finish()
}

/// Returns whether a request failed before its connection was open, so that no part of it was sent.
///
/// A closed connection is not among these failures: the client reports [`ConnectError::Disconnected`] also if
/// the connection ends after the whole request was sent and before the head of the response.
#[must_use]
pub const fn is_unsent(error: &SendRequestError) -> bool {
    matches!(
        error,
        SendRequestError::Connect(
            ConnectError::Resolver(_)
                | ConnectError::NoRecords
                | ConnectError::Unresolved
                | ConnectError::Timeout
                | ConnectError::Io(_)
        )
    )
}

/// Reads the body of a response, of at most `limit` bytes.
///
/// # Errors
///
/// Returns the reason if the body is longer, breaks off, or makes no progress for `BODY_STALL_TIMEOUT`. A long
/// body may take longer than that altogether.
pub async fn read_answer<S>(response: &mut ClientResponse<S>, limit: usize) -> Result<Bytes, String>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let mut body = BytesMut::new();
    loop {
        let chunk = match tokio::time::timeout(BODY_STALL_TIMEOUT, response.next()).await {
            Ok(Some(chunk)) => chunk.map_err(|error| error.to_string())?,
            Ok(None) => return Ok(body.freeze()),
            Err(_) => return Err(format!("body of the response stalls after {} bytes", body.len())),
        };
        if body.len() + chunk.len() > limit {
            return Err(format!("body of the response is longer than {limit} bytes"));
        }
        body.extend_from_slice(&chunk);
    }
}
