//! Settings of a gateway process, read from an INI file that is checked as a whole.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use hawthornmill::codes::Code;
use hawthornmill::ident::{DomainId, RegionId};
use hawthornmill::ini::{Diagnostic, Reader, Section};
use hawthornmill::quarantine::fingerprint::Fingerprint;
use hawthornmill::routing::cold_start::ColdStartTolerance;
use hawthornmill::routing::hedging::{HedgedServices, HedgingConfig};
use hawthornmill::routing::retry_budget::RetryBudgetConfig;

const SECTIONS: &[&str] = &[
    "instance",
    "listen",
    "peers",
    "domain",
    "store",
    "promises",
    "policy",
    "hedging",
    "telemetry",
];

const INSTANCE_KEYS: [&str; 7] = [
    "name",
    "domain",
    "region",
    "cores",
    "cpu_share",
    "memory_mb",
    "first_start",
];

/// Memory of an instance whose settings don't name it; the smallest instances have that much.
const DEFAULT_MEMORY_MB: f64 = 120.0;

/// Time for which a store keeps changes whose settings don't name it, in seconds.
const DEFAULT_HISTORY_S: f64 = 20.0;

/// Addresses on which this process listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Requests of clients.
    pub front: SocketAddr,
    /// Readiness checks.
    pub ready: SocketAddr,
    /// Directory queries.
    pub directory: SocketAddr,
    /// Messages of other instances, over UDP and TCP.
    pub peer: SocketAddr,
    /// Metrics, if they are served.
    pub metrics: Option<SocketAddr>,
}

/// Guarantees given for this deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Guarantees {
    /// Time within which all instances apply a published catalog.
    pub apply_time: Duration,
    /// Time from the signal to stop until the process ends.
    pub shutdown_grace: Duration,
    /// Time for which clients may cache a response of the directory.
    pub directory_ttl: Duration,
    /// Budget of the whole fleet for sending requests to another server.
    pub resend_budget: RetryBudgetConfig,
    /// How far requests to a cold server may exceed the rate of its service.
    pub cold_tolerance: ColdStartTolerance,
}

/// Settings of a gateway process.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the instance.
    pub name: Box<str>,
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Region of the instance.
    pub region: RegionId,
    /// Region of each failure domain.
    pub regions: Vec<(DomainId, RegionId)>,
    /// Name of each failure domain.
    pub domain_names: Vec<(DomainId, Box<str>)>,
    /// Processor that the process may use, in percent of a core.
    pub cpu_percent: u16,
    /// Memory that the process may use.
    pub memory_bytes: usize,
    /// The whole fleet starts for the first time.
    pub first_start: bool,
    /// Addresses on which to listen.
    pub listen: ListenAddresses,
    /// Peer addresses of a few other instances, some of which may be outdated.
    pub seeds: Vec<SocketAddr>,
    /// Key that seals the frames between instances.
    pub key: [u8; 32],
    /// Interval of reports to the other instances.
    pub report_interval: Duration,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Time for which the store usually keeps changes.
    pub store_history: Duration,
    /// Usual time between two reports of a server to the store; zero if not known.
    pub heartbeat: Duration,
    /// Time for which servers serve on after the store has accepted that they leave; zero if not known.
    pub drain_time: Duration,
    /// Guarantees given for the deployment.
    pub guarantees: Guarantees,
    /// Servers fetch cached parts of prompts from others where they can.
    pub fetches_prefixes: bool,
    /// Second copies of requests that have no answer in time.
    pub hedging: HedgingConfig,
    /// Fraction of what others get that long prompts get at least; 0 for no such aim.
    pub long_prompt_ratio: f64,
    /// Most slots of an engine for whose service there is such an aim.
    pub long_prompt_slots: u32,
    /// Requests that are never quarantined.
    pub exempt: Vec<Fingerprint>,
    /// Least severe level that is logged.
    pub level: log::LevelFilter,
}

