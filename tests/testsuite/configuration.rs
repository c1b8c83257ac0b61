//! Distribution of configuration through platform outages, stale responses and router restarts.

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
use hawthornmill_test_support::fleet::FleetBuilder;
use hawthornmill_test_support::procs::{small_fleet, small_site};
use hawthornmill_test_support::simulation::{Simulation, contact};

use crate::{ROUTER, block_on};

/// Revision of every router; `None` for one that is not ready.
async fn revisions(site: &Site) -> Vec<Option<u64>> {
    let statuses = site.statuses().await;
    statuses
        .iter()
        .map(|s| (s["ready"] == true).then(|| s["revision"].as_u64().unwrap_or(0)))
        .collect()
}

/// Waits until every router serves `revision`; returns the time, or `None` after `timeout`.
async fn wait_for_revision(site: &Site, revision: u64, timeout: Duration) -> Option<Duration> {
    let began = Instant::now();
    let running = site.routers.iter().filter(|r| r.pid().is_some()).count();
    while began.elapsed() < timeout {
        let all = revisions(site).await;
        if all.len() == running && all.iter().all(|r| *r == Some(revision)) {
            return Some(began.elapsed());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    None
}

/// The configuration of `site` in two values; each `number` gives a different configuration.
fn split_values(site: &Site, number: u64) -> Values {
    let estimate = format!("estimate = {}", 100 + number);
    let text = site.text.replacen("estimate = 100", &estimate, 1);
    let at = text.find("[account").expect("the fleet has accounts");
    let (servers, accounts) = text.split_at(at);
    Values::from([
        ("accounts".into(), accounts.into()),
        ("servers".into(), servers.into()),
    ])
}

/// Platform calls by kind during `time`.
async fn calls_during(site: &Site, time: Duration) -> BTreeMap<Box<str>, u64> {
    let before = site.platform.calls();
    tokio::time::sleep(time).await;
    let mut calls = site.platform.calls();
    for (kind, count) in &mut calls {
        *count -= before.get(kind).copied().unwrap_or(0);
    }
    calls
}

/// The platform is restored from a backup with an older revision, and a router restarts without
/// state. Without asking its peers, it would serve the older revision.
#[test]
fn restored_platform_does_not_roll_back_a_restarted_router() {
    block_on(async {
        let mut site = small_site(ROUTER, 4).await;
        let newest = site.platform.publish(split_values(&site, 1));
        let applied = wait_for_revision(&site, newest, Duration::from_secs(5)).await;
        assert!(applied.is_some(), "{:?}", revisions(&site).await);
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

/// An invalid revision stays published. Fetching it again and again would use up the budget of
/// platform calls.
#[test]
fn rejected_revision_is_not_fetched_again() {
    block_on(async {
        let site = small_site(ROUTER, 3).await;
        let invalid = Values::from([("fleet".into(), "[account x]\n".into())]);
        site.platform.publish(invalid);
        tokio::time::sleep(Duration::from_secs(1)).await;

        let calls = calls_during(&site, Duration::from_secs(4)).await;

        assert_eq!(calls["value"], 0, "{calls:?}");
        assert!(calls["manifest"] <= 6, "{calls:?}");
        let newest = site.platform.publish(split_values(&site, 1));
        let applied = wait_for_revision(&site, newest, Duration::from_secs(5)).await;
        assert!(applied.is_some(), "{:?}", revisions(&site).await);
        site.stop().await;
    });
}

/// A manifest is published before one of its values: the value is missing, or still that of another
/// revision. The revision must not be applied in part, and the fetch must be retried.
#[test]
fn incomplete_revision_is_fetched_again() {
    block_on(async {
        let site = small_site(ROUTER, 3).await;
        for revision in [2, 3] {
            let complete = split_values(&site, revision);
            let mut partial = complete.clone();
            partial.remove("servers");
            if revision == 3 {
                let other = split_values(&site, 99).remove("servers");
                partial.extend(other.map(|text| ("servers".into(), text)));
            }
            let manifest = manifest(revision, &complete);
            site.platform.publish_raw(manifest.clone(), partial);
            tokio::time::sleep(Duration::from_secs(1)).await;
            let during = revisions(&site).await;

            site.platform.publish_raw(manifest, complete);
            let applied = wait_for_revision(&site, revision, Duration::from_secs(7)).await;

            assert_eq!(during, [Some(revision - 1); 3]);
            assert!(applied.is_some(), "{:?}", revisions(&site).await);
        }
        site.stop().await;
    });
}

/// Two operators repeatedly publish at the same time, each a configuration in two values. Every
/// router must end with the last one, and none with a mixture.
#[test]
fn concurrent_publishes_end_with_one_revision() {
    block_on(async {
        let site = small_site(ROUTER, 3).await;
        let platform = &site.platform;
        std::thread::scope(|scope| {
            for operator in [1_u64, 2] {
                let site = &site;
                scope.spawn(move || {
                    for round in 0..50 {
                        platform.publish(split_values(site, operator * 1000 + round));
                        std::thread::sleep(Duration::from_millis(10));
                    }
                });
            }
        });

        let applied = wait_for_revision(&site, 101, Duration::from_secs(5)).await;

        assert!(applied.is_some(), "{:?}", revisions(&site).await);
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

/// A change is published and at once the platform reader of each failure domain is killed. The
/// change must reach all live routers within the guaranteed 7 s.
#[test]
fn change_reaches_all_routers_when_platform_readers_are_killed() {
    block_on(async {
        let mut site = small_site(ROUTER, 8).await;
        let first = site.platform.publish(split_values(&site, 1));
        let undisturbed = wait_for_revision(&site, first, Duration::from_secs(7)).await;
        assert!(undisturbed.is_some(), "{:?}", revisions(&site).await);

        let second = site.platform.publish(split_values(&site, 2));
        for index in [0, 1, 2] {
            site.routers[index].kill();
        }
        let after_kills = wait_for_revision(&site, second, Duration::from_secs(7)).await;

        assert!(after_kills.is_some(), "{:?}", revisions(&site).await);
        site.stop().await;
    });
}

/// The platform is down for longer than the readers' timeouts and comes back with a change. A router
/// that restarts meanwhile must get the configuration from its peers, and the change must arrive.
#[test]
fn long_platform_outage_does_not_lose_the_configuration() {
    block_on(async {
        let mut site = small_site(ROUTER, 4).await;
        let first = site.platform.publish(split_values(&site, 1));
        let applied = wait_for_revision(&site, first, Duration::from_secs(7)).await;
        assert!(applied.is_some());
        site.platform.set_mode(Mode::Down);
        tokio::time::sleep(Duration::from_secs(5)).await;
        site.routers[1].kill();
        site.launch(1).expect("the router starts");
        let restarted = wait_for_revision(&site, first, Duration::from_secs(7)).await;

        let second = site.platform.publish(split_values(&site, 2));
        site.platform.set_mode(Mode::Up);
        let after = wait_for_revision(&site, second, Duration::from_secs(7)).await;

        assert!(restarted.is_some() && after.is_some());
        site.stop().await;
    });
}

/// A thousand changes reach the instances in different orders, mixed with old revisions, while calls
/// run. No instance may go back to an older revision, all must end with the same one, and slots must
/// stay busy: a change must not disturb what it doesn't affect.
#[test]
fn a_thousand_changes_do_not_idle_slots() {
    let locations = [
        ("a", "north"),
        ("a", "north"),
        ("b", "north"),
        ("c", "south"),
    ];
    let load = |sim: &mut Simulation| {
        for entry in 0..locations.len() {
            while sim.queue_length(entry, "big", "drafting") < 8 {
                let accepted = sim.submit_call(entry, "big", "drafting", 50, 60_000);
                assert_eq!(accepted, Ok(()));
            }
        }
    };
    let mut sim = Simulation::new(&small_fleet(), &locations, &Tuning::default());
    sim.run(6000, load);
    let before = sim.busy_ms;
    sim.run(5000, load);
    let usual = sim.busy_ms - before;
    let before = sim.busy_ms;

    for change in 0..1000_u64 {
        let fleet = changed(change);
        for position in 0..locations.len() {
            let index = (position + change as usize) % locations.len();
            let board = &mut sim.boards[index];
            let had = board.config.revision;
            let (config, manifest, values) = fleet.accept(change + 2);
            assert!(board.install(config, manifest, values));
            let (config, manifest, values) = small_fleet().accept(change.max(1));
            assert!(!board.install(config, manifest, values));
            assert!(board.config.revision > had);
        }
        sim.run(5, load);
    }

    let utilization = (sim.busy_ms - before) as f64 / usual as f64;
    let digests: Vec<_> = sim.boards.iter().map(|b| b.manifest.clone()).collect();
    assert!(digests.windows(2).all(|d| d[0] == d[1]));
    assert!(utilization > 0.98, "utilization {utilization}");
}

/// The small fleet with one more account, which differs from change to change.
fn changed(number: u64) -> FleetBuilder {
    small_fleet().account(&format!("guest-{}", number % 7), "none")
}

/// A starting instance with revision 3 must not serve while a peer may have a newer revision.
#[test]
fn starting_instance_waits_until_its_revision_is_confirmed() {
    let is_ready = |peers: &[(u64, bool)], ack: Option<ProbeAck>, age: u64| {
        let now = Instant::now();
        let own = contact("i0", "a", "north");
        let mut board = Blackboard::new(own, Incarnation(1), Tuning::default(), now);
        let (config, manifest, values) = small_fleet().accept(3);
        board.install(config, manifest, values);
        board.startup.platform_answered = true;
        board.roster.replace(Vec::new());
        for (number, (revision, live)) in peers.iter().enumerate() {
            let contact = contact(&format!("i{}", number + 1), "b", "north");
            let update = LivenessUpdate {
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
                board.members.record_liveness(update, now);
            }
        }
        if let Some(ack) = ack {
            tick::on_probe_ack(&mut board, ack, now);
        }
        startup::is_ready(&board, now, now + Duration::from_millis(age))
    };
    let from_serving = |revision| ProbeAck {
        number: 0,
        revision,
        serving: true,
    };
    let from_starting = |revision| ProbeAck {
        serving: false,
        ..from_serving(revision)
    };

    assert!(is_ready(&[], None, 0), "no peers");
    assert!(
        is_ready(&[(3, true), (3, true)], None, 0),
        "all peers confirmed"
    );
    assert!(
        !is_ready(&[(3, true), (3, false)], None, 0),
        "an unreachable peer may have a newer one"
    );
    assert!(is_ready(&[(3, true), (3, false)], Some(from_serving(3)), 0));
    assert!(!is_ready(
        &[(3, true), (3, false)],
        Some(from_starting(3)),
        0
    ));
    assert!(is_ready(
        &[(3, true), (3, false)],
        Some(from_starting(3)),
        2100
    ));
    assert!(
        !is_ready(&[(4, true)], None, 2100),
        "a peer has a newer one"
    );
    assert!(!is_ready(&[(3, false)], Some(from_serving(4)), 2100));
}

/// The number of instances doubles while the number of failure domains stays the same. Calls to the
/// platform must not double, since their budget is fixed.
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
