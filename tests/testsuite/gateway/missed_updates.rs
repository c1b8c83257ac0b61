//! Outages and faults of the store, and the exchange of state between instances.

use std::time::Duration;

use hawthornmill::ident::ServerId;
use hawthornmill::routing::announcements::{Announcements, Departure};
use hawthornmill::routing::gossip::SyncResponse;
use hawthornmill::wire::Message;
use nix::sys::signal::Signal;
use serde_json::json;

use super::fleet::{Fleet, config, request, route, send_request, wait_until};
use super::peer::Peer;
use super::store::Mode;
use crate::block_on;

fn with_route(version: u64, name: &str) -> String {
    let mut config = config(version);
    if let Some(routes) = config["routes"].as_array_mut() {
        routes.push(route(name, "idempotent", &json!({})));
    }
    config.to_string()
}

/// A configuration too large for one datagram.
fn with_many_routes(version: u64) -> String {
    let mut config = config(version);
    if let Some(routes) = config["routes"].as_array_mut() {
        let more = (0..100).map(|n| route(&format!("added-{n}"), "idempotent", &json!({})));
        routes.extend(more);
    }
    config.to_string()
}

async fn status(front: std::net::SocketAddr, path: &str) -> u16 {
    send_request(front, request("GET", path, "a", "").as_bytes())
        .await
        .map_or(0, |a| a.status())
}

async fn status_with_token(front: std::net::SocketAddr, token: &str) -> u16 {
    let text = request("GET", "/get/", "r", "").replace("key-1", token);
    let response = send_request(front, text.as_bytes()).await;
    response.map_or(0, |r| r.status())
}

/// Sends ten requests to the first gateway, each of which is served; returns how many came to the first server.
async fn received_by_first_server_of_ten(fleet: &Fleet) -> usize {
    let before = fleet.servers[0].received().len();
    for _ in 0..10 {
        assert_eq!(status(fleet.gateways[0].front(), "/get/").await, 200);
    }
    fleet.servers[0].received().len() - before
}

/// Failure: the directory of an instance omits a ready instance.
#[test]
fn directory_lists_every_ready_instance() {
    block_on(async {
        let fleet = Fleet::start(3, 1).await;
        let all: Vec<_> = fleet
            .gateways
            .iter()
            .map(super::fleet::Gateway::front)
            .collect();

        for gateway in &fleet.gateways {
            wait_until("every instance is listed", || async {
                let listed = gateway.listed_addresses().await;
                all.iter().all(|a| listed.contains(a))
            })
            .await;
        }
    });
}

/// Failure: an instance that the store rejects keeps its old routes and sends requests to a draining server.
///
/// The store serves the other instance, which passes the changes on.
#[test]
fn instance_without_store_access_misses_no_update() {
    block_on(async {
        let fleet = Fleet::start(2, 1).await;
        let cut = &fleet.gateways[1];
        fleet.store.reject_calls_at(fleet.store_address(1));
        wait_until("the store rejects its calls", || async {
            cut.logged("store_lost").len() == 2
        })
        .await;

        fleet
            .store
            .put("op/config", with_route(2, "added").as_bytes());
        wait_until("the instance serves the route", || async {
            status(cut.front(), "/added/").await == 200
        })
        .await;
        fleet.register(&fleet.servers[0], "draining");
        wait_until("the instance sends nothing to the server", || async {
            status(cut.front(), "/added/").await == 503
        })
        .await;
    });
}

/// Failure: an instance that restarts during an outage of the store never gets a catalog or registrations.
///
/// Another instance has both.
#[test]
fn restart_during_store_outage_loses_no_state() {
    block_on(async {
        let mut fleet = Fleet::start(2, 1).await;
        fleet
            .store
            .put("op/config", with_route(2, "added").as_bytes());
        let front = fleet.gateways[0].front();
        wait_until("the route is served", || async {
            status(front, "/added/").await == 200
        })
        .await;
        fleet.store.set_mode(Mode::Unresponsive);

        fleet.gateways[1].kill();
        fleet.gateways[1].start();

        wait_until("the instance is ready", || fleet.gateways[1].is_ready()).await;
        assert_eq!(status(fleet.gateways[1].front(), "/added/").await, 200);
    });
}

/// Failure: an instance starts again in an outage of the store that has lasted, takes the list after it for complete, drops
/// all live servers that have not registered again, and so do the others that take over its list.
#[test]
fn restart_in_a_store_outage_drops_no_live_server() {
    block_on(async {
        let mut fleet = Fleet::start(2, 3).await;
        fleet.store.set_mode(Mode::Unresponsive);
        wait_until("the outage is noticed", || async {
            fleet.gateways[0].logged("store_lost").len() == 2
        })
        .await;
        fleet.store.set_mode(Mode::Refusing);
        fleet.gateways[1].kill();
        fleet.gateways[1].start();
        wait_until("the instance is ready", || fleet.gateways[1].is_ready()).await;

        for server in ["servers/i-0", "servers/i-1", "servers/i-2"] {
            fleet.store.remove(server);
        }
        fleet.store.set_mode(Mode::Healthy);
        let mut statuses = Vec::new();
        for n in 0..30 {
            tokio::time::sleep(Duration::from_millis(50)).await;
            let text = request("GET", "/get/", &format!("after-{n}"), "");
            statuses.push(fleet.send_admitted_to(n % 2, &text).await.status());
        }

        assert_eq!(statuses, [200; 30]);
    });
}

