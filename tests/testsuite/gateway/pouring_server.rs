//! A backend server for tests that sends what no sound one does, until its peer closes the connection.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use hawthornmill_process::sockets;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

use super::http_io::read_request;

/// Bytes of one write at full speed.
const WRITE_BYTES: usize = 16 << 10;
/// Pause between two writes of a trickle.
pub const TRICKLE_PAUSE: Duration = Duration::from_millis(20);

/// What the server sends after each request; `{id}` stands for the id of the attempt.
#[derive(Debug, Clone, Copy)]
pub struct Flow {
    /// Sent first, each after a pause in milliseconds.
    pub start: &'static [(u64, &'static str)],
    /// Sent again and again afterwards; nothing if it is empty.
    pub unit: &'static str,
    /// Pause after each unit; none at full speed.
    pub pause: Option<Duration>,
    /// Requests that must have come before the first unit is sent, so that all grow at the same time.
    pub together: usize,
}

/// One connection that the peer has closed.
#[derive(Debug, Clone, Copy)]
pub struct Poured {
    /// Bytes written, of which the peer may not have read all.
    pub bytes: usize,
    /// Time from the first byte to the close.
    pub lasted: Duration,
}

/// The server, which never closes a connection itself.
#[derive(Debug, Clone)]
pub struct PouringServer {
    flow: Flow,
    poured: Arc<Mutex<Vec<Poured>>>,
    /// Requests that have come.
    begun: watch::Sender<usize>,
}

impl PouringServer {
    /// Starts a server at `address`.
    pub fn start(address: SocketAddr, flow: Flow) -> Self {
        // As long a queue as that of the gateway; the usual one overflows when hundreds of connections come at once.
        let listener = sockets::listen(address).expect("the server's address is free");
        let server = Self {
            flow,
            poured: Arc::default(),
            begun: watch::Sender::new(0),
        };
        let serving = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _from)) = listener.accept().await {
                let serving = serving.clone();
                tokio::spawn(async move { serving.serve(stream).await });
            }
        });
        server
    }

    /// Returns the connections that the peer has closed after a request.
    pub fn poured(&self) -> Vec<Poured> {
        self.poured.lock().expect("no holder panics").clone()
    }

    async fn serve(&self, mut stream: TcpStream) {
        let Some((head, _body)) = read_request(&mut stream, &mut BytesMut::new()).await else {
            return;
        };
        let id = head.headers.get_str("attempt-id").unwrap_or_default();
        let (mut reader, mut writer) = stream.into_split();
        let (begun, mut bytes, mut byte) = (Instant::now(), 0, [0; 1]);
        tokio::select! {
            () = self.pour(&mut writer, id, &mut bytes) => {}
            _closed = reader.read(&mut byte) => {}
        }
        let lasted = begun.elapsed();
        let mut poured = self.poured.lock().expect("no holder panics");
        poured.push(Poured { bytes, lasted });
    }

    /// Writes until the connection fails.
    async fn pour(&self, writer: &mut OwnedWriteHalf, id: &str, bytes: &mut usize) {
        for (pause_ms, text) in self.flow.start {
            tokio::time::sleep(Duration::from_millis(*pause_ms)).await;
            let text = text.replace("{id}", id);
            if writer.write_all(text.as_bytes()).await.is_err() {
                return;
            }
            *bytes += text.len();
        }
        self.begun.send_modify(|begun| *begun += 1);
        let mut begun = self.begun.subscribe();
        let all_begun = begun.wait_for(|begun| *begun >= self.flow.together);
        let _is_open = all_begun.await.is_ok();
        if self.flow.unit.is_empty() {
            return std::future::pending().await;
        }
        let repeats = match self.flow.pause {
            Some(_) => 1,
            None => WRITE_BYTES.div_ceil(self.flow.unit.len()),
        };
        let piece = self.flow.unit.repeat(repeats);
        while writer.write_all(piece.as_bytes()).await.is_ok() {
            *bytes += piece.len();
            if let Some(pause) = self.flow.pause {
                tokio::time::sleep(pause).await;
            }
        }
    }
}
