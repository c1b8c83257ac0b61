//! Checking settings and catalogs before they are used.

use std::path::PathBuf;
use std::process::Command;

use serde_json::json;

use super::fleet::{config, route};

fn file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("hawthornmill-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("the file can be written");
    path
}

/// Exit code, standard output and standard error of the tool.
fn check(words: &[&str], files: &[&PathBuf]) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hawthornmill-check"));
    let output = command
        .args(words)
        .args(files)
        .output()
        .expect("the tool starts");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (
        output.status.code(),
        text(&output.stdout),
        text(&output.stderr),
    )
}

#[test]
fn catalog_comparison_omits_no_change() {
    let mut newer = config(4);
    if let Some(routes) = newer["routes"].as_array_mut() {
        routes.remove(0);
        routes[0]["timeoutMs"] = json!(1_000);
        routes.push(route("added", "idempotent", &json!({})));
    }
    newer["tenants"][0]["apiKeys"] = json!(["key-2"]);
    let present = file("present.json", &config(4).to_string());
    let candidate = file("candidate.json", &newer.to_string());

    let (code, text, _) = check(&["catalog", "--present"], &[&present, &candidate]);

    assert_eq!(code, Some(0));
    for line in [
        "version 4: 6 routes, 1 services, 1 accounts",
        "added: route h.example/added/",
        "changed: route h.example/once/",
        "removed: route h.example/get/",
        "changed: account lab",
        "never in force: version 4 is not above 4",
    ] {
        assert!(text.contains(line), "{line} is missing in\n{text}");
    }
}

#[test]
fn invalid_config_exits_with_numbered_errors() {
    let mut twice = config(4);
    twice["routes"] = json!([
        route("a", "idempotent", &json!({})),
        route("a", "idempotent", &json!({}))
    ]);
    let twice = file("twice.json", &twice.to_string());
    let cut = file("cut.json", "{\"version\": 4, ");
    let settings = file("gateway.ini", "[instance]\nnam = x\n");

    let (code, _, doubled) = check(&["catalog"], &[&twice]);
    let (_, _, unreadable) = check(&["catalog"], &[&cut]);
    let (_, _, faulty) = check(&["gateway"], &[&settings]);

    assert_eq!(code, Some(2));
    assert!(doubled.contains("error 1007"), "{doubled}");
    assert!(unreadable.contains("error 1006"), "{unreadable}");
    assert!(faulty.contains("error 1004"), "{faulty}");
}
