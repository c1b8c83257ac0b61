//! Connections to backend servers.
//!
//! A server serves one request at a time on a connection, so an idle one carries no bytes. One that
//! has some, or that the server closed, is dropped before use: what came on it belongs to no
//! request that waits.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use hawthornmill::ident::ServerId;
use hawthornmill_process::sockets;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Time allowed for a new connection: eight round trips between regions (60 ms, the brief).
const CONNECT: Duration = Duration::from_millis(500);
/// Time for which sent bytes may stay unacknowledged before the kernel gives a connection up.
///
/// A machine without power or behind a cut answers nothing; without this bound its connections hang
/// for minutes. Three seconds outlast the retransmissions of a lossy link.
const UNACKNOWLEDGED: Duration = Duration::from_secs(3);
/// Idle time after which a connection is not used when its server doesn't say how long it keeps it.
const UNSAID_IDLE: Duration = Duration::from_secs(3);
/// Part of the said time for which a connection is used; the rest is for the request's way.
const IDLE_PART: f64 = 0.6;
/// Idle time up to which a connection may carry a request that must not run twice.
///
/// A server that drops an idle connection resets what is sent next, and whether that ran can't be
/// told; one used a moment ago is hardly dropped yet.
const BRIEF_IDLE: Duration = Duration::from_millis(400);
/// Idle connections kept for one server, whatever its service allows.
const MOST_IDLE: usize = 48;

/// A connection to a server.
#[derive(Debug)]
pub struct Upstream {
    /// The socket.
    pub stream: TcpStream,
    /// Bytes received and not used yet.
    pub buffer: BytesMut,
    /// It carried a request before.
    pub reused: bool,
}

impl Upstream {
    /// Reads more; 0 when the server has closed.
    ///
    /// Of a read that leaves room in the buffer the runtime knows that there is no more: asking until nothing
    /// comes took a second system call for each event of a stream, 0.44 of all reads.
    ///
    /// # Errors
    /// When the connection broke.
    pub async fn more(&mut self) -> io::Result<usize> {
        self.stream.read_buf(&mut self.buffer).await
    }
}

#[derive(Debug)]
struct Idle {
    stream: TcpStream,
    since: Instant,
    keep: Duration,
}

/// Idle connections by server.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<BTreeMap<ServerId, Vec<Idle>>>,
}

impl Pool {
    /// An idle connection, or a new one.
    ///
    /// `once` says that the request must not run twice.
    ///
    /// # Errors
    /// When no connection can be made in time; nothing was sent then.
    pub async fn take(
        &self,
        server: ServerId,
        address: SocketAddr,
        once: bool,
        now: Instant,
    ) -> io::Result<Upstream> {
        if let Some(stream) = self.take_idle(server, once, now) {
            return Ok(Upstream {
                stream,
                buffer: BytesMut::with_capacity(4096),
                reused: true,
            });
        }
        Ok(Upstream {
            stream: connect(address).await?,
            buffer: BytesMut::with_capacity(4096),
            reused: false,
        })
    }

    fn take_idle(&self, server: ServerId, once: bool, now: Instant) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&server)?;
        while let Some(last) = list.pop() {
            let age = now.duration_since(last.since);
            let keep = if once {
                last.keep.min(BRIEF_IDLE)
            } else {
                last.keep
            };
            if age < keep && is_quiet(&last.stream) {
                return Some(last.stream);
            }
            if age < last.keep && once && is_quiet(&last.stream) {
                // Still good for requests that may repeat, but the newest is too old for this one.
                list.push(last);
                return None;
            }
        }
        None
    }

    /// Keeps a connection whose answer is complete, unless there are `most` already; `said` is what the
    /// server told of its patience.
    pub fn give(
        &self,
        server: ServerId,
        upstream: Upstream,
        said: Option<Duration>,
        most: usize,
        now: Instant,
    ) {
        let keep = said.map_or(UNSAID_IDLE, |s| s.mul_f64(IDLE_PART));
        if !upstream.buffer.is_empty() || keep.is_zero() || most == 0 {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(server).or_default();
        // The newest is the best: a request that must not run twice takes no other.
        if list.len() >= most.min(MOST_IDLE) {
            list.remove(0);
        }
        list.push(Idle {
            stream: upstream.stream,
            since: now,
            keep,
        });
    }

    /// Closes connections that are too old, and those of servers that `keep` does not know.
    pub fn sweep(&self, keep: impl Fn(ServerId) -> bool, now: Instant) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|server, list| {
            list.retain(|i| now.duration_since(i.since) < i.keep);
            !list.is_empty() && keep(*server)
        });
    }

    /// Idle connections to `server`.
    pub fn idle_count(&self, server: ServerId) -> usize {
        self.idle.borrow().get(&server).map_or(0, Vec::len)
    }

    /// Closes the idle connections of a server that can't be reached or is another by now.
    pub fn drop_idle(&self, server: ServerId) {
        self.idle.borrow_mut().remove(&server);
    }
}

/// Tells whether a connection is open and nothing came on it.
fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [0_u8; 1];
    matches!(stream.try_read(&mut byte), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

/// Connects, in bounded time, with bounds on silence.
///
/// # Errors
/// When there is nobody in time.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    connect_within(address, CONNECT).await
}

/// The same in another time.
///
/// # Errors
/// When there is nobody in time.
pub async fn connect_within(address: SocketAddr, time: Duration) -> io::Result<TcpStream> {
    let socket = sockets::socket(address)?;
    let stream = tokio::time::timeout(time, socket.connect(address))
        .await
        .map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    Ok(stream)
}
