//! What is believed of callers that take up streams of which nobody has a record.

use std::time::{Duration, Instant};

use hawthornmill::ident::{AccountId, RouteId};
use hawthornmill::routing::caller_times::{CallerTime, CallerTimes, MAX_CALLER_TIME};
use hawthornmill::routing::lost_streams::{LostStreams, Sharers};
use hawthornmill::routing::stream_tries::{
    CallerAge, LatestCount, StreamFacts, StreamTries, StreamTry, Undated,
};
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
        past_timeouts: None,
        left,
    }
}

/// Returns the time that a caller has spent by its own count.
fn counted(times: &mut CallerTimes, caller: CallerTime, now: Instant) -> Duration {
    let spent = times.spent(caller, now);
    spent.counted.unwrap_or(spent.most)
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
        counted(&mut alone, caller("lab", left), now)
    });
    times.record(caller("lab", Some(millis(15_000))), now);
    let later = times.spent(caller("lab", Some(millis(4_000))), now + millis(11_000));

    assert_eq!(
        spent,
        [MAX_CALLER_TIME, MAX_CALLER_TIME, millis(0), millis(6_000)]
    );
    assert_eq!(later.counted, Some(millis(11_000)));
    assert_eq!(later.most, millis(15_000));
}

/// Failure: one request with a long deadline makes all callers of its route count as older, for ever.
#[test]
fn long_deadline_counts_for_its_account_and_is_forgotten() {
    let start = Instant::now();
    let mut times = CallerTimes::default();

    times.record(caller("lab", Some(Duration::from_hours(1))), start);
    let mut spent = |name, at| counted(&mut times, caller(name, Some(millis(4_000))), at);

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

/// Failure: an account comes in by one instance, and most of its streams are refused after a kill as over its part there.
#[test]
fn account_at_one_instance_gets_its_part_of_the_fleet_for_streams_seen_to_count_down() {
    let mut lost = LostStreams::default();
    let sharers = Sharers {
        slots: 120,
        accounts: 6,
        instances: 4,
    };

    let mut take = |streams: std::ops::Range<u64>, sharers| {
        let taken =
            streams.filter(|s| lost.take_preference(account("lab"), StreamKey(*s), sharers));
        taken.count()
    };

    let named = take(0..100, sharers);
    let counted = take(100..200, sharers.at_one_instance());
    let named_later = take(200..300, sharers);

    assert_eq!((named, counted, named_later), (10, 30, 0));
}

/// Returns for how long a caller may have asked that asked for its stream to go on at these times, in milliseconds, with so much
/// left, at an instance beside holders of which the earliest started at `start`, if they tell.
fn age(tries: [(u64, u64); 2], start: Option<u64>) -> CallerAge {
    let epoch = Instant::now();
    let [first, last] = tries.map(|(at, left)| StreamTry {
        at: epoch + millis(at),
        left: millis(left),
    });
    let times = CallerTimes::default();
    let spent = times.spent(caller("lab", Some(last.left)), last.at);
    let facts = StreamFacts {
        holder_start: start.map(|start| epoch + millis(start)),
        lasted: Duration::ZERO,
    };
    CallerAge::of(spent, Some(first), last, facts)
}

/// Returns the time for which such a caller has asked by its own count, or why that isn't believed.
fn date(tries: [(u64, u64); 2], start: u64) -> Result<Duration, Undated> {
    let age = age(tries, Some(start));
    age.undated.map_or(Ok(age.most), Err)
}

/// Failure: a caller names the same time again and again, until its stream counts as younger than the servers of its version.
#[test]
fn caller_whose_count_is_not_believed_grows_older() {
    let whole = age([(9_000, 10_000), (12_000, 10_000)], Some(8_500));
    let constant = age([(9_000, 8_000), (12_000, 8_000)], Some(8_500));
    let late = age([(9_000, 8_000), (300_000, 8_000)], Some(8_500));

    assert_eq!([whole.most, constant.most], [millis(13_000); 2]);
    assert_eq!(late.most, MAX_CALLER_TIME);
}

/// Failure: a caller first had more left than its route allows, at another instance, and its stream is dated by the route's timeout.
#[test]
fn more_time_left_at_the_first_request_dates_no_stream() {
    let age = age([(9_000, 14_000), (15_000, 8_000)], Some(8_500));

    assert_eq!(age.most, MAX_CALLER_TIME);
    assert_eq!(age.undated, Some(Undated::NoTime));
}

/// Failure: no instance tells whether it would have a record, and a count by which one would is believed.
#[test]
fn count_is_not_believed_where_no_holder_tells_its_start() {
    let age = age([(9_000, 6_000), (9_300, 5_700)], None);

    assert_eq!(age.undated, Some(Undated::NoRecord));
}

/// Failure: a caller is told to come back soon though its second request can't date its stream.
#[test]
fn what_a_second_request_cannot_mend_is_told_first() {
    let whole = age([(9_000, 10_000); 2], Some(8_500));
    let known = age([(9_000, 9_900); 2], Some(8_500));
    let counted = age([(9_000, 6_000); 2], Some(8_500));

    let why = [whole, known, counted].map(|a| a.undated);
    let expected = [Undated::AllLeft, Undated::NoRecord, Undated::OneTry];
    assert_eq!(why, expected.map(Some));
}

/// Failure: a caller names the same time at each attempt, or more than it can have left, and its stream counts as begun lately.
#[test]
fn what_is_left_dates_no_stream_unless_it_went_down() {
    let cases = [
        [(9_000, 10_000), (9_300, 10_000)],
        [(9_000, 8_000), (9_300, 8_000)],
        [(9_000, 8_000), (10_000, 7_700)],
        [(9_000, 8_000), (9_300, 4_000)],
        [(9_000, 7_000), (9_300, 8_000)],
        [(9_000, 10_000), (9_300, 9_700)],
        [(9_000, 6_000), (9_100, 5_900)],
    ];

    let why = cases.map(|tries| date(tries, 8_500).err().map(Undated::name));

    let not_counted = Some("not_counted");
    let expected = [
        Some("all_left"),
        not_counted,
        not_counted,
        not_counted,
        not_counted,
        Some("all_left"),
        Some("one_try"),
    ];
    assert_eq!(why, expected);
}

/// Failure: a caller counts down, and its stream is dated later than it says, or by its route's timeout.
#[test]
fn caller_that_counts_down_dates_its_stream() {
    let exact = date([(9_000, 6_000), (9_300, 5_700)], 8_500);
    let read_late = date([(9_400, 6_000), (9_700, 5_300)], 8_500);
    let told_late = date([(9_000, 6_000), (9_360, 5_700)], 8_500);

    assert_eq!(exact, Ok(millis(4_300)));
    assert_eq!(read_late, Ok(millis(4_700)));
    assert_eq!(told_late, Ok(millis(4_360)));
}

/// Failure: a caller that begins to count anew when it comes back says that its stream began where all would have a record of it.
#[test]
fn stream_that_its_holders_would_know_is_not_dated() {
    let tries = [(9_000, 9_900), (9_400, 9_500)];

    let by_start = [8_800, 8_901].map(|start| date(tries, start));

    assert_eq!(by_start, [Err(Undated::NoRecord), Ok(millis(500))]);
}

/// Failure: a later request takes the place of an earlier one, or streams are kept for ever.
#[test]
fn earliest_request_for_a_stream_is_kept_for_a_while() {
    let start = Instant::now();
    let at = |ms, left| StreamTry {
        at: start + millis(ms),
        left: millis(left),
    };
    let mut tries = StreamTries::default();
    let (key, now) = (StreamKey(7), start + millis(1_000));

    let first = tries.record(key, at(1_000, 5_000), now);
    let later = tries.record(key, at(1_300, 4_700), now);
    let earlier = tries.record(key, at(600, 5_400), now);
    let other = tries.record(StreamKey(8), at(900, 1), now);
    let expired = tries.record(key, at(200_000, 3), start + millis(200_000));

    assert_eq!([first, later], [at(1_000, 5_000); 2]);
    assert_eq!([earlier, other], [at(600, 5_400), at(900, 1)]);
    assert_eq!(expired, at(200_000, 3));
}

/// Failure: a caller counts from when its stream broke, and the stream counts as begun then.
#[test]
fn count_that_may_have_begun_at_the_break_reaches_back_by_the_streams_events() {
    let epoch = Instant::now();
    let at = |ms: u64, left: u64| StreamTry {
        at: epoch + millis(ms),
        left: millis(left),
    };
    let (first, last) = (at(9_000, 9_000), at(10_000, 8_000));
    let spent = CallerTimes::default().spent(caller("lab", Some(last.left)), last.at);
    let facts = |lasted| StreamFacts {
        holder_start: Some(epoch + millis(8_500)),
        lasted: millis(lasted),
    };

    let [short, long] =
        [0, 4_000].map(|lasted| CallerAge::of(spent, Some(first), last, facts(lasted)));

    assert_eq!(
        (short.most, short.most_anew),
        (millis(2_000), millis(2_000))
    );
    assert_eq!((long.most, long.most_anew), (millis(2_000), millis(6_000)));
    assert_eq!((short.least, long.undated), (millis(2_000), None));
}

/// Failure: a count that began when all instances were killed is taken for one that began with its stream, or an older one isn't.
#[test]
fn only_counts_well_before_the_latest_one_began_with_their_streams() {
    let start = Instant::now() + Duration::from_mins(1);
    let before = |ms| start.checked_sub(millis(ms)).expect("the start lies ahead");
    let mut latest = LatestCount::default();

    let alone = latest.may_be_anew(before(9_000));
    latest.record(start + millis(1), start);
    let after_start = latest.may_be_anew(before(9_000));
    latest.record(before(2_000), start);
    latest.record(before(5_000), start);

    assert!(alone && after_start);
    assert!(latest.may_be_anew(before(2_000)) && latest.may_be_anew(before(2_500)));
    assert!(!latest.may_be_anew(before(2_501)));
}
