//! How long work takes at each server: what is learnt, told and made of it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hawthornmill::ident::{DomainId, Incarnation, InstanceId, ServerId, ServiceId, mix};
use hawthornmill::routing::loads::ServerReport;
use hawthornmill::routing::placement::{PassedOver, Placement};
use hawthornmill::routing::request::{Admission, Request};
use hawthornmill::routing::scheduler::Scheduler;
use hawthornmill::routing::server_speed::{SpeedFigure, SpeedReport};
use hawthornmill::routing::shape::Shape;
use hawthornmill::wire::frame::MAX_DATAGRAM_BYTES;
use hawthornmill::wire::{Message, Sealer};

use super::{change, drafter, entry, millis, request, scheduler, sent, shape};

/// Servers of one failure domain.
const FOUR: &[(&str, &str)] = &[("s0", "a"), ("s1", "a"), ("s2", "a"), ("s3", "a")];
/// Expected time of the measurements below at a usual server.
const EXPECTED: Duration = Duration::from_millis(100);

pub(super) fn server(number: usize) -> ServerId {
    ServerId::of(&format!("s{number}"))
}

pub(super) fn figure(percent: u32) -> SpeedFigure {
    SpeedFigure::from_percent(f64::from(percent)).expect("the figure is valid")
}

pub(super) fn report(scheduler: &mut Scheduler, server: ServerId, percent: u32, now: Instant) {
    let report = ServerReport {
        speed: Some(figure(percent)),
        ..ServerReport::default()
    };
    scheduler.apply_server_report(server, report, now);
}

/// Records that work took `factor` times the expected time.
pub(super) fn measure(scheduler: &mut Scheduler, server: ServerId, factor: f64, now: Instant) {
    let time = EXPECTED.mul_f64(factor);
    let speeds = &mut scheduler.loads.speeds;
    speeds.record_time(server, &scheduler.registry, EXPECTED, time, now);
}

pub(super) fn lasting(scheduler: &Scheduler, server: ServerId, now: Instant) -> f64 {
    scheduler.loads.speeds.believed(server, now).lasting
}

fn momentary(scheduler: &Scheduler, server: ServerId, now: Instant) -> f64 {
    scheduler.loads.speeds.believed(server, now).momentary
}

/// Lets `scheduler` take over what the instance `from` of failure domain `b` tells.
fn hear(scheduler: &mut Scheduler, from: &str, told: &SpeedReport, now: Instant) {
    let sender = (InstanceId::of(from), Incarnation(1));
    scheduler.apply_speed_report(sender, DomainId::of("a"), told, now);
}

/// A scheduler that has learnt that the servers of `FOUR` are usual and `s0` takes `factor` times as long.
fn learnt(factor: f64, now: Instant) -> Scheduler {
    let mut scheduler = scheduler(FOUR, now);
    for round in 0..40 {
        for number in 0..4 {
            let at = now + millis(50 * round);
            report(&mut scheduler, server(number), 100, at);
            let factor = if number == 0 { factor } else { 1.0 };
            measure(&mut scheduler, server(number), factor, at);
        }
    }
    scheduler
}

/// Failure: a server that takes 1.82 times as long settles near 1.12, or is forgotten within seconds.
#[test]
fn lasting_part_is_learnt_and_kept() {
    let now = Instant::now();

    let mut scheduler = learnt(1.82, now);

    let later = now + millis(12_000);
    let at_once = lasting(&scheduler, server(0), now + millis(2_000));
    measure(&mut scheduler, server(1), 1.0, later);
    assert!((1.6..=1.85).contains(&at_once), "{at_once}");
    let kept = lasting(&scheduler, server(0), later);
    assert!((1.6..=1.85).contains(&kept), "{kept}");
}

/// Failure: a moment in which a server is slow counts as a lasting property.
#[test]
fn momentary_figure_is_divided_out() {
    let now = Instant::now();
    let mut scheduler = learnt(1.0, now);

    for round in 0..40 {
        let at = now + millis(2_000 + 50 * round);
        report(&mut scheduler, server(0), 250, at);
        measure(&mut scheduler, server(0), 2.5, at);
    }

    let believed = lasting(&scheduler, server(0), now + millis(4_000));
    assert!((0.97..=1.03).contains(&believed), "{believed}");
}

