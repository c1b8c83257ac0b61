//! Benchmarks of the gateway's decisions, by the number of servers and of queued requests.
//!
//! Run with `cargo bench --bench routing`; append a name to run only matching benchmarks.

use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use hawthornmill::ident::{
    AccountId, DomainId, InstanceId, RegionId, RouteId, ServerId, ServiceId, VersionId,
};
use hawthornmill::routing::catalog::Engine;
use hawthornmill::routing::cold_start::{ColdStartLimiter, ColdStartTolerance};
use hawthornmill::routing::loads::ServerReport;
use hawthornmill::routing::placement::Location;
use hawthornmill::routing::regions::AllowedRegions;
use hawthornmill::routing::registry::{Change, Registration};
use hawthornmill::routing::request::{Admission, Request};
use hawthornmill::routing::retry_budget::{RetryBudget, RetryBudgetConfig};
use hawthornmill::routing::scheduler::Scheduler;
use hawthornmill::routing::server_notices::ServerNotices;
use hawthornmill::routing::server_speed::SpeedFigure;
use hawthornmill::routing::shape::{PromptPart, Shape};
use smallvec::{SmallVec, smallvec};

const SERVERS: [usize; 3] = [95, 166, 1_000];
const QUEUED: [usize; 3] = [4, 32, 128];
const DOMAINS: usize = 6;
const ENGINE: Engine = Engine {
    slots: 16,
    kv_capacity: 444_000,
    copy_time: Duration::from_nanos(1_900),
};

fn domain(number: usize) -> DomainId {
    DomainId::of(&format!("d-{}", number % DOMAINS))
}

fn scheduler(servers: usize, now: Instant) -> Scheduler {
    let budget = RetryBudgetConfig {
        ratio: 0.2,
        extra: 50.0,
        window: Duration::from_secs(10),
    };
    let location = Location {
        domain: domain(0),
        region: RegionId::of("north"),
    };
    let tolerance = ColdStartTolerance {
        factor: 1.5,
        extra: 5.0,
    };
    let limiter = ColdStartLimiter::new(InstanceId::of("me"), location.domain, tolerance, now);
    let notices = ServerNotices::new(InstanceId::of("me"));
    let mut scheduler = Scheduler::new(location, RetryBudget::new(budget, now), limiter, notices);
    let region = |number| RegionId::of(if number % 2 == 0 { "north" } else { "south" });
    scheduler.regions = (0..DOMAINS).map(|n| (domain(n), region(n))).collect();
    for number in 0..servers {
        let name = format!("s-{number}");
        let registration = Registration {
            name: name.as_str().into(),
            service: ServiceId::of("drafter"),
            version: VersionId::of("v1"),
            version_name: "v1".into(),
            address: "127.0.0.1:80".parse().expect("the address is well-formed"),
            domain: domain(number),
            slots: 16,
            draining: false,
            start_ms: 0,
            cold_time: Duration::ZERO,
            sequence: 0,
        };
        let change = Change {
            server: ServerId::of(&name),
            revision: number as u64 + 1,
            registration: Some(registration),
        };
        scheduler.apply_change(change, now);
    }
    scheduler
}

fn request(family: u64, own: u32, now: Instant) -> Request {
    let part = |id, tokens| PromptPart { id, tokens };
    Request {
        account: Some(AccountId::of("lab")),
        route: RouteId::of("r"),
        service: ServiceId::of("drafter"),
        engine: Some(ENGINE),
        shape: Shape {
            parts: smallvec![
                part(family % 3, 500),
                part(family, 4_900),
                part(!family, own)
            ],
            prompt_tokens: 5_400 + own,
            max_output: 400,
            output_hint: None,
        },
        priority: 1,
        objective: Duration::from_millis(600),
        arrival: now,
        asked: now,
        deadline: now + Duration::from_secs(8),
        tried: SmallVec::new(),
        allowed_regions: AllowedRegions::Any,
        version: None,
        goes_on: false,
        new_stream: None,
    }
}

/// Fills all servers, and queues `queued` requests.
fn overloaded(servers: usize, queued: usize, now: Instant) -> Scheduler {
    let mut scheduler = scheduler(servers, now);
    let mut waiting = 0;
    for family in 0.. {
        match scheduler.submit(&request(family, 3_000, now), now) {
            Admission::Queued(_) => waiting += 1,
            Admission::Decided(_) => {}
        }
        if waiting >= queued {
            break;
        }
    }
    scheduler
}

/// A request that is placed on idle servers, and ends.
fn submit(c: &mut Criterion) {
    let mut group = c.benchmark_group("submit");
    for servers in SERVERS {
        let now = Instant::now();
        let mut scheduler = scheduler(servers, now);
        let mut family = 0;
        group.bench_function(BenchmarkId::from_parameter(servers), |b| {
            b.iter(|| {
                family += 1;
                let admission = scheduler.submit(&request(family % 758, 3_000, now), now);
                if let Admission::Decided(Ok(placement)) = admission {
                    scheduler.finish(&placement, false);
                }
            });
        });
    }
    group.finish();
}

/// The same among 112 servers, without and with figures of their speed.
fn speeds(c: &mut Criterion) {
    let mut group = c.benchmark_group("speeds");
    for reports in [false, true] {
        let now = Instant::now();
        let mut scheduler = scheduler(112, now);
        for number in (0..112).filter(|_| reports) {
            let report = ServerReport {
                speed: SpeedFigure::from_percent(80.0 + f64::from(number)),
                ..ServerReport::default()
            };
            scheduler.apply_server_report(ServerId::of(&format!("s-{number}")), report, now);
        }
        let mut family = 0;
        group.bench_function(BenchmarkId::new("reported", reports), |b| {
            b.iter(|| {
                family += 1;
                let admission = scheduler.submit(&request(family % 758, 3_000, now), now);
                if let Admission::Decided(Ok(placement)) = admission {
                    scheduler.finish(&placement, false);
                }
            });
        });
    }
    group.finish();
}

/// A look at all queued requests while every server is full.
fn dispatch(c: &mut Criterion) {
    let mut group = c.benchmark_group("dispatch");
    for queued in QUEUED {
        let now = Instant::now();
        let mut scheduler = overloaded(95, queued, now);
        group.bench_function(BenchmarkId::new("queued", queued), |b| {
            b.iter(|| black_box(scheduler.dispatch_queued(now)));
        });
    }
    group.finish();
}

/// What the log line of a refusal tells of the servers.
fn context(c: &mut Criterion) {
    let mut group = c.benchmark_group("context");
    for servers in SERVERS {
        let now = Instant::now();
        let scheduler = overloaded(servers, 4, now);
        let refused = request(1, 3_000, now);
        group.bench_function(BenchmarkId::from_parameter(servers), |b| {
            b.iter(|| black_box(scheduler.decision_context(&refused, now)));
        });
    }
    group.finish();
}

criterion_group!(benches, submit, speeds, dispatch, context);
criterion_main!(benches);
