//! Every caller's own whole answer, from servers that misbehave and to callers that are slow.

use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::join_all;
use hawthornmill::response::{ResponseLines, ResumeFilter};
use hawthornmill_lab::demo::site::{Site, SitePlan, Standin};
use hawthornmill_lab::standin::engine::{EngineFault, Generate, byte, last_line, line};
use hawthornmill_test_support::procs::{DOMAINS, send, small_fleet, start};
use nix::sys::signal::Signal;
use proptest::prelude::*;

use crate::{ROUTER, block_on};

const TAG: &str = "big/1";

/// One router; `rule` stands in the section of the service.
async fn site(rule: &str) -> Site {
    let section = format!("[service drafting]\n{rule}\n");
    let text = small_fleet()
        .text()
        .replace("[service drafting]\n", &section);
    let mut plan = SitePlan::new(&text, DOMAINS, 1);
    plan.extra = "[discovery]\nttl_ms = 300\n".into();
    start(ROUTER, plan).await
}

fn engines(site: &Site) -> impl Iterator<Item = &hawthornmill_lab::standin::engine::Engine> {
    site.servers.iter().filter_map(|s| match &s.standin {
        Standin::Engine(engine) => Some(&**engine),
        Standin::Plain(_) => None,
    })
}

fn runs(site: &Site) -> (u32, u32) {
    let books = engines(site).map(|e| e.ledger.lock().runs.get(TAG).cloned().unwrap_or_default());
    books.fold((0, 0), |(s, f), r| (s + r.started, f + r.finished))
}

fn call_without_token(site: &Site, path: &str, body: String) -> reqwest::RequestBuilder {
    let url = format!(
        "http://{}/v1/call/drafting{path}",
        site.routers[0].listed.http
    );
    reqwest::Client::new()
        .post(url)
        .timeout(Duration::from_secs(30))
        .body(body)
}

fn call(site: &Site, path: &str, body: String) -> reqwest::RequestBuilder {
    call_without_token(site, path, body).bearer_auth("token-big")
}

fn generate(site: &Site, tokens: u32) -> reqwest::RequestBuilder {
    let body = format!("{{\"tag\":\"{TAG}\",\"tokens\":{tokens}}}");
    call(site, "/generate", body)
}

fn expected(tokens: u32) -> String {
    let mut text: String = (0..tokens).map(|n| line(TAG, n)).collect();
    text.push_str(&last_line(&Generate {
        tag: TAG.into(),
        tokens,
        from: 0,
    }));
    text
}

/// Bytes number 0 to `length`, as the engine makes them.
fn bytes_call(length: usize, chunk: usize) -> String {
    format!("{{\"tag\":\"{TAG}\",\"bytes\":{length},\"chunk\":{chunk}}}")
}

/// An engine's answer breaks off, ends without its last line, or falls silent. The caller gets a
/// part of it, and must see that it is a part: a draft that lost its end looks like a short draft.
#[test]
fn a_part_of_an_answer_is_never_taken_for_the_whole() {
    let faults = [EngineFault::Cut, EngineFault::End, EngineFault::Stall];
    block_on(meet("complete = done-line\nstall_ms = 300", &faults));
}

/// The same without a rule of what is whole: an answer in chunks whose connection broke must not
/// end in order at the caller, as the HTTP library would end it.
#[test]
fn a_broken_connection_shows_at_the_caller() {
    block_on(meet(
        "stall_ms = 300",
        &[EngineFault::Cut, EngineFault::Stall],
    ));
}

async fn meet(rule: &str, faults: &[fn(usize) -> EngineFault]) {
    let site = site(rule).await;
    for fault in faults {
        engines(&site).for_each(|e| e.misbehave(&[fault(700)]));

        let answers = [
            send(generate(&site, 100)).await,
            send(generate(&site, 100)).await,
            send(generate(&site, 100)).await,
        ];

        let cut = answers.iter().filter(|a| a.is_none()).count();
        let whole = answers.iter().flatten().filter(|a| a.text == expected(100));
        assert_eq!(
            cut + whole.count(),
            3,
            "{:?} was passed on as whole",
            fault(700)
        );
        assert!(cut > 0);
        // The engine sees a closed connection a moment later.
        tokio::time::sleep(Duration::from_millis(300)).await;
        let running: u32 = engines(&site).map(|e| e.ledger.lock().running).sum();
        assert_eq!(running, 0, "{:?} left a call running", fault(700));
    }
    site.stop().await;
}

