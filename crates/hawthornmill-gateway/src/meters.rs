//! Counters and latency histograms, in the text format of Prometheus.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the histogram's buckets in milliseconds: around the objectives of 200 to 1,000 ms.
const BOUNDS: [f64; 12] = [
    5.0, 10.0, 25.0, 50.0, 100.0, 200.0, 300.0, 500.0, 800.0, 1_500.0, 3_000.0, 10_000.0,
];

/// A name as a label's value.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Name(Box<str>);

impl EncodeLabelValue for Name {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> std::fmt::Result {
        (&*self.0).encode(encoder)
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByOutcome {
    service: Name,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByService {
    service: Name,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByCall {
    outcome: &'static str,
}

type Counts<L> = Family<L, Counter<u64, AtomicU64>>;

/// The counters of one process.
#[derive(Debug)]
pub struct Meters {
    registry: Registry,
    requests: Counts<ByOutcome>,
    resends: Counts<ByService>,
    store: Counts<ByCall>,
    connects: Counter<u64, AtomicU64>,
    turned: Counts<ByCall>,
    begins: Family<ByService, Histogram, fn() -> Histogram>,
}

impl Default for Meters {
    fn default() -> Self {
        let begins: fn() -> Histogram = || Histogram::new(BOUNDS);
        let mut meters = Self {
            registry: Registry::with_prefix("hawthornmill"),
            requests: Family::default(),
            resends: Family::default(),
            store: Family::default(),
            connects: Counter::default(),
            turned: Family::default(),
            begins: Family::new_with_constructor(begins),
        };
        let registry = &mut meters.registry;
        registry.register("requests", "Requests that ended", meters.requests.clone());
        registry.register("resends", "Second sends", meters.resends.clone());
        registry.register("store_calls", "Calls of the store", meters.store.clone());
        registry.register(
            "connects",
            "New connections to servers",
            meters.connects.clone(),
        );
        let help = "Connections turned away because the process was behind or full";
        registry.register("turned_away", help, meters.turned.clone());
        let help = "Time to the answer's begin in milliseconds";
        registry.register("begin_milliseconds", help, meters.begins.clone());
        meters
    }
}

fn by_service(service: &str) -> ByService {
    ByService {
        service: Name(service.into()),
    }
}

impl Meters {
    /// A request ended.
    pub fn ended(&self, service: &str, outcome: &'static str) {
        let service = Name(service.into());
        self.requests
            .get_or_create(&ByOutcome { service, outcome })
            .inc();
    }

    /// A request was sent once more.
    pub fn resent(&self, service: &str) {
        self.resends.get_or_create(&by_service(service)).inc();
    }

    /// The store was called.
    pub fn store(&self, outcome: &'static str) {
        self.store.get_or_create(&ByCall { outcome }).inc();
    }

    /// A new connection to a server was made.
    pub fn connected(&self) {
        self.connects.inc();
    }

    /// A connection was turned away.
    pub fn turned_away(&self, outcome: &'static str) {
        self.turned.get_or_create(&ByCall { outcome }).inc();
    }

    /// An answer began `time` after its request came.
    pub fn began(&self, service: &str, time: Duration) {
        let millis = time.as_secs_f64() * 1000.0;
        self.begins
            .get_or_create(&by_service(service))
            .observe(millis);
    }

    /// All of them as text, and `gauges`, each with its name and value.
    pub fn text(&self, gauges: &[(&'static str, &'static str, i64)]) -> String {
        let mut levels = Registry::with_prefix("hawthornmill");
        for (name, help, value) in gauges {
            let gauge = Gauge::<i64>::default();
            gauge.set(*value);
            levels.register(*name, *help, gauge);
        }
        let (mut counts, mut text) = (String::new(), String::new());
        // Writing to memory can't fail.
        let _counts = encode(&mut counts, &self.registry);
        let _levels = encode(&mut text, &levels);
        // Each part ends with a line that says so; only the last one may stay.
        let end = counts.rfind("# EOF").unwrap_or(counts.len());
        counts.truncate(end);
        counts + &text
    }
}