/// Failure: the figure comes with the head, the first token 400 ms later, and most of a slow moment counts as lasting.
#[test]
fn figure_of_the_head_is_divided_out_in_full() {
    let now = Instant::now();
    let mut scheduler = learnt(1.0, now);

    for round in 0..40 {
        let at = now + millis(2_000 + 700 * round);
        report(&mut scheduler, server(0), 250, at);
        measure(&mut scheduler, server(0), 2.5, at + millis(400));
    }

    let believed = lasting(&scheduler, server(0), now + millis(30_000));
    assert!((0.97..=1.03).contains(&believed), "{believed}");
}

/// Failure: a server that has just started and is still cold is believed to be slow for minutes.
#[test]
fn times_of_a_cold_server_are_no_evidence() {
    let now = Instant::now();
    let mut scheduler = scheduler(&FOUR[..1], now);
    let mut registration = entry("s0", "a");
    registration.cold_time = millis(5_000);
    assert!(scheduler.apply_change(change("s0", 100, Some(registration)), now));
    report(&mut scheduler, server(0), 100, now);
    let placement = sent(scheduler.submit(&request("lab", shape(1, 0, 500), now), now));

    let mut weight = |after| {
        let at = now + millis(after);
        scheduler.record_first_token(drafter(), &placement, Some(millis(300)), at);
        let told = scheduler.loads.speeds.own_report(true, at).lasting;
        told.iter().map(|e| e.weight()).sum::<f64>()
    };

    assert!(weight(300) < 0.1);
    // Sent while it was cold.
    assert!(weight(5_200) < 0.1);
    assert!(weight(5_400) > 0.9);
}

/// Failure: a server whose figure never fits its times is believed for ever.
#[test]
fn lie_is_cancelled_by_measured_times() {
    let now = Instant::now();
    let mut scheduler = learnt(1.0, now);

    for round in 0..400 {
        let at = now + millis(2_000 + 50 * round);
        report(&mut scheduler, server(0), 25, at);
        report(&mut scheduler, server(1), 800, at);
        for number in 0..4 {
            measure(&mut scheduler, server(number), 1.0, at);
        }
    }

    let end = now + millis(21_950);
    let modest = scheduler.loads.speeds.believed(server(0), end).factor();
    assert!((0.8..=1.1).contains(&modest), "{modest}");
    // The bound of the lasting part limits what it can cancel.
    let bounded = scheduler.loads.speeds.believed(server(1), end);
    assert_eq!((bounded.lasting, bounded.momentary), (0.5, 8.0));
}

/// Failure: a figure counts in full until it suddenly doesn't, or for longer than it means anything.
#[test]
fn figure_fades_with_its_age() {
    let now = Instant::now();
    let mut scheduler = scheduler(FOUR, now);

    report(&mut scheduler, server(0), 250, now);

    let at = |age| momentary(&scheduler, server(0), now + millis(age));
    assert!((at(0) - 2.5).abs() < 1e-9);
    assert!((at(300) - 1.75).abs() < 1e-9);
    assert!((at(599) - 1.0).abs() < 0.01);
    assert!((at(600) - 1.0).abs() < 1e-9);
    let speeds = &scheduler.loads.speeds;
    let age = |age| speeds.believed(server(0), now + millis(age)).age;
    assert_eq!((age(300), age(600)), (Some(millis(300)), None));
}

/// Failure: a server that starts again is taken for as slow as before, or a new one with the name of another one.
#[test]
fn new_run_starts_with_nothing_learnt() {
    let now = Instant::now();
    let mut scheduler = learnt(3.0, now);
    let later = now + millis(2_000);
    let before = lasting(&scheduler, server(0), later);
    let told = scheduler.loads.speeds.own_report(true, later);

    let mut registration = entry("s0", "a");
    registration.start_ms = 7;
    assert!(scheduler.apply_change(change("s0", 100, Some(registration)), later));
    // A late message tells of the earlier run.
    hear(&mut scheduler, "peer", &told, later + millis(600));

    let after = scheduler
        .loads
        .speeds
        .believed(server(0), later + millis(600));
    assert!(before > 2.0, "{before}");
    assert!((after.factor() - 1.0).abs() < 1e-9, "{after:?}");
}

/// Failure: after one stray figure, instances keep each other believing for ever that a service reports figures.
#[test]
fn service_that_stops_reporting_is_given_up_by_all() {
    let now = Instant::now();
    let mut both = [scheduler(FOUR, now), scheduler(FOUR, now)];
    report(&mut both[0], server(0), 100, now);
    let mut reported = 0;

    for step in 0..450 {
        let at = now + millis(2_000 * step);
        for scheduler in &mut both {
            for number in 0..4 {
                measure(scheduler, server(number), 1.0, at);
            }
            reported += u32::from(scheduler.reports_speed(drafter()));
        }
        let told = both.each_mut().map(|s| s.loads.speeds.own_report(true, at));
        for (to, from) in [(0, 1), (1, 0)] {
            if !told[from].is_empty() {
                hear(&mut both[to], ["one", "two"][from], &told[from], at);
            }
        }
    }

    let still = both.map(|s| s.reports_speed(drafter()));
    assert_eq!(still, [false, false]);
    assert!(reported > 300, "{reported}");
}

