//! Servers that fetch cached parts of a prompt from others.

use std::time::{Duration, Instant};

use hawthornmill::ident::{DomainId, RegionId, ServerId, VersionId};
use hawthornmill::routing::catalog::Engine;
use hawthornmill::routing::evacuations::Evacuation;
use hawthornmill::routing::loads::ServerOutcome;
use hawthornmill::routing::placement::Placement;
use hawthornmill::routing::regions::AllowedRegions;
use hawthornmill::routing::registry::Registration;
use hawthornmill::routing::request::{Admission, Request};
use hawthornmill::routing::scheduler::Scheduler;

use super::{ENGINE, SIX, change, entry, millis, request, scheduler, sent, shape};

const SHARED: u32 = 5_000;
const FOUR: &[(&str, &str)] = &[("a1", "a"), ("a2", "a"), ("b1", "b"), ("c1", "c")];

/// A request of the family 7 on engines that copy a token in `copy_time`.
fn ask(copy_time: Duration, now: Instant) -> Request {
    Request {
        engine: Some(Engine {
            copy_time,
            ..ENGINE
        }),
        ..request("lab", shape(7, SHARED, 3_000), now)
    }
}

const FAST_LINK: Duration = Duration::from_micros(2);
const SLOW_LINK: Duration = Duration::from_micros(100);

/// Sends requests of one family at once until none is placed any more.
fn burst(scheduler: &mut Scheduler, copy_time: Duration, now: Instant) -> Vec<Placement> {
    let mut placed = Vec::new();
    while let Admission::Decided(Ok(placement)) = scheduler.submit(&ask(copy_time, now), now) {
        placed.push(placement);
    }
    placed
}

/// Load pattern: one family becomes popular, and its requests spill from its home to other servers, each of which would
/// prefill the long shared prefix again.
#[test]
fn popular_family_is_fetched_and_not_prefilled_again() {
    let now = Instant::now();
    let [fast, none, slow] = [FAST_LINK, Duration::ZERO, SLOW_LINK].map(|copy_time| {
        let placed = burst(&mut scheduler(FOUR, now), copy_time, now);
        let prefilled = placed.iter().map(|p| {
            let fetched = p.fetch.map_or(0, |f| f.tokens);
            p.duplicate_prefill.saturating_sub(fetched)
        });
        prefilled.sum::<u32>()
    });

    assert!(none >= SHARED, "nothing spilled: {none}");
    assert_eq!(slow, none, "a link slower than the engine is not used");
    assert_eq!(
        fast, SHARED,
        "only the region that has no copy yet reads it"
    );
}

/// Failure: operators switch fetching off, and servers are told to fetch.
#[test]
fn nothing_is_fetched_while_it_is_switched_off() {
    let now = Instant::now();
    let mut scheduler = scheduler(FOUR, now);
    scheduler.fetches_prefixes = false;

    let placed = burst(&mut scheduler, FAST_LINK, now);

    assert!(placed.iter().any(|p| p.spilled));
    assert!(placed.iter().all(|p| p.fetch.is_none()));
}

