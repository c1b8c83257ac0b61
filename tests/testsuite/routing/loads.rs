//! Load and health of backend servers.

use std::time::Instant;

use hawthornmill::ident::{InstanceId, ServerId};
use hawthornmill::routing::loads::{LoadTracker, ServerOutcome, ServerReport, Work};
use hawthornmill::routing::server_speed::SpeedFigure;

use super::{entry, millis};

const ONE: Work = Work {
    running: 1,
    pending_prefill: 500,
    kv_tokens: 700,
    total_prefill: 0,
};
/// Prefill rate of the servers in these tests, in tokens per second.
const RATE: f64 = 100_000.0;

#[test]
fn work_of_a_silent_peer_expires() {
    let now = Instant::now();
    let server = ServerId::of("s");
    let mut loads = LoadTracker::default();
    loads.begin(server, ONE, RATE, now);
    loads.apply_peer_report(InstanceId::of("other"), vec![(server, ONE)], now);

    let both = loads.total(server, now);
    loads.sweep(|_| true, now + millis(3_000));
    let own = loads.total(server, now + millis(3_000));

    assert_eq!(
        both,
        Work {
            running: 2,
            pending_prefill: 1_000,
            kv_tokens: 1_400,
            total_prefill: 500,
        }
    );
    assert_eq!(
        own,
        Work {
            total_prefill: 500,
            ..ONE
        }
    );
}

/// Failure: a peer's earlier report stays in the sum, and servers fill up with work that is long over.
#[test]
fn peer_report_replaces_the_previous_one() {
    let now = Instant::now();
    let (one, two) = (ServerId::of("one"), ServerId::of("two"));
    let (peer, other) = (InstanceId::of("peer"), InstanceId::of("other"));
    let mut loads = LoadTracker::default();
    loads.apply_peer_report(other, vec![(one, ONE)], now);

    loads.apply_peer_report(peer, vec![(one, ONE), (two, ONE)], now);
    loads.apply_peer_report(peer, vec![(two, Work { running: 3, ..ONE })], now);

    let running = |server| loads.total(server, now).running;
    assert_eq!((running(one), running(two)), (1, 3));
}

/// Failure: others hear of a very long prompt only with the next regular report, a fifth of a second later, and send a
/// dozen short requests behind it meanwhile.
#[test]
fn long_prompt_is_reported_at_once() {
    let now = Instant::now();
    let server = ServerId::of("s");
    let mut loads = LoadTracker::default();
    let long = Work {
        pending_prefill: 30_000,
        ..ONE
    };

    loads.begin(server, ONE, RATE, now);
    let after_short = loads.needs_broadcast();
    loads.begin(server, long, RATE, now);
    let after_long = loads.needs_broadcast();
    loads.mark_broadcast();
    let after_report = loads.needs_broadcast();
    loads.end(server, long);
    let after_reading = loads.needs_broadcast();

    assert_eq!(
        [after_short, after_long, after_report, after_reading],
        [false, true, false, true]
    );
}

/// Failure: a prompt of 20,000 tokens counts in full until its first token. Its server looks busy though the prompt is
/// nearly prefilled, and short requests go to servers that must prefill their shared prefix again.
#[test]
fn backlog_drains_during_prefill() {
    let now = Instant::now();
    let server = ServerId::of("s");
    let mut loads = LoadTracker::default();
    let long = Work {
        pending_prefill: 20_000,
        ..ONE
    };

    loads.begin(server, long, RATE, now);
    let backlogs = [0, 150, 400].map(|t| loads.backlog(server, now + millis(t)));

    assert_eq!(backlogs, [20_000, 5_000, 0]);
    assert_eq!(
        loads.total(server, now + millis(400)).pending_prefill,
        20_000
    );
}

/// Failure: an engine's backlog drains at the rate of another service, or for long at a figure that meant a moment.
#[test]
fn figure_leaves_the_drain_of_the_backlog_to_its_service() {
    let now = Instant::now();
    let (engine, other) = (ServerId::of("engine"), ServerId::of("other"));
    let mut loads = LoadTracker::default();
    let long = Work {
        pending_prefill: 20_000,
        ..ONE
    };
    loads.begin(engine, long, RATE, now);
    loads.begin(other, ONE, RATE / 10.0, now);

    let slow = SpeedFigure::from_percent(250.0).expect("the figure is valid");
    loads
        .speeds
        .record_figure(engine, &entry("engine", "a"), slow, now);
    let more = Work {
        pending_prefill: 1_000,
        ..ONE
    };
    loads.begin(engine, more, RATE, now);

    let backlogs = [0, 150, 400].map(|t| loads.backlog(engine, now + millis(t)));
    assert_eq!(backlogs, [21_000, 6_000, 0]);
}