/// Failure: nothing is known of the servers for seconds after an instance started.
#[test]
fn instance_that_starts_is_told_what_is_learnt() {
    let now = Instant::now();
    let mut old = learnt(1.82, now);
    let later = now + millis(2_000);
    let mut new = scheduler(FOUR, now);

    let told = old.loads.speeds.newcomer_report(later);
    hear(&mut new, "old", &told, later);

    assert!(new.reports_speed(drafter()));
    let believed = lasting(&new, server(0), later);
    assert!((1.6..=1.85).contains(&believed), "{believed}");
}

/// Failure: the two relays of a large domain tell each other their own sums, which never fade.
#[test]
fn relay_tells_no_sums_of_another_relay() {
    let now = Instant::now();
    let (mut one, mut two) = (learnt(1.82, now), scheduler(FOUR, now));
    let later = now + millis(2_000);

    let told = one.loads.speeds.fleet_report(true, later);
    hear(&mut two, "one", &told, later);

    let again = two.loads.speeds.fleet_report(true, later);
    assert_eq!((told.lasting.len(), again.lasting.len()), (4, 0));
}

/// Failure: what an instance measured and also hears as part of the fleet's sum counts twice, in each of two relays in turn.
#[test]
fn own_part_of_the_fleets_sum_counts_once() {
    let now = Instant::now();
    let mut one = learnt(1.82, now);
    let later = now + millis(2_000);

    let told = one.loads.speeds.newcomer_report(later);
    hear(&mut one, "two", &told, later);

    let again = one.loads.speeds.newcomer_report(later);
    let weights = [told, again].map(|t| t.lasting.iter().map(|e| e.weight()).sum::<f64>());
    assert!((weights[0] - weights[1]).abs() < 1e-9, "{weights:?}");
}

/// Failure: datagrams tell figures that mean nothing, or the same ones again and again.
#[test]
fn figures_are_told_once_and_only_if_new_and_unusual() {
    let now = Instant::now();
    let mut scheduler = scheduler(FOUR, now);
    report(&mut scheduler, server(0), 250, now);
    report(&mut scheduler, server(1), 119, now);
    report(&mut scheduler, server(2), 80, now);
    let speeds = &mut scheduler.loads.speeds;

    let first = speeds.own_report(false, now + millis(100)).momentary.len();
    let second = speeds.own_report(false, now + millis(200)).momentary.len();
    speeds.record_figure(server(3), &entry("s3", "a"), figure(250), now);
    let old = speeds.own_report(false, now + millis(300)).momentary.len();

    assert_eq!((first, second, old), (2, 0, 0));
}

/// Failure: a figure that was heard is told on as one's own and circulates, or an older one replaces a newer one.
#[test]
fn heard_figure_is_not_told_on_in_the_domain() {
    let now = Instant::now();
    let (mut from, mut to) = (scheduler(FOUR, now), scheduler(FOUR, now));
    report(&mut from, server(0), 250, now);
    report(&mut from, server(1), 250, now);
    let told = from.loads.speeds.own_report(false, now + millis(100));
    report(&mut to, server(1), 100, now + millis(50));

    hear(&mut to, "peer", &told, now + millis(100));

    let speeds = &mut to.loads.speeds;
    let in_domain = speeds.own_report(false, now + millis(100)).momentary;
    let domain = DomainId::of("a");
    let outside = speeds.domain_report(domain, |_| true, false, now + millis(100));
    assert!(in_domain.is_empty());
    assert_eq!(outside.momentary.len(), 1);
    let heard = [0, 1].map(|n| momentary(&to, server(n), now + millis(100)) > 1.5);
    assert_eq!(heard, [true, false]);
}

