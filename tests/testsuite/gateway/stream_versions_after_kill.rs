//! Streams that are taken up after every gateway lost its memory.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use futures_util::future::join_all;
use hawthornmill_gateway::http::head::RequestHead;
use serde_json::json;
use tokio::io::AsyncWriteExt;

use super::fleet::{Client, Fleet, MAX_TURNED_AWAY, config, request, send_request, wait_until};
use super::scripted_server::{Behavior, Server};
use super::store::Mode;
use crate::block_on;

/// Streams per test.
pub const STREAMS: usize = 24;
/// Times that a stream's caller comes back for it.
const TRIES: usize = 4;
/// Pause between two of these.
const TRY_PAUSE: Duration = Duration::from_millis(300);
/// Time that a caller gives its stream in all.
pub const CALLER_TIME: Duration = Duration::from_secs(10);
/// Time between a registration and the streams after it.
pub const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Time that a store in another region takes for the calls of one reading.
const LATE_ANSWER: Duration = Duration::from_millis(600);
/// Streams of a test that may be refused though servers of their version are there.
const MAX_REFUSED: usize = 2;

/// Sends events for five seconds, or the last three of a stream that is taken up.
pub fn stream_long(head: &RequestHead) -> Behavior {
    if head.headers.get("last-event-id").is_some() {
        Behavior::Stream(6)
    } else {
        Behavior::Stream(500)
    }
}

/// What became of the streams of a test.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Went on to their end.
    pub whole: usize,
    /// Went on at another version than the one at which they began.
    pub mixed: usize,
    /// Began at a server of the first version.
    pub began_at_first: usize,
}

/// Gateways and servers, with streams under way.
pub struct Streams {
    /// The gateways, the store and the servers.
    pub fleet: Fleet,
    versions: [&'static str; 4],
    /// The callers' connections, each with the instant of its first request.
    callers: Vec<(Client, Instant)>,
    /// Time that a caller says it has left, by its number and the time since its first request.
    pub left: fn(usize, Duration) -> Duration,
    /// Last event that callers name.
    pub last_event: u64,
}

/// Writes the first registration of a run of `server` that starts now.
pub fn register_first(fleet: &Fleet, server: &Server, version: &str) {
    let entry = json!({"version": version, "born": unix_ms(), "sequence": 1, "slots": 32});
    fleet.write_registration(server, &entry);
}

/// Returns the present time as servers name it.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.expect("the clock is set").as_millis() as u64
}

fn catalog(version: u64) -> Vec<u8> {
    catalog_with(version, CALLER_TIME)
}

/// Returns a catalog whose routes want their callers to wait for `timeout` at most.
pub fn catalog_with(version: u64, timeout: Duration) -> Vec<u8> {
    let mut catalog = config(version);
    for route in catalog["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = json!(timeout.as_millis() as u64);
    }
    catalog.to_string().into_bytes()
}

/// Waits until the three gateways are ready and hear each other.
pub async fn wait_until_ready(fleet: &Fleet) {
    for gateway in &fleet.gateways {
        wait_until("the gateway is ready", || gateway.is_ready()).await;
        wait_until("the gateway hears the others", || async {
            gateway.metrics().await.contains("hawthornmill_mates 2")
        })
        .await;
    }
}

