//! The configuration through outages, stale answers and restarts of real processes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hawthornmill::config::accept::{Values, manifest};
use hawthornmill_lab::demo::site::Site;
use hawthornmill_lab::standin::platform::Mode;
use hawthornmill_test_support::procs::small_site;

use crate::{ROUTER, block_on};

/// Revision of every router that serves; none for one that does not.
async fn revisions(site: &Site) -> Vec<Option<u64>> {
    let statuses = site.statuses().await;
    statuses
        .iter()
        .map(|s| (s["ready"] == true).then(|| s["revision"].as_u64().unwrap_or(0)))
        .collect()
}

/// Waits until every router serves `revision` and returns how long that took.
async fn in_force(site: &Site, revision: u64, most: Duration) -> Option<Duration> {
    let began = Instant::now();
    let running = site.routers.iter().filter(|r| r.pid().is_some()).count();
    while began.elapsed() < most {
        let all = revisions(site).await;
        if all.len() == running && all.iter().all(|r| *r == Some(revision)) {
            return Some(began.elapsed());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    None
}

/// The configuration of `site` in two values; `number` makes one revision differ from the next.
fn shards(site: &Site, number: u64) -> Values {
    let estimate = format!("estimate = {}", 100 + number);
    let text = site.text.replacen("estimate = 100", &estimate, 1);
    let at = text.find("[account").expect("the fleet has accounts");
    let (servers, accounts) = text.split_at(at);
    Values::from([
        ("accounts".into(), accounts.into()),
        ("servers".into(), servers.into()),
    ])
}

/// Platform calls by kind while `time` passes.
async fn calls_during(site: &Site, time: Duration) -> BTreeMap<Box<str>, u64> {
    let before = site.platform.calls();
    tokio::time::sleep(time).await;
    let mut calls = site.platform.calls();
    for (kind, count) in &mut calls {
        *count -= before.get(kind).copied().unwrap_or(0);
    }
    calls
}

/// A change is in force everywhere. Then the platform comes back from a backup with the first
/// revision, and a router restarts without state. The operators see the change undone for callers
/// that meet this router, unless it asks its peers before it serves.
#[test]
fn a_stale_platform_takes_no_router_back() {
    block_on(async {
        let mut site = small_site(ROUTER, 4).await;
        let newest = site.platform.publish(shards(&site, 1));
        let taken = in_force(&site, newest, Duration::from_secs(5)).await;
        assert!(taken.is_some(), "{:?}", revisions(&site).await);
        site.platform.set_mode(Mode::Older);

        // r2 has no other router in its failure domain, r1 has one.
        let mut seen = Vec::new();
        for index in [0, 1] {
            site.routers[index].kill();
            site.launch(index).expect("the router starts");
            let until = Instant::now() + Duration::from_secs(5);
            while Instant::now() < until {
                let all = revisions(&site).await;
                seen.extend(all.iter().flatten().copied());
                if all.len() == 4 && all.iter().all(Option::is_some) {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }

        seen.sort_unstable();
        seen.dedup();
        assert_eq!(seen, [newest]);
        assert_eq!(revisions(&site).await, [Some(newest); 4]);
        site.stop().await;
    });
}

/// A bad revision stays published for a while. Each reader fetches and refuses it without a break,
/// and the platform's budget of calls goes to that.
#[test]
fn a_refused_revision_is_not_fetched_again_and_again() {
    block_on(async {
        let site = small_site(ROUTER, 3).await;
        let bad = Values::from([("fleet".into(), "[account x]\n".into())]);
        site.platform.publish(bad);
        tokio::time::sleep(Duration::from_secs(1)).await;

        let calls = calls_during(&site, Duration::from_secs(4)).await;

        assert_eq!(calls["value"], 0, "{calls:?}");
        assert!(calls["manifest"] <= 6, "{calls:?}");
        let newest = site.platform.publish(shards(&site, 1));
        let taken = in_force(&site, newest, Duration::from_secs(5)).await;
        assert!(taken.is_some(), "{:?}", revisions(&site).await);
        site.stop().await;
    });
}

/// A manifest is published a moment before one of its values, as a copy to the platform in parts
/// would do. The fetch fails midway. The revision must neither be taken in part nor be given up.
#[test]
fn a_fetch_that_fails_midway_is_tried_again() {
    block_on(async {
        let site = small_site(ROUTER, 3).await;
        let whole = shards(&site, 1);
        let mut part = whole.clone();
        part.remove("servers");
        site.platform.publish_raw(manifest(2, &whole), part);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let during = revisions(&site).await;

        site.platform.publish_raw(manifest(2, &whole), whole);
        let taken = in_force(&site, 2, Duration::from_secs(5)).await;

        assert_eq!(during, [Some(1); 3]);
        assert!(taken.is_some(), "{:?}", revisions(&site).await);
        site.stop().await;
    });
}

/// Two operators publish at the same time, over and over, each a whole configuration in two values.
/// Every router must end with the last of them and nobody with a mixture of two.
#[test]
fn races_of_two_operators_end_with_one_revision() {
    block_on(async {
        let site = small_site(ROUTER, 3).await;
        let platform = &site.platform;
        std::thread::scope(|scope| {
            for operator in [1_u64, 2] {
                let site = &site;
                scope.spawn(move || {
                    for round in 0..50 {
                        platform.publish(shards(site, operator * 1000 + round));
                        std::thread::sleep(Duration::from_millis(10));
                    }
                });
            }
        });

        let taken = in_force(&site, 101, Duration::from_secs(5)).await;

        assert!(taken.is_some(), "{:?}", revisions(&site).await);
        let mut digests: Vec<_> = site
            .statuses()
            .await
            .iter()
            .map(|s| s["digest"].to_string())
            .collect();
        digests.dedup();
        assert_eq!(digests.len(), 1, "{digests:?}");
        site.stop().await;
    });
}

/// The number of instances doubles while the number of failure domains stays. Calls to the platform
/// must not double with it, since its budget does not.
#[test]
fn platform_calls_do_not_grow_with_instances() {
    block_on(async {
        let mut totals = Vec::new();
        for routers in [8, 16] {
            let site = small_site(ROUTER, routers).await;
            tokio::time::sleep(Duration::from_secs(2)).await;
            let calls = calls_during(&site, Duration::from_secs(4)).await;
            println!("{routers} routers: {calls:?}");
            totals.push(calls.values().sum::<u64>());
            site.stop().await;
        }
        assert!(totals[1] <= totals[0] + totals[0] / 3, "{totals:?}");
    });
}
