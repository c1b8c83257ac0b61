//! Callers get their own complete response, from faulty servers and also if they read slowly.

use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::join_all;
use hawthornmill::response::{ResponseLines, ResumeFilter};
use hawthornmill_lab::demo::site::{Site, SitePlan, Standin};
use hawthornmill_lab::standin::engine::{EngineFault, Generate, as_events, byte, last_line, line};
use hawthornmill_test_support::procs::{DOMAINS, send, small_fleet, start};
use nix::sys::signal::Signal;
use proptest::prelude::*;

use crate::{ROUTER, block_on};

const TAG: &str = "big/1";

/// Starts one router, with `rule` added to the service's section of the configuration.
async fn start_site(rule: &str) -> Site {
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

fn run_counts(site: &Site) -> (u32, u32) {
    let runs = engines(site).map(|e| e.ledger.lock().runs.get(TAG).cloned().unwrap_or_default());
    runs.fold((0, 0), |(s, f), r| (s + r.started, f + r.finished))
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

fn expected_body(tokens: u32) -> String {
    let mut text: String = (0..tokens).map(|n| line(TAG, n)).collect();
    text.push_str(&last_line(&Generate {
        tag: TAG.into(),
        tokens,
        from: 0,
        events: false,
    }));
    text
}

/// Body of a request for the engine's bytes 0 to `length`.
fn bytes_request(length: usize, chunk: usize) -> String {
    format!("{{\"tag\":\"{TAG}\",\"bytes\":{length},\"chunk\":{chunk}}}")
}

/// An engine's response is cut off, ends without its last line, or stalls. The caller must see that
/// what it got is truncated, since a truncated text looks like a short one.
#[test]
fn truncated_response_is_not_forwarded_as_complete() {
    let faults = [EngineFault::Cut, EngineFault::End, EngineFault::Stall];
    block_on(check_faults(
        "complete = done-line\nstall_ms = 300",
        &faults,
    ));
}

/// Without a rule for completeness, a chunked response whose connection broke must not end normally
/// at the caller, as the HTTP library would end it.
#[test]
fn broken_connection_is_visible_to_caller() {
    block_on(check_faults(
        "stall_ms = 300",
        &[EngineFault::Cut, EngineFault::Stall],
    ));
}

async fn check_faults(rule: &str, faults: &[fn(usize) -> EngineFault]) {
    let site = start_site(rule).await;
    for fault in faults {
        engines(&site).for_each(|e| e.misbehave(&[fault(700)]));

        let responses = [
            send(generate(&site, 100)).await,
            send(generate(&site, 100)).await,
            send(generate(&site, 100)).await,
        ];

        let truncated = responses.iter().filter(|a| a.is_none()).count();
        let complete = responses
            .iter()
            .flatten()
            .filter(|a| a.text == expected_body(100));
        assert_eq!(
            truncated + complete.count(),
            3,
            "{:?} was forwarded as complete",
            fault(700)
        );
        assert!(truncated > 0);
        // The engine sees a closed connection a moment later.
        tokio::time::sleep(Duration::from_millis(300)).await;
        let running: u32 = engines(&site).map(|e| e.ledger.lock().running).sum();
        assert_eq!(running, 0, "{:?} left a call running", fault(700));
    }
    site.stop().await;
}

fn event_call(site: &Site) -> reqwest::RequestBuilder {
    let body = format!("{{\"tag\":\"{TAG}\",\"tokens\":40,\"events\":true}}");
    call(site, "/generate", body)
}

/// Failure: a server ends an event stream in order inside an event, and its caller takes the part for the whole.
#[test]
fn event_stream_cut_inside_event_is_not_complete() {
    block_on(async {
        let site = start_site("").await;
        engines(&site).for_each(|e| e.misbehave(&[EngineFault::End(300)]));

        let mut responses = Vec::new();
        for _ in 0..4 {
            responses.push(send(event_call(&site)).await);
        }

        let whole = as_events(&expected_body(40));
        let complete = responses.iter().flatten();
        assert!(
            complete.clone().all(|r| r.text == whole),
            "a part looks complete"
        );
        assert!(
            (1..4).contains(&complete.count()),
            "each engine cuts its first stream"
        );
        site.stop().await;
    });
}

/// Failure: the answer that is kept for repeats of a keyed call is an event stream that was cut.
#[test]
fn cut_event_stream_is_not_kept_for_repeats() {
    block_on(async {
        let site = start_site("repeat = never").await;
        engines(&site).for_each(|e| e.misbehave(&[EngineFault::End(300)]));
        let url = format!("http://{}/v1/addresses", site.routers[0].listed.http);
        let client = reqwest::Client::new();
        let addresses = send(client.get(url).bearer_auth("token-big")).await;
        let addresses = addresses.expect("the router responds").json();
        let key = format!("{}.1", addresses["key_prefix"].as_str().unwrap_or_default());

        let first = send(event_call(&site).header("idempotency-key", &key)).await;
        let second = send(event_call(&site).header("idempotency-key", &key)).await;

        for response in [first, second] {
            let response = response.expect("the router responds");
            assert_eq!(response.json()["outcome"], "unknown", "{}", response.text);
        }
        site.stop().await;
    });
}

/// Failure: the last line of a response is longer than the part of a line that is kept, and the whole response counts as cut.
#[test]
fn long_last_line_ends_complete_response() {
    let text = format!("{{\"text\":\"{}\",\"done\":true}}", "x".repeat(100_000));
    let mut lines = ResponseLines::default();

    lines.push(text.as_bytes());

    assert!(lines.is_complete());
    assert_eq!(lines.resume_point(), None);
    lines.push(b"\n");
    assert!(lines.is_complete());
}

/// If the service allows its responses to be resumed, the caller of an interrupted response must
/// get every byte once and in order, without noticing the interruption.
#[test]
fn interrupted_response_is_resumed() {
    block_on(async {
        let site = start_site("complete = done-line\nresume = from\nstall_ms = 300").await;
        for fault in [EngineFault::Cut, EngineFault::End, EngineFault::Stall] {
            engines(&site).for_each(|e| e.misbehave(&[fault(701)]));
            let before = run_counts(&site);

            let response = send(generate(&site, 100)).await;

            assert_eq!(response.map(|a| a.text), Some(expected_body(100)));
            let after = run_counts(&site);
            assert!(after.0 - before.0 >= 2, "the response was not resumed");
            assert_eq!(after.1 - before.1, 1);
        }
        site.stop().await;
    });
}

/// Engines respond with the ID of another request. The response must not reach the caller, and a
/// call that may be retried is sent again.
#[test]
fn response_to_another_request_is_not_forwarded() {
    block_on(async {
        let site = start_site("").await;
        engines(&site).for_each(|e| e.misbehave(&[EngineFault::WrongId; 4]));

        let response = send(generate(&site, 10))
            .await
            .expect("the router responds");

        assert_eq!(response.json()["code"], 3018);
        assert_eq!(response.json()["outcome"], "unknown");
        assert!(!response.text.contains("token"));
        site.stop().await;
    });
}

/// All slots are in use, and a call gets one after waiting. The engine's response is for another
/// request, so the call waits for a slot again, while others hold it, until its deadline passes.
/// This last wait ran nothing, but the first attempt did run the call, so `not_run` would be wrong.
#[test]
fn rejected_retry_does_not_report_not_run() {
    block_on(async {
        let site = start_site("").await;
        // Takes all twelve slots; further calls wait behind them.
        let mut occupying = Vec::new();
        for _ in 0..12 {
            occupying.push(
                generate(&site, 20_000)
                    .send()
                    .await
                    .expect("the router responds"),
            );
        }
        let queued = join_all((0..6).map(|_| generate(&site, 20_000).send()));
        let body = "{\"tag\":\"small-1/1\",\"tokens\":5}".to_owned();
        let retried = call_without_token(&site, "/generate", body)
            .bearer_auth("token-small-1")
            .header("hawthornmill-timeout-ms", "1500");
        let free_slot = async {
            tokio::time::sleep(Duration::from_millis(500)).await;
            engines(&site).for_each(|e| e.misbehave(&[EngineFault::WrongId]));
            occupying.pop();
        };

        let response = tokio::select! {
            (response, ()) = async { tokio::join!(send(retried), free_slot) } => response,
            _ = queued => panic!("no queued call ends"),
        };

        let json = response.expect("the router responds").json();
        let started = engines(&site).any(|e| e.ledger.lock().runs.contains_key("small-1/1"));
        assert!(started);
        assert_eq!(json["outcome"], "unknown");
        site.stop().await;
    });
}

/// Sixteen concurrent responses through one router, empty, of one byte, of 5 MiB, and of 8000
/// single-byte chunks: every caller must get its own, byte for byte.
#[test]
fn concurrent_responses_of_all_sizes_are_complete() {
    block_on(async {
        let site = start_site("").await;
        let shapes = [(0, 1), (1, 1), (5 << 20, 64 << 10), (8000, 1)];
        let calls = (0..16).map(|n| shapes[n % 4]).map(|(length, chunk)| {
            let request = call(&site, "/bytes", bytes_request(length, chunk));
            async move {
                let response = request.send().await.expect("the router responds");
                (length, response.bytes().await.expect("a complete body"))
            }
        });

        for (length, body) in join_all(calls).await {
            assert_eq!(body.len(), length);
            assert!(body.iter().enumerate().all(|(n, b)| *b == byte(n)));
        }
        site.stop().await;
    });
}

/// A caller closes its connection during a response. The engine must stop at once, since others
/// wait for the capacity that the rest of the response would use.
#[test]
fn disconnected_caller_cancels_engine_call() {
    block_on(async {
        let site = start_site("").await;
        let response = generate(&site, 20_000)
            .send()
            .await
            .expect("the router responds");
        let mut chunks = response.bytes_stream();
        let first = chunks.next().await;
        assert!(first.is_some_and(|c| c.is_ok()));

        drop(chunks);

        // The complete response takes a minute.
        tokio::time::sleep(Duration::from_millis(500)).await;
        let running: u32 = engines(&site).map(|e| e.ledger.lock().running).sum();
        assert_eq!((running, run_counts(&site)), (0, (1, 0)));
        site.stop().await;
    });
}

/// A caller disconnects while the engine stalls, when no failed write reveals it to the router.
#[test]
fn disconnect_during_stall_cancels_engine_call() {
    block_on(async {
        let site = start_site("").await;
        engines(&site).for_each(|e| e.misbehave(&[EngineFault::Stall(700)]));
        let response = generate(&site, 100)
            .send()
            .await
            .expect("the router responds");
        let mut chunks = response.bytes_stream();
        assert!(chunks.next().await.is_some_and(|c| c.is_ok()));

        drop(chunks);

        tokio::time::sleep(Duration::from_millis(700)).await;
        let running: u32 = engines(&site).map(|e| e.ledger.lock().running).sum();
        assert_eq!((running, run_counts(&site)), (0, (1, 0)));
        site.stop().await;
    });
}

/// Resident memory of router 0 in bytes.
fn resident_bytes(site: &Site) -> usize {
    let pid = site.routers[0].pid().expect("the router is running");
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line.and_then(|l| l.split_whitespace().next()?.parse::<usize>().ok());
    kib.expect("the kernel reports VmRSS") << 10
}

/// Eight callers open large responses and read nothing for a while. The router must not buffer what
/// nobody reads: responses eight times as long must not use much more memory, and only a small part
/// of their size.
#[test]
fn slow_readers_use_little_memory() {
    block_on(async {
        let site = start_site("").await;
        let before = resident_bytes(&site);
        let mut growth = Vec::new();
        for length in [16 << 20, 128 << 20] {
            let body = bytes_request(length, 64 << 10);
            let opened = (0..8).map(|_| call(&site, "/bytes", body.clone()).send());
            let responses = join_all(opened).await;
            assert!(responses.iter().all(Result::is_ok));
            tokio::time::sleep(Duration::from_secs(1)).await;
            growth.push(resident_bytes(&site).saturating_sub(before) as f64);
            drop(responses);
        }

        let ratio = growth[1] / (8u64 * (128 << 20)) as f64;
        println!(
            "memory grew by {ratio:.4} of the response bytes, {:.2} times as much as for short ones",
            growth[1] / growth[0]
        );
        assert!(ratio < 0.05, "memory grew by {ratio} of the response bytes");
        assert!(growth[1] < growth[0] * 2.0, "{growth:?}");
        site.stop().await;
    });
}

/// A router shuts down while a slow reader receives a large response. The engine finishes long
/// before the reader, which must still get the rest.
#[test]
fn slow_reader_gets_complete_response_during_shutdown() {
    block_on(async {
        let mut site = start_site("").await;
        let length = 24 << 20;
        let request = call(&site, "/bytes", bytes_request(length, 64 << 10));
        let mut chunks = request
            .send()
            .await
            .expect("the router responds")
            .bytes_stream();
        site.routers[0].signal(Signal::SIGTERM);

        let mut read = 0;
        let mut pause = 0;
        while let Some(chunk) = chunks.next().await {
            read += chunk.expect("the response is not interrupted").len();
            // About four seconds in total, longer than new calls are accepted after the signal.
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

/// A second signal stops a router that is shutting down, which logs how many calls it interrupted.
#[test]
fn second_signal_reports_interrupted_calls() {
    block_on(async {
        let mut site = start_site("").await;
        let response = generate(&site, 20_000)
            .send()
            .await
            .expect("the router responds");
        site.routers[0].signal(Signal::SIGTERM);
        tokio::time::sleep(Duration::from_millis(200)).await;
        site.routers[0].signal(Signal::SIGTERM);

        let code = site.routers[0].wait(Duration::from_secs(5)).await;

        let log = std::fs::read_to_string(&site.routers[0].log).unwrap_or_default();
        assert_eq!(code, Some(1));
        assert!(log.contains("1 calls cut: a second signal"), "{log}");
        assert!(
            response.bytes().await.is_err(),
            "the caller took a truncated response for complete"
        );
        site.stop().await;
    });
}

/// Whether a JSON object on one line, without its line end, has the field `done` with the value true.
fn is_last_line(line: &str) -> bool {
    let value: Result<serde_json::Value, _> = serde_json::from_str(line);
    value.is_ok_and(|v| v["done"] == serde_json::Value::Bool(true))
}

proptest! {
    /// However a response is split into chunks and wherever it is interrupted, the part before the
    /// interruption and the filtered resumed part make up the original, and only the complete
    /// response counts as complete.
    #[test]
    fn resumed_response_is_identical(tokens in 0u32..20, at in 0usize..2000, step in 1usize..80) {
        let text = expected_body(tokens);
        let at = at.min(text.len());
        let mut lines = ResponseLines::default();
        text.as_bytes()[..at].chunks(step).for_each(|c| lines.push(c));
        prop_assert_eq!(lines.is_complete(), at + 1 >= text.len());

        let (count, partial) = lines.resume_point().expect("no line exceeds the limit");
        let rest: String = text.split_inclusive('\n').skip(count as usize).collect();
        let mut resume_filter = ResumeFilter::new(partial);
        let mut joined = text.as_bytes()[..at].to_vec();
        for chunk in rest.as_bytes().chunks(step) {
            let skip = resume_filter.skip(chunk).expect("the resumed response is the same");
            joined.extend_from_slice(&chunk[skip..]);
        }

        prop_assert_eq!(joined, text.as_bytes());
        prop_assert!(resume_filter.is_done());
    }

    #[test]
    fn last_line_is_recognized_at_any_cut_and_split(
        text in "[a-z\"\\\\{}:,]{0,12}", done in any::<bool>(), space in " {0,2}", at in 0_usize..80, split in 0_usize..80,
    ) {
        let text = serde_json::to_string(&text).expect("a text can be written as JSON");
        let line = format!("{{\"text\":{text},\"done\":{space}{done},\"usage\":{{\"cost\":1}}}}");
        let cut = &line[..at.min(line.len())];
        let (first, second) = cut.split_at(split.min(cut.len()));
        let mut lines = ResponseLines::default();

        lines.push(first.as_bytes());
        lines.push(second.as_bytes());

        prop_assert_eq!(lines.is_complete(), is_last_line(cut), "{}", cut);
    }
}
