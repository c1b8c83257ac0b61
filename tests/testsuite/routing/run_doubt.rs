//! Runs of servers that may have ended, and streams that begin meanwhile.

use std::num::NonZeroU64;
use std::time::Instant;

use hawthornmill::ident::{ServerId, VersionId};
use hawthornmill::routing::registry::{Registration, ServerRun};
use hawthornmill::routing::request::{Admission, Request};
use hawthornmill::routing::run_doubt::{DoubtEnd, DoubtState, REGISTRATION_TIME, ReportedRun};
use hawthornmill::routing::scheduler::Scheduler;
use hawthornmill::routing::stream_versions::{StreamKey, StreamVersion};

use super::{change, entry, millis, request, scheduler, shape};

fn run(start_ms: u64) -> ServerRun {
    let server = ServerId::of("s");
    ServerRun { server, start_ms }
}

fn registered(start_ms: u64, version: &str) -> Registration {
    Registration {
        start_ms,
        version: VersionId::of(version),
        ..entry("s", "a")
    }
}

/// A scheduler with one server that started at 100 with version v1.
fn one_server(now: Instant) -> Scheduler {
    let mut scheduler = scheduler(&[], now);
    scheduler.apply_change(change("s", 1, Some(registered(100, "v1"))), now);
    scheduler
}

/// Returns whether the server gets a request that only `version` may serve.
fn is_placed(scheduler: &mut Scheduler, version: Option<&str>, now: Instant) -> bool {
    let request = Request {
        version: version.map(VersionId::of),
        ..request("a", shape(1, 0, 10), now)
    };
    matches!(scheduler.submit(&request, now), Admission::Decided(Ok(_)))
}

fn stream(attempt: &str, version: &str) -> StreamVersion {
    StreamVersion {
        key: StreamKey::of(None, attempt),
        version: VersionId::of(version),
    }
}

fn begin_stream(scheduler: &mut Scheduler, attempt: &str) {
    begin_proven(scheduler, attempt, None);
}

fn begin_proven(scheduler: &mut Scheduler, attempt: &str, proven: Option<u64>) {
    let key = StreamKey::of(None, attempt);
    scheduler
        .doubts
        .record_stream(ServerId::of("s"), key, proven.and_then(NonZeroU64::new));
}

/// Failure: a server whose connections broke gets streams of its version, or no requests at all.
#[test]
fn server_in_doubt_gets_only_requests_that_any_version_may_serve() {
    let now = Instant::now();
    let mut scheduler = one_server(now);

    let before = is_placed(&mut scheduler, Some("v1"), now);
    let begins = [now, now + millis(1)].map(|at| scheduler.record_break(run(100), at, at));
    let bound = is_placed(&mut scheduler, Some("v1"), now + millis(2));
    let unbound = is_placed(&mut scheduler, None, now + millis(2));

    assert!(before && unbound && !bound);
    assert_eq!(begins, [true, false]);
}

/// Failure: the break of a connection to an earlier run puts the registered one in doubt.
#[test]
fn break_of_an_earlier_run_is_no_news() {
    let now = Instant::now();
    let mut scheduler = one_server(now);

    let begins = scheduler.record_break(run(99), now, now);

    assert!(!begins && scheduler.has_version(run(100), VersionId::of("v1")));
}

/// Failure: a report from before the latest break ends the doubt, or one from after it doesn't.
#[test]
fn report_after_the_latest_break_ends_the_doubt() {
    let now = Instant::now();
    let at = |ms| now + millis(ms);
    let mut scheduler = one_server(now);
    scheduler.record_break(run(100), at(0), at(0));
    begin_stream(&mut scheduler, "a-1");
    scheduler.record_break(run(100), at(10), at(10));

    let early = scheduler.record_report(run(100), 100, at(5), at(11));
    let later = scheduler.record_report(run(100), 100, at(12), at(13));
    let again = scheduler.record_break(run(100), at(10), at(20));

    assert_eq!(
        [early, later],
        [ReportedRun::Outdated, ReportedRun::Registered]
    );
    assert_eq!(
        scheduler.doubts.take_ended(),
        [(run(100), DoubtEnd::Reported)]
    );
    assert_eq!(scheduler.doubts.take_resolved(), [stream("a-1", "v1")]);
    assert!(!again, "the same break is heard late");
}

