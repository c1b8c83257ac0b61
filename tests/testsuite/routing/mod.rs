//! Routing decisions in a fixed order, with a simulated clock and no sockets.

mod adaptive_timeout;
mod announcements;
mod callers;
mod change_times;
mod cold_start;
mod congestion;
mod contention;
mod credit;
mod domain_summary;
mod evacuations;
mod fetching;
mod first_requests;
mod fleet_simulation;
mod fragments;
mod gossip;
mod hedging;
mod lag;
mod large_fleet;
mod late_dispatch;
mod loads;
mod log_names;
mod overtaking;
mod past_routes;
mod placement;
mod regions;
mod registry;
mod retry_budget;
mod role_fitness;
mod route_table;
mod run_doubt;
mod scheduler;
mod server_notices;
mod server_speed;
mod server_speed_fleet;
mod store_start;
mod store_wait;
mod stream_versions;
mod ttft;
mod unmet_demand;
mod usage;
mod version_history;

use std::time::{Duration, Instant};

use hawthornmill::ident::{
    AccountId, DomainId, InstanceId, RegionId, RouteId, ServerId, ServiceId, VersionId,
};
use hawthornmill::routing::catalog::{
    Account, Catalog, Engine, Limits, RetryPolicy, Route, Service, Target, TokenDigest,
};
use hawthornmill::routing::cold_start::{ColdStartLimiter, ColdStartTolerance};
use hawthornmill::routing::gossip::KnownState;
use hawthornmill::routing::placement::{Location, Placement};
use hawthornmill::routing::regions::AllowedRegions;
use hawthornmill::routing::registry::{Change, Registration, RegistrationList};
use hawthornmill::routing::request::{Admission, Request};
use hawthornmill::routing::retry_budget::{RetryBudget, RetryBudgetConfig};
use hawthornmill::routing::scheduler::Scheduler;
use hawthornmill::routing::server_notices::ServerNotices;
use hawthornmill::routing::shape::{PromptPart, Shape};
use smallvec::{SmallVec, smallvec};

const ENGINE: Engine = Engine {
    slots: 8,
    kv_capacity: 100_000,
    copy_time: Duration::ZERO,
};

/// Servers with their failure domains.
const SIX: &[(&str, &str)] = &[
    ("a1", "a"),
    ("a2", "a"),
    ("b1", "b"),
    ("b2", "b"),
    ("c1", "c"),
    ("c2", "c"),
];

const TOLERANCE: ColdStartTolerance = ColdStartTolerance {
    factor: 1.5,
    extra: 5.0,
};

fn drafter() -> ServiceId {
    ServiceId::of("drafter")
}

fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// What an instance with a catalog of `version` and registrations of `revision` knows.
fn known(version: u64, revision: u64) -> KnownState {
    KnownState {
        catalog_version: version,
        revision,
        evacuation_revision: 0,
    }
}

fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: prefix.into(),
        host: host.into(),
        prefix: prefix.into(),
        targets: smallvec![Target {
            service: drafter(),
            weight: 1
        }],
        retry_policy: RetryPolicy::Idempotent,
        streaming: false,
        timeout: millis(2_000),
        objective: millis(500),
        gap_target: None,
        priority: 1,
        max_attempts: 2,
        public: false,
        allowed_regions: AllowedRegions::Any,
    }
}

fn account(name: &str, token: &str) -> Account {
    Account {
        id: AccountId::of(name),
        name: name.into(),
        tokens: smallvec![TokenDigest::of(token.as_bytes())],
        priority: None,
        allowed_regions: AllowedRegions::Any,
    }
}

fn catalog(version: u64, routes: Vec<Route>, accounts: Vec<Account>) -> Catalog {
    Catalog {
        version,
        routes,
        services: vec![Service {
            id: drafter(),
            name: "drafter".into(),
            max_connections: 100,
            engine: Some(ENGINE),
            cold_start: None,
        }],
        accounts,
        limits: Limits::default(),
    }
}

fn entry(name: &str, domain: &str) -> Registration {
    Registration {
        name: name.into(),
        service: drafter(),
        version: VersionId::of("v1"),
        version_name: "v1".into(),
        address: "127.0.0.1:80".parse().expect("the address is well-formed"),
        domain: DomainId::of(domain),
        slots: 8,
        draining: false,
        start_ms: 0,
        cold_time: Duration::ZERO,
        sequence: 0,
    }
}

fn change(name: &str, revision: u64, entry: Option<Registration>) -> Change {
    Change {
        server: ServerId::of(name),
        revision,
        registration: entry,
    }
}

/// A list that holds `entries`, all of them confirmed.
fn list(entries: Vec<Change>, revision: u64, after_outage: bool) -> RegistrationList {
    RegistrationList {
        entries,
        unconfirmed: Vec::new(),
        revision,
        after_outage,
        asked_at: None,
    }
}

/// A scheduler in domain `a` of region `north` with `servers`, each in the failure domain named with it.
fn scheduler(servers: &[(&str, &str)], now: Instant) -> Scheduler {
    let config = RetryBudgetConfig {
        ratio: 0.2,
        extra: 50.0,
        window: Duration::from_secs(10),
    };
    let location = Location {
        domain: DomainId::of("a"),
        region: RegionId::of("north"),
    };
    let limiter = ColdStartLimiter::new(InstanceId::of("me"), location.domain, TOLERANCE, now);
    let notices = ServerNotices::new(InstanceId::of("me"));
    let mut scheduler = Scheduler::new(location, RetryBudget::new(config, now), limiter, notices);
    let regions = [("a", "north"), ("b", "north"), ("c", "south")];
    scheduler.regions = regions
        .map(|(d, r)| (DomainId::of(d), RegionId::of(r)))
        .to_vec();
    for (number, (name, domain)) in servers.iter().enumerate() {
        let change = change(name, number as u64 + 1, Some(entry(name, domain)));
        assert!(scheduler.registry.apply(change, now));
    }
    scheduler
}

/// A prompt of `own` tokens after a shared prefix of `shared` tokens that `family` identifies.
fn shape(family: u64, shared: u32, own: u32) -> Shape {
    Shape {
        parts: smallvec![
            PromptPart {
                id: family,
                tokens: shared
            },
            PromptPart {
                id: 0xabc,
                tokens: own
            },
        ],
        prompt_tokens: shared + own,
        max_output: 100,
        output_hint: None,
    }
}

fn request(account: &str, shape: Shape, now: Instant) -> Request {
    Request {
        account: Some(AccountId::of(account)),
        route: RouteId::of("r"),
        service: drafter(),
        engine: Some(ENGINE),
        shape,
        priority: 1,
        objective: millis(1_000),
        arrival: now,
        asked: now,
        deadline: now + millis(10_000),
        tried: SmallVec::new(),
        allowed_regions: AllowedRegions::Any,
        version: None,
        goes_on: false,
        new_stream: None,
    }
}

fn sent(admission: Admission) -> Placement {
    match admission {
        Admission::Decided(Ok(placement)) => placement,
        other => panic!("the request was not sent: {other:?}"),
    }
}
