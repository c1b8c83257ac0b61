//! Requests to cold servers.

use std::time::{Duration, Instant};

use hawthornmill::ident::{DomainId, InstanceId, ServerId};
use hawthornmill::routing::announcements::ColdServer;
use hawthornmill::routing::catalog::ColdStart;
use hawthornmill::routing::cold_start::ColdStartLimiter;
use hawthornmill::routing::evacuations::Evacuation;
use hawthornmill::routing::registry::Registration;
use hawthornmill::routing::request::Admission;
use hawthornmill::routing::scheduler::Scheduler;

use super::{TOLERANCE, catalog, change, drafter, entry, millis, request, scheduler, shape};

const COLD_START: ColdStart = ColdStart {
    time: Duration::from_secs(3),
    rate: 14.0,
};
/// Requests that a cold server may get in any second: its rate times the factor, and the extra.
const BOUND: usize = 26;
const DOMAINS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
/// Time after which instances have heard of each other.
const SETTLED: Duration = Duration::from_secs(2);

type Known = Vec<(InstanceId, DomainId)>;

fn instances(names: &str, count: usize) -> Known {
    let domain = |number: usize| DomainId::of(DOMAINS[number % DOMAINS.len()]);
    (0..count)
        .map(|n| (InstanceId::of(&format!("{names}-{n}")), domain(n)))
        .collect()
}

/// Limiters of instances that started at `start` and know `known`.
fn limiters(
    own: &[(InstanceId, DomainId)],
    known: &Known,
    start: Instant,
) -> Vec<ColdStartLimiter> {
    let limiter = |(id, domain): &(InstanceId, DomainId)| {
        let mut limiter = ColdStartLimiter::new(*id, *domain, TOLERANCE, start);
        limiter.observe_instances(known.clone());
        limiter
    };
    own.iter().map(limiter).collect()
}

/// Lets every instance send as much as it may, in turns of 10 ms for three seconds; returns the most in any second.
fn most_in_a_second(all: &mut [ColdStartLimiter], server: &str, start: Instant) -> usize {
    let (server, domain) = (ServerId::of(server), DomainId::of("a"));
    let mut sent = Vec::new();
    for turn in 0..300 {
        let now = start + millis(10 * turn);
        for limiter in all.iter_mut() {
            while limiter.allows(server, domain, COLD_START, now) {
                limiter.record(server, now);
                sent.push(now);
            }
        }
    }
    let within = |from: &Instant| {
        let second = sent
            .iter()
            .filter(|at| **at >= *from && **at - *from < millis(1_000));
        second.count()
    };
    sent.iter().map(within).max().unwrap_or(0)
}

/// Load pattern: each instance of the fleet has requests for a cold server all the time.
#[test]
fn whole_fleet_stays_within_the_bound_and_uses_it() {
    for count in [1, 8, 66, 300] {
        let (start, known) = (Instant::now(), instances("i", count));
        let mut all = limiters(&known, &known, start);

        for server in ["s1", "s2", "s3"] {
            let most = most_in_a_second(&mut all, server, start + SETTLED);

            assert!(most <= BOUND, "{count} instances sent {most}");
            assert!(most >= 3 || count > 1, "{count} instances sent {most}");
            assert!(
                count < 8 || most >= BOUND / 3,
                "{count} instances sent {most}"
            );
        }
    }
}

/// Failure: the fleet is split, each side takes the other for gone, and both sides send what the whole fleet may.
#[test]
fn split_fleet_stays_within_the_bound() {
    for count in [8, 66, 300] {
        let (start, known) = (Instant::now(), instances("i", count));
        let (left, right): (Known, Known) = (
            known.iter().copied().step_by(2).collect(),
            known.iter().copied().skip(1).step_by(2).collect(),
        );
        // Each side has restarted during the split, and knows only itself.
        let mut all = limiters(&left, &left, start);
        all.extend(limiters(&right, &right, start));

        let most = most_in_a_second(&mut all, "s", start + SETTLED);

        assert!(most <= BOUND, "{count} instances sent {most}");
    }
}

