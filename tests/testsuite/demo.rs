//! The demo program, which is the first command of the README.

use std::process::Command;

const DEMO: &str = env!("CARGO_BIN_EXE_hawthornmill-demo");

/// Failure: the JSON output lacks a figure, has other text beside it, or reports lost or repeated
/// calls.
#[test]
fn demo_output_lacks_no_figure() {
    let output = Command::new(DEMO)
        .args(["--instances", "3", "--seconds", "3", "--json"])
        .output()
        .expect("the program starts");

    let errors = String::from_utf8_lossy(&output.stderr);
    let result: serde_json::Value = serde_json::from_slice(&output.stdout)
        .unwrap_or_else(|e| panic!("standard output is not one JSON object: {e}; {errors}"));
    for key in [
        "policy",
        "accounts",
        "gap",
        "gap_bound",
        "utilization",
        "idle_while_waiting",
        "control_bytes_per_s",
        "cross_region_bytes",
        "calls",
        "lost",
        "crossed",
        "truncated",
        "repeated",
    ] {
        assert!(!result[key].is_null(), "{key} is missing");
    }
    for key in ["lost", "crossed", "truncated", "repeated"] {
        assert_eq!(result[key], 0, "{key}");
    }
    let account = &result["accounts"][0];
    for key in [
        "name",
        "share",
        "owed",
        "received",
        "backlogged_s",
        "refused",
    ] {
        assert!(!account[key].is_null(), "{key} is missing");
    }
}

/// Failure: a mistyped example name starts a demo with other settings.
#[test]
fn demo_rejects_unknown_example() {
    let output = Command::new(DEMO)
        .args(["--example", "nowhere"])
        .output()
        .expect("the program starts");

    assert_eq!(output.status.code(), Some(2));
    assert!(output.stdout.is_empty());
}