/// Failure: work in repeated reports counts more than once, or work in a lost report never. What was prefilled meanwhile
/// must not count at all.
#[test]
fn repeated_peer_reports_add_to_the_backlog_once() {
    let now = Instant::now();
    let (peer, server) = (InstanceId::of("other"), ServerId::of("s"));
    let mut loads = LoadTracker::default();
    loads.begin(server, ONE, RATE, now);
    let report = |sent, unread| {
        let work = Work {
            pending_prefill: unread,
            total_prefill: sent,
            ..ONE
        };
        vec![(server, work)]
    };

    loads.apply_peer_report(peer, report(50_000, 4_000), now);
    let first = loads.backlog(server, now);
    loads.apply_peer_report(peer, report(50_000, 4_000), now);
    let repeated = loads.backlog(server, now);
    loads.apply_peer_report(peer, report(53_000, 7_000), now);
    let more = loads.backlog(server, now);

    assert_eq!([first, repeated, more], [4_500, 4_500, 7_500]);
}

/// Failure: an instance of a large fleet uses few of many servers. Work of others at a server that it has not used never
/// drains, so the server looks busy and is never chosen.
#[test]
fn backlog_of_an_unused_server_drains() {
    let now = Instant::now();
    let (used, other) = (ServerId::of("used"), ServerId::of("other"));
    let mut loads = LoadTracker::default();
    loads.begin(used, ONE, RATE, now);
    let report = Work {
        pending_prefill: 20_000,
        total_prefill: 20_000,
        ..ONE
    };

    loads.apply_peer_report(InstanceId::of("peer"), vec![(other, report)], now);

    let backlogs = [0, 150].map(|t| loads.backlog(other, now + millis(t)));
    assert_eq!(backlogs, [20_000, 5_000]);
}

/// Failure: a server turns slow without failing and gets requests that are late there while other servers idle.
#[test]
fn slow_server_is_detected_and_recovers() {
    let now = Instant::now();
    let (slow, other) = (ServerId::of("slow"), ServerId::of("other"));
    let mut loads = LoadTracker::default();

    for _ in 0..10 {
        loads.observe_latency(slow, millis(100), millis(500), now);
        loads.observe_latency(other, millis(100), millis(110), now);
    }

    assert!(loads.snapshot(slow, now).slowdown > 3.0);
    assert!(loads.snapshot(other, now).slowdown < 1.2);
    assert!(loads.snapshot(slow, now + millis(10_000)).slowdown < 1.2);
}

/// Failure: a router dies while its requests still run on a server. Only the server's own report includes them.
#[test]
fn server_report_expires() {
    let now = Instant::now();
    let server = ServerId::of("s");
    let mut loads = LoadTracker::default();

    loads.apply_server_report(
        server,
        ServerReport {
            running: 5,
            waiting: 2,
            has_counts: true,
            ..ServerReport::default()
        },
        now,
    );

    assert_eq!(loads.total(server, now).running, 7);
    assert_eq!(loads.total(server, now + millis(400)).running, 0);
}

/// Failure: each request to an unreachable server waits for its connection to fail, or the server gets no work after it is
/// back.
#[test]
fn unreachable_server_backs_off_and_gets_one_probe() {
    let now = Instant::now();
    let server = ServerId::of("s");
    let mut loads = LoadTracker::default();

    loads.record_outcome(server, ServerOutcome::Unreachable, now);
    let backing_off = loads.is_down(server, now + millis(100));
    let over = loads.is_down(server, now + millis(500));
    loads.begin(server, ONE, RATE, now);
    let probed = loads.is_down(server, now + millis(500));
    loads.record_outcome(server, ServerOutcome::Success, now + millis(600));
    let healthy = loads.is_down(server, now + millis(600));

    assert!(backing_off && !over && probed && !healthy);
}

#[test]
fn failure_rate_decays() {
    let now = Instant::now();
    let server = ServerId::of("s");
    let mut loads = LoadTracker::default();
    for _ in 0..10 {
        loads.record_outcome(server, ServerOutcome::Failed, now);
    }

    let fresh = loads.snapshot(server, now).failure_rate;
    let faded = loads.snapshot(server, now + millis(8_000)).failure_rate;

    assert!(fresh > 0.6, "{fresh}");
    assert!(faded < 0.06, "{faded}");
}

/// Failure: a member's work at a server ends, the sum of its domain falls by all that the member ever sent there, and the
/// member's next short request counts as that much new work.
#[test]
fn domain_total_keeps_the_totals_of_idle_members() {
    let now = Instant::now();
    let server = ServerId::of("s");
    let members = ["a", "b"].map(InstanceId::of);
    let mut loads = LoadTracker::default();
    let work = |total_prefill| {
        vec![(
            server,
            Work {
                total_prefill,
                ..ONE
            },
        )]
    };
    let total = |loads: &LoadTracker| loads.domain_sum(&members)[0].1.total_prefill;
    loads.apply_peer_report(members[0], work(5_000), now);
    loads.apply_peer_report(members[1], work(9_000), now);

    let busy = total(&loads);
    loads.apply_peer_report(members[0], Vec::new(), now);
    let idle = total(&loads);
    loads.apply_peer_report(members[0], work(5_200), now);
    let busy_again = total(&loads);

    assert_eq!([busy, idle, busy_again], [14_000, 14_000, 14_200]);
}