/// The same faults where the service says that its answers can be resumed: the caller must get
/// every byte once, in order, and see nothing of the break.
#[test]
fn a_broken_answer_is_resumed_from_where_it_broke() {
    block_on(async {
        let site = site("complete = done-line\nresume = from\nstall_ms = 300").await;
        for fault in [EngineFault::Cut, EngineFault::End, EngineFault::Stall] {
            engines(&site).for_each(|e| e.misbehave(&[fault(701)]));
            let before = runs(&site);

            let answer = send(generate(&site, 100)).await;

            assert_eq!(answer.map(|a| a.text), Some(expected(100)));
            let after = runs(&site);
            assert!(after.0 - before.0 >= 2, "it was resumed");
            assert_eq!(after.1 - before.1, 1);
        }
        site.stop().await;
    });
}

/// Engines answer with another request's id. The answer must not reach the caller, and a call that
/// may be repeated is sent again.
#[test]
fn an_answer_for_another_request_is_not_passed_on() {
    block_on(async {
        let site = site("").await;
        engines(&site).for_each(|e| e.misbehave(&[EngineFault::WrongId; 4]));

        let crossed = send(generate(&site, 10)).await.expect("an answer");

        assert_eq!(crossed.json()["code"], 3018);
        assert_eq!(crossed.json()["outcome"], "unknown");
        assert!(!crossed.text.contains("token"));
        site.stop().await;
    });
}

/// Every slot is taken, a lab's call waits, and gets one. The engine's answer can't be used; the
/// slot goes to others, and the call's deadline passes while it waits to be tried again. That last
/// wait ran nothing, but the call was run before it: `not_run` would be false.
#[test]
fn a_refused_retry_does_not_say_that_the_call_was_not_run() {
    block_on(async {
        let site = site("").await;
        // Twelve slots, and as many calls behind them.
        let mut long = Vec::new();
        for _ in 0..12 {
            long.push(generate(&site, 20_000).send().await.expect("an answer"));
        }
        let more = join_all((0..6).map(|_| generate(&site, 20_000).send()));
        let body = "{\"tag\":\"small-1/1\",\"tokens\":5}".to_owned();
        let lab = call_without_token(&site, "/generate", body)
            .bearer_auth("token-small-1")
            .header("hawthornmill-timeout-ms", "1500");
        let free = async {
            tokio::time::sleep(Duration::from_millis(500)).await;
            engines(&site).for_each(|e| e.misbehave(&[EngineFault::WrongId]));
            long.pop();
        };

        let answer = tokio::select! {
            (answer, ()) = async { tokio::join!(send(lab), free) } => answer,
            _ = more => panic!("nothing ends"),
        };

        let json = answer.expect("an answer").json();
        let started = engines(&site).any(|e| e.ledger.lock().runs.contains_key("small-1/1"));
        assert!(started);
        assert_eq!(json["outcome"], "unknown");
        site.stop().await;
    });
}

/// Answers of nothing, one byte, several megabytes, and thousands of single bytes, sixteen of them
/// at the same time over one router: every caller gets its own, byte for byte.
#[test]
fn answers_of_every_size_come_through_whole_side_by_side() {
    block_on(async {
        let site = site("").await;
        let shapes = [(0, 1), (1, 1), (5 << 20, 64 << 10), (8000, 1)];
        let calls = (0..16).map(|n| shapes[n % 4]).map(|(length, chunk)| {
            let request = call(&site, "/bytes", bytes_call(length, chunk));
            async move {
                let answer = request.send().await.expect("an answer");
                (length, answer.bytes().await.expect("a whole body"))
            }
        });

        for (length, body) in join_all(calls).await {
            assert_eq!(body.len(), length);
            assert!(body.iter().enumerate().all(|(n, b)| *b == byte(n)));
        }
        site.stop().await;
    });
}

/// A caller closes its connection in the middle of an answer. The engine must stop at once: what
/// it would make for nobody is capacity that others wait for.
#[test]
fn a_caller_that_goes_away_cancels_the_engines_work() {
    block_on(async {
        let site = site("").await;
        let answer = generate(&site, 20_000).send().await.expect("an answer");
        let mut chunks = answer.bytes_stream();
        let first = chunks.next().await;
        assert!(first.is_some_and(|c| c.is_ok()));

        drop(chunks);

        // The whole answer takes a minute.
        tokio::time::sleep(Duration::from_millis(500)).await;
        let running: u32 = engines(&site).map(|e| e.ledger.lock().running).sum();
        assert_eq!((running, runs(&site)), (0, (1, 0)));
        site.stop().await;
    });
}

/// The same while the engine says nothing: no failed write tells the router that nobody listens.
#[test]
fn a_caller_that_leaves_a_silent_answer_cancels_it_too() {
    block_on(async {
        let site = site("").await;
        engines(&site).for_each(|e| e.misbehave(&[EngineFault::Stall(700)]));
        let answer = generate(&site, 100).send().await.expect("an answer");
        let mut chunks = answer.bytes_stream();
        assert!(chunks.next().await.is_some_and(|c| c.is_ok()));

        drop(chunks);

        tokio::time::sleep(Duration::from_millis(700)).await;
        let running: u32 = engines(&site).map(|e| e.ledger.lock().running).sum();
        assert_eq!((running, runs(&site)), (0, (1, 0)));
        site.stop().await;
    });
}

