//! A link that can be cut, delayed, reordered and limited, for TCP and UDP alike.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::Notify;

const CHUNK: usize = 16 << 10;

/// State of a link.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinkState {
    /// Nothing passes; open connections hang.
    pub cut: bool,
    /// One-way delay.
    pub delay: Duration,
    /// Further delay drawn for each datagram, which reorders them.
    pub spread: Duration,
    /// Bytes a second; 0 is no limit.
    pub rate: u64,
}

impl Default for LinkState {
    fn default() -> Self {
        Self {
            cut: false,
            delay: Duration::ZERO,
            spread: Duration::ZERO,
            rate: 0,
        }
    }
}

/// A relay in front of one address.
#[derive(Debug)]
pub struct Relay {
    /// Where it listens, TCP and UDP.
    pub address: SocketAddr,
    target: SocketAddr,
    state: Mutex<LinkState>,
    changed: Notify,
    free: Mutex<Instant>,
    bytes: Mutex<u64>,
}

impl Relay {
    /// Starts a relay to `target` on a free port.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn start(target: SocketAddr) -> std::io::Result<Arc<Self>> {
        let tcp = TcpListener::bind("127.0.0.1:0").await?;
        let address = tcp.local_addr()?;
        let udp = UdpSocket::bind(address).await?;
        let relay = Arc::new(Self {
            address,
            target,
            state: Mutex::new(LinkState::default()),
            changed: Notify::new(),
            free: Mutex::new(Instant::now()),
            bytes: Mutex::new(0),
        });
        tokio::spawn(accept(Arc::clone(&relay), tcp));
        tokio::spawn(datagrams(Arc::clone(&relay), udp));
        Ok(relay)
    }

    /// Changes the link.
    pub fn set(&self, state: LinkState) {
        *lock(&self.state) = state;
        self.changed.notify_waiters();
    }

    /// Bytes passed so far, both ways.
    pub fn bytes(&self) -> u64 {
        *lock(&self.bytes)
    }

    /// Waits while the link is cut, then for its delay and rate.
    async fn pass(&self, bytes: usize, spread: bool) {
        loop {
            let changed = self.changed.notified();
            if !lock(&self.state).cut {
                break;
            }
            changed.await;
        }
        let state = *lock(&self.state);
        *lock(&self.bytes) += bytes as u64;
        let mut wait = state.delay;
        if spread && !state.spread.is_zero() {
            wait += state.spread.mul_f64(rand::random_range(0.0..1.0));
        }
        if state.rate > 0 {
            wait += self.queue(bytes, state.rate);
        }
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }

    fn queue(&self, bytes: usize, rate: u64) -> Duration {
        let now = Instant::now();
        let mut free = lock(&self.free);
        let start = (*free).max(now);
        *free = start + Duration::from_secs_f64(bytes as f64 / rate as f64);
        free.duration_since(now)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept(relay: Arc<Relay>, listener: TcpListener) {
    while let Ok((inside, _)) = listener.accept().await {
        let relay = Arc::clone(&relay);
        tokio::spawn(async move {
            relay.pass(0, false).await;
            if let Ok(outside) = TcpStream::connect(relay.target).await {
                pass_bytes(&relay, inside, outside).await;
            }
        });
    }
}

/// Passes bytes between two connections until one of them ends; the other one ends in the same way.
async fn pass_bytes(relay: &Relay, mut inside: TcpStream, mut outside: TcpStream) {
    // Small messages must not wait for one another on the way.
    let _nodelay = (inside.set_nodelay(true), outside.set_nodelay(true));
    let is_reset = {
        let (mut a, mut b) = inside.split();
        let (mut c, mut d) = outside.split();
        let mut forth = pin!(copy(relay, &mut a, &mut d));
        let mut back = pin!(copy(relay, &mut c, &mut b));
        tokio::select! {
            ended = &mut forth => ended.is_err(),
            ended = &mut back => ended.is_err() || forth.await.is_err(),
        }
    };
    if is_reset {
        let _set = (inside.set_zero_linger(), outside.set_zero_linger());
    }
}

/// Passes bytes in one direction until their sender ends it.
///
/// # Errors
/// One of the connections broke.
async fn copy(
    relay: &Relay,
    from: &mut ReadHalf<'_>,
    to: &mut WriteHalf<'_>,
) -> std::io::Result<()> {
    let mut buffer = vec![0; CHUNK];
    loop {
        let read = from.read(&mut buffer).await?;
        if read == 0 {
            return to.shutdown().await;
        }
        relay.pass(read, false).await;
        to.write_all(&buffer[..read]).await?;
    }
}

/// Each sender gets a socket of its own towards the target, so that answers find their way back.
async fn datagrams(relay: Arc<Relay>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    let mut sockets: BTreeMap<SocketAddr, Arc<UdpSocket>> = BTreeMap::new();
    let mut buffer = vec![0; 65_536];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if lock(&relay.state).cut {
            continue;
        }
        let known = sockets.get(&from).map(Arc::clone);
        let out = match known {
            Some(out) => out,
            None => match answering(&relay, &socket, from).await {
                Some(out) => {
                    sockets.insert(from, Arc::clone(&out));
                    out
                }
                None => continue,
            },
        };
        let relay = Arc::clone(&relay);
        let data = buffer[..length].to_vec();
        tokio::spawn(async move {
            relay.pass(data.len(), true).await;
            // A lost datagram is an ordinary event.
            let _lost = out.send_to(&data, relay.target).await;
        });
    }
}

async fn answering(
    relay: &Arc<Relay>,
    socket: &Arc<UdpSocket>,
    from: SocketAddr,
) -> Option<Arc<UdpSocket>> {
    let out = Arc::new(UdpSocket::bind("127.0.0.1:0").await.ok()?);
    let task = answers(
        Arc::clone(relay),
        Arc::clone(socket),
        Arc::clone(&out),
        from,
    );
    tokio::spawn(task);
    Some(out)
}

async fn answers(relay: Arc<Relay>, socket: Arc<UdpSocket>, out: Arc<UdpSocket>, to: SocketAddr) {
    let mut buffer = vec![0; 65_536];
    while let Ok(length) = out.recv(&mut buffer).await {
        if !lock(&relay.state).cut {
            relay.pass(length, true).await;
            // A lost datagram is an ordinary event.
            let _lost = socket.send_to(&buffer[..length], to).await;
        }
    }
}
