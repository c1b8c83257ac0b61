//! How long work takes at each server, as many instances tell each other and make use of it.

use std::time::{Duration, Instant};

use hawthornmill::ident::{DomainId, Incarnation, InstanceId, mix};
use hawthornmill::routing::gossip::{InstanceReport, PeerInfo};
use hawthornmill::routing::placement::Placement;
use hawthornmill::routing::request::{Admission, Request};
use hawthornmill::routing::scheduler::Scheduler;
use hawthornmill::routing::shape::Shape;
use hawthornmill::wire::{Message, Sealer};
use hawthornmill_test_support::gossip::instance_report;

use super::server_speed::{lasting, measure, report, server};
use super::{drafter, millis, request, scheduler, sent, shape};

const INSTANCES: usize = 61;
const DOMAINS: usize = 6;

/// A scheduler with `count` servers in its failure domain.
fn scheduler_of(count: usize, now: Instant) -> Scheduler {
    let names: Vec<String> = (0..count).map(|n| format!("s{n}")).collect();
    let servers: Vec<(&str, &str)> = names.iter().map(|n| (&**n, "a")).collect();
    scheduler(&servers, now)
}

fn instance(number: usize) -> InstanceId {
    InstanceId::of(&format!("i{number}"))
}

/// Failure: evidence doesn't cross failure domains, or lost datagrams keep an instance from learning.
#[test]
fn fleet_learns_in_spite_of_lost_datagrams() {
    let now = Instant::now();
    let mut fleet = (0..INSTANCES)
        .map(|_| scheduler_of(90, now))
        .collect::<Vec<_>>();
    let factor = |server: usize| [1.0, 0.83, 1.82, 1.0, 1.0][server % 5];
    let domains: Vec<DomainId> = (0..DOMAINS)
        .map(|d| DomainId::of(&format!("d{d}")))
        .collect();
    let names: Vec<InstanceId> = (0..INSTANCES).map(instance).collect();
    let mut random = 1_u64;
    let mut next = move || {
        random = mix(random);
        random
    };

    for step in 0..100_u64 {
        let at = now + millis(100 * step);
        for scheduler in &mut fleet {
            for _ in 0..3 {
                let number = next() as usize % 90;
                let percent = if next() % 5 == 0 { 250 } else { 100 };
                let noise = 0.6 + (next() % 80) as f64 / 100.0;
                report(scheduler, server(number), percent, at);
                let time = factor(number) * f64::from(percent) / 100.0 * noise;
                measure(scheduler, server(number), time, at);
            }
        }
        if step % 20 != 19 {
            continue;
        }
        for from in 0..INSTANCES {
            let domain = from % DOMAINS;
            let own = fleet[from].loads.speeds.own_report(true, at);
            let is_relay = from < DOMAINS;
            let sums = is_relay.then(|| {
                let is_member =
                    |id| names.iter().position(|n| *n == id).unwrap_or(0) % DOMAINS == domain;
                let speeds = &mut fleet[from].loads.speeds;
                speeds.domain_report(domains[domain], is_member, true, at)
            });
            for to in (0..INSTANCES).filter(|to| *to != from) {
                let heard = if to % DOMAINS == domain {
                    Some(&own)
                } else {
                    sums.as_ref()
                };
                // Three of ten datagrams are lost.
                if let Some(heard) = heard.filter(|_| next() % 10 >= 3) {
                    let sender = (names[from], Incarnation(1));
                    fleet[to].apply_speed_report(sender, domains[to % DOMAINS], heard, at);
                }
            }
        }
    }

    let end = now + millis(10_000);
    for scheduler in &mut fleet {
        measure(scheduler, server(0), 1.0, end);
        for number in 0..90 {
            let ratio = lasting(scheduler, server(number), end) / factor(number);
            assert!((0.85..=1.18).contains(&ratio), "server {number}: {ratio}");
        }
    }
}

/// What each instance sends, all of them at the same time.
#[derive(Debug, Clone, Copy)]
struct Demand {
    /// Tokens of a prompt; `None` for a service without prompts.
    tokens: Option<u32>,
    /// Steps of 10 ms between two requests of an instance.
    interval: u64,
    /// Requests of an instance.
    rounds: u64,
    /// Time of a request at a usual server.
    time: Duration,
}

