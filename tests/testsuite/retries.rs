//! Retries of calls that failed on a server.

use std::time::{Duration, Instant};

use hawthornmill::blackboard::Tuning;
use hawthornmill::ident::{AccountId, ServerId, ServiceId};
use hawthornmill::limits::retry::{FailedAttempt, Failure, MAX_ATTEMPTS, Retries};
use hawthornmill::pools::entry;
use hawthornmill_test_support::procs::small_fleet;
use hawthornmill_test_support::steps::Steps;

const DRAW: f64 = 0.5;

fn failed(server: &str, account: &str, failure: Failure, now: Instant) -> FailedAttempt {
    FailedAttempt {
        service: ServiceId::of("drafting"),
        account: AccountId::of(account),
        server: ServerId::of(server),
        failure,
        attempt: 1,
        deadline: now + Duration::from_secs(10),
    }
}

fn granted(retries: &mut Retries, failed: &FailedAttempt, count: usize, now: Instant) -> usize {
    let decided = (0..count).map(|_| retries.retry_delay(failed, DRAW, now));
    decided.flatten().count()
}

/// Every server aborts every call. Without a budget each call would be retried, and the servers would
/// get several times their load during an outage.
#[test]
fn retries_end_with_the_budget_when_every_server_fails() {
    let now = Instant::now();
    let mut retries = Retries::default();
    let mut count = 0;

    for server in 0..20 {
        let server = format!("server-{server}");
        let bad = failed(&server, "x", Failure::Broken, now);
        count += granted(&mut retries, &bad, 50, now);
    }

    assert!(count <= 20, "{count} retries of 1000 calls");
    for _ in 0..1000 {
        retries.record_success(ServiceId::of("drafting"), ServerId::of("good"), &[]);
    }
    let after = granted(
        &mut retries,
        &failed("one-more", "x", Failure::Broken, now),
        100,
        now,
    );
    assert!(after > 0, "successful calls fill the budget again");
}

/// One server fails every call. If its retries used up the whole budget, a call that another server
/// failed once could not be retried.
#[test]
fn failing_server_leaves_budget_for_the_others() {
    let now = Instant::now();
    let mut retries = Retries::default();
    let bad = failed("bad", "x", Failure::Broken, now);
    for _ in 0..200 {
        let _delay = retries.retry_delay(&bad, DRAW, now);
        retries.record_success(ServiceId::of("drafting"), ServerId::of("good"), &[]);
    }

    let other = granted(
        &mut retries,
        &failed("other", "x", Failure::Broken, now),
        3,
        now,
    );

    assert_eq!(other, 3);
}

/// An attempt that reached no server adds no load. It must not use the budget, but without a bound by
/// count and deadline it would be retried forever.
#[test]
fn unreachable_attempts_are_bounded_by_count_and_deadline() {
    let now = Instant::now();
    let mut retries = Retries::default();
    let mut gone = failed("gone", "x", Failure::Unreachable, now);
    assert_eq!(granted(&mut retries, &gone, 1000, now), 1000);
    let before = retries.remaining(gone.service);

    gone.attempt = MAX_ATTEMPTS;
    let over = retries.retry_delay(&gone, DRAW, now);
    gone.attempt = 1;
    gone.deadline = now + Duration::from_millis(5);
    let late = retries.retry_delay(&gone, DRAW, now);

    assert_eq!((over, late), (None, None));
    assert_eq!(retries.remaining(gone.service).to_bits(), before.to_bits());
}

/// Calls that failed together would be retried together if the delay didn't grow with each attempt
/// and depend on a random draw.
#[test]
fn retry_delays_grow_and_are_jittered() {
    let now = Instant::now();
    let mut retries = Retries::default();
    let mut at = |attempt, draw| {
        let mut one = failed("gone", "x", Failure::Unreachable, now);
        one.attempt = attempt;
        retries.retry_delay(&one, draw, now).expect("a try is left")
    };

    let (first, second, spread) = (at(1, 0.0), at(2, 0.0), at(1, 1.0));

    assert_eq!(second, first * 2);
    assert_eq!(spread, first * 2);
}