/// Failure: a server is told to fetch from one that can't be reached, is evacuated or lies where the prompt may not be.
#[test]
fn unusable_server_is_no_source() {
    let now = Instant::now();
    let home = sent(scheduler(FOUR, now).submit(&ask(FAST_LINK, now), now)).server;
    let home_domain = FOUR.iter().find(|(name, _)| ServerId::of(name) == home);
    let home_domain = DomainId::of(home_domain.expect("the home is known").1);
    let fetches_from_home = |prepare: &dyn Fn(&mut Scheduler), allowed: AllowedRegions| {
        let mut scheduler = scheduler(FOUR, now);
        let _first = sent(scheduler.submit(&ask(FAST_LINK, now), now));
        prepare(&mut scheduler);
        let placed = (0..24).filter_map(|_| {
            let bound = Request {
                allowed_regions: allowed.clone(),
                ..ask(FAST_LINK, now)
            };
            match scheduler.submit(&bound, now) {
                Admission::Decided(Ok(placement)) => Some(placement),
                _ => None,
            }
        });
        let placed: Vec<Placement> = placed.collect();
        assert!(!placed.is_empty());
        placed
            .iter()
            .any(|p| p.fetch.is_some_and(|f| f.source == home))
    };

    let usable = fetches_from_home(&|_| {}, AllowedRegions::Any);
    let down = fetches_from_home(
        &|s| {
            s.loads
                .record_outcome(home, ServerOutcome::Unreachable, now);
        },
        AllowedRegions::Any,
    );
    let evacuated = fetches_from_home(
        &|s| {
            let evacuation = Evacuation {
                domain: home_domain,
                revision: 50,
                active: true,
            };
            let _changed = s.apply_evacuation(evacuation, now);
        },
        AllowedRegions::Any,
    );
    let is_south = home_domain == DomainId::of("c");
    let other = RegionId::of(if is_south { "north" } else { "south" });
    let elsewhere = AllowedRegions::Only([other].into_iter().collect());
    let forbidden = fetches_from_home(&|_| {}, elsewhere);

    assert_eq!(
        (usable, down, evacuated, forbidden),
        (true, false, false, false)
    );
}

/// Failure: a prefix that a request bound to its region has left at a server is copied to another region by a request that
/// isn't bound, over the narrow link between the regions.
#[test]
fn nothing_is_fetched_from_another_region() {
    let now = Instant::now();
    let mut scheduler = scheduler(SIX, now);
    let is_south = |server| [ServerId::of("c1"), ServerId::of("c2")].contains(&server);

    let placed = burst(&mut scheduler, FAST_LINK, now);
    let fetched = placed
        .iter()
        .filter_map(|p| Some((p.server, p.fetch?.source)));
    let fetched: Vec<(ServerId, ServerId)> = fetched.collect();

    let receivers_in_south = fetched.iter().filter(|(to, _)| is_south(*to)).count();
    assert!(
        (1..fetched.len()).contains(&receivers_in_south),
        "{fetched:?}"
    );
    assert!(
        fetched
            .iter()
            .all(|(to, from)| is_south(*to) == is_south(*from)),
        "{fetched:?}"
    );
}

/// Failure: a few hundred tokens are fetched although the set-up takes longer than to prefill them.
#[test]
fn short_prefix_is_not_fetched() {
    let now = Instant::now();
    let mut scheduler = scheduler(FOUR, now);

    for _ in 0..12 {
        let short = Request {
            shape: shape(7, 100, 80),
            ..ask(FAST_LINK, now)
        };
        if let Admission::Decided(Ok(placement)) = scheduler.submit(&short, now) {
            scheduler.record_first_token(super::drafter(), &placement, Some(millis(80)), now);
            assert_eq!(placement.fetch, None);
        }
    }
}

/// Failure: a server reads memory that a server of another software version has written.
#[test]
fn nothing_is_fetched_from_a_server_of_another_version() {
    let now = Instant::now();
    let mut scheduler = scheduler(FOUR, now);
    for (number, (name, domain)) in FOUR.iter().enumerate() {
        let versioned = Registration {
            version: VersionId::of(["v1", "v2"][number % 2]),
            ..entry(name, domain)
        };
        scheduler.apply_change(change(name, 10 + number as u64, Some(versioned)), now);
    }

    let placed = burst(&mut scheduler, FAST_LINK, now);

    let version = |id| scheduler.registry.get(id).map(|e| e.registration.version);
    let fetched = placed
        .iter()
        .filter_map(|p| Some((p.server, p.fetch?.source)));
    let mixed: Vec<_> = fetched
        .filter(|(to, from)| version(*to) != version(*from))
        .collect();
    assert!(mixed.is_empty(), "{mixed:?}");
}