/// Starts three gateways in front of servers of these versions.
pub async fn start(versions: [&'static str; 4]) -> Fleet {
    start_with(versions, register_first).await
}

/// The same, with servers that register as `register` does.
pub async fn start_with(
    versions: [&'static str; 4],
    register: impl Fn(&Fleet, &Server, &str),
) -> Fleet {
    let mut fleet = Fleet::prepare(3, 0).await;
    for (number, version) in versions.into_iter().enumerate() {
        let server = fleet.start_server(&format!("i-{number}")).await;
        server.set_default(stream_long);
        register(&fleet, &server, version);
    }
    fleet.store.put("op/config", &catalog(1));
    for gateway in &mut fleet.gateways {
        gateway.start();
    }
    wait_until_ready(&fleet).await;
    tokio::time::sleep(SETTLE_TIME).await;
    fleet
}

/// Sends the request of a stream.
async fn ask(front: SocketAddr, number: usize) -> (Client, Instant) {
    let asked_at = Instant::now();
    let text = resuming(&format!("a-{number}"), "", CALLER_TIME);
    let mut client = Client::connect(front).await;
    // A client that is turned away may find its connection closed while it still writes.
    let _written = client.stream.write_all(text.as_bytes()).await;
    (client, asked_at)
}

/// Returns whether a stream begins; false if the gateway turns the request away, as its process is late.
pub async fn has_begun(client: &mut Client) -> bool {
    let mut head = [0; 12];
    let read = client.stream.peek(&mut head).await;
    if read.is_ok() && &head == b"HTTP/1.1 200" {
        return true;
    }
    if let Some(response) = client.read().await {
        assert!(response.is_turned_away(), "{}", response.text());
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    false
}

/// Begins streams, some at each gateway, and waits until all have brought events.
pub async fn begin(fleet: Fleet, versions: [&'static str; 4]) -> Streams {
    let mut callers = Vec::new();
    for number in 0..STREAMS {
        callers.push(ask(fleet.gateways[number % 3].front(), number).await);
    }
    for (number, caller) in callers.iter_mut().enumerate() {
        let front = fleet.gateways[number % 3].front();
        let mut tries = 0;
        while !has_begun(&mut caller.0).await {
            tries += 1;
            assert!(tries < MAX_TURNED_AWAY, "every connection is turned away");
            *caller = ask(front, number).await;
        }
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    Streams {
        fleet,
        versions,
        callers,
        left: |_, elapsed| CALLER_TIME.saturating_sub(elapsed),
        last_event: 3,
    }
}

/// Returns a request with the fields `more` and the time that is left to its caller.
pub fn resuming(id: &str, more: &str, left: Duration) -> String {
    let left = format!("Deadline-Ms: {}\r\n", left.as_millis());
    request("GET", "/stream/x", id, more).replace("Deadline-Ms: 5000\r\n", &left)
}

/// Removes the servers of `version` from the store.
pub fn remove_servers(fleet: &Fleet, versions: [&str; 4], version: &str) {
    for (server, of) in fleet.servers.iter().zip(versions) {
        if of == version {
            fleet.store.remove(&format!("servers/{}", server.name));
        }
    }
}

impl Streams {
    /// Removes the servers of `version` from the store.
    pub fn remove_version(&self, version: &str) {
        remove_servers(&self.fleet, self.versions, version);
    }

    /// Kills all gateways, does `meanwhile`, and starts them again.
    pub async fn restart_all(&mut self, meanwhile: impl FnOnce(&Self)) {
        for gateway in &mut self.fleet.gateways {
            gateway.kill();
        }
        meanwhile(self);
        for gateway in &mut self.fleet.gateways {
            gateway.start();
        }
        wait_until_ready(&self.fleet).await;
    }

    /// Takes up each stream, at one gateway after another; `names_first` tells whether callers name their first attempt.
    pub async fn take_up(&self, names_first: bool) -> Outcome {
        let all = (0..self.callers.len()).map(|number| self.take_up_one(number, names_first));
        self.outcome(join_all(all).await)
    }

    /// Returns what became of the streams, of which these went on to their end.
    pub fn outcome(&self, whole: Vec<bool>) -> Outcome {
        let by_attempt = |attempt: &str| {
            let mut at: Vec<&str> = Vec::new();
            for (server, version) in self.fleet.servers.iter().zip(self.versions) {
                let received = server.received();
                let is_its = |r: &RequestHead| {
                    let id = r.headers.get_str("attempt-id").unwrap_or_default();
                    id == attempt || id.starts_with(&format!("{attempt}-"))
                };
                at.extend(received.iter().filter(|r| is_its(&r.head)).map(|_| version));
            }
            at
        };
        let mut outcome = Outcome {
            whole: whole.into_iter().filter(|whole| *whole).count(),
            ..Outcome::default()
        };
        for number in 0..self.callers.len() {
            let (began, on) = (
                by_attempt(&format!("a-{number}")),
                by_attempt(&format!("b-{number}")),
            );
            assert_eq!(began.len(), 1, "{number}");
            outcome.mixed += usize::from(on.iter().any(|version| *version != began[0]));
            outcome.began_at_first += usize::from(began[0] == self.versions[0]);
        }
        eprintln!("{outcome:?}");
        outcome
    }

    /// Returns why streams were not taken up, as logged.
    fn reasons(&self) -> BTreeSet<String> {
        let gateways = self.fleet.gateways.iter();
        let lines = gateways.flat_map(|g| g.logged("stream_taken_up"));
        let reasons = lines.filter_map(|line| line["why"].as_str().map(str::to_owned));
        reasons.collect()
    }

    async fn take_up_one(&self, number: usize, names_first: bool) -> bool {
        for attempt in 0..TRIES {
            if self.try_once(number, attempt, names_first).await {
                return true;
            }
            tokio::time::sleep(TRY_PAUSE).await;
        }
        false
    }

    /// Returns a request that takes a stream up.
    pub fn take_up_text(&self, number: usize, attempt: usize, names_first: bool) -> String {
        let named = if names_first {
            format!("Resumes: a-{number}\r\n")
        } else {
            String::new()
        };
        let left = (self.left)(number, self.callers[number].1.elapsed());
        resuming(
            &format!("b-{number}-{attempt}"),
            &format!("Last-Event-Id: {}\r\n{named}", self.last_event),
            left,
        )
    }

    /// Takes a stream up at one gateway, and returns whether it goes on to its end.
    pub async fn try_once(&self, number: usize, attempt: usize, names_first: bool) -> bool {
        let text = self.take_up_text(number, attempt, names_first);
        let gateway = &self.fleet.gateways[(number + attempt) % 3];
        let response = send_request(gateway.front(), text.as_bytes()).await;
        response.is_some_and(|r| r.status() == 200 && r.whole)
    }
}

/// Versions of the servers where two serve.
pub const TWO: [&str; 4] = ["v1", "v2", "v1", "v2"];
/// Versions of the servers where one serves.
pub const ONE: [&str; 4] = ["v1"; 4];

/// Failure: servers of two versions serve all along, and no stream goes on after all gateways were killed, or one at another version.
#[test]
fn streams_go_on_at_their_version_where_both_serve() {
    block_on(async {
        let mut streams = begin(start(TWO).await, TWO).await;
        streams.restart_all(|_| {}).await;

        let outcome = streams.take_up(true).await;

        assert_eq!(outcome.mixed, 0, "{outcome:?}");
        assert!(outcome.whole + MAX_REFUSED >= STREAMS, "{outcome:?}");
    });
}

/// Failure: a release under way changes the version that a stream's key gives, and after a kill of all the stream is refused for as
/// long as its caller waits, though its version's servers are there.
#[test]
fn streams_from_before_a_release_go_on_while_both_versions_serve() {
    block_on(async {
        let first_version = |fleet: &Fleet, server: &Server, version: &str| {
            if version == TWO[0] {
                register_first(fleet, server, version);
            }
        };
        let mut streams = begin(start_with(TWO, first_version).await, TWO).await;
        tokio::time::sleep(SETTLE_TIME).await;
        for number in [1, 3] {
            register_first(&streams.fleet, &streams.fleet.servers[number], TWO[number]);
        }
        tokio::time::sleep(SETTLE_TIME).await;
        streams.restart_all(|_| {}).await;

        let outcome = streams.take_up(true).await;

        assert_eq!(outcome.mixed, 0, "{outcome:?}");
        assert!(outcome.whole + MAX_REFUSED >= STREAMS, "{outcome:?}");
    });
}

/// Failure: a version's servers leave just before all gateways are killed, and its streams go on at the version that stayed.
#[test]
fn streams_of_a_version_that_left_before_the_kill_stay_unmixed() {
    block_on(async {
        let mut streams = begin(start(TWO).await, TWO).await;
        streams.remove_version("v2");
        tokio::time::sleep(Duration::from_millis(500)).await;
        streams.restart_all(|_| {}).await;

        let outcome = streams.take_up(true).await;

        assert_eq!(outcome.mixed, 0, "{outcome:?}");
        assert!(
            outcome.whole + MAX_REFUSED >= outcome.began_at_first,
            "{outcome:?}"
        );
    });
}

/// Failure: callers that give more than their route's timeout come back after a kill, and their streams count as begun now.
#[test]
fn streams_of_callers_with_more_time_than_their_route_stay_unmixed() {
    block_on(async {
        let fleet = start(TWO).await;
        fleet
            .store
            .put("op/config", &catalog_with(2, CALLER_TIME * 2 / 5));
        tokio::time::sleep(SETTLE_TIME).await;
        let mut streams = begin(fleet, TWO).await;
        streams.remove_version("v2");
        // A first registration dates the changes before it.
        let other = streams.fleet.start_server("i-4").await;
        let entry = json!({"service": "other", "born": unix_ms(), "sequence": 1});
        streams.fleet.write_registration(&other, &entry);
        tokio::time::sleep(SETTLE_TIME).await;
        streams.restart_all(|_| {}).await;

        let outcome = streams.take_up(true).await;

        assert_eq!(outcome.mixed, 0, "{outcome:?}");
    });
}

/// Failure: a version's servers leave while all gateways are down, and its streams go on at the version that stayed.
#[test]
fn streams_of_a_version_that_left_during_the_outage_stay_unmixed() {
    block_on(async {
        let mut streams = begin(start(TWO).await, TWO).await;
        streams.restart_all(|s| s.remove_version("v2")).await;

        let outcome = streams.take_up(true).await;

        assert_eq!(outcome.mixed, 0, "{outcome:?}");
        assert!(
            outcome.whole + MAX_REFUSED >= outcome.began_at_first,
            "{outcome:?}"
        );
    });
}

/// Failure: a version's servers leave while all gateways are down and the store's history is gone, and its streams go on at the
/// version that stayed.
#[test]
fn streams_of_a_version_that_left_unseen_stay_unmixed() {
    block_on(async {
        let mut streams = begin(start(TWO).await, TWO).await;
        let dropped = |s: &Streams| {
            s.remove_version("v2");
            s.fleet.store.drop_history(None);
        };
        streams.restart_all(dropped).await;

        let outcome = streams.take_up(true).await;

        assert_eq!(outcome.mixed, 0, "{outcome:?}");
        let reasons = streams.reasons();
        assert!(reasons.contains("unknown_history"), "{reasons:?}");
    });
}

/// Failure: the store's history is dropped before a version's servers leave unannounced, and its streams go on at the other version.
#[test]
fn streams_of_a_version_that_left_after_the_history_stay_unmixed() {
    block_on(async {
        let mut streams = begin(start(TWO).await, TWO).await;
        let dropped = |s: &Streams| {
            s.fleet.store.drop_history(None);
            s.remove_version("v2");
        };
        streams.restart_all(dropped).await;

        let outcome = streams.take_up(true).await;

        assert_eq!(outcome.mixed, 0, "{outcome:?}");
    });
}

/// Failure: the callers of a version that left don't name their first attempt, and their streams go on at the version that stayed.
#[test]
fn streams_without_a_name_stay_unmixed_after_a_version_left() {
    block_on(async {
        let mut streams = begin(start(TWO).await, TWO).await;
        streams.restart_all(|s| s.remove_version("v2")).await;

        let outcome = streams.take_up(false).await;

        assert_eq!(outcome.mixed, 0, "{outcome:?}");
    });
}

/// Failure: a version's servers leave just after the gateways are back, and its streams go on at the version that stayed.
#[test]
fn streams_of_a_version_that_leaves_after_the_start_stay_unmixed() {
    block_on(async {
        let mut streams = begin(start(TWO).await, TWO).await;
        streams.restart_all(|_| {}).await;
        streams.remove_version("v2");
        tokio::time::sleep(TRY_PAUSE).await;

        let outcome = streams.take_up(true).await;

        assert_eq!(outcome.mixed, 0, "{outcome:?}");
        assert!(
            outcome.whole + MAX_REFUSED >= outcome.began_at_first,
            "{outcome:?}"
        );
    });
}

/// Failure: a service has had one version all along, and its streams are refused after all gateways were killed.
#[test]
fn streams_go_on_where_one_version_served_all_along() {
    block_on(async {
        let mut streams = begin(start(ONE).await, ONE).await;
        streams.restart_all(|_| {}).await;

        for names_first in [true, false] {
            let outcome = streams.take_up(names_first).await;

            assert_eq!(outcome.whole, STREAMS, "{outcome:?}");
        }
    });
}

/// Failure: the store is in another region, and streams are refused while its history is still being read.
#[test]
fn streams_go_on_at_their_first_try_though_the_store_answers_late() {
    block_on(async {
        let mut streams = begin(start(ONE).await, ONE).await;
        streams.restart_all(|_| {}).await;
        streams.fleet.store.set_mode(Mode::Late(LATE_ANSWER));

        let tries = (0..STREAMS).map(|number| streams.try_once(number, 0, true));
        let whole = join_all(tries).await;

        assert_eq!(whole, [true; STREAMS]);
    });
}

/// Failure: a crash that removes a server of the only version, or an operator's change, makes its streams be refused.
#[test]
fn streams_of_one_version_go_on_after_a_crash_and_an_operators_change() {
    block_on(async {
        let fleet = start(ONE).await;
        fleet.store.drop_history(None);
        fleet.store.put("op/config", &catalog(2));
        let mut streams = begin(fleet, ONE).await;
        let crashed = |s: &Streams| {
            s.fleet.store.remove("servers/i-3");
            s.fleet.store.put("op/config", &catalog(3));
        };
        streams.restart_all(crashed).await;

        let outcome = streams.take_up(true).await;

        assert_eq!(outcome.mixed, 0, "{outcome:?}");
        assert_eq!(outcome.whole, STREAMS, "{outcome:?}");
    });
}