/// Failure: an instance no longer follows changes after the store was unresponsive or answered with errors.
#[test]
fn store_outage_stops_no_later_update() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let front = fleet.gateways[0].front();
        for mode in [Mode::Unresponsive, Mode::Refusing] {
            fleet.store.set_mode(mode);
            tokio::time::sleep(Duration::from_millis(200)).await;
            assert_eq!(
                status(front, "/get/").await,
                200,
                "known routes are still served"
            );
            fleet.store.set_mode(Mode::Healthy);
        }

        fleet
            .store
            .put("op/config", with_route(2, "added").as_bytes());

        wait_until("the route is served", || async {
            status(front, "/added/").await == 200
        })
        .await;
    });
}

/// Failure: a removal is missed because the store drops its history, and only a new list shows the removal.
#[test]
fn lost_history_hides_no_removed_server() {
    block_on(async {
        let fleet = Fleet::start(1, 2).await;
        fleet.store.drop_history(Some("servers/i-0"));
        wait_until("the instance notices the loss", || async {
            !fleet.gateways[0].logged("store_history_lost").is_empty()
        })
        .await;
        tokio::time::sleep(Duration::from_millis(2_600)).await;

        assert_eq!(received_by_first_server_of_ten(&fleet).await, 0);
    });
}

/// Failure: hundreds of instances start at once, the store rejects some calls of each of them, and a list of many pages
/// begins anew after each of these: no instance gets ready.
#[test]
fn list_goes_on_after_a_rejected_call() {
    block_on(async {
        let mut fleet = Fleet::prepare(1, 24).await;
        fleet
            .store
            .put("op/config", config(1).to_string().as_bytes());
        fleet.store.reject_one_in(5);

        fleet.gateways[0].start();

        wait_until("the instance is ready", || fleet.gateways[0].is_ready()).await;
    });
}

/// Failure: an instance calls the store often although nothing changes; each call costs the platform something.
#[test]
fn idle_instance_makes_few_store_calls() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        let before = fleet.store.calls();

        tokio::time::sleep(Duration::from_secs(5)).await;

        let calls = fleet.store.calls() - before;
        assert!(calls <= 8, "{calls} calls in five seconds");
    });
}

/// Failure: an instance that knows of a newer catalog, but can't get it, answers 404 for a route that the newer one has.
#[test]
fn outdated_catalog_causes_no_final_error() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let front = fleet.gateways[0].front();
        assert_eq!(
            status(front, "/added/").await,
            404,
            "its catalog is the newest"
        );
        let peer = Peer::bind(&fleet, 1).await;

        wait_until("the instance learns of a newer catalog", || async {
            peer.announce(1_001, 2).await;
            status(front, "/added/").await == 503
        })
        .await;

        assert_eq!(
            status(front, "/get/").await,
            200,
            "known routes are still served"
        );
        fleet
            .store
            .put("op/config", with_route(2, "added").as_bytes());
        wait_until("the route is served", || async {
            status(front, "/added/").await == 200
        })
        .await;
        assert_eq!(
            status(front, "/unknown/").await,
            404,
            "its catalog is the newest"
        );
    });
}

/// Failure: a token was taken away, and its callers are told to come back, again and again, whenever a further catalog is on
/// its way.
#[test]
fn removed_token_is_refused_for_good() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let front = fleet.gateways[0].front();
        let mut without = config(2);
        without["tenants"] = json!([{"name": "lab", "apiKeys": ["key-1"]}]);
        fleet.store.put("op/config", without.to_string().as_bytes());
        wait_until("the token is taken away", || async {
            status_with_token(front, "key-2").await == 401
        })
        .await;
        let peer = Peer::bind(&fleet, 1).await;

        wait_until("the instance learns of a newer catalog", || async {
            peer.announce(1_001, 3).await;
            status_with_token(front, "key-3").await == 503
        })
        .await;

        assert_eq!(status_with_token(front, "key-2").await, 401);
        assert_eq!(status_with_token(front, "key-1").await, 200);
    });
}

/// Failure: an instance can't get a catalog that others have long applied, and serves requests by its old one.
#[test]
fn outdated_instance_accepts_no_requests() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let gateway = &fleet.gateways[0];
        let peer = Peer::bind(&fleet, 1).await;

        wait_until("the instance accepts no requests", || async {
            peer.announce(1_001, 2).await;
            status(gateway.front(), "/get/").await == 503 && !gateway.is_ready().await
        })
        .await;

        wait_until(
            "the instance accepts requests once nobody has a newer catalog",
            || async { status(gateway.front(), "/get/").await == 200 && gateway.is_ready().await },
        )
        .await;
    });
}