/// Failure: a message is larger than a packet and is lost as a whole, or some servers are never told of.
#[test]
fn many_servers_take_turns_in_datagrams() {
    let now = Instant::now();
    let names: Vec<String> = (0..300).map(|n| format!("s{n}")).collect();
    let servers: Vec<(&str, &str)> = names.iter().map(|n| (&**n, "a")).collect();
    let mut scheduler = scheduler(&servers, now);
    for number in 0..300 {
        report(&mut scheduler, server(number), 800, now);
        measure(&mut scheduler, server(number), 8.0, now);
    }
    let mut sealer = Sealer::new([7; 32], InstanceId::of("me"), Incarnation(1), 0);
    let mut told = BTreeMap::new();

    for _ in 0..3 {
        let report = scheduler.loads.speeds.own_report(true, now);
        for entry in &report.lasting {
            *told.entry(entry.run).or_insert(0) += 1;
        }
        let message = Message::SpeedReport(Box::new(report));
        let frame = sealer.seal(&message).expect("the message is encoded");
        assert!(frame.len() <= MAX_DATAGRAM_BYTES, "{}", frame.len());
    }

    assert_eq!(told.len(), 300);
}

/// Digest of the decisions below by the revision before servers' speed was known.
const DECISIONS_BEFORE: u64 = 0x54ff_c9b7_e7f3_d261;

/// Returns `digest` with all figures of a placement.
fn extended(digest: u64, placement: &Placement) -> u64 {
    let times = [
        placement.expected_ttft,
        placement.unloaded_ttft,
        placement.baseline_ttft,
    ];
    let times = times.iter().map(|t| t.as_nanos() as u64);
    let sizes = [placement.queued_prefill, placement.duplicate_prefill].map(u64::from);
    let all = times.chain(sizes).chain([placement.server.0]);
    all.fold(digest, |sum, value| mix(sum ^ value))
}

/// Failure: what a service reports changes decisions of another one that reports nothing, or decisions differ from those
/// before speeds were known.
#[test]
fn service_without_figures_is_served_as_before() {
    let now = Instant::now();
    let (mut with, mut without) = (scheduler(FOUR, now), scheduler(FOUR, now));
    let mut other = entry("other", "a");
    other.service = ServiceId::of("other");
    for scheduler in [&mut with, &mut without] {
        assert!(scheduler.apply_change(change("other", 50, Some(other.clone())), now));
    }
    report(&mut with, ServerId::of("other"), 800, now);
    let no_speed = ServerReport {
        running: 2,
        has_counts: true,
        ..ServerReport::default()
    };
    with.apply_server_report(server(0), no_speed, now);
    without.apply_server_report(server(0), no_speed, now);

    let mut digest = 0;
    for number in 0..60_u64 {
        let at = now + millis(number * 7);
        let shape = shape(number % 9, 900, 300 + number as u32 * 11);
        let [one, two] = [&mut with, &mut without].map(|scheduler| {
            let placement = sent(scheduler.submit(&request("lab", shape.clone(), at), at));
            let time = Some(millis(60 + number * 3));
            scheduler.record_first_token(drafter(), &placement, time, at + millis(5));
            scheduler.finish(&placement, true);
            placement
        });
        assert_eq!(one, two);
        assert_eq!(one.speed, None);
        digest = extended(digest, &one);
    }
    assert_eq!(digest, DECISIONS_BEFORE, "{digest:#x}");
    let reporting = [drafter(), ServiceId::of("other")].map(|s| with.reports_speed(s));
    assert_eq!(reporting, [false, true]);
}

/// Failure: a slow server gets a prompt that it can't finish in time, or loses the short work that it can.
#[test]
fn slow_server_keeps_only_what_it_can_finish() {
    let now = Instant::now();
    let servers = &FOUR[..1];
    let mut scheduler = scheduler(servers, now);
    report(&mut scheduler, server(0), 300, now);

    let short = scheduler.submit(&request("lab", shape(1, 0, 500), now), now);
    let long = scheduler.submit(&request("lab", shape(2, 0, 20_000), now), now);

    let placement = sent(short);
    let factor = placement.speed.map(|s| s.believed.factor());
    assert_eq!(factor, Some(3.0));
    assert!(placement.expected_ttft > placement.baseline_ttft.mul_f64(2.9));
    assert!(matches!(long, Admission::Queued(_)), "{long:?}");
}

/// Failure: a prompt that was withheld from a slow server is sent there after all, once it would be late anywhere.
#[test]
fn slow_server_gets_no_late_prompt_after_a_wait() {
    let now = Instant::now();
    let mut scheduler = scheduler(&FOUR[..1], now);
    report(&mut scheduler, server(0), 300, now);
    let wanted = request("lab", shape(1, 0, 20_000), now);
    let first = scheduler.submit(&wanted, now);
    let later = now + millis(700);
    report(&mut scheduler, server(0), 300, later);

    let again = scheduler.dispatch_queued(later);

    assert!(matches!(first, Admission::Queued(_)), "{first:?}");
    let sent = again.iter().filter(|(_, decision)| decision.is_ok());
    assert_eq!(sent.count(), 0, "{again:?}");
}

