//! The platform's names stay in its adapter.

use std::path::{Path, PathBuf};

/// Names of the wire that mean nothing elsewhere in the project.
const NAMES: &[&str] = &[
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
    "ttlS",
    "enant",
];

fn sources(dir: &Path, found: &mut Vec<PathBuf>) {
    let entries = std::fs::read_dir(dir).expect("the directory can be read");
    for entry in entries.flatten() {
        let path = entry.path();
        if path.is_dir() {
            sources(&path, found);
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
        sources(&root.join(dir), &mut files);
    }

    let mut strays = Vec::new();
    for file in &files {
        let text = std::fs::read_to_string(file).expect("the source can be read");
        let named = NAMES.iter().filter(|n| text.contains(**n));
        strays.extend(named.map(|n| format!("{}: {n}", file.display())));
    }

    assert!(files.len() > 100, "the sources were not found");
    assert!(strays.is_empty(), "{}", strays.join("\n"));
}

#[test]
fn adapter_stays_small() {
    let mut files = Vec::new();
    sources(
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
