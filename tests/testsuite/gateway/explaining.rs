//! Causes of three kinds of failed request, found from logs alone as docs/OPERATIONS.md says.

use std::process::Command;

use serde_json::{Value, json};

use super::fleet::{Fleet, call, config, request, until};
use super::scripted_server::Behavior;
use crate::block_on;

/// The story of `id` that the tool tells from the fleet's logs.
fn story(fleet: &Fleet, id: &str) -> Value {
    let output = Command::new(env!("CARGO_BIN_EXE_hawthornmill-explain"))
        .args(["request", id, "--json"])
        .args(fleet.gateways.iter().map(|g| &g.log))
        .output()
        .expect("the tool starts");
    serde_json::from_slice(&output.stdout).expect("the tool prints JSON")
}

/// Waits until the last line of `id` is written.
async fn written(fleet: &Fleet, id: &str) {
    until("the last line is written", || async {
        fleet
            .gateways
            .iter()
            .any(|g| g.logged("ended").iter().any(|l| l["request"] == id))
    })
    .await;
}

fn step<'a>(story: &'a Value, event: &str) -> &'a Value {
    let steps = story["parts"][0]["steps"]
        .as_array()
        .expect("the story has steps");
    steps
        .iter()
        .find(|l| l["event"] == event)
        .unwrap_or(&Value::Null)
}

fn belief<'a>(story: &'a Value, event: &str) -> &'a Value {
    let list = story["parts"][0]["believed"]
        .as_array()
        .expect("the story has beliefs");
    list.iter()
        .rfind(|l| l["event"] == event)
        .unwrap_or(&Value::Null)
}

/// A caller was refused though servers were there: every one of them was draining, and the log shows
/// that this instance believed so and since which revision.
#[test]
fn a_refusal_shows_what_the_instance_believed_of_the_servers() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let revision = fleet.register(&fleet.servers[0], "draining");
        until("the word is known", || async {
            fleet.gateways[0]
                .logged("registration")
                .iter()
                .any(|l| l["draining"] == true)
        })
        .await;

        let answer = call(
            fleet.gateways[0].front(),
            request("GET", "/get/", "id-7", "").as_bytes(),
        )
        .await;
        written(&fleet, "id-7").await;
        let story = story(&fleet, "id-7");

        assert_eq!(answer.expect("there is an answer").status(), 503);
        let ended = step(&story, "ended");
        assert_eq!(
            (&ended["fields"]["outcome"], &ended["fields"]["code"]),
            (&json!("refused"), &json!(3017))
        );
        assert_eq!(ended["fields"]["sends"], 0);
        let refused = &step(&story, "refused")["fields"];
        assert_eq!(
            (&refused["servers"], &refused["draining"]),
            (&json!(1), &json!(1))
        );
        assert_eq!(refused["registrations"], revision);
        let known = &belief(&story, "registration")["fields"];
        assert_eq!(
            (&known["server"], &known["revision"]),
            (&json!("i-0"), &json!(revision))
        );
    });
}

/// A stream broke off midway: the log names the server, the last event that the caller has, and why
/// no other server went on.
#[test]
fn a_broken_stream_shows_the_server_and_the_last_event() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        fleet.servers[0].script(&[Behavior::BrokenStream(3)]);

        let answer = call(
            fleet.gateways[0].front(),
            request("POST", "/whole/", "id-8", "").as_bytes(),
        )
        .await;
        written(&fleet, "id-8").await;
        let story = story(&fleet, "id-8");

        assert!(!answer.expect("there is an answer").whole);
        let broke = &step(&story, "server_broke_off")["fields"];
        assert_eq!(broke["server"], "i-0");
        let ended = &step(&story, "ended")["fields"];
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

/// A token was taken away, and its caller is refused: the log shows the version of the catalog by
/// which it was, and when that came into force and from where.
#[test]
fn an_unauthorised_request_shows_the_catalog_that_refused_it() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let mut newer = config(6);
        newer["tenants"] = json!([{"name": "lab", "apiKeys": ["key-2"]}]);
        fleet.store.put("op/config", newer.to_string().as_bytes());
        until("it is in force", || async {
            fleet.gateways[0]
                .logged("catalog_in_force")
                .iter()
                .any(|l| l["version"] == 6)
        })
        .await;

        let answer = call(
            fleet.gateways[0].front(),
            request("GET", "/get/", "id-9", "").as_bytes(),
        )
        .await;
        written(&fleet, "id-9").await;
        let story = story(&fleet, "id-9");

        assert_eq!(answer.expect("there is an answer").status(), 401);
        assert_eq!(step(&story, "ended")["fields"]["code"], 3001);
        let catalog = &belief(&story, "catalog_in_force")["fields"];
        assert_eq!(
            (&catalog["version"], &catalog["before"], &catalog["from"]),
            (&json!(6), &json!(1), &json!("store"))
        );
    });
}

#[test]
fn a_story_says_which_lines_are_missing() {
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
