//! What servers say of themselves in their responses: that they want a rest, or that they leave.

use std::time::{Duration, Instant};

use super::fleet::{Fleet, request, send_request};
use super::scripted_server::{Behavior, Server};
use crate::block_on;

/// Sends `count` requests of a kind that may be repeated, one after the other; returns their status.
async fn send_many(fleet: &Fleet, count: usize) -> Vec<u16> {
    let mut all = Vec::new();
    for number in 0..count {
        let text = request("GET", "/get/", &format!("id-{number}"), "");
        let response = send_request(fleet.gateways[0].front(), text.as_bytes()).await;
        all.push(response.expect("the gateway responds").status());
    }
    all
}

fn received_since(server: &Server, since: Instant) -> usize {
    let received = server.received();
    received.iter().filter(|r| r.received_at >= since).count()
}

/// Returns the server to which the gateway sends single requests.
async fn preferred(fleet: &Fleet) -> &Server {
    send_many(fleet, 1).await;
    let mut servers = fleet.servers.iter();
    let used = servers.find(|s| !s.received().is_empty());
    used.expect("one server got the request")
}

/// Failure: a server rejects a request and asks for a rest, its slots look free, and the next requests go there too.
#[test]
fn resting_server_gets_no_requests() {
    block_on(async {
        let fleet = Fleet::start(1, 2).await;
        let resting = preferred(&fleet).await;
        resting.set_default(|_| Behavior::Rest("20"));
        let start = Instant::now();

        let status = send_many(&fleet, 30).await;

        assert!(status.iter().all(|s| *s == 200), "{status:?}");
        assert_eq!(received_since(resting, start), 1);
    });
}

/// Failure: a server that asked for a rest is never used again, or gets all that waited at once.
#[test]
fn rested_server_gets_requests_again() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        fleet.servers[0].script(&[Behavior::Rest("0.3")]);

        let first = send_many(&fleet, 1).await;
        let at = Instant::now();
        let during = send_many(&fleet, 3).await;
        let reached = received_since(&fleet.servers[0], at);
        tokio::time::sleep(Duration::from_millis(500)).await;
        let after = send_many(&fleet, 3).await;

        assert_eq!((first, during), (vec![503], vec![503; 3]));
        assert_eq!(reached, 0);
        assert_eq!(after, [200; 3]);
    });
}

/// Failure: all servers of a service rest, and a request waits for them in vain instead of being told when to come back.
#[test]
fn request_is_refused_at_once_while_all_servers_rest() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        fleet.servers[0].set_default(|_| Behavior::Rest("7.5"));
        send_many(&fleet, 1).await;
        let text = request("GET", "/get/", "id-late", "");

        let sent = Instant::now();
        let response = send_request(fleet.gateways[0].front(), text.as_bytes()).await;

        let (response, elapsed) = (response.expect("the gateway responds"), sent.elapsed());
        let again = response.field("retry-after").map(str::parse::<f64>);
        let again = again.and_then(Result::ok).unwrap_or(0.0);
        assert_eq!(response.status(), 503);
        assert!((6.0..=9.0).contains(&again), "{again}");
        assert!(elapsed < Duration::from_millis(150), "{elapsed:?}");
    });
}

/// Failure: a server says in an answer that it leaves, its registration doesn't show it, and it goes on getting requests.
#[test]
fn server_that_says_it_leaves_gets_no_new_requests() {
    block_on(async {
        let fleet = Fleet::start(1, 2).await;
        let leaving = preferred(&fleet).await;
        leaving.set_default(|_| Behavior::Leaving);
        let start = Instant::now();

        let status = send_many(&fleet, 30).await;

        assert!(status.iter().all(|s| *s == 200), "{status:?}");
        assert_eq!(received_since(leaving, start), 1);
    });
}

/// Failure: the address of a server has another one by now, and that one's notice is taken for the first one's.
#[test]
fn notice_of_another_server_at_the_address_is_ignored() {
    block_on(async {
        let fleet = Fleet::start(1, 2).await;
        let server = preferred(&fleet).await;
        server.script(&[Behavior::Misdirected]);
        send_many(&fleet, 1).await;
        // A server that couldn't be reached is tried again after its backoff.
        tokio::time::sleep(Duration::from_millis(600)).await;
        let start = Instant::now();

        send_many(&fleet, 10).await;

        assert!(received_since(server, start) > 0);
        let logged = fleet.gateways[0].logged("server_leaves");
        assert!(logged.is_empty(), "{logged:?}");
    });
}
