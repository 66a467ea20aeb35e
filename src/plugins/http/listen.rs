use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// Size of the socket buffers of a connection in bytes, in each direction. The system's own sizes grow to
/// megabytes, which count towards the memory of the machine.
const SOCKET_BUFFER_BYTES: u32 = 65_536;
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Binds a listener for clients, with bounded socket buffers.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    let bounded = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    if let Err(error) = bounded.and_then(|()| socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)) {
        log::warn!(address:%, error:%; "socket buffers cannot be bounded");
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
