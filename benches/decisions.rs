//! Benches of the decisions at the size to design for.
//!
//! `cargo bench --bench decisions`, or with a name behind it.

use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use hawthornmill::config::accept::{accept, manifest};
use hawthornmill::fairness::CostKey;
use hawthornmill::ident::{AccountId, Incarnation, InstanceId, PoolId, ServiceId};
use hawthornmill::labels::Selector;
use hawthornmill::pools;
use hawthornmill::pools::entry;
use hawthornmill::wire::message::{Message, PoolState, Report};
use hawthornmill::wire::{Opener, Sealer};
use hawthornmill_lab::slopes::fixture::{BusyOwner, Size, board, call, config, values};

/// A release and the grant that follows from it, 230 accounts, a tenth or all of them waiting.
fn grant(c: &mut Criterion) {
    let mut group = c.benchmark_group("grant");
    for (waiting, servers) in [(23, 70), (230, 70), (23, 140), (23, 280)] {
        let mut owner = BusyOwner::new(230, waiting, servers, 14);
        let name = format!("{waiting} waiting, {servers} servers");
        group.bench_function(name, |b| b.iter(|| owner.step()));
    }
    group.finish();
}

/// The decision alone, from a free slot to the grant on the board, clock readings included.
fn decision(c: &mut Criterion) {
    let mut group = c.benchmark_group("decision");
    for (waiting, servers) in [(23, 70), (230, 70), (23, 280)] {
        let mut owner = BusyOwner::new(230, waiting, servers, 14);
        let name = format!("{waiting} waiting, {servers} servers");
        group.bench_function(name, |b| {
            b.iter_custom(|count| (0..count).map(|_| owner.step()).sum());
        });
    }
    group.finish();
}

/// A call that arrives behind others, and leaves.
fn arrival(c: &mut Criterion) {
    let mut group = c.benchmark_group("arrival");
    for ahead in [16, 64, 250] {
        let now = Instant::now();
        let size = Size {
            servers: 70,
            ..Size::DESIGN
        };
        let mut board = board(size, 0, now);
        let arrival = call(now);
        for _ in 0..ahead {
            entry::enqueue(&mut board, arrival, now).expect("there is room");
        }
        pools::run_due(&mut board, now);
        group.bench_function(BenchmarkId::from_parameter(ahead), |b| {
            b.iter(|| {
                let request = entry::enqueue(&mut board, arrival, now).expect("there is room");
                entry::cancel(&mut board, request);
            });
        });
    }
    group.finish();
}

/// A selector over every server's labels.
fn selector(c: &mut Criterion) {
    let mut group = c.benchmark_group("selector");
    let selector = Selector::parse("kind in (std,spare),!trial").expect("it parses");
    for servers in [3000, 12_000] {
        let (config, _, _) = config(
            Size {
                servers,
                ..Size::DESIGN
            },
            1,
        );
        group.bench_function(BenchmarkId::from_parameter(servers), |b| {
            b.iter(|| {
                let all = config.servers.values();
                black_box(all.filter(|s| selector.matches(&s.labels)).count())
            });
        });
    }
    group.finish();
}

/// A revision accepted whole, and put in force where one server's label changed.
fn configuration(c: &mut Criterion) {
    let mut group = c.benchmark_group("configuration");
    group.sample_size(10);
    for servers in [3000, 12_000] {
        let size = Size {
            servers,
            ..Size::DESIGN
        };
        let texts = values(size, 2);
        let named = manifest(2, &texts);
        group.bench_function(BenchmarkId::new("accept", servers), |b| {
            b.iter(|| accept(&named, &texts).expect("it is good"));
        });
        let now = Instant::now();
        let next = config(size, 2);
        group.bench_function(BenchmarkId::new("one server changes", servers), |b| {
            b.iter_batched(
                || {
                    let mut board = board(size, 0, now);
                    pools::run_due(&mut board, now);
                    (board, next.clone())
                },
                |(mut board, (config, manifest, values))| {
                    board.install(config, manifest, values);
                    pools::run_due(&mut board, now);
                    board
                },
                BatchSize::PerIteration,
            );
        });
    }
    group.finish();
}

fn sample_report(costs: usize) -> Report {
    let service = ServiceId::of("m0");
    Report {
        origin: InstanceId::of("i1"),
        incarnation: Incarnation(1),
        version: 1,
        leaving: false,
        revision: 1,
        steady_tenths: u8::MAX,
        pools: vec![PoolState {
            pool: PoolId(1),
            idle: 0,
            min_service: 1.0,
        }],
        costs: (0..costs)
            .map(|n| {
                let account = AccountId::of(&format!("a{n}"));
                (CostKey { service, account }, 100.0)
            })
            .collect(),
    }
}

/// A report sealed, opened and merged.
fn report(c: &mut Criterion) {
    let mut group = c.benchmark_group("report");
    for costs in [10, 40] {
        let message = Message::Reports(vec![sample_report(costs)]);
        group.bench_function(BenchmarkId::new("seal", costs), |b| {
            let mut sealer = Sealer::new([7; 32], InstanceId::of("i1"), Incarnation(1), 0);
            b.iter(|| sealer.seal(&message).expect("it fits"));
        });
        group.bench_function(BenchmarkId::new("seal and open", costs), |b| {
            let mut sealer = Sealer::new([7; 32], InstanceId::of("i1"), Incarnation(1), 0);
            let mut opener = Opener::new([7; 32], 0);
            b.iter(|| {
                let frame = sealer.seal(&message).expect("it fits");
                opener.open(&frame).expect("it is authentic")
            });
        });
        group.bench_function(BenchmarkId::new("merge", costs), |b| {
            let now = Instant::now();
            let size = Size {
                servers: 70,
                ..Size::DESIGN
            };
            let mut board = board(size, 0, now);
            let mut report = sample_report(costs);
            b.iter(|| {
                report.version += 1;
                let interval = board.tuning.report;
                let (members, ledger) = (&mut board.members, &mut board.ledger);
                let from = report.origin;
                board
                    .reports
                    .receive(from, report.clone(), members, ledger, now, interval)
            });
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .warm_up_time(Duration::from_millis(500))
        .measurement_time(Duration::from_secs(2));
    targets = grant, decision, arrival, selector, configuration, report
}
criterion_main!(benches);
