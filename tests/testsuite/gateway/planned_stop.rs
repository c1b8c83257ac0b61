//! Requests that a planned stop could cut.

use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::{Value, json};

use super::behavior::Behavior;
use super::fleet::{Client, Fleet, Response, config, request, route, send_request, wait_until};
use crate::block_on;

/// Time that the platform gives a process to stop.
const GRACE: Duration = Duration::from_secs(3);
/// Longer than the grace.
const LONG_WORK_MS: u64 = 6_000;

/// Starts a gateway with long timeouts, in front of one server; clients keep the directory's answers for `ttl_s` seconds.
async fn start(ttl_s: f64) -> Fleet {
    let mut fleet = Fleet::prepare(1, 1).await;
    let mut config = config(1);
    let routes = config["routes"].as_array_mut().expect("routes are a list");
    for (name, kind, more) in [
        ("long", "non_idempotent", json!({"timeoutMs": 15_000})),
        (
            "again",
            "idempotent",
            json!({"timeoutMs": 15_000, "targetLatencyMs": 9_000, "maxAttempts": 1}),
        ),
        (
            "flow",
            "streaming",
            json!({"timeoutMs": 15_000, "resumable": false}),
        ),
    ] {
        routes.push(route(name, kind, &more));
    }
    fleet.store.put("op/config", config.to_string().as_bytes());
    let gateway = &mut fleet.gateways[0];
    let promises = format!("grace_s = {}\nttl_s = {ttl_s}\n", GRACE.as_secs());
    set_promises(gateway, &promises);
    gateway.start();
    wait_until("the gateway is ready", || fleet.gateways[0].is_ready()).await;
    fleet
}

/// Sets these lines in place of those of the same keys in the gateway's settings.
fn set_promises(gateway: &super::fleet::Gateway, lines: &str) {
    let text = std::fs::read_to_string(&gateway.config).expect("the settings can be read");
    let is_other = |line: &&str| !line.starts_with("grace_s") && !line.starts_with("ttl_s");
    let kept: Vec<&str> = text.lines().filter(is_other).collect();
    let promises = format!("[promises]\n{lines}");
    let text = (kept.join("\n") + "\n").replace("[promises]\n", &promises);
    assert!(text.contains(lines), "there is a section for them");
    std::fs::write(&gateway.config, text).expect("the settings can be written");
}

fn long_request(method: &str, path: &str, id: &str) -> String {
    request(method, path, id, "").replace("Deadline-Ms: 5000", "Deadline-Ms: 14000")
}

fn error_number(response: &Response) -> u64 {
    let body: Value = serde_json::from_slice(&response.body).unwrap_or_default();
    body["code"].as_u64().unwrap_or_default()
}

async fn send_stop(fleet: &Fleet) {
    fleet.gateways[0].signal(Signal::SIGTERM);
    wait_until("the process leaves", || async {
        !fleet.gateways[0].logged("leaving").is_empty()
    })
    .await;
}

/// Failure: a request that may not run twice comes to a process that stops, is passed on, and is cut without an answer.
#[test]
fn stopping_process_takes_no_booking_that_it_may_cut() {
    block_on(async {
        let fleet = start(0.5).await;
        let work = [(); 3].map(|()| Behavior::RespondAfterMs(LONG_WORK_MS));
        fleet.servers[0].script(&work);
        let front = fleet.gateways[0].front();
        send_stop(&fleet).await;

        for path in ["/long/", "/flow/"] {
            let late = send_request(front, long_request("POST", path, "late").as_bytes()).await;

            let late = late.expect("the client is told");
            assert_eq!((late.status(), error_number(&late)), (503, 3009), "{path}");
            assert_eq!(late.field("retry-after"), Some("0.010"), "{path}");
        }
        assert_eq!(fleet.runs(), 0);
    });
}

/// Failure: a process that stops turns away a request that it has time for.
#[test]
fn stopping_process_takes_a_booking_that_it_can_answer() {
    block_on(async {
        let fleet = start(0.5).await;
        fleet.servers[0].script(&[Behavior::RespondAfterMs(500)]);
        let front = fleet.gateways[0].front();
        send_stop(&fleet).await;

        let short = request("POST", "/once/", "short", "").replace("5000", "1500");
        let response = send_request(front, short.as_bytes()).await;
        let repeatable = send_request(front, long_request("GET", "/again/", "b").as_bytes()).await;

        assert_eq!(response.expect("the client is told").status(), 200);
        assert_eq!(repeatable.expect("the client is told").status(), 200);
    });
}

/// Failure: requests that are under way at the end of the grace are cut without an answer, or the process is still taking
/// requests then, since clients keep the directory's answers for long.
#[test]
fn requests_at_the_end_of_the_grace_are_answered() {
    block_on(async {
        let mut fleet = start(5.0).await;
        let work = [(); 4].map(|()| Behavior::RespondAfterMs(LONG_WORK_MS));
        fleet.servers[0].script(&work);
        let mut clients = Vec::new();
        for (number, (method, path)) in [("POST", "/long/"), ("GET", "/again/"), ("POST", "/flow/")]
            .into_iter()
            .enumerate()
        {
            let mut client = Client::connect(fleet.gateways[0].front()).await;
            let id = format!("under-way-{number}");
            client
                .send(long_request(method, path, &id).as_bytes())
                .await;
            wait_until("the server has it", || async { fleet.runs() > number }).await;
            clients.push((path, client));
        }
        send_stop(&fleet).await;
        let mut unaware = Client::connect(fleet.gateways[0].front()).await;
        unaware
            .send(long_request("GET", "/again/", "unaware").as_bytes())
            .await;
        clients.push(("/again/ after the signal", unaware));

        for (what, mut client) in clients {
            let response = client.read().await;

            let response = response.unwrap_or_else(|| panic!("{what} is cut"));
            assert_eq!(
                (response.status(), error_number(&response)),
                (502, 3038),
                "{what}"
            );
            assert!(response.whole, "{what}");
        }
        wait_until("the process ends", || {
            let ended = fleet.gateways[0].exit_code();
            async move { ended.is_some() }
        })
        .await;
        assert_eq!(fleet.gateways[0].logged("stop")[0]["requests_cut"], 4);
    });
}

/// Failure: requests that wait for a server at the end of the grace are cut, or are said to have run perhaps.
#[test]
fn waiting_requests_are_told_that_they_did_not_run() {
    block_on(async {
        let fleet = start(0.5).await;
        let work = [(); 40].map(|()| Behavior::RespondAfterMs(LONG_WORK_MS));
        fleet.servers[0].script(&work);
        let mut clients = Vec::new();
        for number in 0..12 {
            let mut client = Client::connect(fleet.gateways[0].front()).await;
            let id = format!("waiting-{number}");
            client
                .send(long_request("GET", "/again/", &id).as_bytes())
                .await;
            clients.push(client);
        }
        wait_until("the server is full", || async { fleet.runs() >= 4 }).await;
        send_stop(&fleet).await;

        let mut told = Vec::new();
        for mut client in clients {
            let response = client.read().await.expect("each client is told");
            assert!(response.whole);
            told.push((response.status(), error_number(&response)));
        }

        let ran = told.iter().filter(|t| **t == (502, 3038)).count();
        assert_eq!(ran, fleet.runs(), "{told:?}");
        let waiting = told.iter().filter(|t| matches!(t.0, 429 | 503)).count();
        assert_eq!(ran + waiting, told.len(), "{told:?}");
        assert!(waiting > 0, "{told:?}");
    });
}
