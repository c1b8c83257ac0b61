//! Servers that answer once they have the head of a request, while its body is still being written.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use super::http_io::read_head;
use super::raw_servers::request_id;

/// Receive buffer of the servers, far below the length of a long body.
const RECEIVE_BYTES: u32 = 4 << 10;

/// How a server ends the connection behind what it has sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EarlyEnd {
    /// It resets the connection.
    Reset,
    /// It closes the connection with bytes of the body unread, which the kernel makes a reset.
    CloseUnread,
    /// It closes its direction in order, and resets the connection after this pause.
    CloseThenReset(Duration),
    /// It closes its direction in order, and reads the body to its end.
    CloseAndRead,
}

/// What the servers send.
#[derive(Debug, Clone, Copy)]
pub struct EarlyAnswer {
    /// The answer, in which `{id}` stands for the id of the request.
    pub text: &'static str,
    /// Time between the answer and the end of the connection.
    pub pause: Duration,
    /// How the connection ends.
    pub end: EarlyEnd,
}

/// Servers that all do the same.
#[derive(Debug, Clone)]
pub struct EarlyServers {
    answer: Arc<Mutex<EarlyAnswer>>,
    /// Uploads whose heads came; what else is asked of a server is answered in full.
    arrivals: Arc<Mutex<usize>>,
}

impl EarlyServers {
    /// Creates servers, of which none is started.
    pub fn new(answer: EarlyAnswer) -> Self {
        Self {
            answer: Arc::new(Mutex::new(answer)),
            arrivals: Arc::default(),
        }
    }

    /// Starts one more server; returns its address.
    pub fn start(&self) -> SocketAddr {
        let listener = listen().expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let servers = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _from)) = listener.accept().await {
                tokio::spawn(servers.clone().serve(stream));
            }
        });
        address
    }

    /// Changes what the servers do with the next request.
    pub fn set(&self, answer: EarlyAnswer) {
        *lock(&self.answer) = answer;
        *lock(&self.arrivals) = 0;
    }

    /// Returns the number of requests that came since the last change.
    pub fn arrivals(&self) -> usize {
        *lock(&self.arrivals)
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut buffer = BytesMut::new();
        let Some(head) = read_head(&mut stream, &mut buffer).await else {
            return;
        };
        if &*head.method != "POST" {
            let report =
                "HTTP/1.1 200 OK\r\nContent-Length: 13\r\nConnection: close\r\n\r\n{\"running\":0}";
            let _sent = stream.write_all(report.as_bytes()).await;
            return;
        }
        *lock(&self.arrivals) += 1;
        let answer = *lock(&self.answer);
        let text = answer.text.replace("{id}", request_id(&head));
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        tokio::time::sleep(answer.pause).await;
        let _ended = end(stream, answer.end).await;
    }
}

fn listen() -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BYTES)?;
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    socket.listen(64)
}

fn lock<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    value.lock().expect("no holder of the lock panics")
}

async fn end(mut stream: TcpStream, end: EarlyEnd) -> std::io::Result<()> {
    match end {
        EarlyEnd::Reset => stream.set_zero_linger(),
        EarlyEnd::CloseUnread => Ok(()),
        EarlyEnd::CloseThenReset(pause) => {
            stream.shutdown().await?;
            tokio::time::sleep(pause).await;
            stream.set_zero_linger()
        }
        EarlyEnd::CloseAndRead => {
            stream.shutdown().await?;
            let mut bytes = [0; 4096];
            while stream.read(&mut bytes).await? > 0 {}
            Ok(())
        }
    }
}
