//! Who calls what, how often.

use std::time::Duration;

use hawthornmill::ini::{Diagnostic, Reader, Section, parse_sections};

/// Calls of one client account to one service.
#[derive(Debug, Clone, PartialEq)]
pub struct Caller {
    /// Account by name.
    pub account: Box<str>,
    /// Bearer token.
    pub token: Box<str>,
    /// Service by name.
    pub service: Box<str>,
    /// Path at the server: `/generate` of an engine, `/run` of a plain service.
    pub path: Box<str>,
    /// Calls a second, arriving at random.
    pub rate: f64,
    /// Calls that are kept in flight besides; 0 for none.
    pub workers: usize,
    /// Mean tokens of a call.
    pub tokens: f64,
    /// Time that the caller waits.
    pub deadline: Duration,
    /// Calls need a key and may not repeat.
    pub keyed: bool,
    /// Regions whose entries it uses; empty for all.
    pub regions: Vec<Box<str>>,
    /// Number of entries of those regions that it uses; 0 for all.
    pub entries: usize,
}

/// What a run of the load tool does.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Callers.
    pub callers: Vec<Caller>,
    /// Time during which calls are started.
    pub time: Duration,
    /// Seed of arrivals and sizes.
    pub seed: u64,
}

const KEYS: &[&str] = &[
    "account",
    "token",
    "service",
    "path",
    "rate",
    "workers",
    "tokens",
    "deadline_ms",
    "keyed",
    "regions",
    "entries",
];

/// Reads `[caller NAME]` sections.
///
/// # Errors
/// Every fault of the text.
pub fn parse(file: &str, text: &str) -> Result<Vec<Caller>, Vec<Diagnostic>> {
    let sections = parse_sections(file, text)?;
    let mut reader = Reader::new(file);
    let mut callers = Vec::new();
    for section in &sections {
        if &*section.kind == "caller" {
            callers.push(caller(&mut reader, section));
        } else {
            reader.reject_unknown_section(section, &["caller"]);
        }
    }
    if reader.diagnostics.is_empty() {
        Ok(callers)
    } else {
        Err(reader.diagnostics)
    }
}

fn caller(reader: &mut Reader<'_>, section: &Section) -> Caller {
    reader.reject_unknown_keys(section, KEYS);
    let text = |key: &str, default: &str| {
        section
            .get(key)
            .map_or_else(|| default.into(), |e| e.value.clone())
    };
    let regions: Box<str> = text("regions", "");
    let deadline = reader.number_in(section, "deadline_ms", 5000.0, 1.0..=3_600_000.0);
    Caller {
        account: text("account", &section.name),
        token: text("token", &format!("token-{}", section.name)),
        service: reader.required(section, "service").unwrap_or_default(),
        path: text("path", "/generate"),
        rate: reader.number_in(section, "rate", 0.0, 0.0..=1e6),
        workers: reader.number_in(section, "workers", 0.0, 0.0..=1e4) as usize,
        tokens: reader.number_in(section, "tokens", 64.0, 1.0..=1e6),
        deadline: Duration::from_secs_f64(deadline / 1000.0),
        keyed: reader.choice(section, "keyed", &[("no", false), ("yes", true)]),
        regions: regions
            .split(',')
            .map(str::trim)
            .filter(|r| !r.is_empty())
            .map(Into::into)
            .collect(),
        entries: reader.number_in(section, "entries", 0.0, 0.0..=1e4) as usize,
    }
}
