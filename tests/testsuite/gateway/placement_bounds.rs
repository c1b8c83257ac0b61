//! Bounds on where requests may go: regions of routes, and evacuated failure domains.

use std::net::SocketAddr;

use serde_json::json;

use super::fleet::{self, Fleet, Response, request, send_request, wait_until};
use super::store::Mode;
use crate::block_on;

const EVACUATE_C: &str = "op/evacuate/c";

async fn get(front: SocketAddr, path: &str) -> Response {
    let response = send_request(front, request("GET", path, "a", "").as_bytes()).await;
    response.expect("the instance answers")
}

/// Starts gateways before a server in domain `a` and one in `domain`.
async fn start_with_server_in(gateways: usize, domain: &str) -> Fleet {
    let mut fleet = Fleet::prepare(gateways, 2).await;
    fleet.write_registration(&fleet.servers[1], &json!({"zone": domain}));
    let mut config = fleet::config(1);
    let routes = config["routes"].as_array_mut().expect("routes are a list");
    for region in ["north", "south", "west"] {
        let bound = json!({"allowedRegions": [region]});
        routes.push(fleet::route(region, "idempotent", &bound));
    }
    fleet.store.put("op/config", config.to_string().as_bytes());
    for gateway in &mut fleet.gateways {
        gateway.start();
    }
    for gateway in &fleet.gateways {
        wait_until("the gateway is ready", || gateway.is_ready()).await;
    }
    fleet
}

/// Waits until the only server in region `south` is used or refused, as `status` says.
async fn wait_for_south(fleet: &Fleet, gateway: usize, status: u16) {
    let front = fleet.gateways[gateway].front();
    wait_until("the server is used, or not", || async {
        get(front, "/south/").await.status() == status
    })
    .await;
}

/// Sends five requests that only the server in region `south` may serve; returns how many came there.
async fn received_of_five(fleet: &Fleet, gateway: usize) -> usize {
    let before = fleet.servers[1].received().len();
    for _ in 0..5 {
        get(fleet.gateways[gateway].front(), "/south/").await;
    }
    fleet.servers[1].received().len() - before
}

/// Failure: a request of a route that is bound to a region runs in another region, or is refused without a reason that its
/// caller can act on.
#[test]
fn route_bound_to_a_region_is_served_only_there() {
    block_on(async {
        let fleet = start_with_server_in(1, "c").await;
        let front = fleet.gateways[0].front();

        for _ in 0..5 {
            assert_eq!(get(front, "/north/").await.status(), 200);
        }
        let north = fleet.servers.iter().map(|s| s.received().len());
        let north: Vec<usize> = north.collect();
        for _ in 0..5 {
            assert_eq!(get(front, "/south/").await.status(), 200);
        }
        let west = get(front, "/west/").await;

        assert_eq!(north, [5, 0]);
        assert_eq!(fleet.servers[1].received().len(), 5);
        assert_eq!(west.status(), 503);
        assert!(west.text().contains("3033"), "{}", west.text());
        assert!(west.field("Retry-After").is_some());
    });
}

/// Failure: a failure domain is evacuated, and an instance that the store rejects goes on sending requests there.
///
/// The store serves the other instance, which passes the evacuation and its end on.
#[test]
fn evacuation_reaches_an_instance_without_store_access() {
    block_on(async {
        let fleet = start_with_server_in(2, "c").await;
        let cut = &fleet.gateways[1];
        fleet.store.reject_calls_at(fleet.store_address(1));
        wait_until("the store rejects its calls", || async {
            cut.logged("store_lost").len() == 2
        })
        .await;

        fleet.store.put(EVACUATE_C, b"{}");
        wait_for_south(&fleet, 1, 503).await;
        let during = received_of_five(&fleet, 1).await;
        fleet.store.remove(EVACUATE_C);
        wait_for_south(&fleet, 1, 200).await;
        let after = received_of_five(&fleet, 1).await;

        assert_eq!((during, after), (0, 5));
        wait_until("both changes are logged", || async {
            !cut.logged("domain_evacuated").is_empty()
                && !cut.logged("domain_taken_back").is_empty()
        })
        .await;
        assert_eq!(cut.logged("domain_evacuated")[0]["domain"], "c");
    });
}

/// Failure: an instance that starts while the store is down sends requests to a failure domain that was evacuated before.
#[test]
fn instance_that_starts_during_an_outage_learns_of_the_evacuation() {
    block_on(async {
        let mut fleet = start_with_server_in(2, "c").await;
        fleet.store.put(EVACUATE_C, b"{}");
        wait_for_south(&fleet, 0, 503).await;
        fleet.store.set_mode(Mode::Unresponsive);

        fleet.gateways[1].kill();
        fleet.gateways[1].start();
        wait_until("the instance is ready", || fleet.gateways[1].is_ready()).await;

        assert_eq!(received_of_five(&fleet, 1).await, 0);
    });
}

/// Failure: the store forgets its history while an evacuation is taken back, and the domain stays without requests.
#[test]
fn end_of_evacuation_in_lost_history_is_noticed() {
    block_on(async {
        let fleet = start_with_server_in(1, "c").await;
        fleet.store.put(EVACUATE_C, b"{}");
        wait_for_south(&fleet, 0, 503).await;

        fleet.store.drop_history(Some(EVACUATE_C));

        wait_for_south(&fleet, 0, 200).await;
    });
}
