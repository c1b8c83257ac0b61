//! What operators can watch.

use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use hawthornmill_lab::demo::site::{Site, SitePlan};
use hawthornmill_lab::load::plan::parse;
use hawthornmill_lab::load::{Plan, Watcher, run};
use hawthornmill_test_support::procs::{DOMAINS, small_fleet, start};
use serde_json::Value;

use crate::{ROUTER, block_on};

/// More calls than the engines can take, so that some wait.
const CALLERS: &str = "[caller big]\nservice = drafting\nworkers = 60\ntokens = 40\n";

/// Greatest value of each metric over all routers and lines.
fn greatest(site: &Site) -> BTreeMap<String, u64> {
    let mut greatest = BTreeMap::new();
    for router in &site.routers {
        let log = std::fs::read_to_string(&router.log).unwrap_or_default();
        let lines = log
            .lines()
            .filter_map(|l| serde_json::from_str::<Value>(l).ok());
        for line in lines.filter(|l| l["kind"] == "metric") {
            let name = line["name"].as_str().unwrap_or_default().to_owned();
            let value = line["value"].as_u64().unwrap_or_default();
            let entry = greatest.entry(name).or_insert(value);
            *entry = value.max(*entry);
        }
    }
    greatest
}

/// The fleet is overloaded and somebody sends garbage. An operator must see queues, slots, the
/// revision and the refused frames without asking each router for its status page.
#[test]
fn queues_slots_revision_and_refused_frames_are_written() {
    block_on(async {
        let mut plan = SitePlan::new(&small_fleet().text(), DOMAINS, 2);
        plan.extra = "[telemetry]\nmetrics_ms = 100\n".into();
        let site = start(ROUTER, plan).await;
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
        let sent = socket.send_to(&[7; 100], &*site.routers[0].listed.peer);
        assert_eq!(sent.ok(), Some(100));
        let plan = Plan {
            callers: parse("callers", CALLERS).expect("the plan is good"),
            time: Duration::from_secs(2),
            seed: 1,
        };

        run(&plan, &site.seeds(), &Arc::new(Watcher::default())).await;

        let metrics = greatest(&site);
        assert_eq!(metrics.get("revision"), Some(&1), "{metrics:?}");
        assert_eq!(metrics.get("members_live"), Some(&2), "{metrics:?}");
        assert_eq!(metrics.get("peer_frames_refused"), Some(&1), "{metrics:?}");
        assert_eq!(metrics.get("slots_granted"), Some(&4), "{metrics:?}");
        assert_eq!(metrics.get("slots_idle"), Some(&4), "{metrics:?}");
        for name in ["waiting", "in_flight", "peer_bytes", "calls"] {
            let value = metrics.get(name).copied().unwrap_or(0);
            assert!(value > 5, "{name}: {metrics:?}");
        }
        site.stop().await;
    });
}
