//! What is believed of callers that take up streams of which nobody has a record.

use std::time::{Duration, Instant};

use hawthornmill::ident::{AccountId, RouteId};
use hawthornmill::routing::caller_times::{CallerTime, CallerTimes, MAX_CALLER_TIME};
use hawthornmill::routing::lost_streams::{LostStreams, Sharers};
use hawthornmill::routing::stream_versions::StreamKey;

use super::millis;

/// Longest time for which the callers of the tests' route should wait.
const TIMEOUT: Duration = Duration::from_secs(10);

fn account(name: &str) -> AccountId {
    AccountId::of(name)
}

fn caller(name: &str, left: Option<Duration>) -> CallerTime {
    CallerTime {
        account: Some(account(name)),
        route: RouteId::of("chat"),
        timeout: TIMEOUT,
        left,
    }
}

/// Failure: a caller that gives more than its route's timeout comes back, and its stream is dated by that timeout.
#[test]
fn more_time_than_the_route_allows_dates_no_stream() {
    let now = Instant::now();
    let mut times = CallerTimes::default();

    let left = [
        Some(TIMEOUT + millis(1)),
        None,
        Some(TIMEOUT),
        Some(millis(4_000)),
    ];
    let spent = left.map(|left| {
        let mut alone = CallerTimes::default();
        alone.longest_spent(caller("lab", left), now)
    });
    times.longest_spent(caller("lab", Some(millis(15_000))), now);
    let later = times.longest_spent(caller("lab", Some(millis(4_000))), now + millis(11_000));

    assert_eq!(
        spent,
        [MAX_CALLER_TIME, MAX_CALLER_TIME, millis(0), millis(6_000)]
    );
    assert_eq!(later, millis(11_000));
}

/// Failure: one request with a long deadline makes all callers of its route count as older, for ever.
#[test]
fn long_deadline_counts_for_its_account_and_is_forgotten() {
    let start = Instant::now();
    let mut times = CallerTimes::default();

    times.longest_spent(caller("lab", Some(Duration::from_hours(1))), start);
    let mut spent = |name, at| times.longest_spent(caller(name, Some(millis(4_000))), at);

    assert_eq!(spent("kiosk", start), millis(6_000));
    assert_eq!(spent("lab", start + MAX_CALLER_TIME), MAX_CALLER_TIME);
    assert_eq!(spent("lab", start + 2 * MAX_CALLER_TIME), millis(6_000));
}

/// Failure: an account names streams that never began, and all its requests go on before those of others.
#[test]
fn account_gets_no_more_than_its_part_by_naming_streams() {
    let mut lost = LostStreams::default();
    let sharers = Sharers {
        slots: 120,
        accounts: 6,
        instances: 4,
    };
    let mut take =
        |name: &str, stream: u64| lost.take_preference(account(name), StreamKey(stream), sharers);

    let named = (0..200).filter(|stream| take("greedy", *stream)).count();
    let again = (0..200).filter(|_| take("greedy", 1)).count();
    let begun = (1_000..1_005).filter(|stream| take("lab", *stream)).count();

    assert_eq!((named, again, begun), (10, 3, 5));
}