/// Requests without a shared prefix, which have no home, at 61 instances that all know the figure of one server and hear
/// of each other's work every 200 ms.
fn counts_of_fleet(demand: Demand, percent: u32) -> Vec<u32> {
    const SERVERS: usize = 24;
    let now = Instant::now();
    let mut fleet: Vec<Scheduler> = (0..INSTANCES).map(|_| scheduler_of(SERVERS, now)).collect();
    let ids: Vec<InstanceId> = (0..INSTANCES).map(instance).collect();
    for (scheduler, id) in fleet.iter_mut().zip(&ids) {
        scheduler.loads.speeds.set_seed(id.0);
    }
    let mut counts = vec![0; SERVERS];
    let mut running: Vec<(Instant, usize, Placement)> = Vec::new();
    for step in 0..demand.interval * demand.rounds {
        let at = now + millis(10 * step);
        if step % 20 == 0 {
            let work: Vec<_> = fleet.iter().map(|s| s.loads.local()).collect();
            for (number, scheduler) in fleet.iter_mut().enumerate() {
                report(scheduler, server(0), percent, at);
                let others = ids.iter().zip(&work).enumerate();
                for (_, (peer, work)) in others.filter(|(other, _)| *other != number) {
                    scheduler.loads.apply_peer_report(*peer, work.clone(), at);
                }
            }
        }
        running.retain(|(end, instance, placement)| {
            if *end <= at {
                fleet[*instance].record_first_token(drafter(), placement, None, at);
                fleet[*instance].finish(placement, true);
            }
            *end > at
        });
        if step % demand.interval == 0 {
            for (instance, scheduler) in fleet.iter_mut().enumerate() {
                let own = shape(step * 61 + instance as u64, 0, demand.tokens.unwrap_or(0));
                let wanted = Request {
                    engine: demand
                        .tokens
                        .and(request("lab", Shape::default(), at).engine),
                    ..request("lab", own, at)
                };
                let Admission::Decided(Ok(placement)) = scheduler.submit(&wanted, at) else {
                    continue;
                };
                let number = (0..SERVERS).find(|n| server(*n) == placement.server);
                let number = number.expect("the server is known");
                counts[number] += 1;
                let speed = if number == 0 {
                    f64::from(percent) / 100.0
                } else {
                    1.0
                };
                running.push((at + demand.time.mul_f64(speed), instance, placement));
            }
        }
    }
    counts
}

/// Failure: many instances read the same good figure, and all of them send there.
#[test]
fn one_figure_known_to_all_attracts_no_herd() {
    let demands = [
        (Some(400), 10, 20, 150),
        (Some(6_000), 30, 20, 160),
        (Some(20_000), 100, 15, 393),
        (None, 10, 20, 150),
    ];
    let cases = demands.iter().flat_map(|demand| {
        let percents = [25, 50, 100, 250, 800].into_iter();
        percents.map(move |percent| (demand, percent))
    });
    for ((tokens, interval, rounds, time), percent) in cases {
        let demand = Demand {
            tokens: *tokens,
            interval: *interval,
            rounds: *rounds,
            time: millis(*time),
        };

        let counts = counts_of_fleet(demand, percent);

        let total: u32 = counts.iter().sum();
        // Nearly all are sent, or the shares would mean little.
        assert!(
            u64::from(total) * 10 >= demand.rounds * 61 * 9,
            "{demand:?}: {total}"
        );
        let speeds: Vec<f64> = (0..counts.len())
            .map(|n| {
                if n == 0 {
                    100.0 / f64::from(percent)
                } else {
                    1.0
                }
            })
            .collect();
        let all: f64 = speeds.iter().sum();
        for (count, speed) in counts.iter().zip(&speeds) {
            let share = f64::from(total) * speed / all;
            assert!(
                f64::from(*count) <= 1.5 * share,
                "{demand:?}, {percent} %: {count} of {total}, share {share}: {counts:?}"
            );
        }
    }
}

/// Failure: telling speeds takes more than a tenth of what an instance sends to its failure domain otherwise.
#[test]
fn speeds_take_a_tenth_of_the_bytes_at_most() {
    let now = Instant::now();
    let mut scheduler = scheduler_of(90, now);
    let mut sealer = Sealer::new([7; 32], InstanceId::of("me"), Incarnation(1), 0);
    let mut bytes = |message| sealer.seal(&message).expect("it can be encoded").len();
    let mut running = Vec::new();
    // Ten seconds of 32 requests each, of which a fifth meets a slow server; 42 run at a time.
    let (mut usual_bytes, mut speeds) = (0, 0);
    for round in 0..50_u64 {
        let at = now + millis(200 * round);
        for request_number in 0..7_u64 {
            let number = mix(round * 7 + request_number) as usize % 90;
            let percent = if request_number % 5 == 0 { 250 } else { 100 };
            report(&mut scheduler, server(number), percent, at);
            measure(&mut scheduler, server(number), 1.0, at);
            let shape = shape(mix(request_number + round * 7), 900, 400);
            running.push(sent(scheduler.submit(&request("lab", shape, at), at)));
            // Work is announced between two reports; twice here, though every 50 ms is possible.
            if request_number % 3 == 2 && scheduler.loads.needs_broadcast() {
                scheduler.loads.mark_broadcast();
                usual_bytes += bytes(Message::Work(scheduler.loads.local()));
            }
        }
        while running.len() > 42 {
            scheduler.finish(&running.remove(0), false);
        }
        let usual = InstanceReport {
            work: scheduler.loads.local(),
            usage: scheduler.account_usage.local(at),
            spilled: scheduler.spilled_prefixes(at),
            unmet: scheduler.unmet_demand(at),
            ..instance_report(PeerInfo {
                client_addr: "127.0.0.1:80".parse().expect("it is well-formed"),
                peer_addr: "127.0.0.1:81".parse().expect("it is well-formed"),
                domain: DomainId::of("a"),
                cpu_percent: 9,
            })
        };
        usual_bytes += bytes(Message::InstanceReport(Box::new(usual)));
        let told = scheduler.loads.speeds.own_report(round % 10 == 0, at);
        if !told.is_empty() {
            speeds += bytes(Message::SpeedReport(Box::new(told)));
        }
    }

    assert!(
        speeds * 10 <= usual_bytes,
        "{speeds} of {usual_bytes} bytes"
    );
}
