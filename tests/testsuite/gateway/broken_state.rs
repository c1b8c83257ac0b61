//! Peers whose state breaks off on its way.

use std::time::Duration;

use hawthornmill::ident::{Incarnation, InstanceId};
use hawthornmill::routing::gossip::SyncResponse;
use hawthornmill::wire::{Message, Sealer};
use hawthornmill_process::frames;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use super::fleet::{Fleet, config, frame_key, request, route, send_request, wait_until};
use super::peer::Peer;
use crate::block_on;

/// Channel of the peer's connections.
const CHANNEL: u64 = 9;
/// Parts of the peer's answer that pass, in thousandths, and whether the connection is reset after them.
const CUTS: [(usize, bool); 6] = [
    (0, false),
    (5, true),
    (300, false),
    (700, true),
    (950, true),
    (999, false),
];

/// Returns a state whose catalog has one more route.
fn newer_state() -> SyncResponse {
    let mut catalog = config(2);
    let routes = catalog["routes"].as_array_mut().expect("routes");
    routes.push(route("added", "idempotent", &json!({})));
    let catalog = hawthornmill_platform::catalog::parse(catalog.to_string().as_bytes());
    SyncResponse {
        catalog: Some(catalog.expect("the catalog is valid")),
        registrations: None,
        unconfirmed: Vec::new(),
        revision: 0,
        evacuations: Vec::new(),
        after_outage: Some(false),
        gap_targets: Vec::new(),
    }
}

/// Answers the next connection with `passed` thousandths of the state.
async fn answer(listener: &TcpListener, passed: usize, is_reset: bool) {
    let (mut stream, _from) = listener.accept().await.expect("a connection");
    stream.write_u64_le(CHANNEL).await.expect("it is open");
    let asked = frames::read(&mut stream).await;
    assert!(asked.expect("it is a frame").is_some());
    let mut sealer = Sealer::new(
        frame_key(),
        InstanceId::of("other"),
        Incarnation(1),
        CHANNEL,
    );
    let frame = sealer.seal(&Message::SyncResponse(Box::new(newer_state())));
    let mut bytes = Vec::new();
    frames::append(&mut bytes, &frame.expect("it can be encoded"));
    let sent = &bytes[..bytes.len() * passed / 1_000];
    stream.write_all(sent).await.expect("it is open");
    if is_reset {
        tokio::time::sleep(Duration::from_millis(2)).await;
        stream.set_zero_linger().expect("it is open");
    }
}

/// Failure: the state that a peer sends over a connection breaks off, and its part is taken for the whole.
#[test]
fn cut_state_of_a_peer_is_not_applied() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let front = fleet.gateways[0].front();
        let status = async || {
            let text = request("GET", "/added/", "a", "");
            let response = send_request(front, text.as_bytes()).await;
            response.map_or(0, |r| r.status())
        };
        let (peer, listener) = Peer::listen(&fleet, 1).await;
        let announce = async {
            loop {
                peer.announce(1_001, 2).await;
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        };
        let play = async {
            for (count, (passed, is_reset)) in CUTS.into_iter().enumerate() {
                answer(&listener, passed, is_reset).await;
                wait_until("the pull fails", || async {
                    let pulls = fleet.gateways[0].logged("mate_asked");
                    let is_cut =
                        |l: &&serde_json::Value| l["step"] == "Asked" && !l["why"].is_null();
                    pulls.iter().filter(is_cut).count() > count
                })
                .await;
                assert_ne!(status().await, 200, "{passed} of 1,000 passed");
            }
            answer(&listener, 1_000, false).await;
            wait_until("the route is served", || async { status().await == 200 }).await;
        };

        tokio::select! {
            () = announce => {}
            () = play => {}
        }
    });
}
