//! Recorded copies of calls, checked against the promises to callers.

use std::time::Duration;

use hawthornmill_lab::demo::site::{Site, SitePlan};
use hawthornmill_lab::history::faults::{Event, draw, play};
use hawthornmill_lab::history::storm::{Storm, books, run};
use hawthornmill_lab::history::{Books, Violation, check};
use hawthornmill_lab::load::story::Copy;
use hawthornmill_test_support::procs::{DOMAINS, small_fleet, start};

use crate::{ROUTER, block_on};

fn copy(tag: &str, key: &str, times: (u64, u64), outcome: &str, serial: u64) -> Copy {
    Copy {
        tag: tag.into(),
        key: Some(key.into()),
        sent_us: times.0,
        end_us: times.1,
        outcome: outcome.into(),
        attempt: if outcome == "not_run" {
            "not_run"
        } else {
            "unknown"
        }
        .into(),
        serial,
        ..Copy::default()
    }
}

fn ran(tags: &[(&str, u32)]) -> Books {
    tags.iter().map(|(t, n)| ((*t).into(), *n)).collect()
}

/// Two copies get the same run's answer, a third says nothing: all promises are kept.
#[test]
fn a_history_that_keeps_every_promise_passes() {
    let copies = [
        copy("a/1", "k1", (0, 10), "whole", 7),
        copy("a/1", "k1", (5, 20), "whole", 7),
        copy("a/1", "k1", (6, 9), "unknown", 0),
        copy("a/2", "k2", (0, 10), "not_run", 0),
        copy("a/2", "k2", (20, 30), "not_run", 0),
    ];

    assert_eq!(check(&copies, &ran(&[("a/1", 1)])), []);
}

/// The checker must see each broken promise; one that sees none proves nothing.
#[test]
fn every_broken_promise_is_seen() {
    let tag = || "a/1".into();
    let inconsistent = || Violation::Inconsistent("k".into());
    let cases = [
        (
            vec![copy("a/1", "k", (0, 9), "whole", 7)],
            ran(&[("a/1", 2)]),
            vec![Violation::RanTwice(tag())],
        ),
        (
            vec![copy("a/1", "k", (0, 9), "whole", 7)],
            ran(&[]),
            vec![Violation::AnswerWithoutRun(tag())],
        ),
        (
            vec![copy("a/1", "k", (0, 9), "ran", 0)],
            ran(&[]),
            vec![Violation::FalseRan(tag())],
        ),
        (
            vec![copy("a/1", "k", (0, 9), "not_run", 0)],
            ran(&[("a/1", 1)]),
            vec![Violation::FalseNotRun(tag())],
        ),
        (
            // Two runs' serial numbers under one key.
            vec![
                copy("a/1", "k", (0, 9), "whole", 7),
                copy("a/1", "k", (10, 19), "whole", 8),
            ],
            ran(&[("a/1", 1)]),
            vec![inconsistent()],
        ),
        (
            // Refused for good, and answered later.
            vec![
                copy("a/1", "k", (0, 9), "not_run", 0),
                copy("a/1", "k", (10, 19), "whole", 7),
            ],
            ran(&[("a/1", 1)]),
            vec![Violation::FalseNotRun(tag()), inconsistent()],
        ),
        (
            vec![
                copy("a/1", "k", (0, 9), "whole", 7),
                copy("a/2", "k2", (0, 9), "whole", 7),
            ],
            ran(&[("a/1", 1), ("a/2", 1)]),
            vec![Violation::SharedRun(tag(), "a/2".into())],
        ),
        (
            vec![Copy {
                crossed: true,
                ..copy("a/1", "k", (0, 9), "whole", 7)
            }],
            ran(&[("a/1", 1)]),
            vec![Violation::Crossed(tag())],
        ),
    ];

    for (copies, books, expected) in cases {
        assert_eq!(check(&copies, &books), expected, "{copies:?}");
    }
}

fn storm(site: &Site, seed: u64) -> Storm {
    Storm {
        seed,
        service: "booking".into(),
        account: "small-1".into(),
        keys: 150,
        copies: 4,
        time: Duration::from_secs(3),
        entries: site.routers.iter().map(|r| r.listed.http.clone()).collect(),
    }
}

/// Runs the storm of `seed` while `events` happen, and returns what was answered.
async fn weather(seed: u64, routers: usize, events: &[Event]) -> Vec<Copy> {
    let mut plan = SitePlan::new(&small_fleet().text(), DOMAINS, routers);
    plan.extra = "[discovery]\nttl_ms = 300\n".into();
    let mut site = start(ROUTER, plan).await;
    let storm = storm(&site, seed);
    let calls = tokio::spawn(async move { run(&storm).await });

    play(&mut site, events).await.expect("routers start again");
    let copies = calls.await.expect("the storm ends");

    // A run that a lost caller began may still be under way.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let outcomes = ["whole", "not_run", "ran", "unknown", "none"].map(|o| (o, count(&copies, o)));
    println!(
        "seed {seed}, {routers} routers: {} copies, {outcomes:?}",
        copies.len()
    );
    let broken = check(&copies, &books(&site));
    assert_eq!(broken, [], "seed {seed}, {events:?}");
    site.stop().await;
    copies
}

fn count(copies: &[Copy], outcome: &str) -> usize {
    copies.iter().filter(|c| &*c.outcome == outcome).count()
}

/// The same key comes through up to eight routers at once, callers break off and ask elsewhere.
/// Every booking is made at most once, and every copy that waits gets the one answer.
#[test]
fn copies_through_eight_routers_run_once() {
    let copies = block_on(weather(1, 8, &[]));

    assert!(count(&copies, "whole") > 150, "{}", count(&copies, "whole"));
    // Only callers that wait a few milliseconds are refused, and those who ask with their key.
    let refused = copies.iter().filter(|c| &*c.outcome == "not_run");
    let codes: Vec<u16> = refused.map(|c| c.code).collect();
    assert!(codes.iter().all(|c| [3007, 3024].contains(c)), "{codes:?}");
}

/// Routers are killed, frozen and told to leave at moments drawn from a seed, while copies of the
/// same bookings arrive through all of them. A home that dies takes what it knew with it, one that
/// wakes up finds old calls in its sockets; no booking may be made twice, and none that was said
/// not to have run may have.
#[test]
fn no_seed_of_faults_breaks_a_promise() {
    for seed in [11, 12, 13] {
        let events = draw(seed, 4, 4, Duration::from_secs(4));
        let copies = block_on(weather(seed, 4, &events));

        assert!(count(&copies, "whole") > 50, "{}", count(&copies, "whole"));
    }
}