impl Settings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    /// All faults of the file.
    pub fn load(path: &Path) -> Result<Self, Vec<Diagnostic>> {
        hawthornmill_process::settings::load(path, Self::parse)
    }

    /// Returns the name of a failure domain for logs.
    pub fn domain_name(&self, domain: DomainId) -> Box<str> {
        let known = self.domain_names.iter().find(|(id, _)| *id == domain);
        known.map_or_else(
            || format!("{:x}", domain.0).into(),
            |(_, name)| name.clone(),
        )
    }

    /// Checks the text of a settings file.
    ///
    /// # Errors
    /// All faults of the text.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Diagnostic>> {
        let (mut reader, sections) = Reader::open(file, text, SECTIONS)?;
        let one = |kind: &str| Section::first_or_empty(&sections, kind);
        let listen = listen(&mut reader, &one("listen"));
        let instance = one("instance");
        reader.reject_unknown_keys(&instance, &INSTANCE_KEYS);
        let mut required = |key| reader.required(&instance, key).unwrap_or_default();
        let (name, domain, region) = (required("name"), required("domain"), required("region"));
        let domains: Vec<&Section> = sections.iter().filter(|s| &*s.kind == "domain").collect();
        let peers = one("peers");
        reader.reject_unknown_keys(&peers, &["seeds", "key", "news_ms"]);
        let settings = Self {
            name,
            domain: DomainId::of(&domain),
            region: RegionId::of(&region),
            regions: domains
                .iter()
                .map(|s| domain_region(&mut reader, s))
                .collect(),
            domain_names: domains
                .iter()
                .map(|s| (DomainId::of(&s.name), s.name.clone()))
                .collect(),
            cpu_percent: cpu_percent(&mut reader, &instance),
            memory_bytes: memory_bytes(&mut reader, &instance),
            first_start: reader.choice(
                &instance,
                "first_start",
                &[("false", false), ("true", true)],
            ),
            listen,
            seeds: seeds(&mut reader, &peers, listen.peer.port()),
            key: key(&mut reader, &peers),
            report_interval: reader.millis(&peers, "news_ms", 200.0),
            store: store(&mut reader, &one("store")),
            store_history: seconds(&mut reader, &one("store"), "history_s", DEFAULT_HISTORY_S),
            heartbeat: optional_millis(&mut reader, &one("store"), "heartbeat_ms"),
            drain_time: optional_millis(&mut reader, &one("store"), "drain_ms"),
            guarantees: guarantees(&mut reader, &one("promises")),
            fetches_prefixes: fetches_prefixes(&mut reader, &one("policy")),
            hedging: hedging(&mut reader, &one("hedging")),
            long_prompt_ratio: long_prompt_ratio(&mut reader, &one("policy")),
            long_prompt_slots: long_prompt_slots(&mut reader, &one("policy")),
            exempt: exempt(&mut reader, &one("policy")),
            level: level(&mut reader, &one("telemetry")),
        };
        reader.finish(settings)
    }
}

/// Reads the number of cores and the share of them that the process may use.
fn cpu_percent(reader: &mut Reader<'_>, section: &Section) -> u16 {
    let cores = reader.number_in(section, "cores", 1.0, 0.01..=256.0);
    let share = reader.number_in(section, "cpu_share", 1.0, 0.01..=1.0);
    (100.0 * cores * share).round() as u16
}

/// Reads the memory that the process may use, in MiB.
fn memory_bytes(reader: &mut Reader<'_>, section: &Section) -> usize {
    let memory = reader.number_in(section, "memory_mb", DEFAULT_MEMORY_MB, 16.0..=1e6);
    (memory * f64::from(1 << 20)) as usize
}

fn listen(reader: &mut Reader<'_>, section: &Section) -> ListenAddresses {
    reader.reject_unknown_keys(section, &["front", "ready", "directory", "peer", "metrics"]);
    let metrics = section.get("metrics").is_some();
    ListenAddresses {
        front: address(reader, section, "front"),
        ready: address(reader, section, "ready"),
        directory: address(reader, section, "directory"),
        peer: address(reader, section, "peer"),
        metrics: metrics.then(|| address(reader, section, "metrics")),
    }
}

/// Reads an address; returns the unspecified one after a fault.
fn address(reader: &mut Reader<'_>, section: &Section, key: &str) -> SocketAddr {
    let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
    reader.address(section, key).unwrap_or(nowhere)
}

fn domain_region(reader: &mut Reader<'_>, section: &Section) -> (DomainId, RegionId) {
    reader.reject_unknown_keys(section, &["region"]);
    let region = reader.required(section, "region").unwrap_or_default();
    (DomainId::of(&section.name), RegionId::of(&region))
}

/// Reads the hosts of the seeds, with this process's own peer port: all instances use the same one.
fn seeds(reader: &mut Reader<'_>, section: &Section, port: u16) -> Vec<SocketAddr> {
    let Some(entry) = section.get("seeds") else {
        return Vec::new();
    };
    let mut seeds = Vec::new();
    for seed in entry
        .value
        .split(',')
        .map(str::trim)
        .filter(|w| !w.is_empty())
    {
        match seed.parse::<SocketAddr>() {
            Ok(address) => seeds.push(SocketAddr::new(address.ip(), port)),
            Err(_unreadable) => {
                let what = format!("`seeds` must be a list of IP:port, not `{seed}`");
                reader.report(Code::BadValue, entry.line, 0, what);
            }
        }
    }
    seeds
}

fn key(reader: &mut Reader<'_>, section: &Section) -> [u8; 32] {
    if reader.required(section, "key").is_none() {
        return [0; 32];
    }
    reader.hex_bytes(section, "key").unwrap_or_default()
}

