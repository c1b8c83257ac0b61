//! TCP sockets.

use std::io;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::time::Duration;

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

/// Interval at which it is checked whether a peer that closed its direction takes the rest of what was sent to it.
pub const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Time in which such a peer takes the rest; eight round trips between regions.
pub const CLOSE_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// What is known of the end of a connection whose peer closed its direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseState {
    /// The peer received all that was sent to it.
    Orderly,
    /// The peer reset the connection.
    Reset,
    /// The peer has not received all yet, so that a reset may follow.
    Unknown,
}

/// Returns how a peer that closed its direction ended the connection.
///
/// A peer that ends while a request is being written to it resets the connection behind its close, and a read never
/// shows that. In order it closes only once it has received all that was sent, or receives it afterwards.
pub fn close_state(stream: &TcpStream) -> CloseState {
    if !matches!(stream.take_error(), Ok(None)) {
        return CloseState::Reset;
    }
    match unacknowledged(stream) {
        Ok(0) => CloseState::Orderly,
        _ => CloseState::Unknown,
    }
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
fn unacknowledged(stream: &TcpStream) -> io::Result<usize> {
    let mut bytes = 0;
    // SAFETY: the descriptor is open as long as `stream` is borrowed, and the call writes one integer.
    unsafe { ioctl::send_queue(stream.as_raw_fd(), &raw mut bytes) }?;
    usize::try_from(bytes).map_err(io::Error::other)
}
