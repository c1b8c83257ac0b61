//! Finds the causes of failed requests from logs alone, as docs/OPERATIONS.md describes.

use std::process::Command;

use serde_json::{Value, json};

use super::fleet::{Fleet, config, request, send_request, wait_until};
use super::scripted_server::Behavior;
use crate::block_on;

/// Runs the tool on the fleet's logs; returns its report on the request `id`.
fn request_history(fleet: &Fleet, id: &str) -> Value {
    let output = Command::new(env!("CARGO_BIN_EXE_hawthornmill-explain"))
        .args(["request", id, "--json"])
        .args(fleet.gateways.iter().map(|g| &g.log))
        .output()
        .expect("the tool starts");
    serde_json::from_slice(&output.stdout).expect("the tool prints JSON")
}

/// Waits until the last log line of the request `id` is written.
async fn wait_until_logged(fleet: &Fleet, id: &str) {
    wait_until("the last line is written", || async {
        fleet
            .gateways
            .iter()
            .any(|g| g.logged("ended").iter().any(|l| l["request"] == id))
    })
    .await;
}

fn step<'a>(history: &'a Value, event: &str) -> &'a Value {
    let steps = history["parts"][0]["steps"]
        .as_array()
        .expect("the report has steps");
    steps
        .iter()
        .find(|l| l["event"] == event)
        .unwrap_or(&Value::Null)
}

fn state_change<'a>(history: &'a Value, event: &str) -> &'a Value {
    let list = history["parts"][0]["believed"]
        .as_array()
        .expect("the report has state changes");
    list.iter()
        .rfind(|l| l["event"] == event)
        .unwrap_or(&Value::Null)
}

/// Failure: the logs don't show that a request was rejected because all servers were draining.
///
/// They must show the state that the instance had, and the revision of the registration.
#[test]
fn refused_request_log_shows_draining_servers() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let revision = fleet.register(&fleet.servers[0], "draining");
        wait_until("the registration is logged", || async {
            fleet.gateways[0]
                .logged("registration")
                .iter()
                .any(|l| l["draining"] == true)
        })
        .await;

        let response = send_request(
            fleet.gateways[0].front(),
            request("GET", "/get/", "id-7", "").as_bytes(),
        )
        .await;
        wait_until_logged(&fleet, "id-7").await;
        let history = request_history(&fleet, "id-7");

        assert_eq!(response.expect("there is a response").status(), 503);
        let ended = step(&history, "ended");
        assert_eq!(
            (&ended["fields"]["outcome"], &ended["fields"]["code"]),
            (&json!("refused"), &json!(3017))
        );
        assert_eq!(ended["fields"]["sends"], 0);
        let refused = &step(&history, "refused")["fields"];
        assert_eq!(
            (&refused["servers"], &refused["draining"]),
            (&json!(1), &json!(1))
        );
        assert_eq!(refused["registrations"], revision);
        let known = &state_change(&history, "registration")["fields"];
        assert_eq!(
            (&known["server"], &known["revision"]),
            (&json!("i-0"), &json!(revision))
        );
    });
}

/// Failure: the logs don't show which server broke off a stream.
///
/// They must also show the last event that the client received, and why no other server continued.
#[test]
fn broken_stream_log_shows_server_and_last_event() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        fleet.servers[0].script(&[Behavior::BrokenStream(3)]);

        let response = send_request(
            fleet.gateways[0].front(),
            request("POST", "/whole/", "id-8", "").as_bytes(),
        )
        .await;
        wait_until_logged(&fleet, "id-8").await;
        let history = request_history(&fleet, "id-8");

        assert!(!response.expect("there is a response").whole);
        let broke = &step(&history, "server_broke_off")["fields"];
        assert_eq!(broke["server"], "i-0");
        let ended = &step(&history, "ended")["fields"];
        assert_eq!(
            (&ended["outcome"], &ended["code"], &ended["last_event"]),
            (&json!("broken_off"), &json!(3016), &json!(3))
        );
        assert_eq!(
            (&ended["servers"], &ended["sends"]),
            (&json!(["i-0"]), &json!(1))
        );
    });
}

/// Failure: the logs don't show which catalog revoked the token of a rejected request.
///
/// They must show its version, and when and from where the instance got it.
#[test]
fn unauthorized_request_log_shows_catalog() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let mut newer = config(6);
        newer["tenants"] = json!([{"name": "lab", "apiKeys": ["key-2"]}]);
        fleet.store.put("op/config", newer.to_string().as_bytes());
        wait_until("the catalog is in force", || async {
            fleet.gateways[0]
                .logged("catalog_in_force")
                .iter()
                .any(|l| l["version"] == 6)
        })
        .await;

        let response = send_request(
            fleet.gateways[0].front(),
            request("GET", "/get/", "id-9", "").as_bytes(),
        )
        .await;
        wait_until_logged(&fleet, "id-9").await;
        let history = request_history(&fleet, "id-9");

        assert_eq!(response.expect("there is a response").status(), 401);
        assert_eq!(step(&history, "ended")["fields"]["code"], 3001);
        let catalog = &state_change(&history, "catalog_in_force")["fields"];
        assert_eq!(
            (&catalog["version"], &catalog["before"], &catalog["from"]),
            (&json!(6), &json!(1), &json!("store"))
        );
    });
}

/// Failure: the tool does not tell that log lines were dropped, cut or in an unexpected format.
#[test]
fn missing_log_lines_are_reported() {
    let log = concat!(
        "10.5 g1 {\"event\":\"admitted\",\"request\":\"a\",\"time_ms\":5}\n",
        "half a line {\"event\":\"adm\n",
        "{\"event\":\"lines_dropped\",\"ordinary\":4,\"others\":1}\n",
    );

    let part = hawthornmill_tools::request::read("g1.log", log, "a").expect("there is a line");

    assert_eq!(part.steps.len(), 1);
    assert_eq!(part.missing.len(), 3, "{:?}", part.missing);
    assert!(part.missing.iter().any(|m| m.starts_with("5 lines")));
    assert_eq!(hawthornmill_tools::request::read("g1.log", log, "b"), None);
}