fn store(reader: &mut Reader<'_>, section: &Section) -> SocketAddr {
    let known = ["address", "drain_ms", "heartbeat_ms", "history_s"];
    reader.reject_unknown_keys(section, &known);
    address(reader, section, "address")
}

/// Returns a time in milliseconds; zero where it isn't given.
fn optional_millis(reader: &mut Reader<'_>, section: &Section, key: &str) -> Duration {
    let time = reader.number_in(section, key, 0.0, 0.0..=3_600_000.0);
    Duration::from_secs_f64(time / 1_000.0)
}

fn seconds(reader: &mut Reader<'_>, section: &Section, key: &str, default: f64) -> Duration {
    Duration::from_secs_f64(reader.number_in(section, key, default, 0.01..=3_600.0))
}

fn guarantees(reader: &mut Reader<'_>, section: &Section) -> Guarantees {
    let known = [
        "apply_ms",
        "grace_s",
        "ttl_s",
        "resend_ratio",
        "resend_extra",
        "resend_window_s",
        "cold_factor",
        "cold_extra",
    ];
    reader.reject_unknown_keys(section, &known);
    Guarantees {
        apply_time: reader.millis(section, "apply_ms", 3_000.0),
        shutdown_grace: seconds(reader, section, "grace_s", 8.0),
        directory_ttl: seconds(reader, section, "ttl_s", 1.0),
        resend_budget: RetryBudgetConfig {
            ratio: reader.number_in(section, "resend_ratio", 0.1, 0.0..=1.0),
            extra: reader.number_in(section, "resend_extra", 20.0, 0.0..=1e6),
            window: seconds(reader, section, "resend_window_s", 10.0),
        },
        cold_tolerance: ColdStartTolerance {
            factor: reader.number_in(section, "cold_factor", 1.0, 0.0..=100.0),
            extra: reader.number_in(section, "cold_extra", 0.0, 0.0..=1e6),
        },
    }
}

fn fetches_prefixes(reader: &mut Reader<'_>, section: &Section) -> bool {
    reader.reject_unknown_keys(
        section,
        &[
            "fetch_prefixes",
            "long_prompt_ratio",
            "long_prompt_slots",
            "never_quarantine",
        ],
    );
    reader.choice(
        section,
        "fetch_prefixes",
        &[("true", true), ("false", false)],
    )
}

fn hedging(reader: &mut Reader<'_>, section: &Section) -> HedgingConfig {
    reader.reject_unknown_keys(section, &["share", "quantile", "after_ms", "services"]);
    let default = HedgingConfig::default();
    let services = [
        ("all", HedgedServices::All),
        ("speed_reported", HedgedServices::SpeedReported),
    ];
    let has_delay = section.get("after_ms").is_some();
    HedgingConfig {
        share: reader.number_in(section, "share", default.share, 0.0..=0.5),
        quantile: reader.number_in(section, "quantile", default.quantile, 0.5..=0.999),
        after: has_delay.then(|| reader.millis(section, "after_ms", 1.0)),
        services: reader.choice(section, "services", &services),
    }
}

fn long_prompt_ratio(reader: &mut Reader<'_>, section: &Section) -> f64 {
    reader.number_in(section, "long_prompt_ratio", 0.0, 0.0..=1.0)
}

fn long_prompt_slots(reader: &mut Reader<'_>, section: &Section) -> u32 {
    let most = f64::from(u32::MAX);
    reader.number_in(section, "long_prompt_slots", most, 1.0..=most) as u32
}

/// Reads the fingerprints of requests that are never quarantined, in hexadecimal.
fn exempt(reader: &mut Reader<'_>, section: &Section) -> Vec<Fingerprint> {
    let Some(entry) = section.get("never_quarantine") else {
        return Vec::new();
    };
    let words = entry.value.split(',').map(str::trim);
    let mut exempt = Vec::new();
    for word in words.filter(|w| !w.is_empty()) {
        if let Ok(number) = u64::from_str_radix(word, 16) {
            exempt.push(Fingerprint(number));
        } else {
            let what =
                format!("`never_quarantine` must be a list of hexadecimal numbers, not `{word}`");
            reader.report(Code::BadValue, entry.line, 0, what);
        }
    }
    exempt
}

fn level(reader: &mut Reader<'_>, section: &Section) -> log::LevelFilter {
    reader.reject_unknown_keys(section, &["level"]);
    let words = [
        ("info", log::LevelFilter::Info),
        ("warn", log::LevelFilter::Warn),
        ("error", log::LevelFilter::Error),
        ("debug", log::LevelFilter::Debug),
    ];
    reader.choice(section, "level", &words)
}
