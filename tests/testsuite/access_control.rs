//! Access control: frames of peers, tokens, the status page and idempotency keys.

use std::io::{Read, Write};
use std::net::{TcpStream, UdpSocket};
use std::time::Duration;

use hawthornmill::ident::{Incarnation, InstanceId};
use hawthornmill::wire::{Message, Sealer};
use hawthornmill_lab::demo::site::{Site, SitePlan};
use hawthornmill_test_support::procs::{DOMAINS, Response, send, small_fleet, small_site, start};
use nix::sys::signal::Signal;
use reqwest::Client;

use crate::{ROUTER, block_on};

/// The peer key of the test sites.
fn fleet_key() -> [u8; 32] {
    *blake3::hash(b"hawthornmill demo").as_bytes()
}

fn nonmember_sealer(channel: u64) -> Sealer {
    Sealer::new(
        fleet_key(),
        InstanceId::of("nonmember"),
        Incarnation(1),
        channel,
    )
}

/// Number of frames that each router refused.
async fn refused_frames(site: &Site) -> Vec<u64> {
    let statuses = site.statuses().await;
    statuses
        .iter()
        .filter_map(|s| s["peer_refused"].as_u64())
        .collect()
}

/// Waits up to five seconds for the counts to be `expected`, and returns what they are then.
async fn wait_for_refused_frames(site: &Site, expected: &[u64]) -> Vec<u64> {
    for _ in 0..50 {
        if refused_frames(site).await == expected {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    // Detects frames that are counted beyond the expected number.
    tokio::time::sleep(Duration::from_millis(200)).await;
    refused_frames(site).await
}

async fn call(site: &Site, router: usize, token: &str) -> Option<Response> {
    let http = &site.routers[router].listed.http;
    let request = Client::new()
        .post(format!("http://{http}/v1/call/drafting/generate"))
        .bearer_auth(token)
        .body("{\"tag\":\"big/1\",\"tokens\":3}");
    send(request).await
}

async fn all_routers_serve(site: &Site) -> bool {
    for router in 0..site.routers.len() {
        let response = call(site, router, "token-big").await;
        if response.is_none_or(|a| a.status != 200) {
            return false;
        }
    }
    true
}

/// An attacker on the network sends invalid datagrams, frames sealed with a wrong key, and frames
/// recorded earlier or sent to another router. All must be counted and dropped without affecting
/// calls.
#[test]
fn invalid_and_replayed_datagrams_are_dropped() {
    block_on(async {
        let site = small_site(ROUTER, 2).await;
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
        let peers: Vec<&str> = site.routers.iter().map(|r| &*r.listed.peer).collect();
        let first = InstanceId::of("r1").0;
        let recorded = nonmember_sealer(first)
            .seal(&Message::Probe(1))
            .expect("the message fits a frame");
        let mut forger = Sealer::new([9; 32], InstanceId::of("r2"), Incarnation(u64::MAX), first);
        let forged = forger
            .seal(&Message::Probe(1))
            .expect("the message fits a frame");
        let send_frame = |frame: &[u8], to: &str| {
            let sent = socket.send_to(frame, to).expect("loopback accepts it");
            assert_eq!(sent, frame.len());
        };

        for length in 0..50 {
            send_frame(&vec![7; length * 20], peers[0]);
        }
        send_frame(&forged, peers[0]);
        send_frame(&recorded, peers[0]);
        send_frame(&recorded, peers[0]);
        send_frame(&recorded, peers[1]);

        // 50 invalid frames, the forged one and the replay; the other router gets one copy.
        assert_eq!(wait_for_refused_frames(&site, &[52, 1]).await, [52, 1]);
        assert!(all_routers_serve(&site).await);
        let log = std::fs::read_to_string(&site.routers[0].log).unwrap_or_default();
        let lines = log.matches("frame dropped").count();
        assert!((1..10).contains(&lines), "{lines} log lines for 52 frames");
        site.stop().await;
    });
}

/// Over TCP, an attacker sends invalid frames, a length above the limit, and frames recorded on an
/// earlier connection. That connection must be closed without affecting others.
#[test]
fn invalid_and_replayed_tcp_frames_are_dropped() {
    block_on(async {
        let site = small_site(ROUTER, 2).await;
        let connect = || {
            let mut stream =
                TcpStream::connect(&*site.routers[0].listed.peer).expect("the router listens");
            let mut nonce = [0; 8];
            stream
                .read_exact(&mut nonce)
                .expect("the router sends a nonce first");
            (stream, u64::from_le_bytes(nonce))
        };
        let send_frame = |stream: &mut TcpStream, frame: &[u8]| {
            let length = (frame.len() as u32).to_be_bytes();
            stream.write_all(&length).expect("loopback accepts it");
            stream.write_all(frame).expect("loopback accepts it");
        };
        let (mut first, nonce) = connect();
        let recorded = nonmember_sealer(nonce)
            .seal(&Message::Probe(1))
            .expect("the message fits a frame");

        send_frame(&mut first, &recorded);
        send_frame(&mut first, &recorded);
        send_frame(&mut connect().0, &recorded);
        send_frame(&mut connect().0, &[7; 200]);
        let (mut oversized, _) = connect();
        oversized.write_all(&[255; 4]).expect("loopback accepts it");

        assert_eq!(wait_for_refused_frames(&site, &[4, 0]).await, [4, 0]);
        let closed = first.read(&mut [0; 1]).is_ok_and(|read| read == 0);
        assert!(closed, "the connection of a replay stays open");
        assert!(all_routers_serve(&site).await);
        site.stop().await;
    });
}

/// A caller requests a router's status page. It must not learn how much service other accounts use
/// or how many of their calls wait; only the operators' token shows that.
#[test]
fn status_page_shows_accounts_to_operators_only() {
    block_on(async {
        let mut plan = SitePlan::new(&small_fleet().text(), DOMAINS, 1);
        let hash = blake3::hash(b"operators");
        plan.extra = format!("[status]\ntoken = {hash}\n").into();
        let site = start(ROUTER, plan).await;
        assert!(all_routers_serve(&site).await);
        let url = format!("http://{}/v1/status", site.routers[0].listed.http);
        let client = Client::new();

        let anonymous = send(client.get(&url)).await.expect("the router responds");
        let account = send(client.get(&url).bearer_auth("token-big")).await;
        let account = account.expect("the router responds");
        let operator = send(client.get(&url).bearer_auth("operators")).await;
        let operator = operator.expect("the router responds");

        assert!(anonymous.json()["revision"].is_u64());
        for response in [&anonymous, &account] {
            assert!(response.json()["accounts"].is_null(), "{}", response.text);
            assert!(!response.text.contains("big"), "{}", response.text);
        }
        assert_eq!(operator.json()["accounts"][0]["account"], "big");
        site.stop().await;
    });
}

/// An account obtained the idempotency key of another account's call, for example from a proxy's
/// log. Sent with its own token, the key must return neither the other's response nor anything
/// about the other's call.
#[test]
fn key_of_another_account_reveals_nothing() {
    block_on(async {
        let site = small_site(ROUTER, 1).await;
        let http = &site.routers[0].listed.http;
        let client = Client::new();
        let addresses = send(client.get(format!("http://{http}/v1/addresses"))).await;
        let prefix = addresses.expect("the router responds").json()["key_prefix"].clone();
        let key = format!(
            "{}.1",
            prefix.as_str().expect("the response has a key prefix")
        );
        let call_booking = |account: &str| {
            client
                .post(format!("http://{http}/v1/call/booking/run"))
                .bearer_auth(format!("token-{account}"))
                .header("idempotency-key", &key)
                .body(format!("{{\"tag\":\"{account}/1\"}}"))
        };

        let original = send(call_booking("small-1"))
            .await
            .expect("the router responds");
        let other = send(call_booking("small-2"))
            .await
            .expect("the router responds");
        let again = send(call_booking("small-1"))
            .await
            .expect("the router responds");

        assert_eq!((original.status, other.status), (200, 200));
        assert_eq!(again.text, original.text);
        assert_ne!(other.text, original.text);
        assert!(other.text.contains("small-2/1"), "{}", other.text);
        site.stop().await;
    });
}

/// Many people can read collected logs. Even at the trace level with every span recorded, neither
/// the logs nor the status page may contain a token, a key or the hash of one.
#[test]
fn logs_and_status_contain_no_secrets() {
    block_on(async {
        let mut plan = SitePlan::new(&small_fleet().text(), DOMAINS, 2);
        plan.extra = "[telemetry]\nlevel = trace\nspans = 1\nmetrics_ms = 200\n".into();
        let mut site = start(ROUTER, plan).await;
        let tokens = ["token-big", "token-stranger", "token-unknown"];
        for token in tokens {
            for router in 0..2 {
                assert!(call(&site, router, token).await.is_some());
            }
        }
        site.platform
            .publish([("fleet".into(), "[account x]\ntoken = secret-text\n".into())].into());
        tokio::time::sleep(Duration::from_millis(1500)).await;
        let statuses = site.statuses().await;
        for router in &mut site.routers {
            router.signal(Signal::SIGTERM);
            router.wait(Duration::from_secs(8)).await;
        }
        let logs = site.routers.iter().map(|r| std::fs::read_to_string(&r.log));
        let logs: Vec<String> = logs.map(Result::unwrap_or_default).collect();

        let hash = |token: &str| blake3::hash(token.as_bytes()).to_hex().to_string();
        let mut secrets: Vec<String> = tokens.iter().map(|t| hash(t)).collect();
        secrets.extend(tokens.map(str::to_owned));
        secrets.extend([blake3::hash(b"hawthornmill demo").to_hex().to_string()]);
        secrets.push("secret-text".into());
        for secret in secrets {
            for log in &logs {
                let line = log.lines().find(|l| l.contains(&secret));
                assert!(line.is_none(), "{secret}: {line:?}");
            }
            let page = serde_json::json!(statuses).to_string();
            assert!(!page.contains(&secret), "{secret} in the status page");
        }
        for log in &logs {
            assert!(
                log.contains("\"kind\":\"span\"") && log.contains("refused"),
                "too little logged"
            );
        }
        site.stop().await;
    });
}
