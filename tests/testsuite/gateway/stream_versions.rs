//! Streams in front of servers of two software versions.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hawthornmill_gateway::http::head::RequestHead;
use serde_json::{Value, json};

use super::fleet::{Client, Fleet, config, request, wait_until};
use super::scripted_server::Behavior;
use crate::block_on;

/// Versions of the servers, by number.
const VERSIONS: [&str; 4] = ["v1", "v2", "v1", "v2"];
/// Streams per test; each goes to one of two versions by chance.
const STREAMS: usize = 12;
/// Times that a stream is begun again.
const MAX_TURNED_AWAY: usize = 20;

/// Breaks off each stream that begins, and completes each that is resumed.
fn break_off_first(head: &RequestHead) -> Behavior {
    if head.headers.get("last-event-id").is_some() {
        Behavior::Stream(6)
    } else {
        Behavior::BrokenStream(3)
    }
}

/// Sends events for a second, or the last three of a stream that is resumed.
fn stream_long(head: &RequestHead) -> Behavior {
    if head.headers.get("last-event-id").is_some() {
        Behavior::Stream(6)
    } else {
        Behavior::Stream(100)
    }
}

/// Starts gateways in front of four servers of two versions.
async fn start(gateways: usize, default: fn(&RequestHead) -> Behavior) -> Fleet {
    let mut fleet = Fleet::prepare(gateways, VERSIONS.len()).await;
    for (server, version) in fleet.servers.iter().zip(VERSIONS) {
        server.set_default(default);
        fleet.write_registration(server, &json!({"version": version}));
    }
    fleet
        .store
        .put("op/config", config(1).to_string().as_bytes());
    for gateway in &mut fleet.gateways {
        gateway.start();
    }
    for gateway in &fleet.gateways {
        wait_until("the gateway is ready", || gateway.is_ready()).await;
        wait_until("the gateway hears the others", || async {
            let text = gateway.metrics().await;
            text.contains(&format!("hawthornmill_mates {}", gateways - 1))
        })
        .await;
    }
    fleet
}

/// Returns the versions of the servers that were sent the attempts, by attempt.
fn versions_by_attempt(fleet: &Fleet) -> BTreeMap<String, Vec<&'static str>> {
    let mut all: BTreeMap<String, Vec<&'static str>> = BTreeMap::new();
    for (server, version) in fleet.servers.iter().zip(VERSIONS) {
        for received in server.received() {
            let id = received.head.headers.get_str("attempt-id");
            let id = id.unwrap_or_default().to_owned();
            all.entry(id).or_default().push(version);
        }
    }
    all
}

/// Returns a request that takes up, after event 3, the stream that `first` began.
pub fn resuming(id: &str, first: &str) -> String {
    request(
        "GET",
        "/stream/x",
        id,
        &format!("Last-Event-Id: 3\r\nResumes: {first}\r\n"),
    )
}

/// Failure: a server breaks off a stream, and a server of another version goes on with it in the same answer.
#[test]
fn broken_stream_is_resumed_at_its_version_only() {
    block_on(async {
        let fleet = start(1, break_off_first).await;

        let mut whole = 0;
        for number in 0..STREAMS {
            let id = format!("s-{number}");
            let text = request("GET", "/stream/x", &id, "");
            whole += usize::from(fleet.send_admitted_to(0, &text).await.whole);
        }

        let by_attempt = versions_by_attempt(&fleet);
        let is_mixed = |v: &[&str]| v.iter().any(|version| *version != v[0]);
        let mixed: Vec<_> = by_attempt.values().filter(|v| is_mixed(v)).collect();
        assert!(mixed.is_empty(), "{mixed:?}");
        assert!(by_attempt.values().all(|v| v.len() == 2), "{by_attempt:?}");
        assert_eq!(whole, STREAMS);
    });
}

