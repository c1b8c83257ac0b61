//! Settings of one gateway process, read from an INI file and checked whole.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use hawthornmill::codes::Code;
use hawthornmill::ident::{DomainId, RegionId};
use hawthornmill::ini::{Fault, Reader, Section};
use hawthornmill::routing::retry_budget::RetryBudgetConfig;

const SECTIONS: &[&str] = &[
    "instance",
    "listen",
    "peers",
    "domain",
    "store",
    "promises",
    "telemetry",
];

/// Addresses that this process serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listen {
    /// Callers' requests.
    pub front: SocketAddr,
    /// Whether the process takes requests.
    pub ready: SocketAddr,
    /// Which addresses callers should use.
    pub directory: SocketAddr,
    /// Other instances, UDP and TCP.
    pub peer: SocketAddr,
    /// Metrics; none where they are not served.
    pub metrics: Option<SocketAddr>,
}

/// What operators were promised of this deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Promises {
    /// Time in which a published catalog is in force everywhere.
    pub apply: Duration,
    /// Time from the signal to stop to the end of the process.
    pub grace: Duration,
    /// Time for which callers may use a directory's answer.
    pub ttl: Duration,
    /// Second sends over the fleet.
    pub resends: RetryBudgetConfig,
}

/// Settings of one gateway process.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the instance.
    pub name: Box<str>,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// Region of each failure domain.
    pub regions: Vec<(DomainId, RegionId)>,
    /// Addresses to serve.
    pub listen: Listen,
    /// Peer addresses of a few other instances, maybe out of date.
    pub seeds: Vec<SocketAddr>,
    /// Key of the frames between instances.
    pub key: [u8; 32],
    /// Time between two pieces of news to the others.
    pub news: Duration,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// What was promised.
    pub promises: Promises,
    /// Least severe level that is logged.
    pub level: log::LevelFilter,
}

impl Settings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    /// Every fault of the file.
    pub fn load(path: &Path) -> Result<Self, Vec<Fault>> {
        hawthornmill_process::settings::load(path, Self::parse)
    }

    /// Checks the text of a settings file.
    ///
    /// # Errors
    /// Every fault of the text.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Fault>> {
        let (mut reader, sections) = Reader::open(file, text, SECTIONS)?;
        let one = |kind: &str| Section::first(&sections, kind);
        let listen = listen(&mut reader, &one("listen"));
        let instance = one("instance");
        reader.known_keys(&instance, &["name", "domain", "region"]);
        let mut word = |key| reader.need(&instance, key).unwrap_or_default();
        let (name, domain, region) = (word("name"), word("domain"), word("region"));
        let domains: Vec<&Section> = sections.iter().filter(|s| &*s.kind == "domain").collect();
        let peers = one("peers");
        reader.known_keys(&peers, &["seeds", "key", "news_ms"]);
        let settings = Self {
            name,
            domain: DomainId::of(&domain),
            region: RegionId::of(&region),
            regions: domains
                .iter()
                .map(|s| domain_region(&mut reader, s))
                .collect(),
            listen,
            seeds: seeds(&mut reader, &peers, listen.peer.port()),
            key: key(&mut reader, &peers),
            news: reader.millis(&peers, "news_ms", 200.0),
            store: store(&mut reader, &one("store")),
            promises: promises(&mut reader, &one("promises")),
            level: level(&mut reader, &one("telemetry")),
        };
        reader.finish(settings)
    }
}

fn listen(reader: &mut Reader<'_>, section: &Section) -> Listen {
    reader.known_keys(section, &["front", "ready", "directory", "peer", "metrics"]);
    let metrics = section.get("metrics").is_some();
    Listen {
        front: address(reader, section, "front"),
        ready: address(reader, section, "ready"),
        directory: address(reader, section, "directory"),
        peer: address(reader, section, "peer"),
        metrics: metrics.then(|| address(reader, section, "metrics")),
    }
}

/// An address, or one that nobody has where there is a fault.
fn address(reader: &mut Reader<'_>, section: &Section, key: &str) -> SocketAddr {
    let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
    reader.address(section, key).unwrap_or(nowhere)
}

fn domain_region(reader: &mut Reader<'_>, section: &Section) -> (DomainId, RegionId) {
    reader.known_keys(section, &["region"]);
    let region = reader.need(section, "region").unwrap_or_default();
    (DomainId::of(&section.name), RegionId::of(&region))
}

/// The seeds' machines at this process's own peer port: instances use the same port everywhere.
fn seeds(reader: &mut Reader<'_>, section: &Section, port: u16) -> Vec<SocketAddr> {
    let Some(entry) = section.get("seeds") else {
        return Vec::new();
    };
    let mut seeds = Vec::new();
    for word in entry
        .value
        .split(',')
        .map(str::trim)
        .filter(|w| !w.is_empty())
    {
        match word.parse::<SocketAddr>() {
            Ok(address) => seeds.push(SocketAddr::new(address.ip(), port)),
            Err(_unreadable) => {
                let what = format!("`seeds` are IP:port, not `{word}`");
                reader.fault(Code::BadValue, entry.line, 0, what);
            }
        }
    }
    seeds
}

fn key(reader: &mut Reader<'_>, section: &Section) -> [u8; 32] {
    if reader.need(section, "key").is_none() {
        return [0; 32];
    }
    reader.digits(section, "key").unwrap_or_default()
}

fn store(reader: &mut Reader<'_>, section: &Section) -> SocketAddr {
    reader.known_keys(section, &["address"]);
    address(reader, section, "address")
}

fn seconds(reader: &mut Reader<'_>, section: &Section, key: &str, default: f64) -> Duration {
    Duration::from_secs_f64(reader.bounded(section, key, default, 0.01..=3_600.0))
}

fn promises(reader: &mut Reader<'_>, section: &Section) -> Promises {
    let known = [
        "apply_ms",
        "grace_s",
        "ttl_s",
        "resend_ratio",
        "resend_extra",
        "resend_window_s",
    ];
    reader.known_keys(section, &known);
    Promises {
        apply: reader.millis(section, "apply_ms", 3_000.0),
        grace: seconds(reader, section, "grace_s", 8.0),
        ttl: seconds(reader, section, "ttl_s", 1.0),
        resends: RetryBudgetConfig {
            ratio: reader.bounded(section, "resend_ratio", 0.1, 0.0..=1.0),
            extra: reader.bounded(section, "resend_extra", 20.0, 0.0..=1e6),
            window: seconds(reader, section, "resend_window_s", 10.0),
        },
    }
}

fn level(reader: &mut Reader<'_>, section: &Section) -> log::LevelFilter {
    reader.known_keys(section, &["level"]);
    let words = [
        ("info", log::LevelFilter::Info),
        ("warn", log::LevelFilter::Warn),
        ("error", log::LevelFilter::Error),
        ("debug", log::LevelFilter::Debug),
    ];
    reader.word(section, "level", &words)
}
