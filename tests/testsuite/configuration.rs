//! The configuration through outages, stale answers and restarts of real processes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hawthornmill::blackboard::{Blackboard, Tuning};
use hawthornmill::config::accept::{Values, manifest};
use hawthornmill::ident::{Incarnation, InstanceId};
use hawthornmill::membership::{LivenessUpdate, startup};
use hawthornmill::pools::tick;
use hawthornmill::wire::message::ProbeAck;
use hawthornmill_lab::demo::site::Site;
use hawthornmill_lab::standin::platform::Mode;
use hawthornmill_test_support::fleet::FleetText;
use hawthornmill_test_support::procs::{small_fleet, small_site};
use hawthornmill_test_support::steps::{Steps, contact};

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
/// would do: first the value is missing, then it is that of another revision. The revision must
/// neither be taken in part nor be given up.
#[test]
fn a_fetch_that_fails_midway_is_tried_again() {
    block_on(async {
        let site = small_site(ROUTER, 3).await;
        for revision in [2, 3] {
            let whole = shards(&site, revision);
            let mut part = whole.clone();
            part.remove("servers");
            if revision == 3 {
                let other = shards(&site, 99).remove("servers");
                part.extend(other.map(|text| ("servers".into(), text)));
            }
            let manifest = manifest(revision, &whole);
            site.platform.publish_raw(manifest.clone(), part);
            tokio::time::sleep(Duration::from_secs(1)).await;
            let during = revisions(&site).await;

            site.platform.publish_raw(manifest, whole);
            let taken = in_force(&site, revision, Duration::from_secs(7)).await;

            assert_eq!(during, [Some(revision - 1); 3]);
            assert!(taken.is_some(), "{:?}", revisions(&site).await);
        }
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

/// A change is published, and in that moment a reader of each failure domain is killed. The change
/// must still be in force on all that live within the promised 7 s.
#[test]
fn a_change_is_in_force_everywhere_when_readers_die() {
    block_on(async {
        let mut site = small_site(ROUTER, 8).await;
        let first = site.platform.publish(shards(&site, 1));
        let calm = in_force(&site, first, Duration::from_secs(7)).await;
        assert!(calm.is_some(), "{:?}", revisions(&site).await);

        let second = site.platform.publish(shards(&site, 2));
        for index in [0, 1, 2] {
            site.routers[index].kill();
        }
        let hard = in_force(&site, second, Duration::from_secs(7)).await;

        assert!(hard.is_some(), "{:?}", revisions(&site).await);
        site.stop().await;
    });
}

/// A platform is down for longer than readers' patience and comes back with a change. Nothing in
/// force may be lost meanwhile, a router that restarts then takes the configuration from its peers,
/// and the change arrives.
#[test]
fn a_long_outage_of_the_platform_loses_nothing() {
    block_on(async {
        let mut site = small_site(ROUTER, 4).await;
        let first = site.platform.publish(shards(&site, 1));
        let taken = in_force(&site, first, Duration::from_secs(7)).await;
        assert!(taken.is_some());
        site.platform.set_mode(Mode::Down);
        tokio::time::sleep(Duration::from_secs(5)).await;
        site.routers[1].kill();
        site.launch(1).expect("the router starts");
        let restarted = in_force(&site, first, Duration::from_secs(7)).await;

        let second = site.platform.publish(shards(&site, 2));
        site.platform.set_mode(Mode::Up);
        let after = in_force(&site, second, Duration::from_secs(7)).await;

        assert!(restarted.is_some() && after.is_some());
        site.stop().await;
    });
}

/// A thousand changes arrive one after another, each at the instances in another order, with old
/// ones repeated in between, while calls run. No instance may go back, all must end alike, and the
/// changes must cost no slot time: what a change does not touch goes on.
#[test]
fn a_thousand_changes_in_a_row_cost_no_slot_time() {
    let places = [
        ("a", "north"),
        ("a", "north"),
        ("b", "north"),
        ("c", "south"),
    ];
    let load = |steps: &mut Steps| {
        for entry in 0..places.len() {
            while steps.waiting(entry, "big", "drafting") < 8 {
                let accepted = steps.arrive(entry, "big", "drafting", 50, 60_000);
                assert_eq!(accepted, Ok(()));
            }
        }
    };
    let mut steps = Steps::new(&small_fleet(), &places, &Tuning::default());
    steps.run(6000, load);
    let before = steps.busy;
    steps.run(5000, load);
    let usual = steps.busy - before;
    let before = steps.busy;

    for change in 0..1000_u64 {
        let fleet = changed(change);
        for turn in 0..places.len() {
            let index = (turn + change as usize) % places.len();
            let board = &mut steps.boards[index];
            let had = board.config.revision;
            let (config, manifest, values) = fleet.accept(change + 2);
            assert!(board.install(config, manifest, values));
            let (config, manifest, values) = small_fleet().accept(change.max(1));
            assert!(!board.install(config, manifest, values));
            assert!(board.config.revision > had);
        }
        steps.run(5, load);
    }

    let used = (steps.busy - before) as f64 / usual as f64;
    let digests: Vec<_> = steps.boards.iter().map(|b| b.manifest.clone()).collect();
    assert!(digests.windows(2).all(|d| d[0] == d[1]));
    assert!(used > 0.98, "used {used}");
}

/// The small fleet with one account that differs from change to change.
fn changed(number: u64) -> FleetText {
    small_fleet().account(&format!("guest-{}", number % 7), "none")
}

/// What a starting instance has heard, and whether it may serve. It holds revision 3.
#[test]
fn a_starting_instance_serves_once_it_knows_enough() {
    let heard = |peers: &[(u64, bool)], answer: Option<ProbeAck>, age: u64| {
        let now = Instant::now();
        let own = contact("i0", "a", "north");
        let mut board = Blackboard::new(own, Incarnation(1), Tuning::default(), now);
        let (config, manifest, values) = small_fleet().accept(3);
        board.install(config, manifest, values);
        board.startup.platform_answered = true;
        board.roster.replace(Vec::new());
        for (number, (revision, live)) in peers.iter().enumerate() {
            let contact = contact(&format!("i{}", number + 1), "b", "north");
            let sign = LivenessUpdate {
                from: InstanceId::of(&contact.name),
                incarnation: Incarnation(1),
                leaving: false,
                revision: *revision,
                interval: Duration::from_millis(100),
                stable_tenths: 0,
                direct: true,
            };
            board.members.upsert_contact(contact, now);
            if *live {
                board.members.record_liveness(sign, now);
            }
        }
        if let Some(ack) = answer {
            tick::on_probe_ack(&mut board, ack, now);
        }
        startup::is_ready(&board, now, now + Duration::from_millis(age))
    };
    let serves = |revision| ProbeAck {
        number: 0,
        revision,
        serving: true,
    };
    let starts = |revision| ProbeAck {
        serving: false,
        ..serves(revision)
    };

    assert!(heard(&[], None, 0), "it is alone");
    assert!(heard(&[(3, true), (3, true)], None, 0), "all were heard");
    assert!(
        !heard(&[(3, true), (3, false)], None, 0),
        "one may know more"
    );
    assert!(heard(&[(3, true), (3, false)], Some(serves(3)), 0));
    assert!(!heard(&[(3, true), (3, false)], Some(starts(3)), 0));
    assert!(heard(&[(3, true), (3, false)], Some(starts(3)), 2100));
    assert!(!heard(&[(4, true)], None, 2100), "a peer has a newer one");
    assert!(!heard(&[(3, false)], Some(serves(4)), 2100));
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
