//! Demand, grants, holdings and configuration.
//!
//! The acceptor sends eight random bytes first; they are part of every frame's MAC, so frames of an
//! earlier connection are refused on this one. A frame is preceded by its length as four bytes.

use std::sync::Arc;
use std::time::Duration;

use hawthornmill::ident::InstanceId;
use hawthornmill::pools::entry;
use hawthornmill::wire::{Message, Opener, Sealer};
use hawthornmill_process::frames;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use super::inbox;
use crate::fleet::Fleet;

const FIRST_WAIT: Duration = Duration::from_millis(20);
const MOST_WAIT: Duration = Duration::from_millis(500);
/// Longest time between two attempts to reach an instance that nobody hears.
const DEAD_WAIT: Duration = Duration::from_secs(5);
const CONNECT: Duration = Duration::from_millis(500);
const DOUBT: Duration = Duration::from_millis(200);

/// Starts the tasks that accept and open connections.
pub fn start(fleet: &Arc<Fleet>, listener: TcpListener) {
    tokio::spawn(accept(Arc::clone(fleet), listener));
    tokio::spawn(open(Arc::clone(fleet)));
}

async fn accept(fleet: Arc<Fleet>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(Arc::clone(&fleet), stream));
            }
            Err(error) => {
                log::warn!(target: "peers", "accept failed: {error}");
                tokio::time::sleep(FIRST_WAIT).await;
            }
        }
    }
}

async fn serve(fleet: Arc<Fleet>, mut stream: TcpStream) {
    let nonce: u64 = rand::random();
    if stream.set_nodelay(true).is_err() || stream.write_all(&nonce.to_le_bytes()).await.is_err() {
        return;
    }
    let mut opener = Opener::stream(fleet.settings.key, nonce);
    let mut stream = tokio::io::BufReader::new(stream);
    loop {
        let frame = match frames::read(&mut stream).await {
            Ok(Some(frame)) => frame,
            Ok(None) => return,
            Err(error) => {
                inbox::refuse(&fleet, error);
                return;
            }
        };
        match opener.open(&frame) {
            Ok(frame) => inbox::take(&fleet, frame),
            Err(error) => {
                inbox::refuse(&fleet, error);
                return;
            }
        }
    }
}

async fn open(fleet: Arc<Fleet>) {
    loop {
        for (to, queue) in fleet.outgoing.take_wishes() {
            tokio::spawn(keep(Arc::clone(&fleet), to, queue));
        }
        fleet.outgoing.opened.notified().await;
    }
}

/// Keeps one connection to `to` until that instance is gone for good.
async fn keep(fleet: Arc<Fleet>, to: InstanceId, mut queue: mpsc::Receiver<Message>) {
    let mut wait = FIRST_WAIT;
    loop {
        if let Some((reader, writer, nonce)) = connect(&fleet, to).await {
            wait = FIRST_WAIT;
            fleet.feed(|board, _| entry::on_reconnected(board, to));
            write(&fleet, to, &mut queue, reader, writer, nonce).await;
        }
        fleet.feed(|board, now| {
            board.broken_peers.insert(to);
            board.members.suspect(to, now, DOUBT);
        });
        while queue.try_recv().is_ok() {}
        if !fleet.view(|board| board.members.map.contains_key(&to)) {
            fleet.outgoing.close(to);
            fleet.feed(|board, _| board.broken_peers.remove(&to));
            return;
        }
        let jitter = wait.mul_f64(rand::random_range(0.5..1.0));
        tokio::time::sleep(jitter).await;
        wait = (wait * 2).min(MOST_WAIT);
        wait_for_life(&fleet, to).await;
    }
}

/// Waits until somebody hears `to`, but no longer than [`DEAD_WAIT`].
async fn wait_for_life(fleet: &Fleet, to: InstanceId) {
    let until = tokio::time::Instant::now() + DEAD_WAIT.mul_f64(rand::random_range(0.5..1.0));
    while tokio::time::Instant::now() < until && !fleet.view(|board| board.members.is_live(to)) {
        tokio::time::sleep(FIRST_WAIT).await;
    }
}

async fn connect(fleet: &Fleet, to: InstanceId) -> Option<(OwnedReadHalf, OwnedWriteHalf, u64)> {
    let address = fleet.view(|board| Some(board.members.map.get(&to)?.contact.peer.clone()))?;
    let dial = async {
        let mut stream = TcpStream::connect(&*address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let nonce = stream.read_u64_le().await.ok()?;
        let (reader, writer) = stream.into_split();
        Some((reader, writer, nonce))
    };
    tokio::time::timeout(CONNECT, dial).await.ok()?
}

async fn write(
    fleet: &Fleet,
    to: InstanceId,
    queue: &mut mpsc::Receiver<Message>,
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    nonce: u64,
) {
    let me = fleet.view(hawthornmill::blackboard::Blackboard::me);
    let far = fleet.view(|board| {
        let there = board.members.map.get(&to).map(|m| m.region);
        there != Some(board.members.own().region)
    });
    let mut sealer = Sealer::new(fleet.settings.key, me, fleet.incarnation, nonce);
    let mut end = [0; 1];
    loop {
        let message = tokio::select! {
            // The receiver sends nothing after its nonce, so a byte or an end both mean: gone.
            _ = reader.read(&mut end) => return,
            message = queue.recv() => message,
        };
        let Some(message) = message else {
            return;
        };
        let mut bytes = Vec::with_capacity(256);
        append(&mut sealer, &mut bytes, &message);
        while let Ok(more) = queue.try_recv() {
            append(&mut sealer, &mut bytes, &more);
        }
        if writer.write_all(&bytes).await.is_err() {
            return;
        }
        fleet.outgoing.count(bytes.len(), far);
    }
}

fn append(sealer: &mut Sealer, bytes: &mut Vec<u8>, message: &Message) {
    match sealer.seal_next(message) {
        Ok(frame) => frames::append(bytes, &frame),
        Err(error) => log::error!(target: "peers", "message can't be sent: {error}"),
    }
}
