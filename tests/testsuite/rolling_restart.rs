//! Graceful restarts of routers under load.

use std::sync::Arc;
use std::time::Duration;

use hawthornmill_lab::demo::site::{Site, SitePlan};
use hawthornmill_lab::history::{check, storm};
use hawthornmill_lab::load::plan::parse;
use hawthornmill_lab::load::story::Story;
use hawthornmill_lab::load::{Plan, Watcher, run};
use hawthornmill_test_support::procs::{DOMAINS, send, small_fleet, start};
use nix::sys::signal::Signal;

use crate::{ROUTER, block_on};

const CALLERS: &str = "[caller big]\nservice = drafting\nworkers = 24\ntokens = 30\n\
                       [caller small-1]\nservice = drafting\nrate = 20\ntokens = 30\n\
                       [caller small-2]\nservice = booking\nrate = 15\npath = /run\nkeyed = yes\n";

/// Counts the routers whose discovery still lists the leaving router `index`.
async fn count_listing(site: &Site, index: usize) -> usize {
    let client = reqwest::Client::new();
    let own = &*site.routers[index].listed.http;
    let mut count = 0;
    for router in &site.routers {
        let url = format!("http://{}/v1/addresses", router.listed.http);
        let response = send(client.get(url)).await;
        let json = response.map(|r| r.json()).unwrap_or_default();
        let list = json["addresses"].as_array().cloned().unwrap_or_default();
        count += usize::from(list.iter().any(|a| a == own));
    }
    count
}

/// Restarts the routers one after another.
///
/// Returns their exit codes, and how many routers still listed a leaving one 300 ms after its
/// SIGTERM, which is half of the discovery TTL.
async fn restart_in_turn(site: &mut Site) -> (Vec<Option<i32>>, usize) {
    let (mut codes, mut listed) = (Vec::new(), 0);
    for index in 0..site.routers.len() {
        site.routers[index].signal(Signal::SIGTERM);
        tokio::time::sleep(Duration::from_millis(300)).await;
        listed += count_listing(site, index).await;
        codes.push(site.routers[index].wait(Duration::from_secs(10)).await);
        site.launch(index).expect("the router starts again");
        site.wait_ready(Duration::from_secs(10))
            .await
            .expect("ready");
    }
    (codes, listed)
}

/// Failure: a rolling restart truncates streams, loses calls or runs a keyed booking twice. All
/// eight routers restart in turn while more calls are queued than the servers can run and callers
/// keep using cached addresses until their TTL expires.
#[test]
fn rolling_restart_loses_no_calls_and_repeats_no_booking() {
    block_on(async {
        let mut plan = SitePlan::new(&small_fleet().text(), DOMAINS, 8);
        plan.extra = "[discovery]\nttl_ms = 600\n".into();
        let mut site = start(ROUTER, plan).await;
        let load = Plan {
            callers: parse("callers", CALLERS).expect("the plan is valid"),
            time: Duration::from_secs(24),
            seed: 3,
        };
        let seeds = site.seeds();
        let calls =
            tokio::spawn(async move { run(&load, &seeds, &Arc::new(Watcher::default())).await });

        let (codes, listed) = restart_in_turn(&mut site).await;
        let records = calls.await.expect("the load ends");

        println!(
            "{} calls, {} bookings",
            records.len(),
            records.iter().filter(|s| s.key.is_some()).count()
        );
        // More calls are queued than the servers can run, so a few are rejected on arrival because
        // they would miss their deadline. That is neither a truncation nor a loss.
        let refused = |s: &&Story| s.code == 3030 && s.harmless() && &*s.outcome == "not_run";
        let late = records.iter().filter(refused).count();
        let lost: Vec<_> = records
            .iter()
            .filter(|s| !s.whole() && !refused(s))
            .collect();
        println!("{late} refused as too late");
        assert!(lost.is_empty(), "{} lost: {:#?}", lost.len(), lost.first());
        assert!(late * 100 < records.len(), "{late} refused");
        assert_eq!(codes, vec![Some(0); 8]);
        assert_eq!(listed, 0, "discovery lists a leaving router");
        let copies: Vec<_> = records
            .into_iter()
            .flat_map(|s| s.copies)
            .filter(|c| c.key.is_some())
            .collect();
        let bookings: Vec<_> = storm::books(&site)
            .into_iter()
            .filter(|(tag, _)| tag.starts_with("small-2/"))
            .collect();
        assert_eq!(check(&copies, &bookings.into_iter().collect()), []);
        site.stop().await;
    });
}