/// Memory that the process of router 0 holds, in bytes.
fn resident(site: &Site) -> usize {
    let pid = site.routers[0].pid().expect("it runs");
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line.and_then(|l| l.split_whitespace().next()?.parse::<usize>().ok());
    kib.expect("the kernel tells it") << 10
}

/// Eight callers open large answers and read nothing for a while. The router must not take in what
/// nobody reads: eight times longer answers hold no more of its memory, a small part of their bytes.
#[test]
fn slow_readers_hold_little_memory() {
    block_on(async {
        let site = site("").await;
        let before = resident(&site);
        let mut grown = Vec::new();
        for length in [16 << 20, 128 << 20] {
            let body = bytes_call(length, 64 << 10);
            let opened = (0..8).map(|_| call(&site, "/bytes", body.clone()).send());
            let answers = join_all(opened).await;
            assert!(answers.iter().all(Result::is_ok));
            tokio::time::sleep(Duration::from_secs(1)).await;
            grown.push(resident(&site).saturating_sub(before) as f64);
            drop(answers);
        }

        let part = grown[1] / (8u64 * (128 << 20)) as f64;
        println!(
            "grown by {part:.4} of the answers, {:.2} times the shorter ones",
            grown[1] / grown[0]
        );
        assert!(part < 0.05, "grown by {part} of the answers");
        assert!(grown[1] < grown[0] * 2.0, "{grown:?}");
        site.stop().await;
    });
}

/// A router is told to leave while a slow reader is in the middle of a large answer. The engine is
/// done long before the reader, who must get the rest all the same.
#[test]
fn a_slow_reader_of_a_leaving_router_gets_its_whole_answer() {
    block_on(async {
        let mut site = site("").await;
        let length = 24 << 20;
        let request = call(&site, "/bytes", bytes_call(length, 64 << 10));
        let mut chunks = request.send().await.expect("an answer").bytes_stream();
        site.routers[0].signal(Signal::SIGTERM);

        let mut read = 0;
        let mut pause = 0;
        while let Some(chunk) = chunks.next().await {
            read += chunk.expect("no cut").len();
            // About four seconds for all of it, beyond the time for which new calls are taken.
            if read >> 18 > pause {
                pause = read >> 18;
                tokio::time::sleep(Duration::from_millis(40)).await;
            }
        }

        assert_eq!(read, length);
        let code = site.routers[0].wait(Duration::from_secs(5)).await;
        assert_eq!(code, Some(0));
        site.stop().await;
    });
}

/// A second signal ends a leaving router at once; it says how many calls it cut.
#[test]
fn a_second_signal_says_what_was_cut() {
    block_on(async {
        let mut site = site("").await;
        let answer = generate(&site, 20_000).send().await.expect("an answer");
        site.routers[0].signal(Signal::SIGTERM);
        tokio::time::sleep(Duration::from_millis(200)).await;
        site.routers[0].signal(Signal::SIGTERM);

        let code = site.routers[0].wait(Duration::from_secs(5)).await;

        let log = std::fs::read_to_string(&site.routers[0].log).unwrap_or_default();
        assert_eq!(code, Some(1));
        assert!(log.contains("1 calls cut: a second signal"), "{log}");
        assert!(answer.bytes().await.is_err(), "the caller sees the cut");
        site.stop().await;
    });
}

proptest! {
    /// However an answer is cut into chunks and wherever it breaks, the part before the break and
    /// the resumed part without what was passed on make up the answer, and only the whole is whole.
    #[test]
    fn a_resumed_answer_is_the_answer(tokens in 0u32..20, at in 0usize..2000, step in 1usize..80) {
        let text = expected(tokens);
        let at = at.min(text.len());
        let mut lines = ResponseLines::default();
        text.as_bytes()[..at].chunks(step).for_each(|c| lines.push(c));
        prop_assert_eq!(lines.is_complete(), at + 1 >= text.len());

        let (count, partial) = lines.resume_point().expect("no line is long");
        let rest: String = text.split_inclusive('\n').skip(count as usize).collect();
        let mut splice = ResumeFilter::new(partial);
        let mut joined = text.as_bytes()[..at].to_vec();
        for chunk in rest.as_bytes().chunks(step) {
            let skip = splice.skip(chunk).expect("it is the same answer");
            joined.extend_from_slice(&chunk[skip..]);
        }

        prop_assert_eq!(joined, text.as_bytes());
        prop_assert!(splice.is_done());
    }
}
