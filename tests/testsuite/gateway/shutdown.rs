//! Shutdown, settings reload, invalid settings, and servers that leave.

use std::time::Duration;

use nix::sys::signal::Signal;

use super::fleet::{Client, Fleet, request, send_request, wait_until};
use super::scripted_server::Behavior;
use crate::block_on;

/// Failure: a shutdown cuts off requests in flight, and their clients can't tell what ran.
///
/// Requests of clients that have not yet heard of the shutdown must be served, too.
#[test]
fn shutdown_cuts_no_request_and_directory_lists_others() {
    block_on(async {
        let mut fleet = Fleet::start(2, 1).await;
        fleet.servers[0].script(&[Behavior::RespondAfterMs(1_500)]);
        let mut client = Client::connect(fleet.gateways[0].front()).await;
        client
            .send(request("POST", "/once/", "long", "").as_bytes())
            .await;
        wait_until("the server has it", || async { fleet.runs() == 1 }).await;

        fleet.gateways[0].signal(Signal::SIGTERM);
        wait_until("the instance is not ready", || async {
            !fleet.gateways[0].is_ready().await
        })
        .await;
        let unaware = send_request(
            fleet.gateways[0].front(),
            request("GET", "/get/", "late", "").as_bytes(),
        )
        .await;
        let front = fleet.gateways[0].front();
        wait_until("only the other instance is listed", || async {
            let named = fleet.gateways[1].listed_addresses().await;
            !named.is_empty() && !named.contains(&front)
        })
        .await;
        let response = client.read().await.expect("a response arrives");
        wait_until("the process ends", || {
            let ended = fleet.gateways[0].exit_code();
            async move { ended.is_some() }
        })
        .await;

        assert_eq!(
            unaware
                .expect("a client that has not heard of the shutdown is served")
                .status(),
            200
        );
        assert_eq!(
            (response.status(), response.field("connection")),
            (200, None)
        );
        assert_eq!(fleet.gateways[0].exit_code(), Some(0));
        assert_eq!(fleet.gateways[0].logged("stop").len(), 1);
    });
}

/// Failure: a process that got no CPU time for a second forwards requests whose clients have disconnected.
///
/// These would occupy slots of servers for nobody, or run what a client has since sent to another instance.
#[test]
fn abandoned_request_is_not_forwarded() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let gateway = &fleet.gateways[0];
        let warm = request("POST", "/once/", "warm", "");
        let warm = send_request(gateway.front(), warm.as_bytes()).await;
        assert_eq!(warm.map(|a| a.status()), Some(200));

        gateway.signal(Signal::SIGSTOP);
        for number in 0..20 {
            let mut client = Client::connect(gateway.front()).await;
            let text = request("POST", "/once/", &format!("left-{number}"), "");
            client.send(text.as_bytes()).await;
        }
        gateway.signal(Signal::SIGCONT);
        let after = request("POST", "/once/", "after", "");
        let after = send_request(gateway.front(), after.as_bytes()).await;

        assert_eq!(after.map(|a| a.status()), Some(200));
        assert_eq!(fleet.servers[0].received().len(), 2);
    });
}

/// Failure: a settings file is read while it is being written, and the part that is there is applied with defaults for the rest.
#[test]
fn settings_file_is_not_read_while_it_is_written() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let config = &fleet.gateways[0].config;
        let whole = std::fs::read_to_string(config).expect("the settings can be read");
        let (first, second) = whole
            .split_once("ttl_s")
            .expect("the settings have a time to live");

        std::fs::write(config, first).expect("the settings can be written");
        for part in 1..=12 {
            let comments = "; still being written\n".repeat(part);
            std::fs::write(config, format!("{first}{comments}"))
                .expect("the settings can be written");
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        std::fs::write(config, format!("{first}ttl_s{second}"))
            .expect("the settings can be written");
        tokio::time::sleep(Duration::from_secs(3)).await;

        let applied = fleet.gateways[0].logged("settings_in_force");
        assert!(applied.is_empty(), "{applied:?}");
    });
}

/// Failure: a reload cuts off requests, or applies invalid settings.
#[test]
fn reload_drops_no_request_and_ignores_invalid_settings() {
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
        wait_until("the fault is logged", || async {
            !fleet.gateways[0].logged("settings_refused").is_empty()
        })
        .await;
        std::fs::write(
            &fleet.gateways[0].config,
            sound.replace("ttl_s = 0.3", "ttl_s = 0.4"),
        )
        .expect("the settings can be written");
        fleet.gateways[0].signal(Signal::SIGHUP);
        wait_until("the settings are in force", || async {
            !fleet.gateways[0].logged("settings_in_force").is_empty()
        })
        .await;
        let response = send_request(
            fleet.gateways[0].front(),
            request("GET", "/get/", "a", "").as_bytes(),
        )
        .await;

        assert_eq!(response.expect("there is a response").status(), 200);
        assert_eq!(fleet.gateways[0].exit_code(), None);
    });
}

/// Failure: the program starts with invalid settings, or reports only the first fault.
#[test]
fn startup_reports_every_invalid_setting() {
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

/// Waits until the gateway has logged a registration with `field` set, and checks that the first
/// server gets none of the later requests.
async fn assert_no_new_requests(fleet: &Fleet, field: &str) {
    wait_until("the registration is logged", || async {
        let known = fleet.gateways[0].logged("registration");
        known.iter().any(|l| l[field] == true)
    })
    .await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    let before = fleet.servers[0].received().len();

    for number in 0..10 {
        let text = request("GET", "/get/", &format!("{number}"), "");
        let response = send_request(fleet.gateways[0].front(), text.as_bytes()).await;
        assert_eq!(response.expect("there is a response").status(), 200);
    }

    assert_eq!(fleet.servers[0].received().len(), before);
}

/// Failure: a server gets new requests after it registered as draining.
#[test]
fn draining_server_gets_no_new_requests() {
    block_on(async {
        let fleet = Fleet::start(1, 2).await;

        fleet.register(&fleet.servers[0], "draining");

        assert_no_new_requests(&fleet, "draining").await;
    });
}

/// Failure: a server gets new requests after its registration was removed, without being draining before.
#[test]
fn removed_server_gets_no_new_requests() {
    block_on(async {
        let fleet = Fleet::start(1, 2).await;

        fleet.store.remove("servers/i-0");

        assert_no_new_requests(&fleet, "gone").await;
    });
}

/// Failure: requests are missing from the metrics, or counted under another outcome.
#[test]
fn metrics_count_requests_by_outcome() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let front = fleet.gateways[0].front();
        let _served = send_request(front, request("GET", "/get/", "a", "").as_bytes()).await;
        let _refused = send_request(front, request("GET", "/none/", "b", "").as_bytes()).await;

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