/// Begins a stream at the first gateway, again while that turns connections away because its process is late.
async fn begin_stream(fleet: &Fleet, id: &str) -> Client {
    let text = request("GET", "/stream/x", id, "");
    for _ in 0..MAX_TURNED_AWAY {
        let mut client = Client::connect(fleet.gateways[0].front()).await;
        client.send(text.as_bytes()).await;
        let mut head = [0; 12];
        let read = client.stream.peek(&mut head).await;
        if read.is_ok() && &head == b"HTTP/1.1 200" {
            return client;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("no stream begins");
}

/// Begins streams at the first gateway, kills it after some events, and takes them up at `gateway`; returns the versions at
/// which each one began and went on.
async fn take_up_after_kill(fleet: &mut Fleet, gateway: usize) -> Vec<[Vec<&'static str>; 2]> {
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        clients.push(begin_stream(fleet, &format!("a-{number}")).await);
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.gateways[0].kill();
    for number in 0..STREAMS {
        let text = resuming(&format!("b-{number}"), &format!("a-{number}"));
        let response = fleet.send_admitted_to(gateway, &text).await;
        assert!(response.whole && response.status() == 200, "{response:?}");
    }
    let mut by_attempt = versions_by_attempt(fleet);
    let mut of = |id: String| by_attempt.remove(&id).unwrap_or_default();
    (0..STREAMS)
        .map(|n| [of(format!("a-{n}")), of(format!("b-{n}"))])
        .collect()
}

/// Failure: the instance that carries streams is killed, their callers come back at another one, and it sends them to a server of
/// another version than the one that began them.
#[test]
fn stream_taken_up_at_another_instance_stays_at_its_version() {
    block_on(async {
        let mut fleet = start(3, stream_long).await;

        let streams = take_up_after_kill(&mut fleet, 2).await;

        let moved: Vec<_> = streams.iter().filter(|[began, on]| began != on).collect();
        assert!(moved.is_empty(), "{moved:?}");
    });
}

/// Failure: a stream of which nobody knows the version goes to any of two versions, or its caller waits for an answer in vain;
/// or an attempt of another account tells its version.
#[test]
fn stream_of_unknown_version_is_refused_at_once() {
    block_on(async {
        let fleet = start(2, break_off_first).await;
        let mut two = config(2);
        two["tenants"] =
            json!([{"name": "lab", "apiKeys": ["key-1"]}, {"name": "kiosk", "apiKeys": ["key-9"]}]);
        fleet.store.put("op/config", two.to_string().as_bytes());
        wait_until("the accounts are known", || async {
            let known = |g: &super::fleet::Gateway| g.logged("catalog_in_force").len() == 2;
            fleet.gateways.iter().all(known)
        })
        .await;
        let first = fleet
            .send_admitted_to(0, &request("GET", "/stream/x", "a-1", ""))
            .await;
        // Callers of this route may have asked first long before these gateways and the store's history began.
        fleet.store.drop_history(None);
        let patient = request("GET", "/stream/x", "a-2", "").replace("Ms: 5000", "Ms: 60000");
        let patient = fleet.send_admitted_to(1, &patient).await;
        let runs = fleet.runs();

        let asked = Instant::now();
        let unknown = fleet.send_admitted_to(1, &resuming("b-1", "a-9")).await;
        let waited = asked.elapsed();
        let unnamed = request("GET", "/stream/x", "b-2", "Last-Event-Id: 3\r\n");
        let unnamed = fleet.send_admitted_to(1, &unnamed).await;
        let foreign = resuming("b-3", "a-1").replace("key-1", "key-9");
        let foreign = fleet.send_admitted_to(1, &foreign).await;
        let own = fleet.send_admitted_to(1, &resuming("b-4", "a-1")).await;

        assert!(first.whole && patient.whole);
        for refused in [unknown, unnamed, foreign] {
            assert_eq!(refused.status(), 503, "{}", refused.text());
            assert!(refused.text().contains("3034"), "{}", refused.text());
            assert!(refused.field("retry-after").is_some());
        }
        assert!(waited < Duration::from_secs(1), "{waited:?}");
        assert_eq!(own.status(), 200, "{}", own.text());
        assert_eq!(fleet.runs(), runs + 1);
    });
}

/// Returns the lines of `event` at a gateway once it has written `count` of them.
async fn lines_logged(fleet: &Fleet, gateway: usize, event: &str, count: usize) -> Vec<Value> {
    let gateway = &fleet.gateways[gateway];
    wait_until("the lines are written", || async {
        gateway.logged(event).len() >= count
    })
    .await;
    gateway.logged(event)
}

/// Failure: a stream is joined from two versions, and no line or counter tells where the version came from.
#[test]
fn line_and_counter_tell_where_a_version_came_from() {
    block_on(async {
        let mut fleet = start(2, break_off_first).await;
        let begin = request("GET", "/stream/x", "a-1", "");
        fleet.send_admitted_to(0, &begin).await;
        fleet.gateways[1].kill();
        fleet.gateways[1].start();
        wait_until("the second gateway hears the first", || async {
            let text = fleet.gateways[1].metrics().await;
            text.contains("hawthornmill_mates 1")
        })
        .await;

        for (gateway, id, first) in [(0, "b-1", "a-1"), (1, "b-2", "a-1"), (0, "b-3", "a-9")] {
            let text = resuming(id, first);
            fleet.send_admitted_to(gateway, &text).await;
        }
        let unnamed = request("GET", "/stream/x", "b-4", "Last-Event-Id: 3\r\n");
        fleet.send_admitted_to(0, &unnamed).await;

        let here = lines_logged(&fleet, 0, "stream_taken_up", 3).await;
        let there = lines_logged(&fleet, 1, "stream_taken_up", 1).await;
        let version = versions_by_attempt(&fleet)["a-1"][0];
        let [held, derived, unknown] = here.as_slice() else {
            panic!("{here:?}");
        };
        assert_eq!(held["request"], "b-1");
        assert_eq!(
            (&held["source"], &held["version"]),
            (&json!("record"), &json!(version))
        );
        assert_eq!((&held["asked"], &held["answered"]), (&json!(0), &json!(0)));
        assert_eq!(held["stream"].as_str().map(str::len), Some(16));
        assert_eq!(there[0]["source"], "peer", "{there:?}");
        assert_eq!(
            (&there[0]["asked"], &there[0]["answered"]),
            (&json!(1), &json!(1))
        );
        assert_eq!(there[0]["version"], version);
        assert_eq!(derived["source"], "history");
        assert!(derived["version"].is_string(), "{derived:?}");
        assert_eq!(
            (&derived["asked"], &derived["answered"]),
            (&json!(1), &json!(1))
        );
        assert_eq!(
            (&unknown["source"], &unknown["version"]),
            (&json!("none"), &Value::Null)
        );
        assert_eq!(
            (&derived["why"], &unknown["why"]),
            (&Value::Null, &json!("unnamed"))
        );
        assert_eq!(
            (&unknown["stream"], &unknown["asked"]),
            (&Value::Null, &json!(0))
        );
        let seen = unknown["versions"].as_array().cloned().unwrap_or_default();
        let mut names: Vec<_> = seen.iter().filter_map(|v| v["version"].as_str()).collect();
        names.sort_unstable();
        assert_eq!(names, ["v1", "v2"], "{seen:?}");
        assert!(unknown["age_ms"].as_u64().is_some_and(|age| age > 0));
        let resumed = lines_logged(&fleet, 0, "stream_resumed", 1).await;
        assert_eq!(
            (&resumed[0]["request"], &resumed[0]["version"]),
            (&json!("a-1"), &json!(version))
        );
        assert_eq!(
            (&resumed[0]["last_event"], &resumed[0]["born_ms"]),
            (&json!(3), &json!(1))
        );
        assert!(resumed[0]["entry_age_ms"].is_u64());
        let sent = lines_logged(&fleet, 0, "sent", 4).await;
        let bound: Vec<_> = sent.iter().filter(|l| l["born_ms"] == 1).collect();
        assert_eq!(bound.len(), 3, "{sent:?}");
        let counters = fleet.gateways[0].metrics().await;
        for line in [
            "hawthornmill_stream_take_ups_total{source=\"record\"} 1",
            "hawthornmill_stream_take_ups_total{source=\"history\"} 1",
            "hawthornmill_stream_take_ups_total{source=\"none\"} 1",
            "hawthornmill_stream_take_up_refusals_total{reason=\"unnamed\"} 1",
            "hawthornmill_stream_resumptions_total{outcome=\"complete\"} 1",
        ] {
            assert!(counters.contains(line), "{line}: {counters}");
        }
        assert!(fleet.request_history("a-1").contains("stream_resumed"));
        assert!(fleet.request_history("b-3").contains("stream_taken_up"));
    });
}

/// Failure: callers of a service with one version are refused because nobody knows their first attempt.
#[test]
fn stream_goes_on_where_there_is_one_version() {
    block_on(async {
        let fleet = Fleet::start(1, 2).await;
        for server in &fleet.servers {
            server.set_default(break_off_first);
        }

        let named = fleet.send_admitted_to(0, &resuming("b-1", "a-9")).await;
        let unnamed = request("GET", "/stream/x", "b-2", "Last-Event-Id: 3\r\n");
        let unnamed = fleet.send_admitted_to(0, &unnamed).await;

        let lines = lines_logged(&fleet, 0, "stream_taken_up", 2).await;
        assert!(lines.iter().all(|l| l["source"] == "history"), "{lines:?}");
        assert!(named.whole && named.status() == 200, "{named:?}");
        assert!(unnamed.whole && unnamed.status() == 200, "{unnamed:?}");
    });
}

/// Failure: a caller whose stream's version has no server any more waits, or its stream goes on at another version.
#[test]
fn stream_whose_version_is_gone_is_refused_at_once() {
    block_on(async {
        let fleet = start(1, break_off_first).await;
        let first = fleet
            .send_admitted_to(0, &request("GET", "/stream/x", "a-1", ""))
            .await;
        let version = versions_by_attempt(&fleet)["a-1"][0];
        for (server, of) in fleet.servers.iter().zip(VERSIONS) {
            if of == version {
                fleet.register(server, "draining");
            }
        }
        wait_until("the servers are known to leave", || async {
            let lines = fleet.gateways[0].logged("registration");
            lines.iter().filter(|l| l["draining"] == true).count() >= 2
        })
        .await;
        let runs = fleet.runs();

        let asked = Instant::now();
        let gone = fleet.send_admitted_to(0, &resuming("b-1", "a-1")).await;

        assert!(first.whole);
        assert_eq!(gone.status(), 503, "{}", gone.text());
        assert!(asked.elapsed() < Duration::from_secs(1));
        assert_eq!(fleet.runs(), runs);
    });
}

/// Failure: a malformed name of the first attempt is taken for one, or for none.
#[test]
fn malformed_name_of_the_first_attempt_is_rejected() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let long = "a".repeat(300);

        for fields in [
            "Resumes: \r\n",
            "Resumes: a-1\r\nResumes: a-2\r\n",
            &format!("Resumes: {long}\r\n"),
        ] {
            let text = request(
                "GET",
                "/stream/x",
                "b-1",
                &format!("Last-Event-Id: 3\r\n{fields}"),
            );
            let response = fleet.send_admitted_to(0, &text).await;
            assert_eq!(response.status(), 400, "{fields}");
        }
        assert_eq!(fleet.runs(), 0);
    });
}
