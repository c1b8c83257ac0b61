//! Servers that stop in the middle of an answer's head, or of what frames its body, and close.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::json;

use super::fleet::{Fleet, config, request, route, wait_until};
use super::raw_client::{Received, exchange};
use super::raw_servers::{RawAnswer, RawServers, WHOLE_BODY};
use super::streams::StreamEnd;
use crate::block_on;

/// Times that a request is sent whose gateway refused it, or sent it nowhere, before its test fails.
const MAX_REFUSALS: usize = 50;
const REFUSAL_PAUSE: Duration = Duration::from_millis(50);

/// A name of the length of those that requests have.
const SAMPLE_NAME: &str = "0000000";
/// Servers of which each fails for the first time when a copy of a request breaks off there.
const HEDGE_SERVERS: usize = 60;

static NAMES: AtomicU32 = AtomicU32::new(1);

/// Returns a name that no other request has.
fn new_name() -> String {
    format!("{:07}", NAMES.fetch_add(1, Ordering::Relaxed))
}

/// When an answer is complete, for the client that gets it from the gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WholeFrom {
    /// With its last byte.
    End,
    /// With the end of its head, after which the connection's end delimits the body.
    Head,
    /// Never.
    Never,
}

/// An answer that is cut at each byte.
#[derive(Debug, Clone, Copy)]
struct Case {
    name: &'static str,
    method: &'static str,
    text: &'static str,
    whole: WholeFrom,
}

const fn case(name: &'static str, text: &'static str, whole: WholeFrom) -> Case {
    Case {
        name,
        method: "GET",
        text,
        whole,
    }
}

const LENGTH: Case = case(
    "length",
    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s.1\r\nContent-Length: 5\r\n\r\nhello",
    WholeFrom::End,
);
const TRAILERS: Case = case(
    "trailers",
    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s.1\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n\
     5;a=b\r\nhello\r\n3\r\nyou\r\n0\r\nSum: 8\r\nMore: 1\r\n\r\n",
    WholeFrom::End,
);
const CLOSED: Case = case(
    "until the connection's end",
    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s.1\r\n\r\nhello",
    WholeFrom::Head,
);
const INTERIM: Case = case(
    "after interim answers",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n\
     HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s.1\r\nContent-Length: 5\r\n\r\nhello",
    WholeFrom::End,
);
const BARE: Case = case(
    "bare line feeds",
    "HTTP/1.1 200 OK\nAttempt-Id: {id}\nServer-Stamp: s.1\nContent-Length: 5\n\nhello",
    WholeFrom::End,
);
const FOLDED: Case = case(
    "a folded line",
    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s.1\r\n more\r\nContent-Length: 5\r\n\r\nhello",
    WholeFrom::Never,
);
const NO_BLANK: Case = case(
    "no blank line",
    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s.1\r\nContent-Length: 5\r\nhello\r\nhello: hello",
    WholeFrom::Never,
);
const EVENTS: Case = case(
    "events",
    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s.1\r\nContent-Type: text/event-stream\r\n\
     Transfer-Encoding: chunked\r\n\r\n13\r\nid: 1\ndata: piece\n\n\r\n0\r\n\r\n",
    WholeFrom::End,
);
const NO_CONTENT: Case = case(
    "204",
    "HTTP/1.1 204 No Content\r\nAttempt-Id: {id}\r\nServer-Stamp: s.1\r\n\r\n",
    WholeFrom::End,
);
const NOT_MODIFIED: Case = case(
    "304",
    "HTTP/1.1 304 Not Modified\r\nAttempt-Id: {id}\r\nServer-Stamp: s.1\r\nContent-Length: 5\r\n\r\n",
    WholeFrom::End,
);
const HEAD: Case = Case {
    name: "HEAD",
    method: "HEAD",
    text: "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s.1\r\nContent-Length: 5\r\n\r\n",
    whole: WholeFrom::End,
};

