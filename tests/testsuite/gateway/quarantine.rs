//! Requests under which servers crash, at real processes.

use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hawthornmill_gateway::http::head::RequestHead;

use super::fleet::{Fleet, request, send_request, wait_until};
use super::scripted_server::{Behavior, Server};
use crate::block_on;

/// Time after which a server that crashed is back.
const RESTART_PAUSE: Duration = Duration::from_millis(1_500);
/// Time between two requests that end servers.
const BAD_INTERVAL: Duration = Duration::from_millis(240);
/// Time between two sound requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(30);
/// Time within which the fleet must know a request that crashes servers.
const DETECTION_TIME: Duration = Duration::from_secs(4);
/// Requests that may reach servers after that.
const MAX_LATE: usize = 3;
/// Time that a sound answer takes.
const WORK_MS: u64 = 40;

/// One attempt of a client.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    sent: Instant,
    /// Status of the response; 0 if the connection crashed without one.
    status: u16,
    /// Whether the response was complete.
    whole: bool,
}

/// What a test saw.
#[derive(Debug)]
struct Outcome {
    started: Instant,
    /// When servers crashed, in order.
    crashes: Vec<Instant>,
    /// When requests that end servers reached one.
    bad_arrivals: Vec<Instant>,
    bad: Vec<Attempt>,
    sound: Vec<Attempt>,
}

impl Outcome {
    /// Returns the number of requests that reached servers later than the detection time after end `number`.
    fn late_arrivals(&self, number: usize) -> usize {
        let Some(end) = self.crashes.get(number - 1) else {
            return 0;
        };
        let bound = *end + DETECTION_TIME;
        self.bad_arrivals.iter().filter(|at| **at > bound).count()
    }

    /// Returns the number of attempts whose connection ended without a response.
    fn count_unanswered(&self) -> u64 {
        let all = self.bad.iter().chain(&self.sound);
        all.filter(|a| a.status == 0).count() as u64
    }

    /// Returns the share of sound requests that were served, of those sent `from` to `to` after the start.
    fn served_share(&self, from: Duration, to: Duration) -> f64 {
        let span = self.started + from..self.started + to;
        let sent = self.sound.iter().filter(|a| span.contains(&a.sent));
        let served = sent.clone().filter(|a| a.status == 200 && a.whole).count();
        served as f64 / sent.count().max(1) as f64
    }
}

/// Returns the number of connections that the gateways turned away unread, as their processes were late.
fn count_unread(fleet: &Fleet) -> u64 {
    let lines = fleet.gateways.iter().flat_map(|g| g.logged("turned_away"));
    lines.filter_map(|l| l["unread"].as_u64()).sum()
}

async fn attempt(fleet: &Fleet, gateway: usize, text: String) -> Attempt {
    let sent = Instant::now();
    let front = fleet.gateways[gateway % fleet.gateways.len()].front();
    let response = send_request(front, text.as_bytes()).await;
    Attempt {
        sent,
        status: response.as_ref().map_or(0, super::fleet::Response::status),
        whole: response.is_some_and(|r| r.whole),
    }
}

/// Sends what `text` gives for each number, at one gateway after another.
async fn send_every(
    fleet: &Fleet,
    interval: Duration,
    length: Duration,
    text: impl Fn(usize) -> String,
) -> Vec<Attempt> {
    let mut running = FuturesUnordered::new();
    let mut done = Vec::new();
    let mut next = tokio::time::interval(interval);
    let end = Instant::now() + length;
    for number in 0.. {
        loop {
            tokio::select! {
                Some(attempt) = running.next() => done.push(attempt),
                _ = next.tick() => break,
            }
        }
        if Instant::now() >= end {
            break;
        }
        running.push(attempt(fleet, number, text(number)));
    }
    done.extend(running.collect::<Vec<_>>().await);
    done
}

/// Plays clients whose requests end servers beside others, while servers that crashed come back.
async fn play(
    fleet: &Fleet,
    length: Duration,
    is_bad: fn(&RequestHead) -> bool,
    bad: impl Fn(usize) -> String,
    sound: impl Fn(usize) -> String,
) -> Outcome {
    let started = Instant::now();
    let bad = send_every(fleet, BAD_INTERVAL, length, bad);
    let sound = send_every(fleet, SOUND_INTERVAL, length, sound);
    let (bad, sound) = tokio::select! {
        () = fleet.restart_crashed_servers(RESTART_PAUSE) => unreachable!("it never returns"),
        done = async { tokio::join!(bad, sound) } => done,
    };
    let mut crashes: Vec<Instant> = fleet.servers.iter().flat_map(Server::crashes).collect();
    crashes.sort_unstable();
    let received = fleet.servers.iter().flat_map(Server::received);
    let bad_arrivals = received.filter(|r| is_bad(&r.head));
    Outcome {
        started,
        crashes,
        bad_arrivals: bad_arrivals.map(|r| r.received_at).collect(),
        bad,
        sound,
    }
}

fn ends_by_path(head: &RequestHead) -> bool {
    head.target.contains("/bad")
}

