//! Lookup of routes and accounts.

use hawthornmill::codes::Code;
use hawthornmill::ident::ServiceId;
use hawthornmill::routing::catalog::Target;
use hawthornmill::routing::route_table::{Caller, RouteTable, pick_service};
use smallvec::smallvec;

use super::{account, catalog, route};

#[test]
fn longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("h.example", "/a/"),
        route("h.example", "/a/b/"),
        route("g.example", "/"),
    ];
    let table = RouteTable::new(catalog(1, routes, Vec::new())).expect("the catalog is sound");

    let name = |host, path| table.route(host, path).map(|r| r.prefix.clone());

    assert_eq!(name("h.example", "/a/b/c").as_deref(), Some("/a/b/"));
    assert_eq!(name("H.Example:8080", "/a/x").as_deref(), Some("/a/"));
    assert_eq!(name("h.example", "/a"), None);
    assert_eq!(name("h.example", "/ab/"), None);
    assert_eq!(name("g.example", "/a/b/c").as_deref(), Some("/"));
    assert_eq!(name("f.example", "/a/"), None);
}

#[test]
fn only_public_routes_accept_unknown_tokens() {
    let mut open = route("h.example", "/open/");
    open.public = true;
    let closed = route("h.example", "/closed/");
    let accounts = vec![account("lab", "secret")];
    let table = RouteTable::new(catalog(1, vec![open.clone(), closed.clone()], accounts))
        .expect("the catalog is sound");

    let known = table.authenticate(&closed, Some(b"secret"));
    let unknown = table.authenticate(&closed, Some(b"other"));
    let missing = table.authenticate(&closed, None);
    let anonymous = table.authenticate(&open, None);

    assert!(matches!(known, Some(Caller::Account(a)) if &*a.name == "lab"));
    assert!(unknown.is_none() && missing.is_none());
    assert!(matches!(anonymous, Some(Caller::Anonymous)));
}

#[test]
fn services_are_picked_by_weight() {
    let (first, second) = (ServiceId::of("first"), ServiceId::of("second"));
    let mut route = route("h.example", "/");
    route.targets = smallvec![
        Target {
            service: first,
            weight: 90
        },
        Target {
            service: second,
            weight: 10
        },
        Target {
            service: ServiceId::of("none"),
            weight: 0
        },
    ];

    let draws = (0..=1_000).map(|d| pick_service(&route, f64::from(d) / 1_000.0));
    let seconds = draws.filter(|s| *s == second).count();

    assert_eq!(pick_service(&route, 0.0), first);
    assert_eq!(pick_service(&route, 1.0), second);
    assert_eq!(seconds, 101);
}

#[test]
fn faulty_catalog_is_refused_whole() {
    let mut nowhere = route("h.example", "/");
    nowhere.targets[0].service = ServiceId::of("gone");
    let twice = vec![route("h.example", "/"), route("h.example", "/")];
    let mut bare = route("h.example", "/x");
    bare.prefix = "/x".into();
    let mut weightless = route("h.example", "/");
    weightless.targets[0].weight = 0;

    let code = |routes| {
        RouteTable::new(catalog(1, routes, Vec::new()))
            .map(drop)
            .map_err(|f| f.0)
    };

    assert_eq!(code(vec![nowhere]), Err(Code::UnknownReference));
    assert_eq!(code(twice), Err(Code::Duplicate));
    assert_eq!(code(vec![bare]), Err(Code::BadValue));
    assert_eq!(code(vec![weightless]), Err(Code::BadValue));
}

/// Failure: a token that was taken away and given back is still refused for good, or one is forgotten at the next change.
#[test]
fn removed_tokens_are_those_of_earlier_catalogs_only() {
    let table = |version, tokens: &[&str]| {
        let accounts = tokens.iter().map(|t| account(t, t)).collect();
        RouteTable::new(catalog(version, vec![route("h.example", "/")], accounts))
            .expect("the catalog is valid")
    };

    let first = table(1, &["a", "b", "c"]);
    let second = table(2, &["a"]).succeeding(&first);
    let third = table(3, &["a", "c"]).succeeding(&second);

    let removed =
        |table: &RouteTable| ["a", "b", "c", "d"].map(|t| table.has_removed(t.as_bytes()));
    assert_eq!(removed(&second), [false, true, true, false]);
    assert_eq!(removed(&third), [false, true, false, false]);
}
