use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tonic::transport::{Channel, Endpoint, Server};

use super::CellService;
use crate::prelude::*;
use crate::proto::cell::cell_client::CellClient;
use crate::proto::cell::cell_server::CellServer;
use crate::tasks::client_access::ClientAccess;
use crate::tasks::leased_stream::LeasedStream;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval between HTTP/2 keepalive pings, also on an idle connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for the answer to a keepalive ping.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Returns a client of the process at an address, which connects on its first call.
///
/// # Errors
///
/// Returns an error if the address is not valid in a URI.
pub fn connect(address: &str) -> Result<CellClient<Channel>, tonic::transport::Error> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))?
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .keep_alive_while_idle(true);
    Ok(CellClient::new(endpoint.connect_lazy()))
}

/// Serves the calls of other entry processes until the token is cancelled.
pub async fn serve(
    listener: TcpListener,
    service: CellService,
    access: ClientAccess,
    token: CancellationToken,
) {
    let incoming = LeasedStream::accept(listener, access);
    let server = Server::builder()
        .tcp_nodelay(true)
        .http2_keepalive_interval(Some(KEEP_ALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEP_ALIVE_TIMEOUT))
        .add_service(CellServer::new(service))
        .serve_with_incoming_shutdown(incoming, token.cancelled_owned());
    if let Err(error) = server.await {
        log::error!(error:%; "server for other entry processes has failed");
    }
}
