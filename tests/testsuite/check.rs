//! The check of a candidate configuration before it is published.

use std::path::PathBuf;
use std::process::{Command, Output};

use hawthornmill::config::FleetConfig;
use hawthornmill::config::compare::warnings;
use hawthornmill::config::entitlement::entitlements;
use hawthornmill::config::names::NameRegistry;
use hawthornmill::ident::{AccountId, ServiceId};
use hawthornmill_test_support::fleet::FleetBuilder;
use hawthornmill_test_support::procs::small_fleet;

const CHECK: &str = env!("CARGO_BIN_EXE_hawthornmill-check");

/// Two drafting servers of 4 slots in different pools; `big` may use both, `small` only one.
fn overlapping() -> FleetBuilder {
    FleetBuilder::new()
        .domain("a", "north")
        .service("drafting")
        .server("one", "drafting", "a", 4, "std")
        .server("two", "drafting", "a", 4, "apart")
        .account("big", "large")
        .account("small", "small")
        .grant("large", "size=large", "pool in (std,apart)", 1.0)
        .grant("small", "size=small", "pool=std", 1.0)
}

fn entitlement(config: &FleetConfig, account: &str) -> f64 {
    let key = (ServiceId::of("drafting"), AccountId::of(account));
    entitlements(config).get(&key).copied().unwrap_or(0.0)
}

fn write_config(name: &str, fleet: &FleetBuilder) -> PathBuf {
    let name = format!("hawthornmill-{}-{name}.ini", std::process::id());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, &*fleet.text()).expect("the file can be written");
    path
}

fn run_check(args: &[&str]) -> Output {
    let result = Command::new(CHECK).arg("fleet").args(args).output();
    result.expect("the program can be started")
}

#[test]
fn entitlements_match_the_scheduler_for_overlapping_selectors() {
    let (even, _, _) = overlapping().accept(1);
    let (weighted, _, _) = small_fleet().accept(1);

    let even_parts = [entitlement(&even, "big"), entitlement(&even, "small")];
    let weighted_parts = [
        entitlement(&weighted, "big"),
        entitlement(&weighted, "small-1"),
    ];

    // `small` may use at most half of the slots and is entitled to that half; `big` gets the rest.
    assert!((even_parts[0] - 0.5).abs() < 0.002, "{even_parts:?}");
    assert!((even_parts[1] - 0.5).abs() < 0.002, "{even_parts:?}");
    assert!(
        (weighted_parts[0] - 4.0 / 6.0).abs() < 0.002,
        "{weighted_parts:?}"
    );
    assert!(
        (weighted_parts[1] - 1.0 / 6.0).abs() < 0.002,
        "{weighted_parts:?}"
    );
}

/// An operator removes a server, adds one and raises a share. The check must show which accounts gain
/// and lose servers and how their entitlements change.
#[test]
fn check_shows_access_and_entitlement_changes() {
    let present = write_config("present", &overlapping());
    let next = overlapping()
        .text()
        .replace("[server two]\n", "[server two]\nleaving = yes\n")
        .replace("(std,apart)\nshare = 1", "(std,apart)\nshare = 3");
    let next = FleetBuilder::new()
        .line(&next)
        .server("three", "drafting", "a", 12, "std");
    let candidate = write_config("candidate", &next);

    let result = run_check(&[
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
fn likely_mistakes_are_reported() {
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
fn exit_code_tells_valid_warned_and_invalid_apart() {
    let valid = write_config("good", &overlapping());
    let warned = write_config("warned", &overlapping().account("nobody", "none"));
    let invalid = write_config("faulty", &overlapping().line("[grant broken]"));
    let code = |path: &PathBuf, strict: bool| {
        let path = path.display().to_string();
        let args: &[&str] = if strict {
            &[&path, "--strict"]
        } else {
            &[&path]
        };
        run_check(args).status.code()
    };

    let codes = [
        code(&valid, true),
        code(&warned, false),
        code(&warned, true),
        code(&invalid, false),
    ];

    assert_eq!(codes, [Some(0), Some(0), Some(1), Some(2)]);
}

/// Two accounts with the same identifier would share one queue and one bill, since the second section
/// would silently replace the first.
#[test]
fn names_with_the_same_identifier_are_detected() {
    let mut names = NameRegistry::default();

    let found = [
        names.register("account", 5, "one"),
        names.register("server", 5, "other kind"),
        names.register("account", 5, "one"),
        names.register("account", 5, "two"),
    ];

    assert_eq!(found, [None, None, None, Some("one".into())]);
}
