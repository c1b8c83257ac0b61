//! Connections to backend servers.
//!
//! A server handles one request at a time per connection, so an idle connection has no bytes to
//! read. If there are some, or if the server closed the connection, it is dropped before use: the
//! bytes belong to no pending request.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::num::NonZeroU64;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use hawthornmill::ident::ServerId;
use hawthornmill_process::sockets::{self, CLOSE_CHECK_INTERVAL, CLOSE_CHECK_TIMEOUT, CloseState};
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Eight round trips between regions, which take 60 ms each.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which the kernel closes a connection whose sent bytes are not acknowledged.
///
/// Without this limit, connections to a machine that lost power or its network hang for minutes.
/// Three seconds outlast the retransmissions of a lossy link.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle timeout of a connection whose server doesn't advertise one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Share of the advertised idle timeout that is used; the rest covers the latency of the request.
const IDLE_TIMEOUT_FACTOR: f64 = 0.6;
/// Longest idle time of a connection for a request that must not run twice.
///
/// If a server has closed an idle connection, the next request on it is reset, and the gateway can't
/// tell whether it ran. A server is unlikely to close a connection right after its last use.
const MAX_IDLE_AT_MOST_ONCE: Duration = Duration::from_millis(400);
/// Idle connections kept per server, whatever the limit of its service.
const MAX_IDLE_PER_SERVER: usize = 48;

/// Initial size of the buffer of received bytes.
const BUFFER_BYTES: usize = 4096;

/// A connection to a server.
#[derive(Debug)]
pub struct Upstream {
    /// The socket.
    pub stream: TcpStream,
    /// Bytes received and not parsed yet.
    pub buffer: BytesMut,
    /// Whether the connection carried a request before.
    pub reused: bool,
    /// Bytes received for the current request.
    pub received: usize,
    /// Start of the run that is at its other end, in milliseconds of Unix time, once the server has reported it.
    pub run: Option<NonZeroU64>,
}

impl Upstream {
    /// Wraps a new connection.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::with_capacity(BUFFER_BYTES),
            reused: false,
            received: 0,
            run: None,
        }
    }

    /// Reads more bytes into the buffer; returns 0 if the server closed the connection.
    ///
    /// Reads only once: the runtime knows from a read that doesn't fill the buffer that the socket is empty.
    /// Reading until the socket would block cost a second system call for each stream event, 0.44 of all reads.
    ///
    /// # Errors
    /// If the connection fails.
    pub async fn read_more(&mut self) -> io::Result<usize> {
        let read = self.stream.read_buf(&mut self.buffer).await?;
        self.received += read;
        Ok(read)
    }

    /// Returns whether the server, which closed its direction, ended the connection in order; waits until it is known.
    pub async fn is_closed_in_order(&self) -> bool {
        let end = tokio::time::Instant::now() + CLOSE_CHECK_TIMEOUT;
        loop {
            match sockets::close_state(&self.stream) {
                CloseState::Orderly => return true,
                CloseState::Reset => return false,
                CloseState::Unknown if tokio::time::Instant::now() >= end => return false,
                CloseState::Unknown => tokio::time::sleep(CLOSE_CHECK_INTERVAL).await,
            }
        }
    }
}

#[derive(Debug)]
struct IdleConnection {
    stream: TcpStream,
    run: Option<NonZeroU64>,
    since: Instant,
    timeout: Duration,
}

/// Idle connections by server.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<BTreeMap<ServerId, Vec<IdleConnection>>>,
}

impl Pool {
    /// Returns an idle connection, or opens a new one.
    ///
    /// `at_most_once` tells that the request must not run twice.
    ///
    /// # Errors
    /// If no connection can be opened in time; nothing was sent then.
    pub async fn acquire(
        &self,
        server: ServerId,
        address: SocketAddr,
        at_most_once: bool,
        now: Instant,
    ) -> io::Result<Upstream> {
        if let Some(idle) = self.take(server, at_most_once, now) {
            return Ok(idle);
        }
        connect(address).await.map(Upstream::new)
    }

    /// Returns an idle connection if there is one; `at_most_once` as in [`Self::acquire`].
    pub fn take(&self, server: ServerId, at_most_once: bool, now: Instant) -> Option<Upstream> {
        let idle = self.take_idle(server, at_most_once, now)?;
        Some(Upstream {
            reused: true,
            run: idle.run,
            ..Upstream::new(idle.stream)
        })
    }

    fn take_idle(
        &self,
        server: ServerId,
        at_most_once: bool,
        now: Instant,
    ) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&server)?;
        while let Some(newest) = connections.pop() {
            let age = now.duration_since(newest.since);
            let timeout = if at_most_once {
                newest.timeout.min(MAX_IDLE_AT_MOST_ONCE)
            } else {
                newest.timeout
            };
            if age < timeout && is_idle(&newest.stream) {
                return Some(newest);
            }
            if age < newest.timeout && at_most_once && is_idle(&newest.stream) {
                // Usable for idempotent requests only, and all others have been idle for longer.
                connections.push(newest);
                return None;
            }
        }
        None
    }

    /// Returns a connection to the pool after a complete response.
    ///
    /// Keeps at most `max_idle` connections to the server. `advertised` is the idle timeout that the
    /// server sent.
    pub fn put_back(
        &self,
        server: ServerId,
        upstream: Upstream,
        advertised: Option<Duration>,
        max_idle: usize,
        now: Instant,
    ) {
        let timeout = advertised.map_or(DEFAULT_IDLE_TIMEOUT, |s| s.mul_f64(IDLE_TIMEOUT_FACTOR));
        if !upstream.buffer.is_empty() || timeout.is_zero() || max_idle == 0 {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(server).or_default();
        // Drops the oldest: requests that must not run twice only use recent connections.
        if connections.len() >= max_idle.min(MAX_IDLE_PER_SERVER) {
            connections.remove(0);
        }
        connections.push(IdleConnection {
            stream: upstream.stream,
            run: upstream.run,
            since: now,
            timeout,
        });
    }

    /// Closes connections past their idle timeout, and those to servers that are not registered.
    pub fn evict(&self, is_registered: impl Fn(ServerId) -> bool, now: Instant) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|server, connections| {
            connections.retain(|i| now.duration_since(i.since) < i.timeout);
            !connections.is_empty() && is_registered(*server)
        });
    }

    /// Number of idle connections to `server`.
    pub fn idle_count(&self, server: ServerId) -> usize {
        self.idle.borrow().get(&server).map_or(0, Vec::len)
    }

    /// Closes the idle connections to a server that is unreachable or was replaced by another.
    pub fn discard_idle(&self, server: ServerId) {
        self.idle.borrow_mut().remove(&server);
    }
}

/// Tells whether a connection is open and has no bytes to read.
fn is_idle(stream: &TcpStream) -> bool {
    let mut byte = [0_u8; 1];
    matches!(stream.try_read(&mut byte), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

/// Connects with the default timeout.
///
/// # Errors
/// If the connection can't be opened in time.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    connect_timeout(address, CONNECT_TIMEOUT).await
}

/// Connects within `time`, and limits how long sent bytes may stay unacknowledged.
///
/// # Errors
/// If the connection can't be opened in time.
pub async fn connect_timeout(address: SocketAddr, time: Duration) -> io::Result<TcpStream> {
    let socket = sockets::new_socket(address)?;
    let stream = tokio::time::timeout(time, socket.connect(address))
        .await
        .map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    Ok(stream)
}
