//! Histories of duplicated calls, checked against the at-most-once guarantees.

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

fn runs_of(tags: &[(&str, u32)]) -> Books {
    tags.iter().map(|(t, n)| ((*t).into(), *n)).collect()
}

/// Two copies get the same run's response, the outcome of a third is unknown: no violation.
#[test]
fn valid_history_has_no_violations() {
    let copies = [
        copy("a/1", "k1", (0, 10), "whole", 7),
        copy("a/1", "k1", (5, 20), "whole", 7),
        copy("a/1", "k1", (6, 9), "unknown", 0),
        copy("a/2", "k2", (0, 10), "not_run", 0),
        copy("a/2", "k2", (20, 30), "not_run", 0),
    ];

    assert_eq!(check(&copies, &runs_of(&[("a/1", 1)])), []);
}

/// The checker must detect each kind of violation, or a passing history proves nothing.
#[test]
fn each_violation_is_detected() {
    let tag = || "a/1".into();
    let inconsistent = || Violation::Inconsistent("k".into());
    let cases = [
        (
            vec![copy("a/1", "k", (0, 9), "whole", 7)],
            runs_of(&[("a/1", 2)]),
            vec![Violation::RanTwice(tag())],
        ),
        (
            vec![copy("a/1", "k", (0, 9), "whole", 7)],
            runs_of(&[]),
            vec![Violation::AnswerWithoutRun(tag())],
        ),
        (
            vec![copy("a/1", "k", (0, 9), "ran", 0)],
            runs_of(&[]),
            vec![Violation::FalseRan(tag())],
        ),
        (
            vec![copy("a/1", "k", (0, 9), "not_run", 0)],
            runs_of(&[("a/1", 1)]),
            vec![Violation::FalseNotRun(tag())],
        ),
        (
            // Two runs' serial numbers under one key.
            vec![
                copy("a/1", "k", (0, 9), "whole", 7),
                copy("a/1", "k", (10, 19), "whole", 8),
            ],
            runs_of(&[("a/1", 1)]),
            vec![inconsistent()],
        ),
        (
            // Rejected for good, but served later.
            vec![
                copy("a/1", "k", (0, 9), "not_run", 0),
                copy("a/1", "k", (10, 19), "whole", 7),
            ],
            runs_of(&[("a/1", 1)]),
            vec![Violation::FalseNotRun(tag()), inconsistent()],
        ),
        (
            vec![
                copy("a/1", "k", (0, 9), "whole", 7),
                copy("a/2", "k2", (0, 9), "whole", 7),
            ],
            runs_of(&[("a/1", 1), ("a/2", 1)]),
            vec![Violation::SharedRun(tag(), "a/2".into())],
        ),
        (
            vec![Copy {
                crossed: true,
                ..copy("a/1", "k", (0, 9), "whole", 7)
            }],
            runs_of(&[("a/1", 1)]),
            vec![Violation::Crossed(tag())],
        ),
    ];

    for (copies, books, expected) in cases {
        assert_eq!(check(&copies, &books), expected, "{copies:?}");
    }
}

fn duplicated_calls(site: &Site, seed: u64) -> Storm {
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

/// Sends the duplicated calls of `seed` while `events` happen, and returns the responses.
async fn run_with_faults(seed: u64, routers: usize, events: &[Event]) -> Vec<Copy> {
    let mut plan = SitePlan::new(&small_fleet().text(), DOMAINS, routers);
    plan.extra = "[discovery]\nttl_ms = 300\n".into();
    let mut site = start(ROUTER, plan).await;
    let duplicated_calls = duplicated_calls(&site, seed);
    let calls = tokio::spawn(async move { run(&duplicated_calls).await });

    play(&mut site, events).await.expect("routers start again");
    let copies = calls.await.expect("the calls end");

    // A call whose client disconnected may still be running.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let outcomes = ["whole", "not_run", "ran", "unknown", "none"].map(|o| (o, count(&copies, o)));
    println!(
        "seed {seed}, {routers} routers: {} copies, {outcomes:?}",
        copies.len()
    );
    let violations = check(&copies, &books(&site));
    assert_eq!(violations, [], "seed {seed}, {events:?}");
    site.stop().await;
    copies
}

fn count(copies: &[Copy], outcome: &str) -> usize {
    copies.iter().filter(|c| &*c.outcome == outcome).count()
}

/// Calls with the same key arrive through up to eight routers at once, and clients disconnect and
/// retry elsewhere. Every call must run at most once, and every copy that waits must get its response.
#[test]
fn duplicates_through_eight_routers_run_once() {
    let copies = block_on(run_with_faults(1, 8, &[]));

    assert!(count(&copies, "whole") > 150, "{}", count(&copies, "whole"));
    // Only clients with a timeout of a few milliseconds are rejected, and their later requests with
    // the same key.
    let rejected = copies.iter().filter(|c| &*c.outcome == "not_run");
    let codes: Vec<u16> = rejected.map(|c| c.code).collect();
    assert!(codes.iter().all(|c| [3007, 3024].contains(c)), "{codes:?}");
}

/// Routers are killed, frozen and shut down at random times while duplicated calls arrive through all
/// of them. A killed home loses its keys, and a resumed one finds old calls in its sockets. No call
/// may run twice, and none that was reported as not run may have run.
#[test]
fn router_faults_do_not_run_a_call_twice() {
    for seed in [11, 12, 13] {
        let events = draw(seed, 4, 4, Duration::from_secs(4));
        let copies = block_on(run_with_faults(seed, 4, &events));

        assert!(count(&copies, "whole") > 50, "{}", count(&copies, "whole"));
    }
}
