//! Metrics that routers export for operators.

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

/// More concurrent calls than the engines have slots, so that some calls wait.
const CALLERS: &str = "[caller big]\nservice = drafting\nworkers = 60\ntokens = 40\n";

/// Returns the maximum of each metric over all routers and exports.
fn metric_maxima(site: &Site) -> BTreeMap<String, u64> {
    let mut maxima = BTreeMap::new();
    for router in &site.routers {
        let log = std::fs::read_to_string(&router.log).unwrap_or_default();
        let lines = log
            .lines()
            .filter_map(|l| serde_json::from_str::<Value>(l).ok());
        for line in lines.filter(|l| l["kind"] == "metric") {
            let name = line["name"].as_str().unwrap_or_default().to_owned();
            let value = line["value"].as_u64().unwrap_or_default();
            let max = maxima.entry(name).or_insert(value);
            *max = value.max(*max);
        }
    }
    maxima
}

/// Guards against load that operators can't see. The fleet is overloaded and one router receives an
/// invalid frame; the exported metrics must show queues, slots, the revision and the rejected frame.
#[test]
fn metrics_include_queues_slots_revision_and_rejected_frames() {
    block_on(async {
        let mut plan = SitePlan::new(&small_fleet().text(), DOMAINS, 2);
        plan.extra = "[telemetry]\nmetrics_ms = 100\n".into();
        let site = start(ROUTER, plan).await;
        let socket = UdpSocket::bind("127.0.0.1:0").expect("failed to bind a UDP socket");
        let sent = socket.send_to(&[7; 100], &*site.routers[0].listed.peer);
        assert_eq!(sent.ok(), Some(100));
        let plan = Plan {
            callers: parse("callers", CALLERS).expect("the load plan is valid"),
            time: Duration::from_secs(2),
            seed: 1,
        };

        run(&plan, &site.seeds(), &Arc::new(Watcher::default())).await;

        let metrics = metric_maxima(&site);
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