impl Case {
    /// Returns the answer with the id of a request.
    fn sample(&self) -> String {
        self.text.replace("{id}", SAMPLE_NAME)
    }

    /// Returns whether the answer is complete if only `bytes` of it come.
    fn is_whole(&self, bytes: usize) -> bool {
        let text = self.sample();
        let head_end = text.find("\r\n\r\n").map_or(text.len(), |at| at + 4);
        match self.whole {
            WholeFrom::End => bytes >= text.len(),
            WholeFrom::Head => bytes >= head_end,
            WholeFrom::Never => false,
        }
    }
}

/// Starts one gateway in front of `count` servers with the same row of answers; `settings` is added to its own.
pub async fn start(count: usize, settings: &str) -> (Fleet, RawServers) {
    let mut fleet = Fleet::prepare(1, 0).await;
    let path = &fleet.gateways[0].config;
    let text = std::fs::read_to_string(path).expect("the settings can be read");
    let budget = "resend_ratio = 1\nresend_extra = 100000\n";
    std::fs::write(path, format!("{text}{budget}{settings}")).expect("the settings can be written");
    let mut config = config(1);
    let routes = config["routes"].as_array_mut().expect("routes are a list");
    routes.push(route("one", "idempotent", &json!({"maxAttempts": 1})));
    let resumable = json!({"maxAttempts": 1, "resumable": true});
    routes.push(route("resumable", "streaming", &resumable));
    fleet.store.put("op/config", config.to_string().as_bytes());
    let servers = RawServers::default();
    for number in 0..count {
        let address = servers.start().await.to_string();
        let entry = json!({"service": "app", "address": address, "zone": "a", "version": "v1", "slots": 4,
            "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1});
        let key = format!("servers/i-{number}");
        fleet.store.put(&key, entry.to_string().as_bytes());
    }
    fleet.gateways[0].start();
    wait_until("the gateway is ready", || fleet.gateways[0].is_ready()).await;
    (fleet, servers)
}

async fn send(fleet: &Fleet, (method, path): (&str, &str), id: &str) -> Option<Received> {
    let text = request(method, path, id, "Connection: close\r\n");
    exchange(fleet.gateways[0].front(), method, text.as_bytes()).await
}

/// Sends a request to servers with this row of answers, until one used them all; returns also how often that arrived.
///
/// A gateway refuses some requests while its servers fail; these tell nothing of a cut.
pub async fn play(
    (fleet, servers): &(Fleet, RawServers),
    (method, path): (&str, &str),
    row: &[RawAnswer],
) -> (Option<Received>, usize) {
    for _ in 0..MAX_REFUSALS {
        let name = new_name();
        servers.set(&name, row);
        let got = send(fleet, (method, &format!("{path}{name}")), &name).await;
        if servers.left(&name) == 0 {
            return (got, servers.arrivals(&name));
        }
        tokio::time::sleep(REFUSAL_PAUSE).await;
    }
    panic!("the gateway sends it nowhere");
}

/// Counts of answers to clients.
#[derive(Debug, Default)]
struct Counts {
    cuts: usize,
    broken: usize,
    whole: usize,
    arrivals: usize,
}

/// Plays a case cut at every `step` bytes, and once whole; asserts what clients may get.
async fn cut_everywhere(
    site: &(Fleet, RawServers),
    path: &str,
    case: &Case,
    step: usize,
    answer: impl Fn(usize) -> RawAnswer,
) -> Counts {
    let mut counts = Counts::default();
    let length = case.sample().len();
    let mut cuts: Vec<usize> = (0..length).step_by(step).collect();
    cuts.push(length);
    for bytes in cuts {
        let row = [answer(bytes)];
        let (got, arrivals) = play(site, (case.method, path), &row).await;
        let is_success = got.as_ref().is_some_and(Received::is_success);
        assert_eq!(
            is_success,
            case.is_whole(bytes),
            "{} cut after {bytes} bytes: {got:?}",
            case.name
        );
        assert!(got.is_none_or(|got| got.rest == 0), "{}", case.name);
        assert_eq!(arrivals, 1, "{} was repeated", case.name);
        counts.cuts += 1;
        counts.broken += usize::from(!is_success);
        counts.whole += usize::from(is_success);
        counts.arrivals += arrivals;
    }
    println!("{path} {}: {counts:?}", case.name);
    counts
}

/// Failure: an answer that is cut in its head, or before its framing ends it, is a success at the client.
#[test]
fn broken_head_is_no_success() {
    block_on(async {
        let site = start(2, "").await;
        for case in [
            LENGTH,
            TRAILERS,
            CLOSED,
            INTERIM,
            BARE,
            FOLDED,
            NO_BLANK,
            NO_CONTENT,
            NOT_MODIFIED,
            HEAD,
        ] {
            let answer = |bytes| RawAnswer::cut(case.text, bytes);
            cut_everywhere(&site, "/one/", &case, 1, answer).await;
        }
        for path in ["/resumable/", "/whole/"] {
            let answer = |bytes| RawAnswer::cut(EVENTS.text, bytes);
            cut_everywhere(&site, path, &EVENTS, 1, answer).await;
        }
    });
}

/// Failure: the same where the connection is reset, or the bytes come one by one.
#[test]
fn broken_head_is_no_success_however_it_comes() {
    block_on(async {
        let site = start(2, "").await;
        for case in [LENGTH, TRAILERS, INTERIM, HEAD] {
            let reset = |bytes| RawAnswer {
                end: StreamEnd::Reset,
                end_pause: Duration::from_millis(2),
                ..RawAnswer::cut(case.text, bytes)
            };
            for bytes in (0..case.sample().len()).step_by(5) {
                let row = [reset(bytes)];
                let (got, arrivals) = play(&site, (case.method, "/one/"), &row).await;
                let is_success = got.as_ref().is_some_and(Received::is_success);
                assert!(!is_success, "{} reset at {bytes}: {got:?}", case.name);
                assert_eq!(arrivals, 1, "{} was repeated", case.name);
            }
            let one_by_one = |bytes| RawAnswer {
                byte_pause: Some(Duration::from_micros(200)),
                ..RawAnswer::cut(case.text, bytes)
            };
            cut_everywhere(&site, "/one/", &case, 9, one_by_one).await;
        }
    });
}

/// Failure: a request that may not run twice is sent again after a broken head, or is said not to have run.
#[test]
fn booking_with_a_broken_head_is_not_repeated() {
    block_on(async {
        let site = start(2, "").await;
        for case in [LENGTH, TRAILERS, INTERIM] {
            for bytes in 0..case.sample().len() {
                let row = [RawAnswer::cut(case.text, bytes)];
                let (got, arrivals) = play(&site, ("POST", "/once/"), &row).await;
                let status = got.map(|got| got.status);
                assert_eq!(
                    (status, arrivals),
                    (Some(502), 1),
                    "{} cut at {bytes}",
                    case.name
                );
            }
        }
    });
}

/// Failure: after a broken head at one server the client gets parts of two answers, none, or a success that no server gave.
#[test]
fn second_try_after_a_broken_head_is_whole_or_a_failure() {
    block_on(async {
        let site = start(2, "").await;
        let mut counts = Counts::default();
        for case in [LENGTH, TRAILERS, INTERIM, BARE] {
            for bytes in 0..case.sample().len() {
                let (cut, target) = (RawAnswer::cut(case.text, bytes), ("GET", "/get/"));

                let once = [cut.clone()];
                let (recovered, sends) = play(&site, target, &once).await;
                let both = [cut.clone(), cut];
                let (failed, both_sends) = play(&site, target, &both).await;

                let recovered = recovered.expect("the client is told");
                if sends == 2 {
                    assert!(recovered.is_success(), "{} at {bytes}", case.name);
                    assert_eq!(
                        (&*recovered.body, recovered.rest),
                        (WHOLE_BODY.as_bytes(), 0)
                    );
                    counts.whole += 1;
                } else {
                    assert!(!recovered.is_success(), "{} at {bytes}", case.name);
                }
                let failed = failed.expect("the client is told");
                assert_eq!(
                    (failed.status, both_sends),
                    (502, 2),
                    "{} at {bytes}",
                    case.name
                );
                counts.cuts += 1;
                counts.arrivals += sends + both_sends;
                counts.broken += 1;
            }
        }
        println!("{counts:?}");
        assert!(counts.whole * 10 >= counts.cuts * 9, "{counts:?}");
    });
}

/// Failure: of two copies of a request, one breaks off in its head, and the client gets it, or both, or no answer.
#[test]
fn copy_with_a_broken_head_is_not_the_answer() {
    block_on(async {
        let settings = "\n[hedging]\nshare = 0.5\nafter_ms = 30\n";
        let site = start(HEDGE_SERVERS, settings).await;
        let target = ("GET", "/get/");
        let mut counts = Counts::default();
        for bytes in (0..TRAILERS.sample().len()).step_by(9) {
            let late = |bytes| RawAnswer {
                end_pause: Duration::from_millis(120),
                ..RawAnswer::cut(TRAILERS.text, bytes)
            };
            let cut = RawAnswer::cut(TRAILERS.text, bytes);
            let none: &[u8] = b"";
            let rows: [(&[RawAnswer], &[u8]); 3] = [
                (&[late(bytes), cut.clone()], none),
                (&[late(bytes)], WHOLE_BODY.as_bytes()),
                (&[slow_answer(), cut], b"hello"),
            ];
            for (row, body) in rows {
                // Requests that give an allowance of hedges.
                for _ in 0..4 {
                    let _got = send(&site.0, ("GET", "/get/warm"), &new_name()).await;
                }
                let (got, sends) = play(&site, target, row).await;

                let got = got.expect("the client is told");
                assert_eq!(sends, 2, "cut at {bytes}");
                assert_eq!(
                    got.is_success(),
                    !body.is_empty(),
                    "cut at {bytes}: {got:?}"
                );
                assert!(!got.is_success() || got.body == body);
                assert!(got.whole && got.rest == 0);
                counts.cuts += row.len() - usize::from(body == b"hello");
                counts.whole += usize::from(got.is_success());
                counts.broken += usize::from(!got.is_success());
                counts.arrivals += sends;
            }
        }
        println!("{counts:?}");
    });
}

/// Returns an answer that comes whole after a second copy was sent.
fn slow_answer() -> RawAnswer {
    RawAnswer {
        byte_pause: Some(Duration::from_millis(1)),
        ..RawAnswer::cut(LENGTH.text, usize::MAX)
    }
}

/// Failure: a gateway whose process stands still while a head comes takes the part that it finds for the whole.
#[test]
fn late_process_takes_no_part_of_a_head_for_the_whole() {
    block_on(async {
        let site = start(2, "").await;
        let (fleet, _servers) = &site;
        let text = LENGTH.sample();
        let length = text.len();
        let line_ends = text.match_indices("\r\n").map(|(at, end)| at + end.len());
        for bytes in line_ends.chain([0, 20, length - 1, length]) {
            let slow = RawAnswer {
                byte_pause: Some(Duration::from_millis(1)),
                ..RawAnswer::cut(LENGTH.text, bytes)
            };
            let pause = async {
                tokio::time::sleep(Duration::from_millis(40)).await;
                fleet.gateways[0].signal(Signal::SIGSTOP);
                tokio::time::sleep(Duration::from_millis(1_300)).await;
                fleet.gateways[0].signal(Signal::SIGCONT);
            };
            let row = [slow];
            let played = play(&site, ("GET", "/one/"), &row);
            let ((got, arrivals), ()) = tokio::join!(played, pause);

            let is_success = got.as_ref().is_some_and(Received::is_success);
            assert_eq!(is_success, bytes == length, "{bytes}: {got:?}");
            assert_eq!(arrivals, 1);
        }
    });
}
