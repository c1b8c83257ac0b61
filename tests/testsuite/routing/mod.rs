//! Decisions of the gateway in a fixed order, with a clock moved by hand and no socket.

mod adaptive_timeout;
mod budget;
mod congestion;
mod desk;
mod digest;
mod lag;
mod leaving;
mod loads;
mod many;
mod mates;
mod parts;
mod place;
mod reading;
mod registry;
mod shares;
mod shortage;
mod table;

use std::time::{Duration, Instant};

use hawthornmill::ident::{AccountId, DomainId, RegionId, ServerId, ServiceId};
use hawthornmill::routing::budget::{Budget, Terms};
use hawthornmill::routing::catalog::{
    Account, Catalog, Engine, Limits, Repeat, Route, Service, Target, TokenDigest,
};
use hawthornmill::routing::desk::Desk;
use hawthornmill::routing::place::{Choice, Place};
use hawthornmill::routing::registry::{Change, List, Registration};
use hawthornmill::routing::request::{Request, Verdict};
use hawthornmill::routing::shape::{PromptPart, Shape};
use smallvec::{SmallVec, smallvec};

const ENGINE: Engine = Engine {
    slots: 8,
    memory: 100_000,
};

fn drafter() -> ServiceId {
    ServiceId::of("drafter")
}

fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
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
        repeat: Repeat::Free,
        streams: false,
        timeout: millis(2_000),
        objective: millis(500),
        priority: 1,
        attempts: 2,
        public: false,
    }
}

fn account(name: &str, token: &str) -> Account {
    Account {
        id: AccountId::of(name),
        name: name.into(),
        tokens: smallvec![TokenDigest::of(token.as_bytes())],
        priority: None,
    }
}

fn catalog(version: u64, routes: Vec<Route>, accounts: Vec<Account>) -> Catalog {
    Catalog {
        version,
        routes,
        services: vec![Service {
            id: drafter(),
            name: "drafter".into(),
            connections: 100,
            engine: Some(ENGINE),
        }],
        accounts,
        limits: Limits::default(),
    }
}

fn entry(name: &str, domain: &str) -> Registration {
    Registration {
        name: name.into(),
        service: drafter(),
        address: "127.0.0.1:80".parse().expect("the address is well-formed"),
        domain: DomainId::of(domain),
        slots: 8,
        draining: false,
        born: 0,
    }
}

fn change(name: &str, revision: u64, entry: Option<Registration>) -> Change {
    Change {
        server: ServerId::of(name),
        revision,
        entry,
    }
}

/// A list that holds `entries`, of which none is doubted.
fn list(entries: Vec<Change>, revision: u64, away: bool) -> List {
    List {
        entries,
        doubted: Vec::new(),
        revision,
        away,
    }
}

/// A desk in domain `a` of region `north` before `servers` in the domains named with them.
fn desk(servers: &[(&str, &str)], now: Instant) -> Desk {
    let terms = Terms {
        ratio: 0.2,
        extra: 50.0,
        window: Duration::from_secs(10),
    };
    let place = Place {
        domain: DomainId::of("a"),
        region: RegionId::of("north"),
    };
    let mut desk = Desk::new(place, Budget::new(terms, now));
    let regions = [("a", "north"), ("b", "north"), ("c", "south")];
    desk.regions = regions
        .map(|(d, r)| (DomainId::of(d), RegionId::of(r)))
        .to_vec();
    for (number, (name, domain)) in servers.iter().enumerate() {
        let change = change(name, number as u64 + 1, Some(entry(name, domain)));
        assert!(desk.registry.take(change, now));
    }
    desk
}

/// A prompt of `own` tokens behind a shared part of `shared` tokens that `family` names.
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
        prompt: shared + own,
        most: 100,
        hint: None,
    }
}

fn request(account: &str, shape: Shape, now: Instant) -> Request {
    Request {
        account: Some(AccountId::of(account)),
        service: drafter(),
        engine: Some(ENGINE),
        shape,
        priority: 1,
        objective: millis(1_000),
        came: now,
        ends: now + millis(10_000),
        tried: SmallVec::new(),
    }
}

fn sent(verdict: Verdict) -> Choice {
    match verdict {
        Verdict::Decided(Ok(choice)) => choice,
        other => panic!("the request was not sent: {other:?}"),
    }
}
