//! Connections to backend servers, on which a close that a reset follows is an error.
//!
//! The HTTP library takes the close of a connection for the end of an answer without a length. A server that ends while a
//! request is being written to it resets the connection behind its close, and its answer is a part.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use futures_util::future::BoxFuture;
use hawthornmill_process::sockets::{
    CLOSE_CHECK_INTERVAL, CLOSE_CHECK_TIMEOUT, CloseState, close_state,
};
use hyper_util::client::legacy::connect::{Connected, Connection};
use hyper_util::rt::TokioIo;
use poem::http::Uri;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep, timeout};
use tower_service::Service;

/// Connect timeout; servers are on the same network.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Opens connections to the servers that URIs name.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServerConnector;

impl Service<Uri> for ServerConnector {
    type Response = TokioIo<ServerConnection>;
    type Error = io::Error;
    type Future = BoxFuture<'static, io::Result<Self::Response>>;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, req: Uri) -> Self::Future {
        Box::pin(async move {
            let authority = req.authority().ok_or(io::ErrorKind::InvalidInput)?;
            let connect = TcpStream::connect(authority.as_str());
            let stream = timeout(CONNECT_TIMEOUT, connect)
                .await
                .map_err(|_elapsed| io::ErrorKind::TimedOut)??;
            stream.set_nodelay(true)?;
            Ok(TokioIo::new(ServerConnection {
                stream,
                closing: None,
            }))
        })
    }
}

/// A connection to a server.
#[derive(Debug)]
pub struct ServerConnection {
    stream: TcpStream,
    /// Set once the server has closed its direction.
    closing: Option<Closing>,
}

/// The wait until it is known how the server ended the connection.
#[derive(Debug)]
struct Closing {
    end: Instant,
    timer: Pin<Box<Sleep>>,
}

impl ServerConnection {
    /// Waits until it is known that the server closed the connection in order.
    fn poll_closed(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let closing = self.closing.get_or_insert_with(|| Closing {
            end: Instant::now() + CLOSE_CHECK_TIMEOUT,
            timer: Box::pin(sleep(CLOSE_CHECK_INTERVAL)),
        });
        loop {
            match close_state(&self.stream) {
                CloseState::Orderly => return Poll::Ready(Ok(())),
                CloseState::Unknown if Instant::now() < closing.end => {
                    ready!(closing.timer.as_mut().poll(cx));
                    let next = Instant::now() + CLOSE_CHECK_INTERVAL;
                    closing.timer.as_mut().reset(next);
                }
                CloseState::Unknown | CloseState::Reset => {
                    return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
                }
            }
        }
    }
}

impl Connection for ServerConnection {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}

impl AsyncRead for ServerConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let filled_before = buf.filled().len();
        if this.closing.is_none() {
            ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
        }
        let is_closed = buf.remaining() > 0 && buf.filled().len() == filled_before;
        if is_closed {
            return this.poll_closed(cx);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ServerConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
