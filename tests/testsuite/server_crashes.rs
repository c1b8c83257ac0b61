//! Calls through real routers that end the servers which run them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use hawthornmill::config::accept::{Values, manifest};
use hawthornmill_test_support::procs::{Response, send, small_site};
use reqwest::Client;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::{ROUTER, block_on};

const SERVERS: usize = 6;
/// Time after which a server that crashed is back.
const RESTART_PAUSE: Duration = Duration::from_secs(1);
/// Time within which the fleet must know a call that crashes servers.
const DETECTION_TIME: Duration = Duration::from_secs(4);
const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\n{\"running\":0}";

/// The begin of an answer, and the pause until its server crashes.
const HALF_ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\n{\"run";
const HALF_PAUSE: Duration = Duration::from_millis(50);

/// When servers crashed, and when calls that end servers reached one.
#[derive(Debug, Default)]
struct Seen {
    crashes: Vec<Instant>,
    bad: Vec<Instant>,
}

fn lock(seen: &Mutex<Seen>) -> MutexGuard<'_, Seen> {
    seen.lock().expect("no holder panics")
}

/// Answers one request after another; returns once one comes that crashes the server.
async fn serve(mut stream: TcpStream, seen: Arc<Mutex<Seen>>, end: mpsc::Sender<()>) {
    let mut bytes = vec![0; 4_096];
    while let Ok(count) = stream.read(&mut bytes).await {
        if count == 0 {
            return;
        }
        let text = String::from_utf8_lossy(&bytes[..count]);
        if text.contains("/bad") {
            lock(&seen).bad.push(Instant::now());
            if text.contains("/bad-midway") {
                let _written = stream.write_all(HALF_ANSWER.as_bytes()).await;
                tokio::time::sleep(HALF_PAUSE).await;
            }
            let _ended = end.send(()).await;
            return std::future::pending().await;
        }
        if stream.write_all(ANSWER.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Runs a server that crashes under some calls, with all its connections, and comes back.
async fn run_server(address: SocketAddr, seen: Arc<Mutex<Seen>>) {
    loop {
        let listener = TcpListener::bind(address).await.expect("the port is free");
        let mut connections = JoinSet::new();
        let (end, mut crashed) = mpsc::channel(1);
        loop {
            tokio::select! {
                Ok((stream, _)) = listener.accept() => {
                    connections.spawn(serve(stream, Arc::clone(&seen), end.clone()));
                }
                _ = crashed.recv() => break,
            }
        }
        lock(&seen).crashes.push(Instant::now());
        drop(listener);
        drop(connections);
        tokio::time::sleep(RESTART_PAUSE).await;
    }
}

/// Calls the fragile service; with the key `number` of the router if calls need one.
async fn call(client: &Client, http: &str, path: &str, number: Option<usize>) -> Option<Response> {
    let url = format!("http://{http}/v1/call/fragile/{path}");
    let mut request = client.post(url).bearer_auth("token-big").body("{}");
    if let Some(number) = number {
        let addresses = send(client.get(format!("http://{http}/v1/addresses"))).await?;
        let prefix = addresses.json()["key_prefix"].as_str()?.to_owned();
        request = request.header("idempotency-key", format!("{prefix}.{path}-{number}"));
    }
    send(request).await
}

/// Failure: a caller repeats a call at any router, and each router sends it to server after server.
#[test]
fn repeated_call_stops_crashing_servers() {
    assert_stops_crashing("bad", false);
}

/// Failure: calls with keys, whose answers break off midway, are no evidence, so their servers crash for ever.
#[test]
fn keyed_call_that_breaks_off_midway_stops_crashing_servers() {
    assert_stops_crashing("bad-midway", true);
}

/// Asserts that a call under which servers crash is refused after some of them, and that sound ones are served.
fn assert_stops_crashing(bad_path: &str, keyed: bool) {
    block_on(async {
        let site = small_site(ROUTER, 3).await;
        let seen: Arc<Mutex<Seen>> = Arc::default();
        let repeat = if keyed { "repeat = never\n" } else { "" };
        let mut text = format!("{}[service fragile]\nestimate = 100\n{repeat}\n", site.text);
        for number in 0..SERVERS {
            // Bound once, so that the port is free.
            let free = TcpListener::bind("127.0.0.1:0")
                .await
                .expect("a port is free");
            let address = free.local_addr().expect("it is bound");
            drop(free);
            tokio::spawn(run_server(address, Arc::clone(&seen)));
            let section = format!(
                "[server fragile-{number}]\nservice = fragile\ndomain = a\naddress = {address}\n\
                 slots = 4\nlabels = pool=std\n\n"
            );
            text.push_str(&section);
        }
        let values = Values::from([("fleet".into(), text.into())]);
        site.platform.publish_raw(manifest(2, &values), values);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let client = Client::new();
        let started = Instant::now();
        let (mut statuses, mut sound) = (Vec::new(), Vec::new());

        for number in 0.. {
            if started.elapsed() > Duration::from_secs(9) {
                break;
            }
            let http = &site.routers[number % 3].listed.http;
            let key = keyed.then_some(number);
            let bad = call(&client, http, bad_path, key).await;
            statuses.push(bad.map_or(0, |r| r.status));
            let answer = call(&client, http, &format!("sound-{number}"), key).await;
            sound.push((started.elapsed(), answer.map_or(0, |r| r.status)));
            tokio::time::sleep(Duration::from_millis(200)).await;
        }

        let seen = std::mem::take(&mut *lock(&seen));
        let known = seen.crashes[2] + DETECTION_TIME;
        let late = seen.bad.iter().filter(|at| **at > known).count();
        assert!(late <= 3, "{late} late, {} crashes", seen.crashes.len());
        assert_eq!(statuses.last(), Some(&503), "{statuses:?}");
        let last = sound.iter().filter(|(at, _)| *at > Duration::from_secs(6));
        assert!(last.clone().all(|(_, status)| *status == 200), "{sound:?}");
        site.stop().await;
    });
}