/// Failure: a fast server counts as a usual one.
#[test]
fn fast_server_is_credited() {
    let now = Instant::now();
    let mut scheduler = scheduler(&FOUR[..1], now);
    report(&mut scheduler, server(0), 50, now);

    let placement = sent(scheduler.submit(&request("lab", shape(1, 0, 6_000), now), now));

    let half = placement.baseline_ttft.mul_f64(0.5);
    assert_eq!(placement.expected_ttft, half);
}

/// Failure: an operator can't see why a faster server didn't get a request.
#[test]
fn reason_of_a_passed_over_server_is_told() {
    let now = Instant::now();
    let mut scheduler = scheduler(&FOUR[..2], now);
    report(&mut scheduler, server(1), 100, now);
    let full = ServerReport {
        running: 8,
        has_counts: true,
        speed: Some(figure(50)),
        ..ServerReport::default()
    };
    scheduler.apply_server_report(server(0), full, now);

    let placement = sent(scheduler.submit(&request("lab", shape(1, 0, 500), now), now));

    assert_eq!(placement.server, server(1));
    let reason = placement.speed.and_then(|s| s.passed_over);
    assert_eq!(reason, Some(PassedOver::Full));
}

/// Failure: a plain server that takes 2.5 times as long gets as many requests as the others.
#[test]
fn slow_plain_server_gets_fewer_requests() {
    let now = Instant::now();
    let mut scheduler = scheduler(FOUR, now);
    let mut counts = [0; 4];
    let mut running: Vec<(Instant, Placement)> = Vec::new();

    for step in 0..2_000 {
        let at = now + millis(10 * step);
        running.retain(|(end, placement)| {
            if *end <= at {
                scheduler.finish(placement, true);
            }
            *end > at
        });
        for number in 0..4 {
            let percent = if number == 0 { 250 } else { 100 };
            report(&mut scheduler, server(number), percent, at);
        }
        let placement = sent(scheduler.submit(&plain_request(at), at));
        let number = (0..4).find(|n| server(*n) == placement.server);
        let number = number.expect("the server is known");
        counts[number] += 1;
        let time = if number == 0 { 250 } else { 100 };
        running.push((at + millis(time), placement));
    }

    let share = f64::from(counts[0]) / 2_000.0;
    // By speed alone it would be 0.4 / 3.4 = 0.118.
    assert!((0.02..0.13).contains(&share), "{counts:?}");
}

/// Failure: plain servers that are slow for good are never found out, since their requests have no expected time.
#[test]
fn lasting_part_of_plain_servers_is_learnt() {
    let now = Instant::now();
    let mut scheduler = scheduler(FOUR, now);
    for number in 0..4 {
        report(&mut scheduler, server(number), 100, now);
    }

    for step in 0..600 {
        let at = now + millis(20 * step);
        let placement = sent(scheduler.submit(&plain_request(at), at));
        let is_slow = placement.server == server(0);
        let time = millis(if is_slow { 182 } else { 100 });
        scheduler.record_first_token(drafter(), &placement, Some(time), at);
        scheduler.finish(&placement, true);
    }

    let believed = lasting(&scheduler, server(0), now + millis(12_000));
    assert!((1.6..=1.9).contains(&believed), "{believed}");
}

fn plain_request(now: Instant) -> Request {
    Request {
        engine: None,
        ..request("lab", Shape::default(), now)
    }
}

/// Failure: a message from a faulty instance makes another one panic, or passes a bound.
#[test]
fn wild_messages_are_bounded() {
    let now = Instant::now();
    let mut scheduler = learnt(1.0, now);
    let later = now + millis(2_000);
    let mut told = scheduler.loads.speeds.own_report(true, later);
    told.momentary = Vec::new();
    let bytes = postcard::to_stdvec(&told).expect("the report is encoded");
    for position in 0..bytes.len() {
        for value in [0, 0x7f, 0x80, 0xff] {
            let mut changed = bytes.clone();
            changed[position] = value;
            if let Ok(wild) = postcard::from_bytes::<SpeedReport>(&changed) {
                hear(&mut scheduler, "wild", &wild, later + millis(600));
            }
        }
    }
    let end = later + millis(1_200);
    measure(&mut scheduler, server(1), 1.0, end);
    for number in 0..4 {
        let believed = scheduler.loads.speeds.believed(server(number), end);
        assert!((0.5..=4.0).contains(&believed.lasting), "{believed:?}");
        assert!((0.25..=8.0).contains(&believed.momentary), "{believed:?}");
    }
}