/// Failure: the fleet doubles while a server is cold, old and new instances don't all know each other yet, and both halves
/// choose senders.
#[test]
fn doubling_fleet_stays_within_the_bound() {
    for count in [8, 66, 300] {
        let (start, old, new) = (
            Instant::now(),
            instances("old", count),
            instances("new", count),
        );
        let both: Known = old.iter().chain(&new).copied().collect();
        // The old half hasn't heard of the new one, of which each instance knows all.
        let mut all = limiters(&old, &old, start);
        let joined = start + SETTLED;
        all.extend(limiters(&new, &both, joined));

        let most = most_in_a_second(&mut all, "s", joined);

        assert!(most <= BOUND, "{count} instances sent {most}");
    }
}

/// Failure: instances die while a server is cold, others take their places before all know of it, and the old and the new
/// senders add up.
#[test]
fn fleet_with_deaths_stays_within_the_bound() {
    for count in [8, 66, 300] {
        let (start, known) = (Instant::now(), instances("i", count));
        let survivors: Known = known.iter().copied().skip(count / 3).collect();
        // Half of the survivors have forgotten the dead.
        let (early, late) = survivors.split_at(survivors.len() / 2);
        let mut all = limiters(early, &survivors, start);
        all.extend(limiters(late, &known, start));

        let most = most_in_a_second(&mut all, "s", start + SETTLED);

        assert!(most <= BOUND, "{count} instances sent {most}");
    }
}

/// Failure: an instance that has just started and has heard of no other one takes itself for the only sender.
#[test]
fn instance_that_has_just_started_sends_nothing_to_a_cold_server() {
    let (start, own) = (Instant::now(), instances("i", 1));
    let mut limiter = limiters(&own, &own, start).remove(0);
    let mut allows = |now| limiter.allows(ServerId::of("s"), DomainId::of("a"), COLD_START, now);

    let (early, later) = (allows(start + millis(1_500)), allows(start + SETTLED));

    assert_eq!((early, later), (false, true));
}

/// A settled scheduler with `servers`, whose service has cold starts.
fn scheduler_with_cold_starts(servers: &[(&str, &str)], start: Instant) -> Scheduler {
    let mut scheduler = scheduler(servers, start);
    let mut catalog = catalog(1, Vec::new(), Vec::new());
    catalog.services[0].cold_start = Some(COLD_START);
    scheduler.apply_catalog(&catalog);
    scheduler
}

fn cold_entry(name: &str, domain: &str, remaining: Duration) -> Registration {
    Registration {
        cold_time: remaining,
        ..entry(name, domain)
    }
}

/// Sends short requests at `now` until `most` of them were sent or one wasn't; returns how many each server got.
fn send(scheduler: &mut Scheduler, servers: &[&str], most: usize, now: Instant) -> Vec<usize> {
    let mut counts = vec![0; servers.len()];
    for family in 0..most {
        let ask = request("lab", shape(family as u64, 0, 50), now);
        let Admission::Decided(Ok(placement)) = scheduler.submit(&ask, now) else {
            break;
        };
        scheduler.record_first_token(drafter(), &placement, Some(millis(60)), now);
        scheduler.finish(&placement, true);
        let index = servers
            .iter()
            .position(|s| ServerId::of(s) == placement.server);
        counts[index.expect("the server is known")] += 1;
    }
    counts
}

/// Failure: a server that has restarted looks idle and gets all requests, until it crashes.
#[test]
fn cold_server_gets_its_part_and_the_others_the_rest() {
    let start = Instant::now();
    let now = start + SETTLED;
    let mut scheduler = scheduler_with_cold_starts(&[("a1", "a"), ("a2", "a")], start);
    let cold = cold_entry("a1", "a", millis(3_000));
    scheduler.apply_change(
        change(
            "a1",
            50,
            Some(Registration {
                start_ms: 7,
                ..cold
            }),
        ),
        now,
    );

    let while_cold = send(&mut scheduler, &["a1", "a2"], 200, now);
    let warm_at = now + millis(3_100);
    let warm = scheduler.take_warm(warm_at);
    let while_warm = send(&mut scheduler, &["a1", "a2"], 60, warm_at);

    assert!((1..=BOUND).contains(&while_cold[0]), "{while_cold:?}");
    assert_eq!(while_cold.iter().sum::<usize>(), 200);
    assert_eq!(warm, [ServerId::of("a1")]);
    assert!(while_warm[0] >= 20, "{while_warm:?}");
}

