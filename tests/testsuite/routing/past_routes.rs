//! Terms of earlier catalogs, as far as a process knows them.

use std::time::{Duration, Instant};

use hawthornmill::routing::caller_times::MAX_CALLER_TIME;
use hawthornmill::routing::past_routes::{EarlierCatalogs, PastCatalog, PastRoutes, past_timeouts};
use hawthornmill::routing::route_table::RouteTable;

use super::{catalog, millis, route};

/// Time within which every instance has a new catalog in force.
const APPLY_TIME: Duration = Duration::from_secs(3);

fn table(version: u64, timeout: Duration) -> RouteTable {
    let mut only = route("h.example", "/a/");
    only.timeout = timeout;
    RouteTable::new(catalog(version, vec![only], Vec::new())).expect("the catalog is sound")
}

/// Failure: a process knows only the catalogs that it had in force, and callers of the one before count as younger.
#[test]
fn catalogs_of_the_history_give_their_terms() {
    let start = Instant::now();
    let present = table(3, millis(2_000));
    let past = [(1, 15_000, 0), (2, 6_000, 4_000), (3, 2_000, 8_000)];
    let past = past.map(|(version, timeout, written)| PastCatalog {
        table: table(version, millis(timeout)),
        written: start + millis(written),
    });
    let mut routes = PastRoutes::default();

    routes.begin(start + millis(9_000));
    routes.learn(
        &past,
        EarlierCatalogs::None,
        &present,
        start + millis(9_500),
    );
    let longest = |at: u64| {
        let terms = routes.terms("h.example", "/a/x", APPLY_TIME);
        past_timeouts(&terms, start + millis(at)).map(|(_, longest)| longest)
    };

    // The first was replaced at 4 s, in force everywhere by 7 s; its callers wait until 22 s.
    assert_eq!(longest(22_000), Some(millis(15_000)));
    assert_eq!(longest(22_001), None);
    assert_eq!(longest(17_000), Some(millis(15_000)));
    assert!(!routes.has_unknown_terms(APPLY_TIME, start + millis(10_000)));
}

/// Failure: what nobody knows of earlier catalogs counts as if there had been none.
#[test]
fn callers_of_unknown_catalogs_count_for_their_time() {
    let start = Instant::now();
    let present = table(3, millis(2_000));
    let unknown = |earlier: Option<EarlierCatalogs>, at: Duration| {
        let mut routes = PastRoutes::default();
        routes.begin(start);
        if let Some(earlier) = earlier {
            routes.learn(&[], earlier, &present, start + millis(500));
        }
        routes.has_unknown_terms(APPLY_TIME, start + APPLY_TIME + at)
    };

    let replaced = Some(EarlierCatalogs::ReplacedBy(start));
    let unchanged = Some(EarlierCatalogs::UnchangedSince(start));
    let ends = [MAX_CALLER_TIME, MAX_CALLER_TIME, millis(2_000)];

    for (earlier, end) in [None, replaced, unchanged].into_iter().zip(ends) {
        assert!(unknown(earlier, end), "{earlier:?}");
        assert!(!unknown(earlier, end + millis(1)), "{earlier:?}");
    }
    assert!(!unknown(Some(EarlierCatalogs::None), millis(0)));
}
