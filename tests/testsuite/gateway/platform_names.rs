//! Names of the platform are used only in its adapter.

use std::path::{Path, PathBuf};

/// Names of the platform's wire format that no other crate may use.
const PLATFORM_NAMES: &[&str] = &[
    "HAWTHORNMILL_CONFIG",
    "Attempt-Id",
    "Deadline-Ms",
    "Expect-Instance",
    "Not-Executed",
    "Server-Stamp",
    "Server-Load",
    "Token-Usage",
    "Prompt-Prefix",
    "Length-Hint",
    "Weight-Versions",
    "Instance-Id",
    "Kv-Backup",
    "Pin-Ms",
    "pathPrefix",
    "trafficSplit",
    "maxAttempts",
    "timeoutMs",
    "targetLatencyMs",
    "gapTargetMs",
    "resumable",
    "apiKeys",
    "kvCapacity",
    "tokensPerS",
    "afterRevision",
    "waitMs",
    "hasMore",
    "asOf",
    "kv-watch",
    "kv-range",
    "kv-key",
    "op/config",
    "v1/resolve",
    "v1/report",
    "ttlS",
    "enant",
];

/// Collects all Rust files under `dir`.
fn collect_sources(dir: &Path, found: &mut Vec<PathBuf>) {
    let entries = std::fs::read_dir(dir).expect("the directory can be read");
    for entry in entries.flatten() {
        let path = entry.path();
        if path.is_dir() {
            collect_sources(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn platform_names_occur_only_in_adapter() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    for dir in ["crates", "src"] {
        collect_sources(&root.join(dir), &mut files);
    }

    let mut violations = Vec::new();
    for file in &files {
        let text = std::fs::read_to_string(file).expect("the source can be read");
        let named = PLATFORM_NAMES.iter().filter(|n| text.contains(**n));
        violations.extend(named.map(|n| format!("{}: {n}", file.display())));
    }

    assert!(files.len() > 100, "the sources were not found");
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

#[test]
fn adapter_stays_small() {
    let mut files = Vec::new();
    collect_sources(
        &Path::new(env!("CARGO_MANIFEST_DIR")).join("platform"),
        &mut files,
    );

    let lines: usize = files
        .iter()
        .map(|f| {
            std::fs::read_to_string(f)
                .expect("the source can be read")
                .lines()
                .count()
        })
        .sum();

    assert!(lines < 700, "{lines} lines");
}