/// One account sends calls that make a server close the connection. If that counted as a fault of the
/// server, the other accounts would lose it; if calls of a second account fail too, it is one.
#[test]
fn one_account_cannot_take_a_server_from_the_others() {
    let now = Instant::now();
    let mut retries = Retries::default();
    let poison = failed("s", "poisoner", Failure::Broken, now);

    let own = (0..50).any(|_| retries.record_failure(&poison));
    let second = retries.record_failure(&failed("s", "other", Failure::Broken, now));

    assert!(!own);
    assert!(second);
}

/// A server fails the calls of its only account, and one of them then succeeds on another server. The
/// first server is at fault; if it were not avoided, it would keep attracting calls.
#[test]
fn success_elsewhere_proves_the_server_at_fault() {
    let now = Instant::now();
    let mut retries = Retries::default();
    let bad = failed("bad", "x", Failure::Unavailable, now);

    let before = retries.record_failure(&bad);
    retries.record_success(bad.service, ServerId::of("good"), &[bad.server]);
    let after = retries.record_failure(&bad);

    assert_eq!((before, after), (false, true));
}

/// The oldest call got a slot, and its server failed. If it were put at the end of the queue, it would
/// wait a second time behind all later calls; it must go first, and to another server.
#[test]
fn retried_call_keeps_its_position_and_avoids_the_server() {
    for name in ["draft-a", "draft-b"] {
        retry_away_from(name);
    }
}

fn retry_away_from(name: &str) {
    let mut steps = Steps::new(&small_fleet(), &[("a", "north")], &Tuning::default());
    let (service, account) = (ServiceId::of("drafting"), AccountId::of("big"));
    let start = steps.instant();
    steps.run(1000, |_| {});
    while steps.waiting(0, "big", "drafting") < 3 {
        steps
            .arrive(0, "big", "drafting", 500, 60_000)
            .expect("there is room");
    }
    let arrived = start;
    let arrival = entry::Arrival {
        service,
        account,
        bytes: 100,
        deadline: steps.instant() + Duration::from_mins(1),
    };
    let avoid = ServerId::of(name);

    let retried = entry::requeue(
        &mut steps.boards[0],
        arrival,
        arrived,
        [avoid].into_iter().collect(),
    );

    let queue = &steps.boards[0].queues[&(service, account)];
    assert_eq!(queue.front(), Some(&retried));
    let mut servers = Vec::new();
    for _ in 0..100 {
        let now = steps.instant();
        hawthornmill::pools::run_due(&mut steps.boards[0], now);
        let of = steps.boards[0]
            .dispatches
            .iter()
            .filter(|d| d.request == retried);
        servers.extend(of.map(|d| d.server));
        steps.step();
    }
    assert_eq!(servers.len(), 1, "it is dispatched once");
    assert_ne!(servers[0], avoid);
}

/// The only server of a pool failed a call once, and no other can run the retry. If the call declined
/// every grant for it, both would idle forever.
#[test]
fn retried_call_eventually_uses_the_only_server() {
    let fleet = hawthornmill_test_support::fleet::FleetText::new()
        .domain("a", "north")
        .service("drafting")
        .server("only", "drafting", "a", 2, "std")
        .account("big", "large")
        .grant("all", "size=large", "pool=std", 1.0);
    let mut steps = Steps::new(&fleet, &[("a", "north")], &Tuning::default());
    steps.run(1000, |_| {});
    let now = steps.instant();
    let arrival = entry::Arrival {
        service: ServiceId::of("drafting"),
        account: AccountId::of("big"),
        bytes: 100,
        deadline: now + Duration::from_mins(1),
    };

    entry::requeue(
        &mut steps.boards[0],
        arrival,
        now,
        [ServerId::of("only")].into_iter().collect(),
    );
    steps.run(600, |_| {});

    assert_eq!(steps.waiting(0, "big", "drafting"), 0);
    let grants: u32 = steps.boards[0].owned_pools.values().map(|o| o.seq).sum();
    assert!(grants <= 5, "{grants} grants for one call");
}
