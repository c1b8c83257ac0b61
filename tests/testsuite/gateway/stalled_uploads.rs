//! Sound uploads beside others that stand still.

use std::time::Duration;

use futures_util::future::join_all;
use tokio::io::AsyncWriteExt;

use super::fleet::{Client, Fleet, config, request, wait_until};
use super::memory::{
    BODY_BYTES, Coding, HELD_BYTES, MEMORY_MB, ROUNDS, body, hold_memory, send_bodies, start,
};
use crate::block_on;

/// Clients that send bodies one after another; there is memory for theirs together.
const SOUND_CLIENTS: usize = 8;
/// Bodies that they send.
const SENDS: usize = SOUND_CLIENTS * ROUNDS;
/// Uploads that announce long bodies, more than there is memory for.
const STALLED: usize = 12;
/// Time after which an upload without further bytes stands still.
const STALL_TIME: Duration = Duration::from_secs(2);
/// Bytes a second of the slow uploads.
const STEADY_RATE: usize = 80 << 10;

/// Starts a fleet whose connections may be idle for longer than a test lasts.
async fn start_patient() -> Fleet {
    let fleet = start(2).await;
    let mut config = config(2);
    config["limits"]["maxBodyBytes"] = (4 << 20).into();
    config["limits"]["idleTimeoutMs"] = 60_000.into();
    fleet.store.put("op/config", config.to_string().as_bytes());
    wait_until("the configuration is in force", || async {
        let lines = fleet.gateways[0].logged("catalog_in_force");
        lines.iter().any(|l| l["version"] == 2)
    })
    .await;
    fleet
}

/// Lets sound clients send bodies together; returns how many of them found no memory.
async fn count_refused(fleet: &Fleet) -> usize {
    let counts = send_bodies(fleet, SOUND_CLIENTS, BODY_BYTES, Coding::Length).await;
    assert!(counts.served > 0, "{counts:?}");
    let lines = fleet.gateways[0].logged("memory_refused");
    let requests = lines.iter().filter_map(|l| l["request"].as_str());
    requests.filter(|r| r.starts_with("id-")).count()
}

/// Sends the heads of uploads and the first `bytes` of their bodies.
async fn stall(fleet: &Fleet, bytes: usize) -> Vec<Client> {
    if bytes == 0 {
        return hold_memory(fleet, STALLED).await;
    }
    let begun = join_all((0..STALLED).map(|number| async move {
        let mut client = Client::connect(fleet.gateways[0].front()).await;
        let length = format!("Content-Length: {HELD_BYTES}\r\n");
        let head = request("POST", "/once/", &format!("stalled-{number}"), &length);
        let part = [head.as_bytes(), &body(bytes, 0)].concat();
        // A refused client may find its connection closed while it still writes.
        let _written = client.stream.write_all(&part).await;
        client
    }));
    begun.await
}

/// Failure: uploads that stand still shut others out, for as long as what came of them first shields them.
#[test]
fn stalled_uploads_leave_others_their_memory() {
    block_on(async {
        let parts = [0, HELD_BYTES / 10, HELD_BYTES / 2, HELD_BYTES - 1];
        let mut refused = Vec::new();
        for bytes in parts {
            let fleet = start_patient().await;
            let stalled = stall(&fleet, bytes).await;
            tokio::time::sleep(STALL_TIME).await;

            refused.push(count_refused(&fleet).await);

            let peak = fleet.gateways[0].peak_memory_kib();
            println!("{refused:?} of {SENDS} refused, peak {peak} KiB");
            assert!(peak < MEMORY_MB << 10, "{peak} KiB");
            drop(stalled);
        }
        assert!(refused.iter().all(|r| r * 10 <= SENDS), "{refused:?}");
    });
}

/// Failure: an upload that is slow but steady is evicted for others.
#[test]
fn steady_upload_is_served_beside_stalled_ones() {
    block_on(async {
        let fleet = start_patient().await;
        let length = format!("Content-Length: {}\r\n", STEADY_RATE * 5);
        let head = request("POST", "/once/", "steady", &length);
        let mut steady = Client::connect(fleet.gateways[0].front()).await;
        steady.send(head.as_bytes()).await;
        let part = body(STEADY_RATE / 10, 0);
        let send = async {
            for _ in 0..50 {
                steady.send(&part).await;
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            steady.read().await.map(|response| response.status())
        };
        let others = async {
            let stalled = stall(&fleet, HELD_BYTES / 2).await;
            tokio::time::sleep(STALL_TIME).await;
            let refused = count_refused(&fleet).await;
            drop(stalled);
            refused
        };

        let (status, refused) = tokio::join!(send, others);

        assert_eq!(status, Some(200));
        assert!(refused * 10 <= SENDS, "{refused}");
    });
}