/// Failure: an instance whose registrations are late sends requests to a server that others know is leaving.
#[test]
fn late_registrations_send_nothing_to_a_leaving_server() {
    block_on(async {
        let fleet = Fleet::start(1, 2).await;
        let peer = Peer::bind(&fleet, 1).await;
        let leaving = Departure {
            server: ServerId::of("i-0"),
            revision: 1_000,
        };
        let announced = Announcements {
            departures: vec![leaving],
            ..Announcements::default()
        };

        wait_until("the instance receives the announcement", || async {
            peer.send(&Message::Announcements(Box::new(announced.clone())))
                .await;
            !fleet.gateways[0].logged("registration_leaving").is_empty()
        })
        .await;

        assert_eq!(received_by_first_server_of_ten(&fleet).await, 0);
    });
}

/// Failure: clients congest an instance's link, its connections to peers time out, and it never gets a new catalog.
#[test]
fn congested_link_blocks_no_catalog() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let front = fleet.gateways[0].front();
        let peer = Peer::bind(&fleet, 1).await;
        let catalog = hawthornmill_platform::catalog::parse(with_many_routes(2).as_bytes());
        let state = SyncResponse {
            catalog: Some(catalog.expect("the catalog is valid")),
            registrations: None,
            unconfirmed: Vec::new(),
            revision: 0,
            evacuations: Vec::new(),
            after_outage: Some(false),
            gap_targets: Vec::new(),
        };
        peer.announce(1_001, 2).await;

        let served = wait_until("the route is served", || async {
            peer.announce(1_001, 2).await;
            status(front, "/added-99/").await == 200
        });
        tokio::select! {
            () = served => {}
            () = peer.serve_fragments(&state) => {}
        }
    });
}

/// Failure: a process that restarts after its clock was set back is never listed in the directory again.
///
/// Its run has a lower number than the one before, so its datagrams look like replays.
#[test]
fn clock_set_back_silences_no_instance() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        Peer::bind(&fleet, 9).await.announce(1_001, 0).await;
        let is_listed = |port: u16| {
            let gateway = &fleet.gateways[0];
            move || async move {
                gateway
                    .listed_addresses()
                    .await
                    .iter()
                    .any(|a| a.port() == port)
            }
        };
        wait_until("the first run is listed", is_listed(1_001)).await;

        Peer::bind(&fleet, 5).await.announce(1_002, 0).await;

        wait_until("the second run is listed", is_listed(1_002)).await;
    });
}

/// Failure: the network repeats a datagram some times, and the old report in it counts as the newest.
#[test]
fn repeated_datagram_is_never_taken_for_a_new_one() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let peer = Peer::bind(&fleet, 9).await;
        let old = peer.seal_report(1_001, 0);
        peer.send_frame(&old).await;
        peer.announce(1_002, 0).await;
        let ports = || async {
            let listed = fleet.gateways[0].listed_addresses().await;
            listed
                .iter()
                .map(std::net::SocketAddr::port)
                .collect::<Vec<u16>>()
        };
        wait_until("the newer report is applied", || async {
            ports().await.contains(&1_002)
        })
        .await;

        for _ in 0..20 {
            peer.send_frame(&old).await;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;

        let ports = ports().await;
        assert!(
            ports.contains(&1_002) && !ports.contains(&1_001),
            "{ports:?}"
        );
    });
}

/// Failure: the settings file is being written when the signal to reload it comes, and its missing sections have defaults.
#[test]
fn partly_written_settings_are_not_reloaded() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let config = &fleet.gateways[0].config;
        let text = std::fs::read_to_string(config).expect("the settings can be read");
        let (part, _rest) = text
            .split_once("[promises]")
            .expect("the settings have this section");

        std::fs::write(config, part).expect("the settings can be written");
        fleet.gateways[0].signal(Signal::SIGHUP);
        tokio::time::sleep(Duration::from_millis(50)).await;
        std::fs::write(config, &text).expect("the settings can be written");
        tokio::time::sleep(Duration::from_millis(500)).await;

        let applied = fleet.gateways[0].logged("settings_in_force");
        assert!(applied.is_empty(), "{applied:?}");
    });
}

/// Failure: an instance gets more processor by a reload of its settings, and goes on to tell the others the old figure, by
/// which they choose their relays, until it is restarted.
#[test]
fn reloaded_processor_is_told_to_peers() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let peer = Peer::bind(&fleet, 1).await;
        peer.announce(9, 0).await;
        peer.wait_for_cpu(100).await;
        let config = &fleet.gateways[0].config;
        let text = std::fs::read_to_string(config).expect("the settings can be read");
        let faster = text.replace(
            "region = north\n\n[listen]",
            "region = north\ncores = 4\n\n[listen]",
        );

        std::fs::write(config, faster).expect("the settings can be written");
        fleet.gateways[0].signal(Signal::SIGHUP);

        let told = tokio::time::timeout(Duration::from_secs(5), peer.wait_for_cpu(400)).await;
        assert!(told.is_ok(), "no report with the new processor");
    });
}
