//! Client connections that can be aborted in the middle of a response.
//!
//! The HTTP library terminates a chunked response properly even if its body failed: it polls the
//! failed connection once more to shut it down, and that poll writes the last chunk. The client
//! would take a partial response for a complete one. A call whose response fails therefore aborts
//! its connection: every later read and write returns an error, and the connection is dropped
//! without a last chunk. A connection that its client closed is aborted too, because the library
//! would otherwise keep waiting for a response that nobody reads, and the call would keep its slot.

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

type AbortFlags = BTreeMap<SocketAddr, Arc<AtomicBool>>;

/// Open connections by remote address.
#[derive(Debug, Default, Clone)]
pub struct Connections {
    open: Arc<Mutex<AbortFlags>>,
}

impl Connections {
    fn lock(&self) -> MutexGuard<'_, AbortFlags> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the handle that aborts the connection of `request`.
    pub fn abort_handle(&self, request: &Request) -> AbortHandle {
        // HTTP/2 resets only the stream whose body failed; other streams share the connection.
        if request.version() == Version::HTTP_2 {
            return AbortHandle::default();
        }
        let address = request.remote_addr().as_socket_addr();
        AbortHandle {
            aborted: address.and_then(|a| self.lock().get(a).map(Arc::clone)),
        }
    }

    /// Returns an acceptor of abortable connections on `listener`.
    pub fn acceptor(&self, listener: TcpListener) -> AbortableAcceptor {
        AbortableAcceptor {
            listener,
            connections: self.clone(),
        }
    }
}

/// Aborts one connection.
#[derive(Debug, Default, Clone)]
pub struct AbortHandle {
    aborted: Option<Arc<AtomicBool>>,
}

impl AbortHandle {
    /// Makes every later read and write of the connection fail.
    pub fn abort(&self) {
        if let Some(aborted) = &self.aborted {
            aborted.store(true, Ordering::SeqCst);
        }
    }
}

/// Accepts connections that can be aborted.
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
        let aborted = Arc::new(AtomicBool::new(false));
        self.connections.lock().insert(remote, Arc::clone(&aborted));
        let connection = Connection {
            stream,
            remote,
            aborted,
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

/// A connection that can be aborted.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    remote: SocketAddr,
    aborted: Arc<AtomicBool>,
    connections: Connections,
}

impl Connection {
    fn stream(&mut self) -> io::Result<Pin<&mut TcpStream>> {
        if self.aborted.load(Ordering::SeqCst) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(Pin::new(&mut self.stream))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut open = self.connections.lock();
        // The client may have opened a new connection from the same port.
        if open
            .get(&self.remote)
            .is_some_and(|flag| Arc::ptr_eq(flag, &self.aborted))
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
        let filled_before = buf.filled().len();
        let result = self.stream()?.poll_read(cx, buf);
        let completed = matches!(result, Poll::Ready(Ok(())));
        if completed && buf.remaining() > 0 && buf.filled().len() == filled_before {
            // The client closed the connection. The HTTP library sees this too, but still waits for
            // the call; with the flag set, its next flush fails and the call is dropped at once.
            self.aborted.store(true, Ordering::SeqCst);
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
        self.stream()?.poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream()?.poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream()?.poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.stream()?.poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