/// Failure: a server turns cold while it is in use, and what it has just got and what it gets as a cold one add up.
#[test]
fn server_that_turns_cold_in_use_is_paused() {
    let start = Instant::now();
    let now = start + SETTLED;
    let mut scheduler = scheduler_with_cold_starts(&[("a1", "a"), ("a2", "a")], start);
    let announced = ColdServer {
        server: ServerId::of("a1"),
        remaining: millis(3_000),
    };

    scheduler.apply_cold(announced, now);
    let turned = scheduler.take_turned_cold(now);
    scheduler.apply_cold(announced, now);
    let repeated = scheduler.take_turned_cold(now);
    let paused = send(&mut scheduler, &["a1", "a2"], 30, now + millis(900));
    let after = send(&mut scheduler, &["a1", "a2"], 30, now + millis(1_300));

    assert_eq!(turned, [ServerId::of("a1")]);
    assert!(repeated.is_empty());
    assert_eq!(paused, [0, 30]);
    assert!(after[0] > 0, "{after:?}");
}

/// Failure: an instance hears of a cold server by a list only, and goes on sending there as before.
#[test]
fn server_that_a_list_shows_as_cold_is_paused() {
    let start = Instant::now();
    let now = start + SETTLED;
    let mut scheduler = scheduler_with_cold_starts(&[("a1", "a"), ("a2", "a")], start);
    let entries = vec![
        change("a1", 50, Some(cold_entry("a1", "a", millis(3_000)))),
        change("a2", 2, Some(entry("a2", "a"))),
    ];

    scheduler.replace_registrations(super::list(entries, 60, false), now);
    let turned = scheduler.take_turned_cold(now);
    let paused = send(&mut scheduler, &["a1", "a2"], 30, now + millis(900));

    assert_eq!(turned, [ServerId::of("a1")]);
    assert_eq!(paused, [0, 30]);
}

/// Failure: all instances send to the idle servers of a domain that is taken back, before the servers have said that they
/// are cold.
#[test]
fn servers_of_a_domain_that_is_taken_back_count_as_cold() {
    let start = Instant::now();
    let now = start + SETTLED;
    let mut scheduler = scheduler_with_cold_starts(&[("a1", "a"), ("b1", "b")], start);
    let evacuation = Evacuation {
        domain: DomainId::of("a"),
        revision: 50,
        active: true,
    };
    let end = Evacuation {
        revision: 60,
        active: false,
        ..evacuation
    };

    scheduler.apply_evacuation(evacuation, now);
    scheduler.apply_evacuation(end, now);
    let counts = send(&mut scheduler, &["a1", "b1"], 60, now);

    assert!((1..=BOUND).contains(&counts[0]), "{counts:?}");
    assert_eq!(counts.iter().sum::<usize>(), 60);
}

/// Failure: all servers of a service are cold, and requests beyond the bound are refused at once as if there were none.
#[test]
fn requests_wait_while_all_servers_are_cold() {
    let start = Instant::now();
    let now = start + SETTLED;
    let mut scheduler = scheduler_with_cold_starts(&[("a1", "a")], start);
    let cold = Registration {
        start_ms: 7,
        ..cold_entry("a1", "a", millis(250))
    };
    scheduler.apply_change(change("a1", 50, Some(cold)), now);
    let _part = send(&mut scheduler, &["a1"], 60, now);

    let waiting = scheduler.submit(&request("lab", shape(99, 0, 50), now), now);
    let early = scheduler.dispatch_queued(now + millis(100));
    let warm = scheduler.dispatch_queued(now + millis(260));

    assert!(matches!(waiting, Admission::Queued(_)), "{waiting:?}");
    assert!(early.is_empty());
    assert!(!warm.is_empty() && warm.iter().all(|(_, decision)| decision.is_ok()));
}

/// Failure: an instance that learns of a cold server from a peer's list takes it for cold for the whole time anew, or not
/// at all.
#[test]
fn list_of_a_peer_carries_what_is_left_of_a_cold_start() {
    let start = Instant::now();
    let now = start + SETTLED;
    let mut here = scheduler_with_cold_starts(&[("a1", "a")], start);
    let mut there = scheduler_with_cold_starts(&[], start);
    here.apply_change(
        change("a1", 50, Some(cold_entry("a1", "a", millis(3_000)))),
        now,
    );

    let later = now + millis(1_000);
    let entries = here.registry.snapshot(later);
    there.replace_registrations(super::list(entries, 60, false), later);

    let left = there.registry.cold_time(ServerId::of("a1"), later);
    assert_eq!(left, millis(2_000));
}
