//! Settings of one router process, read from an INI file and checked whole.

use std::path::Path;
use std::time::Duration;

use hawthornmill::blackboard::{Policy, Tuning};
use hawthornmill::ini::{Diagnostic, Reader, Section};
use hawthornmill::wire::message::Contact;

const SECTIONS: &[&str] = &[
    "instance",
    "platform",
    "peers",
    "scheduling",
    "limits",
    "discovery",
    "telemetry",
    "status",
];
const MOST_COUNT: f64 = 1e9;

/// Bounds on what callers may send and what is kept for them.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Bytes of a request body.
    pub body: usize,
    /// Bytes of all request headers.
    pub headers: usize,
    /// Keys of calls that must not repeat.
    pub keys: usize,
    /// Bytes of answers kept for repeated keys.
    pub kept: usize,
}

/// What discovery promises.
#[derive(Debug, Clone, PartialEq)]
pub struct Discovery {
    /// Time for which callers may use an answer.
    pub ttl: Duration,
    /// Time for which callers may use a key prefix.
    pub keys: Duration,
    /// Longest time that a leaving process waits for calls in flight.
    pub drain: Duration,
}

/// Logs, spans and metrics.
#[derive(Debug, Clone, PartialEq)]
pub struct TelemetrySettings {
    /// Least severe level that is logged.
    pub level: log::LevelFilter,
    /// Part of the traces that begin here which is recorded.
    pub spans: f64,
    /// Time between two lines of the same metric.
    pub metrics: Duration,
}

/// Settings of one router process.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// How this instance is reached.
    pub contact: Contact,
    /// `IP:port` of the platform.
    pub platform: Box<str>,
    /// Key of the peers' frames and of key prefixes.
    pub key: [u8; 32],
    /// Time between heartbeats.
    pub heartbeat: Duration,
    /// Time between load readings of a server.
    pub load: Duration,
    /// Durations and bounds of the decisions.
    pub tuning: Tuning,
    /// Bounds for callers.
    pub limits: Limits,
    /// What discovery promises.
    pub discovery: Discovery,
    /// Logs, spans and metrics.
    pub telemetry: TelemetrySettings,
    /// BLAKE3 hash of the operators' token; without one the status page shows no accounts.
    pub operators: Option<[u8; 32]>,
}

impl Settings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    /// Every fault of the file.
    pub fn load(path: &Path) -> Result<Self, Vec<Diagnostic>> {
        hawthornmill_process::settings::load(path, Self::parse)
    }

    /// Checks the text of a settings file.
    ///
    /// # Errors
    /// Every fault of the text.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Diagnostic>> {
        let (mut reader, sections) = Reader::open(file, text, SECTIONS)?;
        let pick = |kind: &str| Section::first_or_empty(&sections, kind);
        let settings = Self {
            contact: contact(&mut reader, &pick("instance")),
            platform: platform(&mut reader, &pick("platform")),
            key: key(&mut reader, &pick("peers")),
            heartbeat: heartbeat(&mut reader, &pick("peers")),
            load: reader.millis(&pick("scheduling"), "load_ms", 250.0),
            tuning: tuning(&mut reader, &pick("scheduling"), &pick("limits")),
            limits: limits(&mut reader, &pick("limits")),
            discovery: discovery(&mut reader, &pick("discovery")),
            telemetry: telemetry(&mut reader, &pick("telemetry")),
            operators: operators(&mut reader, &pick("status")),
        };
        reader.finish(settings)
    }
}

fn count(reader: &mut Reader<'_>, section: &Section, key: &str, default: f64) -> usize {
    reader.number_in(section, key, default, 1.0..=MOST_COUNT) as usize
}

fn address(reader: &mut Reader<'_>, section: &Section, key: &str) -> Box<str> {
    let address = reader.address(section, key);
    address.map_or_else(|| "".into(), |a| a.to_string().into())
}