fn act_by_path(head: &RequestHead) -> Behavior {
    if ends_by_path(head) {
        Behavior::CrashAfter(0)
    } else {
        Behavior::RespondAfterMs(WORK_MS)
    }
}

/// Failure: a client repeats a request, each time under a new attempt id, and crashes server after server.
///
/// No instance ties the attempts to each other, and each one goes to a server that still runs.
#[test]
fn repeated_request_stops_crashing_servers() {
    block_on(async {
        let fleet = Fleet::start(3, 8).await;
        fleet
            .servers
            .iter()
            .for_each(|s| s.set_default(act_by_path));
        let length = Duration::from_secs(10);

        let outcome = play(
            &fleet,
            length,
            ends_by_path,
            |n| request("GET", "/get/bad", &format!("bad-{n}"), ""),
            |n| request("GET", "/get/7", &format!("sound-{n}"), ""),
        )
        .await;

        let late = outcome.late_arrivals(3);
        assert!(
            late <= MAX_LATE,
            "{late} sent late, {} crashes",
            outcome.crashes.len()
        );
        assert!(
            outcome
                .bad
                .iter()
                .all(|a| matches!(a.status, 0 | 502 | 503))
        );
        wait_until(
            "what got no answer is logged as turned away unread",
            || async { count_unread(&fleet) >= outcome.count_unanswered() },
        )
        .await;
        let served = outcome.served_share(2 * DETECTION_TIME, length);
        assert!(served > 0.9, "{served}");
    });
}

fn ends_by_part(head: &RequestHead) -> bool {
    let prefix = head.headers.get_str("prompt-prefix");
    prefix.is_some_and(|p| p.contains("bad:"))
}

fn stream_by_part(head: &RequestHead) -> Behavior {
    if ends_by_part(head) {
        Behavior::CrashAfter(0)
    } else {
        Behavior::Stream(PROGRESS_EVENTS)
    }
}

/// Events of a sound stream.
const PROGRESS_EVENTS: u64 = 6;

/// Returns a request with the parts `a1`, `second` and `last`.
fn prompt(id: &str, second: &str, last: &str) -> String {
    let fields = format!("Token-Usage: 30,10\r\nPrompt-Prefix: a1:10,{second}:10,{last}:10\r\n");
    request("POST", "/stream/x", id, &fields)
}

/// Failure: a client repeats a prompt, each time under a new attempt id, and crashes server after server.
#[test]
fn repeated_prompt_stops_crashing_servers() {
    block_on(async {
        let fleet = Fleet::start(3, 8).await;
        fleet
            .servers
            .iter()
            .for_each(|s| s.set_default(stream_by_part));
        let length = Duration::from_secs(10);

        let outcome = play(
            &fleet,
            length,
            ends_by_part,
            |n| prompt(&format!("bad-{n}"), "bad", "c1"),
            |n| {
                prompt(
                    &format!("sound-{n}"),
                    &format!("b{}", n % 30),
                    &format!("c{n:x}"),
                )
            },
        )
        .await;

        let late = outcome.late_arrivals(3);
        assert!(
            late <= MAX_LATE,
            "{late} sent late, {} crashes",
            outcome.crashes.len()
        );
        let served = outcome.served_share(2 * DETECTION_TIME, length);
        assert!(served > 0.9, "{served}");
    });
}

async fn play_bad_part(fleet: &Fleet, length: Duration) -> Outcome {
    fleet
        .servers
        .iter()
        .for_each(|s| s.set_default(stream_by_part));
    let bad = |n| prompt(&format!("bad-{n}"), "bad", &format!("d{n:x}"));
    let sound = |n| {
        let second = format!("b{}", n % 30);
        prompt(&format!("sound-{n}"), &second, &format!("c{n:x}"))
    };
    play(fleet, length, ends_by_part, bad, sound).await
}

fn assert_bad_part_is_stopped(outcome: &Outcome, length: Duration) {
    let late = outcome.late_arrivals(5);
    let crashes = outcome.crashes.len();
    assert!(late <= MAX_LATE, "{late} sent late, {crashes} crashes");
    let served = outcome.served_share(2 * DETECTION_TIME, length);
    assert!(served > 0.9, "{served}");
}

/// Failure: prompts with one part in common, no two alike, crash server after server.
///
/// Sound prompts share their other parts with them, and their account.
#[test]
fn prompts_with_a_part_that_crashes_servers_are_stopped() {
    block_on(async {
        let fleet = Fleet::start(3, 8).await;
        let length = Duration::from_secs(11);

        let outcome = play_bad_part(&fleet, length).await;

        assert_bad_part_is_stopped(&outcome, length);
    });
}

/// Failure: the same, and no instance sees two of the first five crashes.
#[test]
fn part_that_crashes_servers_is_found_by_instances_that_see_one_crash_each() {
    block_on(async {
        let fleet = Fleet::start(8, 12).await;
        let length = Duration::from_secs(11);

        let outcome = play_bad_part(&fleet, length).await;

        assert_bad_part_is_stopped(&outcome, length);
    });
}
