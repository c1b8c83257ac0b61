//! Requests at a process whose dispatch of queued requests is late.

use std::rc::Rc;
use std::time::Duration;

use hawthornmill::clock::Clock;
use hawthornmill::ident::Incarnation;
use hawthornmill::routing::placement::Placement;
use hawthornmill::routing::request::{Refusal, Request};
use hawthornmill_gateway::gateway::Gateway;
use hawthornmill_gateway::settings::Settings;
use hawthornmill_platform::adapter;

use super::{change, entry, millis, request, shape};
use crate::block_on;

/// Real time after which a request counts as waiting for the dispatch loop, which doesn't run here.
const PATIENCE: Duration = Duration::from_secs(1);
const SETTINGS: &str = "[instance]\nname = g\ndomain = a\nregion = north\n\n[listen]\nfront = 127.0.0.1:1\nready = 127.0.0.1:2\n\
    directory = 127.0.0.1:3\npeer = 127.0.0.1:4\nmetrics = 127.0.0.1:5\n\n[peers]\nseeds = 127.0.0.1:6\n\
    key = 8f0c1a52b7e64d39a1c5f2087be94d63105ad7c8e2f93b46700de1b85c2f4a97\n\n[domain a]\nregion = north\n\n\
    [store]\naddress = 127.0.0.1:7\n\n[promises]\ngrace_s = 8\nttl_s = 1\n";

/// A gateway with one server, whose dispatch loop doesn't run.
fn gateway_without_dispatch(clock: Clock) -> Rc<Gateway> {
    let settings = Settings::parse("g.ini", SETTINGS).expect("the settings are valid");
    let gateway = Gateway::new(settings, adapter(), clock, Incarnation(1));
    let registration = change("a1", 1, Some(entry("a1", "a")));
    let now = gateway.now();
    gateway
        .scheduler
        .borrow_mut()
        .apply_change(registration, now);
    gateway
}

async fn select(gateway: &Gateway, request: &Request) -> Option<Result<Placement, Refusal>> {
    let decided = tokio::time::timeout(PATIENCE, gateway.select_server(request)).await;
    decided.ok()
}

/// Failure: servers are free, but a new request waits behind queued ones that only wait for the late dispatch loop.
#[test]
fn overdue_queue_is_dispatched_before_a_new_request_is_judged() {
    block_on(async {
        let (clock, time) = Clock::manual();
        let gateway = gateway_without_dispatch(clock);
        let ask = || request("lab", shape(1, 10, 10), gateway.now());
        let mut placed = Vec::new();
        for _ in 0..8 {
            let decided = select(&gateway, &ask()).await;
            placed.push(decided.expect("it is decided").expect("the server is free"));
        }
        let earlier = ask();

        let queued = select(&gateway, &earlier);
        let new = async {
            for placement in &placed {
                gateway.release(placement, false);
            }
            time.advance(millis(100));
            select(&gateway, &ask()).await
        };
        let (queued, new) = tokio::join!(queued, new);

        assert!(matches!(queued, Some(Ok(_))), "{queued:?}");
        assert!(matches!(new, Some(Ok(_))), "{new:?}");
    });
}