fn contact(reader: &mut Reader<'_>, section: &Section) -> Contact {
    reader.reject_unknown_keys(section, &["name", "domain", "region", "http", "peer"]);
    let mut word = |key| reader.required(section, key).unwrap_or_default();
    let (name, domain, region) = (word("name"), word("domain"), word("region"));
    Contact {
        name,
        domain,
        region,
        http: address(reader, section, "http"),
        peer: address(reader, section, "peer"),
    }
}

fn platform(reader: &mut Reader<'_>, section: &Section) -> Box<str> {
    reader.reject_unknown_keys(section, &["address"]);
    address(reader, section, "address")
}

fn key(reader: &mut Reader<'_>, section: &Section) -> [u8; 32] {
    reader.reject_unknown_keys(section, &["key", "heartbeat_ms"]);
    if reader.required(section, "key").is_none() {
        return [0; 32];
    }
    reader.hex_bytes(section, "key").unwrap_or_default()
}

fn operators(reader: &mut Reader<'_>, section: &Section) -> Option<[u8; 32]> {
    reader.reject_unknown_keys(section, &["token"]);
    reader.hex_bytes(section, "token")
}

fn heartbeat(reader: &mut Reader<'_>, section: &Section) -> Duration {
    reader.millis(section, "heartbeat_ms", 100.0)
}

fn tuning(reader: &mut Reader<'_>, section: &Section, limits: &Section) -> Tuning {
    let known = [
        "policy",
        "rebuild_ms",
        "report_ms",
        "penalty_ms",
        "pause_ms",
        "confirm_ms",
        "load_ms",
        "lag_cap",
        "cross_bytes",
    ];
    reader.reject_unknown_keys(section, &known);
    let base = Tuning::default();
    Tuning {
        policy: reader.choice(
            section,
            "policy",
            &[("pooled", Policy::Pooled), ("static", Policy::Static)],
        ),
        rebuild: reader.millis(section, "rebuild_ms", ms(base.rebuild)),
        report: reader.millis(section, "report_ms", ms(base.report)),
        penalty: reader.millis(section, "penalty_ms", ms(base.penalty)),
        pause: reader.millis(section, "pause_ms", ms(base.pause)),
        confirm: reader.millis(section, "confirm_ms", ms(base.confirm)),
        max_waiting: count(reader, limits, "max_waiting", base.max_waiting as f64),
        max_bytes: count(reader, limits, "max_bytes", base.max_bytes as f64),
        lag_cap: reader.number_in(section, "lag_cap", base.lag_cap, 0.1..=1e6),
        cross_bytes: reader.number_in(section, "cross_bytes", base.cross_bytes, 0.0..=1e12),
    }
}

fn ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

fn limits(reader: &mut Reader<'_>, section: &Section) -> Limits {
    let known = [
        "max_waiting",
        "max_bytes",
        "body_bytes",
        "header_bytes",
        "keys",
        "kept_bytes",
    ];
    reader.reject_unknown_keys(section, &known);
    Limits {
        body: count(reader, section, "body_bytes", 4_194_304.0),
        headers: count(reader, section, "header_bytes", 16_384.0),
        keys: count(reader, section, "keys", 200_000.0),
        kept: count(reader, section, "kept_bytes", 67_108_864.0),
    }
}

fn discovery(reader: &mut Reader<'_>, section: &Section) -> Discovery {
    reader.reject_unknown_keys(section, &["ttl_ms", "key_ttl_ms", "drain_ms"]);
    Discovery {
        ttl: reader.millis(section, "ttl_ms", 3000.0),
        keys: reader.millis(section, "key_ttl_ms", 120_000.0),
        drain: reader.millis(section, "drain_ms", 60_000.0),
    }
}

fn telemetry(reader: &mut Reader<'_>, section: &Section) -> TelemetrySettings {
    reader.reject_unknown_keys(section, &["level", "spans", "metrics_ms"]);
    TelemetrySettings {
        level: reader.parse_or(section, "level", log::LevelFilter::Info),
        spans: reader.number_in(section, "spans", 0.0, 0.0..=1.0),
        metrics: reader.millis(section, "metrics_ms", 10_000.0),
    }
}
