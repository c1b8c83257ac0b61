//! Settings of one router process, parsed from an INI file; every fault is reported at once.

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
const MAX_COUNT: f64 = 1e9;

/// Limits on requests of callers and on the state that is kept for them.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Largest total size of the request headers in bytes.
    pub header_bytes: usize,
    /// Most idempotency keys that are kept.
    pub max_keys: usize,
    /// Most bytes of responses that are kept for repeated keys.
    pub kept_bytes: usize,
}

/// Guarantees that discovery gives to callers.
#[derive(Debug, Clone, PartialEq)]
pub struct Discovery {
    /// Time for which callers may cache a discovery response.
    pub ttl: Duration,
    /// Time for which callers may use a key prefix.
    pub key_ttl: Duration,
    /// Longest time that a leaving process waits for calls in flight.
    pub drain_timeout: Duration,
}

/// Settings of logs, spans and metrics.
#[derive(Debug, Clone, PartialEq)]
pub struct TelemetrySettings {
    /// Least severe level that is logged.
    pub level: log::LevelFilter,
    /// Fraction of the traces starting at this instance that is recorded.
    pub sample_ratio: f64,
    /// Time between two exports of the same metric.
    pub metrics_interval: Duration,
}

/// Settings of one router process.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name, place and addresses of this instance.
    pub contact: Contact,
    /// Address of the platform as `IP:port`.
    pub platform: Box<str>,
    /// Secret key that authenticates frames between peers, and key prefixes.
    pub key: [u8; 32],
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Time between two polls of a server's load.
    pub load_interval: Duration,
    /// Durations and bounds of the controllers.
    pub tuning: Tuning,
    /// Limits on requests of callers.
    pub limits: Limits,
    /// Guarantees of discovery.
    pub discovery: Discovery,
    /// Logs, spans and metrics.
    pub telemetry: TelemetrySettings,
    /// BLAKE3 hash of the operators' token; without it the status page shows no accounts.
    pub token_hash: Option<[u8; 32]>,
}

impl Settings {
    /// Reads and parses the file at `path`.
    ///
    /// # Errors
    /// Returns every fault in the file.
    pub fn load(path: &Path) -> Result<Self, Vec<Diagnostic>> {
        hawthornmill_process::settings::load(path, Self::parse)
    }

    /// Parses the text of a settings file; `file` is its name in error messages.
    ///
    /// # Errors
    /// Returns every fault in the text.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Diagnostic>> {
        let (mut reader, sections) = Reader::open(file, text, SECTIONS)?;
        let section = |kind: &str| Section::first_or_empty(&sections, kind);
        let settings = Self {
            contact: contact(&mut reader, &section("instance")),
            platform: platform_address(&mut reader, &section("platform")),
            key: peer_key(&mut reader, &section("peers")),
            heartbeat_interval: heartbeat_interval(&mut reader, &section("peers")),
            load_interval: reader.millis(&section("scheduling"), "load_ms", 250.0),
            tuning: tuning(&mut reader, &section("scheduling"), &section("limits")),
            limits: limits(&mut reader, &section("limits")),
            discovery: discovery(&mut reader, &section("discovery")),
            telemetry: telemetry(&mut reader, &section("telemetry")),
            token_hash: token_hash(&mut reader, &section("status")),
        };
        reader.finish(settings)
    }
}

fn count(reader: &mut Reader<'_>, section: &Section, key: &str, default: f64) -> usize {
    reader.number_in(section, key, default, 1.0..=MAX_COUNT) as usize
}

fn address(reader: &mut Reader<'_>, section: &Section, key: &str) -> Box<str> {
    let address = reader.address(section, key);
    address.map_or_else(|| "".into(), |a| a.to_string().into())
}

fn contact(reader: &mut Reader<'_>, section: &Section) -> Contact {
    reader.reject_unknown_keys(section, &["name", "domain", "region", "http", "peer"]);
    let mut text = |key| reader.required(section, key).unwrap_or_default();
    let (name, domain, region) = (text("name"), text("domain"), text("region"));
    Contact {
        name,
        domain,
        region,
        http: address(reader, section, "http"),
        peer: address(reader, section, "peer"),
    }
}

fn platform_address(reader: &mut Reader<'_>, section: &Section) -> Box<str> {
    reader.reject_unknown_keys(section, &["address"]);
    address(reader, section, "address")
}

fn peer_key(reader: &mut Reader<'_>, section: &Section) -> [u8; 32] {
    reader.reject_unknown_keys(section, &["key", "heartbeat_ms"]);
    if reader.required(section, "key").is_none() {
        return [0; 32];
    }
    reader.hex_bytes(section, "key").unwrap_or_default()
}

fn token_hash(reader: &mut Reader<'_>, section: &Section) -> Option<[u8; 32]> {
    reader.reject_unknown_keys(section, &["token"]);
    reader.hex_bytes(section, "token")
}

fn heartbeat_interval(reader: &mut Reader<'_>, section: &Section) -> Duration {
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
        rebuild: reader.millis(section, "rebuild_ms", as_millis(base.rebuild)),
        report: reader.millis(section, "report_ms", as_millis(base.report)),
        penalty: reader.millis(section, "penalty_ms", as_millis(base.penalty)),
        pause: reader.millis(section, "pause_ms", as_millis(base.pause)),
        confirm: reader.millis(section, "confirm_ms", as_millis(base.confirm)),
        max_waiting: count(reader, limits, "max_waiting", base.max_waiting as f64),
        max_bytes: count(reader, limits, "max_bytes", base.max_bytes as f64),
        lag_cap: reader.number_in(section, "lag_cap", base.lag_cap, 0.1..=1e6),
        cross_bytes: reader.number_in(section, "cross_bytes", base.cross_bytes, 0.0..=1e12),
    }
}

fn as_millis(duration: Duration) -> f64 {
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
        body_bytes: count(reader, section, "body_bytes", 4_194_304.0),
        header_bytes: count(reader, section, "header_bytes", 16_384.0),
        max_keys: count(reader, section, "keys", 200_000.0),
        kept_bytes: count(reader, section, "kept_bytes", 67_108_864.0),
    }
}

fn discovery(reader: &mut Reader<'_>, section: &Section) -> Discovery {
    reader.reject_unknown_keys(section, &["ttl_ms", "key_ttl_ms", "drain_ms"]);
    Discovery {
        ttl: reader.millis(section, "ttl_ms", 3000.0),
        key_ttl: reader.millis(section, "key_ttl_ms", 120_000.0),
        drain_timeout: reader.millis(section, "drain_ms", 60_000.0),
    }
}

fn telemetry(reader: &mut Reader<'_>, section: &Section) -> TelemetrySettings {
    reader.reject_unknown_keys(section, &["level", "spans", "metrics_ms"]);
    TelemetrySettings {
        level: reader.parse_or(section, "level", log::LevelFilter::Info),
        sample_ratio: reader.number_in(section, "spans", 0.0, 0.0..=1.0),
        metrics_interval: reader.millis(section, "metrics_ms", 10_000.0),
    }
}
