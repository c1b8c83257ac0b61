//! TCP transport for demand, grants, holdings and configuration.
//!
//! The accepting side first sends an eight-byte random nonce. It is part of every frame's MAC, so
//! frames replayed from an earlier connection are rejected. Each frame has a four-byte length
//! prefix.

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

use super::handler;
use crate::fleet::Fleet;

const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Longest time between two connection attempts to an instance that is down.
const DOWN_RETRY_DELAY: Duration = Duration::from_secs(5);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time within which an instance must be heard again after its connection breaks.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Starts the tasks that accept and open connections.
pub fn start(fleet: &Arc<Fleet>, listener: TcpListener) {
    tokio::spawn(accept(Arc::clone(fleet), listener));
    tokio::spawn(open_connections(Arc::clone(fleet)));
}

async fn accept(fleet: Arc<Fleet>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(read_frames(Arc::clone(&fleet), stream));
            }
            Err(error) => {
                log::warn!(target: "peers", "accept failed: {error}");
                tokio::time::sleep(MIN_RETRY_DELAY).await;
            }
        }
    }
}

async fn read_frames(fleet: Arc<Fleet>, mut stream: TcpStream) {
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
                handler::reject_frame(&fleet, error);
                return;
            }
        };
        match opener.open(&frame) {
            Ok(frame) => handler::handle_frame(&fleet, frame),
            Err(error) => {
                handler::reject_frame(&fleet, error);
                return;
            }
        }
    }
}

async fn open_connections(fleet: Arc<Fleet>) {
    loop {
        for (to, queue) in fleet.outgoing.take_unopened() {
            tokio::spawn(maintain_connection(Arc::clone(&fleet), to, queue));
        }
        fleet.outgoing.connect_requested.notified().await;
    }
}

/// Keeps a connection to `to` open until that instance is no longer a member.
async fn maintain_connection(
    fleet: Arc<Fleet>,
    to: InstanceId,
    mut queue: mpsc::Receiver<Message>,
) {
    let mut delay = MIN_RETRY_DELAY;
    loop {
        if let Some((reader, writer, nonce)) = connect(&fleet, to).await {
            delay = MIN_RETRY_DELAY;
            fleet.apply(|board, _| entry::on_reconnected(board, to));
            write_frames(&fleet, to, &mut queue, reader, writer, nonce).await;
        }
        fleet.apply(|board, now| {
            board.broken_peers.insert(to);
            board.members.suspect(to, now, SUSPECT_TIMEOUT);
        });
        while queue.try_recv().is_ok() {}
        if !fleet.view(|board| board.members.map.contains_key(&to)) {
            fleet.outgoing.close(to);
            fleet.apply(|board, _| board.broken_peers.remove(&to));
            return;
        }
        let jittered = delay.mul_f64(rand::random_range(0.5..1.0));
        tokio::time::sleep(jittered).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
        wait_until_live(&fleet, to).await;
    }
}

/// Waits until `to` is live, but no longer than [`DOWN_RETRY_DELAY`].
async fn wait_until_live(fleet: &Fleet, to: InstanceId) {
    let deadline =
        tokio::time::Instant::now() + DOWN_RETRY_DELAY.mul_f64(rand::random_range(0.5..1.0));
    while tokio::time::Instant::now() < deadline && !fleet.view(|board| board.members.is_live(to)) {
        tokio::time::sleep(MIN_RETRY_DELAY).await;
    }
}

async fn connect(fleet: &Fleet, to: InstanceId) -> Option<(OwnedReadHalf, OwnedWriteHalf, u64)> {
    let address = fleet.view(|board| Some(board.members.map.get(&to)?.contact.peer.clone()))?;
    let handshake = async {
        let mut stream = TcpStream::connect(&*address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let nonce = stream.read_u64_le().await.ok()?;
        let (reader, writer) = stream.into_split();
        Some((reader, writer, nonce))
    };
    tokio::time::timeout(CONNECT_TIMEOUT, handshake)
        .await
        .ok()?
}

async fn write_frames(
    fleet: &Fleet,
    to: InstanceId,
    queue: &mut mpsc::Receiver<Message>,
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    nonce: u64,
) {
    let me = fleet.view(hawthornmill::blackboard::Blackboard::me);
    let cross_region = fleet.view(|board| {
        let region = board.members.map.get(&to).map(|m| m.region);
        region != Some(board.members.own().region)
    });
    let mut sealer = Sealer::new(fleet.settings.key, me, fleet.incarnation, nonce);
    let mut byte = [0; 1];
    loop {
        let message = tokio::select! {
            // The receiver sends nothing after its nonce, so a byte or the end of the stream means
            // that the connection is unusable.
            _ = reader.read(&mut byte) => return,
            message = queue.recv() => message,
        };
        let Some(message) = message else {
            return;
        };
        let mut bytes = Vec::with_capacity(256);
        append_frame(&mut sealer, &mut bytes, &message);
        while let Ok(more) = queue.try_recv() {
            append_frame(&mut sealer, &mut bytes, &more);
        }
        if writer.write_all(&bytes).await.is_err() {
            return;
        }
        fleet.outgoing.add_sent_bytes(bytes.len(), cross_region);
    }
}

fn append_frame(sealer: &mut Sealer, bytes: &mut Vec<u8>, message: &Message) {
    match sealer.seal_next(message) {
        Ok(frame) => frames::append(bytes, &frame),
        Err(error) => log::error!(target: "peers", "cannot seal message: {error}"),
    }
}
