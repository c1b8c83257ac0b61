//! What operators are told of a candidate before they publish it.

use std::path::PathBuf;
use std::process::{Command, Output};

use hawthornmill::config::FleetConfig;
use hawthornmill::config::compare::warnings;
use hawthornmill::config::entitlement::entitlements;
use hawthornmill::config::names::NameRegistry;
use hawthornmill::ident::{AccountId, ServiceId};
use hawthornmill_test_support::fleet::FleetText;
use hawthornmill_test_support::procs::small_fleet;

const CHECK: &str = env!("CARGO_BIN_EXE_hawthornmill-check");

/// Two drafting servers of 4 slots, one of them apart; `big` may use both, `small` one.
fn overlapping() -> FleetText {
    FleetText::new()
        .domain("a", "north")
        .service("drafting")
        .server("one", "drafting", "a", 4, "std")
        .server("two", "drafting", "a", 4, "apart")
        .account("big", "large")
        .account("small", "small")
        .grant("large", "size=large", "pool in (std,apart)", 1.0)
        .grant("small", "size=small", "pool=std", 1.0)
}

fn part(config: &FleetConfig, account: &str) -> f64 {
    let key = (ServiceId::of("drafting"), AccountId::of(account));
    entitlements(config).get(&key).copied().unwrap_or(0.0)
}

fn file(name: &str, fleet: &FleetText) -> PathBuf {
    let name = format!("hawthornmill-{}-{name}.ini", std::process::id());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, &*fleet.text()).expect("the file can be written");
    path
}

fn check(words: &[&str]) -> Output {
    let result = Command::new(CHECK).arg("fleet").args(words).output();
    result.expect("the program can be started")
}

#[test]
fn owed_shares_follow_the_scheduler_over_overlapping_selectors() {
    let (even, _, _) = overlapping().accept(1);
    let (weighted, _, _) = small_fleet().accept(1);

    let parts = [part(&even, "big"), part(&even, "small")];
    let shares = [part(&weighted, "big"), part(&weighted, "small-1")];

    // `small` could use half of the slots at most, and is owed that half; `big` takes the rest.
    assert!((parts[0] - 0.5).abs() < 0.002, "{parts:?}");
    assert!((parts[1] - 0.5).abs() < 0.002, "{parts:?}");
    assert!((shares[0] - 4.0 / 6.0).abs() < 0.002, "{shares:?}");
    assert!((shares[1] - 1.0 / 6.0).abs() < 0.002, "{shares:?}");
}

/// An operator drains a server, adds another and raises a share, and wants to see who gains, who loses, and what
/// becomes of the shares, before it is published.
#[test]
fn a_candidate_is_compared_with_what_is_in_force() {
    let present = file("present", &overlapping());
    let next = overlapping()
        .text()
        .replace("[server two]\n", "[server two]\nleaving = yes\n")
        .replace("(std,apart)\nshare = 1", "(std,apart)\nshare = 3");
    let next = FleetText::new()
        .line(&next)
        .server("three", "drafting", "a", 12, "std");
    let candidate = file("candidate", &next);

    let result = check(&[
        &candidate.display().to_string(),
        "--present",
        &present.display().to_string(),
    ]);

    insta::assert_snapshot!(String::from_utf8_lossy(&result.stdout), @r"
    configuration is good: 2 accounts, 1 services, 3 servers, 2 grants, 1 pools
    1 account (small):
      gained: 1 server (three)
    1 account (big):
      gained: 1 server (three)
      lost: 1 server (two)
    owed if every account waits all the time, % of the service's slots:
      service            account              before    after
      drafting           big                    50.0     75.0
      drafting           small                  50.0     25.0
      0 others stay as they are
    ");
    assert_eq!(result.status.code(), Some(0));
}

#[test]
fn what_looks_like_a_mistake_is_named() {
    let fleet = overlapping()
        .service("empty")
        .account("nobody", "none")
        .server("unused", "drafting", "a", 4, "other")
        .line("[account labelled]\nlabels = size=small,trial=yes\ntoken = 0000000000000000000000000000000000000000000000000000000000000000")
        .grant("typo", "size=smal", "pool=standard", 1.0);
    let (config, _, _) = fleet.accept(1);

    insta::assert_snapshot!(warnings(&config).join("\n"), @r"
    account nobody may use no server
    grant typo: its selector matches no account
    grant typo: its selector matches no server
    label trial of accounts is used by no selector
    server unused is open to no account
    service empty has no server
    ");
}

#[test]
fn exit_codes_tell_good_warned_and_faulty_apart() {
    let good = file("good", &overlapping());
    let warned = file("warned", &overlapping().account("nobody", "none"));
    let faulty = file("faulty", &overlapping().line("[grant broken]"));
    let code = |path: &PathBuf, strict: bool| {
        let path = path.display().to_string();
        let words: &[&str] = if strict {
            &[&path, "--strict"]
        } else {
            &[&path]
        };
        check(words).status.code()
    };

    let codes = [
        code(&good, true),
        code(&warned, false),
        code(&warned, true),
        code(&faulty, false),
    ];

    assert_eq!(codes, [Some(0), Some(0), Some(1), Some(2)]);
}

/// Two accounts whose names have one hash would share one queue and one bill, and the second would
/// silently replace the first.
#[test]
fn two_names_with_one_key_are_refused() {
    let mut names = NameRegistry::default();

    let found = [
        names.register("account", 5, "one"),
        names.register("server", 5, "other kind"),
        names.register("account", 5, "one"),
        names.register("account", 5, "two"),
    ];

    assert_eq!(found, [None, None, None, Some("one".into())]);
}
