//! Listening sockets for HTTP.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

const BACKLOG: u32 = 1024;

/// Binds `address` for HTTP.
///
/// Connections inherit `TCP_NODELAY` from the listener. Without it the head of an answer and its
/// first chunk, which are two writes, show 40 ms apart: the second waits until the peer's delayed
/// acknowledgement of the first.
///
/// # Errors
/// When the address is not `IP:port`, is in use or can't be bound.
pub fn bind_http(address: &str) -> io::Result<TcpListener> {
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
