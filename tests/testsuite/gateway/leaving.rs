//! Signals: stopping in order, reloading, refusing faulty settings.

use std::time::Duration;

use nix::sys::signal::Signal;

use super::fleet::{Caller, Fleet, call, request, until};
use super::scripted_server::Behavior;
use crate::block_on;

/// An operator stops an instance in the middle of answers. Cut off, their callers could not tell
/// what ran; and callers that have not heard of it yet must still be served.
#[test]
fn a_stop_cuts_nothing_and_the_directory_names_others() {
    block_on(async {
        let mut fleet = Fleet::start(2, 1).await;
        fleet.servers[0].script(&[Behavior::RespondAfterMs(1_500)]);
        let mut caller = Caller::connect(fleet.gateways[0].front()).await;
        caller
            .send(request("POST", "/once/", "long", "").as_bytes())
            .await;
        until("the server has it", || async { fleet.runs() == 1 }).await;

        fleet.gateways[0].signal(Signal::SIGTERM);
        until("it is not ready", || async {
            !fleet.gateways[0].is_ready().await
        })
        .await;
        let late = call(
            fleet.gateways[0].front(),
            request("GET", "/get/", "late", "").as_bytes(),
        )
        .await;
        let front = fleet.gateways[0].front();
        until("others are named", || async {
            let named = fleet.gateways[1].named().await;
            !named.is_empty() && !named.contains(&front)
        })
        .await;
        let answer = caller.read().await.expect("the answer comes");
        until("it ends", || {
            let ended = fleet.gateways[0].ended();
            async move { ended.is_some() }
        })
        .await;

        assert_eq!(late.expect("an early caller is served").status(), 200);
        assert_eq!((answer.status(), answer.field("connection")), (200, None));
        assert_eq!(fleet.gateways[0].ended(), Some(0));
        assert_eq!(fleet.gateways[0].logged("stop").len(), 1);
    });
}

/// A process gets no processor for a second. Callers send requests meanwhile and give up; their requests
/// and the ends of their connections lie in its sockets. Sent on when it wakes, they would take servers'
/// places for nobody, or run what a caller has tried elsewhere since.
#[test]
fn a_request_whose_caller_left_before_it_was_read_goes_nowhere() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let gateway = &fleet.gateways[0];
        let warm = request("POST", "/once/", "warm", "");
        let warm = call(gateway.front(), warm.as_bytes()).await;
        assert_eq!(warm.map(|a| a.status()), Some(200));

        gateway.signal(Signal::SIGSTOP);
        for number in 0..20 {
            let mut caller = Caller::connect(gateway.front()).await;
            let text = request("POST", "/once/", &format!("left-{number}"), "");
            caller.send(text.as_bytes()).await;
        }
        gateway.signal(Signal::SIGCONT);
        let after = request("POST", "/once/", "after", "");
        let after = call(gateway.front(), after.as_bytes()).await;

        assert_eq!(after.map(|a| a.status()), Some(200));
        assert_eq!(fleet.servers[0].received().len(), 2);
    });
}

#[test]
fn a_reload_ends_nothing_and_faulty_settings_change_nothing() {
    block_on(async {
        let mut fleet = Fleet::start(1, 1).await;
        let sound =
            std::fs::read_to_string(&fleet.gateways[0].config).expect("the settings can be read");
        std::fs::write(
            &fleet.gateways[0].config,
            format!("{sound}\n[listen]\nfront = nowhere\n"),
        )
        .expect("the settings can be written");

        fleet.gateways[0].signal(Signal::SIGHUP);
        until("the fault is logged", || async {
            !fleet.gateways[0].logged("settings_refused").is_empty()
        })
        .await;
        std::fs::write(
            &fleet.gateways[0].config,
            sound.replace("ttl_s = 0.3", "ttl_s = 0.4"),
        )
        .expect("the settings can be written");
        fleet.gateways[0].signal(Signal::SIGHUP);
        until("the settings are in force", || async {
            !fleet.gateways[0].logged("settings_in_force").is_empty()
        })
        .await;
        let answer = call(
            fleet.gateways[0].front(),
            request("GET", "/get/", "a", "").as_bytes(),
        )
        .await;

        assert_eq!(answer.expect("there is an answer").status(), 200);
        assert_eq!(fleet.gateways[0].ended(), None);
    });
}

#[test]
fn faulty_settings_end_a_start_with_every_fault() {
    let dir = std::env::temp_dir().join(format!("hawthornmill-faults-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("the directory can be made");
    let file = dir.join("g.ini");
    std::fs::write(
        &file,
        "[instance]\nname = g\ndomain = a\nregoin = north\n\n[lisen]\n",
    )
    .expect("the settings can be written");

    let output = std::process::Command::new(env!("CARGO_BIN_EXE_hawthornmill-gateway"))
        .arg("--config")
        .arg(&file)
        .output()
        .expect("the program starts");

    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    let _removed = std::fs::remove_dir_all(&dir);
    assert_eq!(output.status.code(), Some(2));
    for part in [
        "error 1004: unknown key `regoin`; did you mean `region`?",
        "error 1003",
        "error 1005",
    ] {
        assert!(text.contains(part), "{part} is missing in {text}");
    }
}

/// Waits until the gateway has logged a registration with `word` set, and checks that the first
/// server gets none of the requests that come after.
async fn gets_nothing_new(fleet: &Fleet, word: &str) {
    until("its word is known", || async {
        let known = fleet.gateways[0].logged("registration");
        known.iter().any(|l| l[word] == true)
    })
    .await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    let before = fleet.servers[0].received().len();

    for number in 0..10 {
        let text = request("GET", "/get/", &format!("{number}"), "");
        let answer = call(fleet.gateways[0].front(), text.as_bytes()).await;
        assert_eq!(answer.expect("there is an answer").status(), 200);
    }

    assert_eq!(fleet.servers[0].received().len(), before);
}

/// A server drains while requests go on; none may reach it once its word is known.
#[test]
fn a_draining_server_gets_nothing_new() {
    block_on(async {
        let fleet = Fleet::start(1, 2).await;

        fleet.register(&fleet.servers[0], "draining");

        gets_nothing_new(&fleet, "draining").await;
    });
}

/// A server never says that it drains; its entry is just removed.
#[test]
fn a_server_whose_entry_is_removed_gets_nothing_new() {
    block_on(async {
        let fleet = Fleet::start(1, 2).await;

        fleet.store.remove("servers/i-0");

        gets_nothing_new(&fleet, "gone").await;
    });
}

#[test]
fn metrics_count_requests_by_outcome() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let front = fleet.gateways[0].front();
        let _served = call(front, request("GET", "/get/", "a", "").as_bytes()).await;
        let _refused = call(front, request("GET", "/none/", "b", "").as_bytes()).await;

        let text = fleet.gateways[0].metrics().await;

        for line in [
            "hawthornmill_requests_total{service=\"app\",outcome=\"answered\"} 1",
            "hawthornmill_requests_total{service=\"none\",outcome=\"failed\"} 1",
            "hawthornmill_begin_milliseconds_count{service=\"app\"} 1",
            "hawthornmill_catalog_version 1",
        ] {
            assert!(text.contains(line), "{line} is missing in\n{text}");
        }
    });
}
