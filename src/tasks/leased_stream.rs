//! A connection of another entry process, with its place among the connections of this one.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures_util::{Stream, StreamExt};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::server::{Connected, TcpConnectInfo};

use crate::kernel::connections::{ConnectionClass, ConnectionPhase};
use crate::prelude::*;
use crate::tasks::client_access::ClientAccess;
use crate::tasks::connection_lease::ConnectionLease;

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// A connection of another entry process, which keeps its place until it ends.
pub struct LeasedStream {
    stream: TcpStream,
    _lease: ConnectionLease,
}

impl LeasedStream {
    /// Returns the accepted connections of other entry processes. One without a place is closed; one with a place
    /// is never closed for others.
    pub fn accept(listener: TcpListener, access: ClientAccess) -> impl Stream<Item = io::Result<Self>> {
        TcpListenerStream::new(listener).filter_map(move |accepted| {
            let access = access.clone();
            async move {
                let Ok(stream) = accepted else {
                    // For example for lack of descriptors.
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    return None;
                };
                let address = stream.peer_addr().ok()?.ip();
                let mut lease = access.open(address, ConnectionClass::Peer).await?;
                lease.set_phase(ConnectionPhase::Handling);
                Some(Ok(Self { stream, _lease: lease }))
            }
        })
    }
}

impl Connected for LeasedStream {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> Self::ConnectInfo {
        self.stream.connect_info()
    }
}

impl AsyncRead for LeasedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for LeasedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
