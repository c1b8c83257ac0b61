//! What is known of servers' work and soundness.

use std::time::Instant;

use hawthornmill::ident::{InstanceId, ServerId};
use hawthornmill::routing::loads::{LoadTracker, ServerOutcome, ServerReport, Work};

use super::millis;

const ONE: Work = Work {
    running: 1,
    pending_prefill: 500,
    kv_tokens: 700,
    total_prefill: 0,
};
/// Tokens that the servers of these tests read in a second.
const RATE: f64 = 100_000.0;

#[test]
fn work_here_and_elsewhere_is_summed_and_a_silent_peer_is_forgotten() {
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

/// A peer tells again and again, each time in place of before. If what it said before stayed in the sum,
/// servers would fill up with work that is long over.
#[test]
fn what_a_peer_tells_replaces_what_it_told_before() {
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

/// Load pattern: a very long prompt goes to a server. The others hear of it with the next news, a fifth
/// of a second later, and send a dozen short requests behind it meanwhile.
#[test]
fn much_new_work_is_told_before_the_next_news_and_little_is_not() {
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
    let after_telling = loads.needs_broadcast();
    loads.end(server, long);
    let after_reading = loads.needs_broadcast();

    assert_eq!(
        [after_short, after_long, after_telling, after_reading],
        [false, true, false, true]
    );
}

/// Load pattern: a prompt of 20,000 tokens is nearly read. Counted whole until its first token, its
/// server looks as busy as at its begin, and short requests are sent to servers that must read their
/// shared part again.
#[test]
fn a_backlog_drains_while_its_prompts_are_read() {
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

/// Peers tell the same work again and again, and some of their reports are lost. What they sent must
/// count once, from whichever report tells of it first, and what was read meanwhile not at all.
#[test]
fn what_a_peer_sent_joins_the_backlog_once() {
    let now = Instant::now();
    let (peer, server) = (InstanceId::of("other"), ServerId::of("s"));
    let mut loads = LoadTracker::default();
    loads.begin(server, ONE, RATE, now);
    let told = |sent, unread| {
        let work = Work {
            pending_prefill: unread,
            total_prefill: sent,
            ..ONE
        };
        vec![(server, work)]
    };

    loads.apply_peer_report(peer, told(50_000, 4_000), now);
    let first = loads.backlog(server, now);
    loads.apply_peer_report(peer, told(50_000, 4_000), now);
    let repeated = loads.backlog(server, now);
    loads.apply_peer_report(peer, told(53_000, 7_000), now);
    let more = loads.backlog(server, now);

    assert_eq!([first, repeated, more], [4_500, 4_500, 7_500]);
}

/// Load pattern: an instance of a large fleet uses a few of many servers, and hears of work at all of
/// them. What others sent to one that it has not used drains there too; else that one looked busy for as
/// long as others used it, and would never be chosen here.
#[test]
fn the_backlog_of_a_server_that_was_not_used_here_drains_too() {
    let now = Instant::now();
    let (used, other) = (ServerId::of("used"), ServerId::of("other"));
    let mut loads = LoadTracker::default();
    loads.begin(used, ONE, RATE, now);
    let told = Work {
        pending_prefill: 20_000,
        total_prefill: 20_000,
        ..ONE
    };

    loads.apply_peer_report(InstanceId::of("peer"), vec![(other, told)], now);

    let backlogs = [0, 150].map(|t| loads.backlog(other, now + millis(t)));
    assert_eq!(backlogs, [20_000, 5_000]);
}

/// A server turns slow and fails nothing. What it is sent comes late, while idle servers stand by.
#[test]
fn a_slow_server_is_known_by_its_answers_and_tried_again_later() {
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

/// A router dies and its requests run on at the server. Nobody here knows of them, but the server's
/// own report, which rides on its answers, does.
#[test]
fn a_servers_own_report_counts_while_it_is_fresh() {
    let now = Instant::now();
    let server = ServerId::of("s");
    let mut loads = LoadTracker::default();

    loads.apply_server_report(
        server,
        ServerReport {
            running: 5,
            waiting: 2,
        },
        now,
    );

    assert_eq!(loads.total(server, now).running, 7);
    assert_eq!(loads.total(server, now + millis(400)).running, 0);
}

/// A server is dark. Without a bound, each request would wait for its connection to fail; without
/// an end to the bound, the server would stay without work after its return.
#[test]
fn a_server_that_can_not_be_reached_rests_and_then_gets_one_request() {
    let now = Instant::now();
    let server = ServerId::of("s");
    let mut loads = LoadTracker::default();

    loads.record_outcome(server, ServerOutcome::Unreachable, now);
    let resting = loads.is_down(server, now + millis(100));
    let over = loads.is_down(server, now + millis(500));
    loads.begin(server, ONE, RATE, now);
    let tried = loads.is_down(server, now + millis(500));
    loads.record_outcome(server, ServerOutcome::Success, now + millis(600));
    let sound = loads.is_down(server, now + millis(600));

    assert!(resting && !over && tried && !sound);
}

#[test]
fn failures_weigh_and_fade() {
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
