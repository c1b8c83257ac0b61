//! Connections of callers, which can be broken off in the middle of an answer.
//!
//! The HTTP library ends a chunked answer in order even when its body failed: it polls a failed
//! connection once more to shut it down, and that poll writes the last chunk. A caller would take
//! the part that it got for the whole. So a call whose answer breaks marks its connection, which
//! from then on refuses every read and write and is dropped without a last chunk. For the same
//! reason a connection that its caller closed marks itself: the library would go on to wait for an
//! answer that nobody reads, and the call would keep its slot.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use poem::Request;
use poem::http::Version;
use poem::http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

type Marks = BTreeMap<SocketAddr, Arc<AtomicBool>>;

/// Open connections by the address of their other end.
#[derive(Debug, Default, Clone)]
pub struct Connections {
    open: Arc<Mutex<Marks>>,
}

impl Connections {
    fn lock(&self) -> MutexGuard<'_, Marks> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What breaks the connection of `request` off.
    pub fn abort_handle(&self, request: &Request) -> AbortHandle {
        // HTTP/2 resets the one stream whose body failed; others share its connection.
        if request.version() == Version::HTTP_2 {
            return AbortHandle::default();
        }
        let address = request.remote_addr().as_socket_addr();
        AbortHandle {
            mark: address.and_then(|a| self.lock().get(a).map(Arc::clone)),
        }
    }

    /// Accepts connections of `listener`.
    pub fn acceptor(&self, listener: TcpListener) -> AbortableAcceptor {
        AbortableAcceptor {
            listener,
            connections: self.clone(),
        }
    }
}

/// Breaks one connection off.
#[derive(Debug, Default, Clone)]
pub struct AbortHandle {
    mark: Option<Arc<AtomicBool>>,
}

impl AbortHandle {
    /// Nothing more is written to the connection.
    pub fn abort(&self) {
        if let Some(mark) = &self.mark {
            mark.store(true, Ordering::SeqCst);
        }
    }
}

/// Accepts connections that can be broken off.
#[derive(Debug)]
pub struct AbortableAcceptor {
    listener: TcpListener,
    connections: Connections,
}

impl Acceptor for AbortableAcceptor {
    type Io = Connection;

    fn local_addr(&self) -> Vec<LocalAddr> {
        let address = self.listener.local_addr().ok();
        address.map(|a| LocalAddr(a.into())).into_iter().collect()
    }

    async fn accept(&mut self) -> io::Result<(Connection, LocalAddr, RemoteAddr, Scheme)> {
        let (stream, remote) = self.listener.accept().await?;
        let local = stream.local_addr()?;
        let mark = Arc::new(AtomicBool::new(false));
        self.connections.lock().insert(remote, Arc::clone(&mark));
        let connection = Connection {
            stream,
            remote,
            mark,
            connections: self.connections.clone(),
        };
        Ok((
            connection,
            LocalAddr(local.into()),
            RemoteAddr(remote.into()),
            Scheme::HTTP,
        ))
    }
}

/// A connection that can be broken off.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    remote: SocketAddr,
    mark: Arc<AtomicBool>,
    connections: Connections,
}

impl Connection {
    fn open(&mut self) -> io::Result<Pin<&mut TcpStream>> {
        if self.mark.load(Ordering::SeqCst) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(Pin::new(&mut self.stream))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut open = self.connections.lock();
        // The other end may have connected anew from the same port.
        if open
            .get(&self.remote)
            .is_some_and(|m| Arc::ptr_eq(m, &self.mark))
        {
            open.remove(&self.remote);
        }
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = self.open()?.poll_read(cx, buf);
        let read = matches!(result, Poll::Ready(Ok(())));
        if read && buf.remaining() > 0 && buf.filled().len() == before {
            // The caller is gone. The HTTP library sees it too, but then waits for the call all the
            // same; with the mark its next flush fails, and the call is dropped at once.
            self.mark.store(true, Ordering::SeqCst);
        }
        result
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.open()?.poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.open()?.poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.open()?.poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.open()?.poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
