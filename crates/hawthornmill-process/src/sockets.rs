//! TCP sockets.

use std::io;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;

use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// Creates a socket of the address family of `address`.
///
/// # Errors
/// If the process has no file descriptor left.
pub fn new_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }
}

/// Listens on `address`.
///
/// Accepted connections inherit `TCP_NODELAY` from the listener. Without it, the first chunk of a
/// response arrives 40 ms after the head: they are two writes, and the second waits for the peer's
/// delayed acknowledgement of the first.
///
/// # Errors
/// If the address is in use or can't be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = new_socket(address)?;
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

mod ioctl {
    nix::ioctl_read_bad! {
        /// Gets the number of bytes in the send queue that the peer has not acknowledged.
        send_queue, nix::libc::TIOCOUTQ, nix::libc::c_int
    }
}

/// Returns the number of bytes sent on `stream` that the peer has not acknowledged; it keeps them after a reset.
///
/// # Errors
/// If the system doesn't tell.
#[expect(
    unsafe_code,
    reason = "no library has a safe call for the send queue of a socket"
)]
pub fn unacknowledged(stream: &TcpStream) -> io::Result<usize> {
    let mut bytes = 0;
    // SAFETY: the descriptor is open as long as `stream` is borrowed, and the call writes one integer.
    unsafe { ioctl::send_queue(stream.as_raw_fd(), &raw mut bytes) }?;
    usize::try_from(bytes).map_err(io::Error::other)
}
