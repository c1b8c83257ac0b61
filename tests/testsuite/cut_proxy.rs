//! A proxy in front of an HTTP server, which cuts its answers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Where answers are cut.
#[derive(Debug, Clone, Copy)]
pub struct Cut {
    /// Begin of the path of the requests whose answers are cut.
    pub path: &'static str,
    /// Part of the answer that passes, in thousandths.
    pub passed: usize,
    /// The connection is reset after it, not closed.
    pub is_reset: bool,
}

#[derive(Debug, Default)]
struct State {
    cut: Option<Cut>,
    cuts: usize,
}

/// The proxy.
#[derive(Debug, Clone)]
pub struct CutProxy {
    /// Where it listens.
    pub address: SocketAddr,
    target: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl CutProxy {
    /// Starts a proxy in front of `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a port is free");
        let proxy = Self {
            address: listener.local_addr().expect("it is bound"),
            target,
            state: Arc::default(),
        };
        let serving = proxy.clone();
        tokio::spawn(async move {
            while let Ok((client, _from)) = listener.accept().await {
                let serving = serving.clone();
                // A client may leave before the answer.
                tokio::spawn(async move {
                    let _served = serving.serve(client).await;
                });
            }
        });
        proxy
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Sets where answers are cut from now on.
    pub fn set(&self, cut: Option<Cut>) {
        *self.lock() = State { cut, cuts: 0 };
    }

    /// Returns the number of answers that were cut since.
    pub fn cuts(&self) -> usize {
        self.lock().cuts
    }

    async fn serve(&self, mut client: TcpStream) -> std::io::Result<()> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(client.read_u8().await?);
        }
        let text = String::from_utf8_lossy(&head).into_owned();
        let path = text.split(' ').nth(1).unwrap_or_default();
        let mut server = TcpStream::connect(self.target).await?;
        let request = text.replacen("\r\n", "\r\nConnection: close\r\n", 1);
        server.write_all(request.as_bytes()).await?;
        let mut answer = Vec::new();
        server.read_to_end(&mut answer).await?;
        let cut = self.lock().cut.filter(|cut| path.starts_with(cut.path));
        let passed = cut.map_or(answer.len(), |cut| answer.len() * cut.passed / 1_000);
        client.write_all(&answer[..passed]).await?;
        if cut.is_some_and(|cut| cut.is_reset) {
            client.set_zero_linger()?;
        }
        drop(client);
        self.lock().cuts += usize::from(cut.is_some());
        Ok(())
    }
}
