//! Listening sockets for HTTP.

use std::io;
use std::net::SocketAddr;

use hawthornmill_process::sockets::listen;
use tokio::net::TcpListener;

/// Listens on `address` for HTTP.
///
/// # Errors
/// If `address` is not `IP:port`, is in use or can't be bound.
pub fn bind_http(address: &str) -> io::Result<TcpListener> {
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    listen(address)
}
