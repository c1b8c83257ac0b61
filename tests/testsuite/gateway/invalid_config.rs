//! The tool that checks settings and catalogs before they are deployed.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::Command;

use serde_json::{Value, json};

use super::fleet::{Fleet, config, route};
use super::store::Mode;
use crate::block_on;

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("hawthornmill-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("the file can be written");
    path
}

/// Returns a catalog in which the check finds nothing.
fn sound_config(version: u64) -> Value {
    let mut sound = config(version);
    sound["routes"][3]["targetLatencyMs"] = json!(300);
    sound
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

    let (code, text, problems) = check(&["catalog", "--present"], &[&present, &candidate]);

    assert_eq!(code, Some(2));
    for line in [
        "version 4: 6 routes, 1 services, 1 accounts",
        "info 5301: added: route h.example/added/",
        "info 5302: changed: route h.example/once/, timeout 3s -> 1s",
        "info 5302: changed: account lab, tokens +0 -1",
    ] {
        assert!(text.contains(line), "{line} is missing in\n{text}");
    }
    for line in [
        "warning 5213: removed: route h.example/get/",
        "error 5106: never in force: version 4 is not above 4",
    ] {
        assert!(problems.contains(line), "{line} is missing in\n{problems}");
    }
}

/// Failure: a script can't tell differences, warnings, errors and sources that can't be read apart.
#[test]
fn catalog_check_exits_by_its_worst_finding() {
    let present = write_file("code-present.json", &sound_config(4).to_string());
    let newer = write_file("code-newer.json", &sound_config(5).to_string());
    let mut warned = sound_config(5);
    warned["routes"][0]["targetLatencyMs"] = json!(9_000);
    let warned = write_file("code-warned.json", &warned.to_string());
    let cut = write_file("code-cut.json", "{");
    let missing = PathBuf::from("/nowhere/catalog.json");
    let code = |args: &[&str], files: &[&PathBuf]| check(args, files).0;

    let codes = [
        code(&["catalog", "--strict"], &[&newer]),
        code(&["catalog", "--present"], &[&present, &newer]),
        code(&["catalog", "--present"], &[&present, &warned]),
        code(&["catalog"], &[&cut]),
        code(&["catalog"], &[&missing]),
        code(&["catalog", "--present"], &[&missing, &newer]),
        code(&["catalog", "--settings"], &[&missing, &newer]),
        code(&["catalog", "--store", "127.0.0.1:1"], &[&warned]),
        code(&["catalog", "--unknown"], &[&newer]),
    ];

    let expected = [0, 0, 1, 2, 3, 3, 3, 3, 3].map(Some);
    assert_eq!(codes, expected);
}

/// Failure: the catalog in force or the servers are not found on a later page of the store, or a field of the output
/// that scripts read is renamed.
#[test]
fn catalog_is_compared_with_the_store() {
    let (code, output, _) = block_on(async {
        let fleet = Fleet::prepare(1, 0).await;
        for key in ["op/a", "op/b", "op/evacuate/c"] {
            fleet.store.put(key, b"{}");
        }
        fleet
            .store
            .put("op/config", config(4).to_string().as_bytes());
        for key in ["servers/a", "servers/b", "servers/c"] {
            fleet.store.put(key, b"{}");
        }
        let mut newer = config(5);
        newer["routes"][0]["allowedRegions"] = json!(["west"]);
        let newer = write_file("store-newer.json", &newer.to_string());
        let store = fleet.store.address.to_string();
        let args = ["catalog", "--json", "--store", &store, "--settings"];
        check(&args, &[&fleet.gateways[0].config, &newer])
    });

    let output: Value = serde_json::from_str(&output).expect("the output is JSON");
    let shown = |f: &Value| format!("{} {} {}", f["code"], f["severity"], f["message"]);
    let findings = output["findings"].as_array().expect("there are findings");
    let findings: Vec<String> = findings.iter().map(shown).collect();
    assert_eq!(code, Some(1));
    insta::assert_snapshot!(findings.join("\n"), @r#"
    5202 "warning" "route get: no server is in region west"
    5207 "warning" "route brief: the timeout of 400ms is below the latency objective of 1s"
    5217 "warning" "service app: no server is registered for it"
    5302 "info" "changed: route h.example/get/, regions any -> west"
    "#);
    let mut rest = output;
    rest["findings"] = json!([]);
    insta::assert_snapshot!(rest, @r#"{"accounts":1,"errors":0,"exit_code":1,"findings":[],"in_force":4,"routes":6,"services":1,"unreadable":0,"version":5,"warnings":3}"#);
}

/// Failure: a store that refuses, or never answers, holds up the tool or passes for an empty one.
#[test]
fn store_that_gives_no_list_is_reported() {
    let newer = write_file("no-list.json", &config(5).to_string());
    let (refusing, silent, empty) = block_on(async {
        let fleet = Fleet::prepare(0, 0).await;
        let store = fleet.store.address.to_string();
        let run = || check(&["catalog", "--store", &store], &[&newer]);
        let empty = run();
        fleet.store.set_mode(Mode::Refusing);
        let refusing = run();
        fleet.store.set_mode(Mode::Unresponsive);
        (refusing, run(), empty)
    });

    assert_eq!((refusing.0, silent.0, empty.0), (Some(3), Some(3), Some(1)));
    assert!(
        refusing.2.contains("unreadable 2008: status 503"),
        "{refusing:?}"
    );
    assert!(silent.2.contains("unreadable 2008"), "{silent:?}");
    assert!(silent.1.contains("1 can't be read"), "{silent:?}");
    assert!(empty.1.contains("info 5304"), "{empty:?}");
    assert!(empty.2.contains("warning 5217: service app"), "{empty:?}");
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

/// Answers each call on its first connection with `head` and then `body`, `times` times.
fn store_that_sends(head: &'static str, body: &'static str, times: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    std::thread::spawn(move || {
        let (mut stream, _from) = listener.accept().expect("the tool connects");
        let mut request = [0; 1_024];
        while stream.read(&mut request).is_ok_and(|bytes| bytes > 0) {
            let mut parts = std::iter::once(head).chain(std::iter::repeat_n(body, times));
            if parts.any(|part| stream.write_all(part.as_bytes()).is_err()) {
                return;
            }
        }
    });
    address
}

/// Failure: a store that sends a body or a list without end fills the memory of the tool, or keeps it forever.
#[test]
fn store_without_end_is_given_up() {
    let newer = write_file("no-end.json", &sound_config(5).to_string());
    let page = r#"{"entries":[{"key":"op/a","value":"","revision":1}],"hasMore":true,"asOf":1}"#;
    let length = "HTTP/1.1 200 OK\r\nContent-Length: 76\r\n\r\n";
    let endless = store_that_sends("HTTP/1.1 200 OK\r\n\r\n", page, usize::MAX);
    let repeating = store_that_sends(length, page, 1);
    let run = |store: SocketAddr| check(&["catalog", "--store", &store.to_string()], &[&newer]);

    let (endless, repeating) = (run(endless), run(repeating));

    assert_eq!((endless.0, repeating.0), (Some(3), Some(3)));
    let problems =
        [endless.2, repeating.2].map(|p| p.split_once(": ").map(|(_, why)| why.to_owned()));
    insta::assert_snapshot!(problems.map(Option::unwrap_or_default).concat(), @r"
    unreadable 2008: a response of over 4194304 bytes
    unreadable 2008: the list of `op/` doesn't go on
    ");
}
