//! The tool that checks settings and catalogs before they are deployed.

use std::path::PathBuf;
use std::process::Command;

use serde_json::json;

use super::fleet::{config, route};

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("hawthornmill-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("the file can be written");
    path
}

/// Runs the tool; returns its exit code, standard output and standard error.
fn check(args: &[&str], files: &[&PathBuf]) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hawthornmill-check"));
    let output = command
        .args(args)
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

/// Failure: the comparison of a candidate with the present catalog omits a change.
#[test]
fn catalog_comparison_omits_no_change() {
    let mut newer = config(4);
    if let Some(routes) = newer["routes"].as_array_mut() {
        routes.remove(0);
        routes[0]["timeoutMs"] = json!(1_000);
        routes.push(route("added", "idempotent", &json!({})));
    }
    newer["tenants"][0]["apiKeys"] = json!(["key-2"]);
    let present = write_file("present.json", &config(4).to_string());
    let candidate = write_file("candidate.json", &newer.to_string());

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

/// Failure: the tool accepts an invalid file, or reports a fault without its number.
#[test]
fn invalid_config_exits_with_numbered_errors() {
    let mut duplicate = config(4);
    duplicate["routes"] = json!([
        route("a", "idempotent", &json!({})),
        route("a", "idempotent", &json!({}))
    ]);
    let duplicate = write_file("twice.json", &duplicate.to_string());
    let truncated = write_file("cut.json", "{\"version\": 4, ");
    let settings = write_file("gateway.ini", "[instance]\nnam = x\n");

    let (code, _, duplicate_errors) = check(&["catalog"], &[&duplicate]);
    let (_, _, truncated_errors) = check(&["catalog"], &[&truncated]);
    let (_, _, settings_errors) = check(&["gateway"], &[&settings]);

    assert_eq!(code, Some(2));
    assert!(
        duplicate_errors.contains("error 1007"),
        "{duplicate_errors}"
    );
    assert!(
        truncated_errors.contains("error 1006"),
        "{truncated_errors}"
    );
    assert!(settings_errors.contains("error 1004"), "{settings_errors}");
}
