//! Who may do what: peers' frames, tokens, the status page, another account's keys.

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

/// The key of the stand-in sites.
fn key() -> [u8; 32] {
    *blake3::hash(b"hawthornmill demo").as_bytes()
}

fn ghost(channel: u64) -> Sealer {
    Sealer::new(key(), InstanceId::of("ghost"), Incarnation(1), channel)
}

/// Frames that each router refused.
async fn refused(site: &Site) -> Vec<u64> {
    let statuses = site.statuses().await;
    statuses
        .iter()
        .filter_map(|s| s["peer_refused"].as_u64())
        .collect()
}

/// Waits a few seconds for the count of refused frames; what it is then is the caller's to judge.
async fn settled(site: &Site, expected: &[u64]) -> Vec<u64> {
    for _ in 0..50 {
        if refused(site).await == expected {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    // More must not come either.
    tokio::time::sleep(Duration::from_millis(200)).await;
    refused(site).await
}

async fn call(site: &Site, router: usize, token: &str) -> Option<Response> {
    let http = &site.routers[router].listed.http;
    let request = Client::new()
        .post(format!("http://{http}/v1/call/drafting/generate"))
        .bearer_auth(token)
        .body("{\"tag\":\"big/1\",\"tokens\":3}");
    send(request).await
}

async fn serves(site: &Site) -> bool {
    for router in 0..site.routers.len() {
        let answer = call(site, router, "token-big").await;
        if answer.is_none_or(|a| a.status != 200) {
            return false;
        }
    }
    true
}

/// Somebody on the network sends garbage, frames under a wrong key, and frames recorded earlier or
/// for another router. All must be counted and dropped, and callers must notice nothing.
#[test]
fn garbage_and_replayed_datagrams_are_dropped_and_the_fleet_serves_on() {
    block_on(async {
        let site = small_site(ROUTER, 2).await;
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
        let peers: Vec<&str> = site.routers.iter().map(|r| &*r.listed.peer).collect();
        let first = InstanceId::of("r1").0;
        let recorded = ghost(first).seal(&Message::Probe(1)).expect("it fits");
        let mut forger = Sealer::new([9; 32], InstanceId::of("r2"), Incarnation(u64::MAX), first);
        let forged = forger.seal(&Message::Probe(1)).expect("it fits");
        let throw = |frame: &[u8], to: &str| {
            let sent = socket.send_to(frame, to).expect("loopback takes it");
            assert_eq!(sent, frame.len());
        };

        for length in 0..50 {
            throw(&vec![7; length * 20], peers[0]);
        }
        throw(&forged, peers[0]);
        throw(&recorded, peers[0]);
        throw(&recorded, peers[0]);
        throw(&recorded, peers[1]);

        // 50 of garbage, the forged one and the second copy; at the other router the only copy.
        assert_eq!(settled(&site, &[52, 1]).await, [52, 1]);
        assert!(serves(&site).await);
        let log = std::fs::read_to_string(&site.routers[0].log).unwrap_or_default();
        let lines = log.matches("frame dropped").count();
        assert!((1..10).contains(&lines), "{lines} lines for 52 frames");
        site.stop().await;
    });
}

/// The same over TCP: garbage, a length beyond the bound, and frames recorded on an earlier
/// connection. The connection is closed, and others go on.
#[test]
fn garbage_and_replayed_streams_are_dropped_and_the_fleet_serves_on() {
    block_on(async {
        let site = small_site(ROUTER, 2).await;
        let connect = || {
            let mut stream = TcpStream::connect(&*site.routers[0].listed.peer).expect("it listens");
            let mut nonce = [0; 8];
            stream.read_exact(&mut nonce).expect("a nonce comes first");
            (stream, u64::from_le_bytes(nonce))
        };
        let throw = |stream: &mut TcpStream, frame: &[u8]| {
            let length = (frame.len() as u32).to_be_bytes();
            stream.write_all(&length).expect("loopback takes it");
            stream.write_all(frame).expect("loopback takes it");
        };
        let (mut first, nonce) = connect();
        let recorded = ghost(nonce).seal(&Message::Probe(1)).expect("it fits");

        throw(&mut first, &recorded);
        throw(&mut first, &recorded);
        throw(&mut connect().0, &recorded);
        throw(&mut connect().0, &[7; 200]);
        let (mut long, _) = connect();
        long.write_all(&[255; 4]).expect("loopback takes it");

        assert_eq!(settled(&site, &[4, 0]).await, [4, 0]);
        let closed = first.read(&mut [0; 1]).is_ok_and(|read| read == 0);
        assert!(closed, "the connection of a replay stays open");
        assert!(serves(&site).await);
        site.stop().await;
    });
}

/// A caller asks a router for its status page. It must not learn how much other accounts use or
/// wait; only the operators' token opens that.
#[test]
fn the_status_page_shows_accounts_to_operators_only() {
    block_on(async {
        let mut plan = SitePlan::new(&small_fleet().text(), DOMAINS, 1);
        let hash = blake3::hash(b"operators");
        plan.extra = format!("[status]\ntoken = {hash}\n").into();
        let site = start(ROUTER, plan).await;
        assert!(serves(&site).await);
        let url = format!("http://{}/v1/status", site.routers[0].listed.http);
        let client = Client::new();

        let open = send(client.get(&url)).await.expect("it answers");
        let account = send(client.get(&url).bearer_auth("token-big")).await;
        let account = account.expect("it answers");
        let operator = send(client.get(&url).bearer_auth("operators")).await;
        let operator = operator.expect("it answers");

        assert!(open.json()["revision"].is_u64());
        for answer in [&open, &account] {
            assert!(answer.json()["accounts"].is_null(), "{}", answer.text);
            assert!(!answer.text.contains("big"), "{}", answer.text);
        }
        assert_eq!(operator.json()["accounts"][0]["account"], "big");
        site.stop().await;
    });
}

/// An account has seen the key of another's booking, in a proxy's log for instance. Sent under its
/// own token, the key must bring neither the other's answer nor a word about the other's call.
#[test]
fn a_key_of_another_account_opens_nothing() {
    block_on(async {
        let site = small_site(ROUTER, 1).await;
        let http = &site.routers[0].listed.http;
        let client = Client::new();
        let addresses = send(client.get(format!("http://{http}/v1/addresses"))).await;
        let prefix = addresses.expect("it answers").json()["key_prefix"].clone();
        let key = format!("{}.1", prefix.as_str().expect("a prefix is there"));
        let book = |account: &str| {
            client
                .post(format!("http://{http}/v1/call/booking/run"))
                .bearer_auth(format!("token-{account}"))
                .header("idempotency-key", &key)
                .body(format!("{{\"tag\":\"{account}/1\"}}"))
        };

        let own = send(book("small-1")).await.expect("it answers");
        let other = send(book("small-2")).await.expect("it answers");
        let again = send(book("small-1")).await.expect("it answers");

        assert_eq!((own.status, other.status), (200, 200));
        assert_eq!(again.text, own.text);
        assert_ne!(other.text, own.text);
        assert!(other.text.contains("small-2/1"), "{}", other.text);
        site.stop().await;
    });
}

/// Logs go to collectors that many people read. At the finest level and with every span recorded,
/// no token, key or hash of one may stand in them, nor in the status page.
#[test]
fn no_secret_stands_in_logs_or_status() {
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