/// Failure: streams that began at a later run before it registered get the version of the earlier one, or of a run after it.
#[test]
fn streams_get_the_version_of_the_run_at_which_they_began() {
    let now = Instant::now();
    let mut scheduler = one_server(now);
    scheduler.record_break(run(100), now, now);
    begin_stream(&mut scheduler, "unknown");
    let reported = scheduler.record_report(run(100), 200, now, now + millis(1));
    begin_stream(&mut scheduler, "later");
    let (state, placed) = (
        scheduler.doubts.state(run(100)),
        is_placed(&mut scheduler, Some("v1"), now + REGISTRATION_TIME * 3),
    );

    scheduler.apply_change(change("s", 2, Some(registered(200, "v2"))), now + millis(2));

    assert_eq!(
        (reported, state, placed),
        (ReportedRun::Other, Some(DoubtState::Version), false)
    );
    assert_eq!(scheduler.doubts.take_resolved(), [stream("later", "v2")]);
    assert_eq!(
        scheduler.doubts.take_ended(),
        [(run(100), DoubtEnd::Replaced)]
    );
    assert!(scheduler.has_version(run(200), VersionId::of("v2")));
}

/// Failure: a second report of the same later run, or the break of another connection, loses at which run streams began.
#[test]
fn streams_keep_the_run_that_was_reported_before_them() {
    let now = Instant::now();
    let at = |ms| now + millis(ms);
    let (inferred, proven) = (stream("inferred", "v2"), stream("proven", "v2"));
    for (breaks, expected) in [(false, vec![inferred, proven]), (true, vec![proven])] {
        let mut scheduler = one_server(now);
        scheduler.record_break(run(100), at(0), at(2));
        scheduler.record_report(run(100), 200, at(0), at(2));
        begin_stream(&mut scheduler, "inferred");
        begin_proven(&mut scheduler, "proven", Some(200));

        scheduler.record_report(run(100), 200, at(1), at(4));
        let early = scheduler.record_report(run(100), 100, at(0), at(5));
        if breaks {
            scheduler.record_break(run(100), at(6), at(6));
        }
        scheduler.apply_change(change("s", 2, Some(registered(200, "v2"))), at(7));

        assert_eq!(early, ReportedRun::Outdated);
        assert_eq!(scheduler.doubts.take_resolved(), expected);
    }
}

/// Failure: the entry of a run between the registered one and the one that listens counts for the latter.
#[test]
fn entry_of_a_run_that_has_ended_too_ends_no_doubt() {
    let now = Instant::now();
    let mut scheduler = one_server(now);
    scheduler.record_break(run(100), now, now);
    scheduler.record_report(run(100), 300, now, now);
    begin_stream(&mut scheduler, "a-1");

    scheduler.apply_change(change("s", 2, Some(registered(200, "v2"))), now);
    let between = scheduler.has_version(run(200), VersionId::of("v2"));
    scheduler.apply_change(change("s", 3, Some(registered(300, "v3"))), now);

    assert!(!between);
    assert!(scheduler.has_version(run(300), VersionId::of("v3")));
    assert_eq!(scheduler.doubts.take_resolved(), [stream("a-1", "v3")]);
}

/// Failure: a doubt ends by time while this instance learns of no registration, or never where servers report nothing.
#[test]
fn doubt_ends_after_a_time_in_which_registrations_were_learned() {
    let now = Instant::now();
    let mut scheduler = one_server(now);
    scheduler.record_break(run(100), now, now);
    let mut elapse = |learns, at| {
        let Scheduler {
            doubts, registry, ..
        } = &mut scheduler;
        doubts.elapse(run(100), registry, learns, at);
        doubts.is_doubted(ServerId::of("s"))
    };

    let apart = elapse(false, now + REGISTRATION_TIME * 2);
    let early = elapse(true, now + REGISTRATION_TIME * 2 + millis(4_999));
    let late = elapse(true, now + REGISTRATION_TIME * 3);

    assert_eq!((apart, early, late), (true, true, false));
}
