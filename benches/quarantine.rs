//! Benchmarks of the quarantine with as many crashes and running requests as it keeps.
//!
//! Run with `cargo bench --bench quarantine`; append a name to run only matching benchmarks.

use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::{Criterion, criterion_group, criterion_main};
use hawthornmill::ident::ServerId;
use hawthornmill::quarantine::evidence::RunningRequest;
use hawthornmill::quarantine::fingerprint::{Fingerprints, RequestContent};
use hawthornmill::quarantine::table::Quarantine;
use hawthornmill::routing::recent::Source;
use hawthornmill::routing::registry::ServerRun;
use hawthornmill::routing::shape::PromptPart;

const CRASHES: u64 = 63;
const RUNNING: u64 = 48;

fn running(number: u64) -> RunningRequest {
    let part = |id| PromptPart { id, tokens: 100 };
    let parts = [part(number % 8), part(number % 312), part(1_000 + number)];
    RunningRequest {
        attempt: number,
        fingerprints: Fingerprints::of(&RequestContent {
            account: None,
            method: "POST",
            host: b"h.example",
            target: "/a/7",
            parts: &parts,
            body: &[b'x'; 2_000],
        }),
        events: 0,
        position: 0,
    }
}

fn record(table: &mut Quarantine, number: u64, now: Instant) {
    let requests: Vec<_> = (0..RUNNING)
        .map(|r| running(number * RUNNING + r))
        .collect();
    let run = ServerRun {
        server: ServerId(number),
        start_ms: 1,
    };
    table.record_crash(run, now, &requests, Source::Peer, now);
}

fn full(now: Instant) -> Quarantine {
    let mut table = Quarantine::default();
    for number in 0..CRASHES {
        record(
            &mut table,
            number,
            now + Duration::from_millis(200 * number),
        );
    }
    table
}

/// One more report of a crash, and the search for causes that follows it.
fn search(c: &mut Criterion) {
    let now = Instant::now();
    let later = now + Duration::from_millis(200 * CRASHES);
    let before = full(now);
    c.bench_function("quarantine/report_and_search", |b| {
        b.iter_batched_ref(
            || before.clone(),
            |table| {
                record(table, CRASHES, later);
                table.update(later);
            },
            criterion::BatchSize::LargeInput,
        );
    });
}

/// An answer to a request that ran nowhere when a server crashed.
fn answer(c: &mut Criterion) {
    let now = Instant::now();
    let later = now + Duration::from_mins(1);
    let mut table = full(now);
    let request = running(1_000_000);
    c.bench_function("quarantine/answer", |b| {
        b.iter(|| {
            let fingerprints = black_box(&request).fingerprints.clone();
            table.record_answer(fingerprints.request, later, Source::Own, later)
        });
    });
}

/// The fingerprints of a request with a body of 2 KB.
fn fingerprints(c: &mut Criterion) {
    c.bench_function("quarantine/fingerprints", |b| {
        b.iter(|| running(black_box(7)).fingerprints);
    });
}

criterion_group!(benches, search, answer, fingerprints);
criterion_main!(benches);
