//! Rests that servers ask for, and servers that say themselves that they leave.

use std::time::{Duration, Instant};

use hawthornmill::ident::{InstanceId, ServerId};
use hawthornmill::routing::registry::Registration;
use hawthornmill::routing::request::{Admission, Cause};
use hawthornmill::routing::scheduler::Scheduler;
use hawthornmill::routing::server_notices::ServerNotices;

use super::{SIX, change, entry, millis, request, scheduler, sent, shape};

/// Start of the run of all servers whose registration gives none.
const START: u64 = 0;

fn rest(scheduler: &mut Scheduler, server: &str, time: Duration, now: Instant) {
    let server = ServerId::of(server);
    scheduler.notices.record_rest(server, START, time, now);
}

/// Returns the servers of twenty requests of as many families.
fn chosen(scheduler: &mut Scheduler, now: Instant) -> Vec<ServerId> {
    let ask = |family| request("lab", shape(family, 300, 20), now);
    let placed = (0..20).map(|family| sent(scheduler.submit(&ask(family), now)));
    placed.map(|p| p.server).collect()
}

/// Failure: a server that sheds load is the least loaded one, so it gets the next requests.
#[test]
fn resting_server_is_not_chosen_until_its_rest_is_over() {
    let now = Instant::now();
    let mut scheduler = scheduler(SIX, now);
    rest(&mut scheduler, "a1", millis(3_000), now);

    let during = chosen(&mut scheduler, now + millis(2_990));
    let after = chosen(&mut scheduler, now + millis(3_400));

    assert!(!during.contains(&ServerId::of("a1")));
    assert!(after.contains(&ServerId::of("a1")));
}

/// Failure: a shorter rest in a later answer ends a longer one.
#[test]
fn latest_end_of_several_rests_counts() {
    let now = Instant::now();
    let mut scheduler = scheduler(SIX, now);
    rest(&mut scheduler, "a1", millis(3_000), now);
    rest(&mut scheduler, "a1", millis(500), now + millis(100));

    let during = chosen(&mut scheduler, now + millis(2_000));

    assert!(!during.contains(&ServerId::of("a1")));
}

/// Failure: all instances send all that waits to a server whose rest ends, and it sheds again.
#[test]
fn one_request_goes_first_after_a_rest() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("a1", "a"), ("a2", "a")], now);
    rest(&mut scheduler, "a1", millis(1_000), now);
    let (later, a1) = (now + millis(1_200), ServerId::of("a1"));
    let count = |chosen: Vec<ServerId>| chosen.iter().filter(|s| **s == a1).count();
    let ask = |family| request("lab", shape(family, 300, 20), later);

    let first: Vec<ServerId> = (0..8)
        .map(|family| sent(scheduler.submit(&ask(family), later)).server)
        .collect();
    scheduler.notices.record_response(a1, later + millis(10));
    let next: Vec<ServerId> = (8..12)
        .map(|family| sent(scheduler.submit(&ask(family), later + millis(10))).server)
        .collect();

    assert_eq!(count(first), 1);
    assert!(count(next) > 1);
}

/// Failure: requests wait in the queue for servers that all rest for longer than the requests may wait.
#[test]
fn request_is_refused_until_the_first_server_is_back() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("a1", "a"), ("a2", "a")], now);
    rest(&mut scheduler, "a1", millis(5_000), now);
    rest(&mut scheduler, "a2", millis(2_000), now);

    let refused = scheduler.submit(&request("lab", shape(1, 300, 20), now), now);

    let Admission::Decided(Err(refusal)) = refused else {
        panic!("{refused:?}")
    };
    assert_eq!(refusal.cause, Cause::Resting);
    assert!((millis(2_000)..=millis(2_200)).contains(&refusal.retry_after));
}

/// Failure: a request whose connection was being opened reaches a server that wants none by then.
#[test]
fn nothing_is_sent_to_a_server_that_rests_or_leaves_by_then() {
    let now = Instant::now();
    let mut scheduler = scheduler(SIX, now);
    rest(&mut scheduler, "a1", millis(1_000), now);
    let (a2, b1) = (ServerId::of("a2"), ServerId::of("b1"));
    scheduler.notices.record_leaving(a2, START, now);

    let allowed = |server| scheduler.may_send(server, now);

    let three = [ServerId::of("a1"), a2, b1].map(allowed);
    assert_eq!(three, [false, false, true]);
}

/// Failure: the store can't be read, a server says itself that it leaves, and it gets requests from the old registration.
#[test]
fn leaving_server_is_not_chosen_whatever_its_registration_says() {
    let now = Instant::now();
    let mut scheduler = scheduler(SIX, now);
    let a1 = ServerId::of("a1");

    let is_new = scheduler.notices.record_leaving(a1, START, now);
    let is_new_again = scheduler.notices.record_leaving(a1, START, now);
    scheduler.apply_change(change("a1", 50, Some(entry("a1", "a"))), now);
    scheduler.sweep(now + Duration::from_mins(1));

    assert!(is_new && !is_new_again);
    assert!(!chosen(&mut scheduler, now + Duration::from_mins(1)).contains(&a1));
}

/// Failure: a server starts again under the same name and gets no requests, because its earlier run left or rested.
#[test]
fn restarted_server_is_free_of_earlier_notices() {
    let now = Instant::now();
    let mut scheduler = scheduler(SIX, now);
    let a1 = ServerId::of("a1");
    scheduler.notices.record_leaving(a1, START, now);
    rest(&mut scheduler, "a1", millis(60_000), now);
    let restarted = Registration {
        start_ms: 9,
        ..entry("a1", "a")
    };

    scheduler.apply_change(change("a1", 50, Some(restarted)), now);

    assert!(chosen(&mut scheduler, now).contains(&a1));
}

/// Failure: an absurd time keeps a server unused for ever, or overflows.
#[test]
fn rest_is_bounded() {
    let now = Instant::now();
    let mut notices = ServerNotices::new(InstanceId::of("me"));

    let until = notices.record_rest(ServerId::of("a1"), START, Duration::MAX, now);

    assert!(until <= now + Duration::from_mins(10));
}
