//! Counters and latency histograms, served as text.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

/// Upper bounds of the histogram's buckets in milliseconds.
const BOUNDS: [u64; 12] = [5, 10, 25, 50, 100, 200, 300, 500, 800, 1_500, 3_000, 10_000];

#[derive(Debug, Default, Clone)]
struct Histogram {
    buckets: [u64; BOUNDS.len()],
    count: u64,
    sum: f64,
}

/// The counters of one process.
#[derive(Debug, Default)]
pub struct Meters {
    /// Connections of callers that are open.
    pub connections: Cell<usize>,
    /// New connections to servers.
    pub connects: Cell<u64>,
    /// Calls to the store, by outcome.
    store: RefCell<BTreeMap<&'static str, u64>>,
    /// Requests by service and outcome.
    requests: RefCell<BTreeMap<(Box<str>, &'static str), u64>>,
    /// Second sends by service.
    resends: RefCell<BTreeMap<Box<str>, u64>>,
    /// Time to the begin of the answer, by service.
    begins: RefCell<BTreeMap<Box<str>, Histogram>>,
}

impl Meters {
    /// A request ended.
    pub fn ended(&self, service: &str, outcome: &'static str) {
        *self
            .requests
            .borrow_mut()
            .entry((service.into(), outcome))
            .or_default() += 1;
    }

    /// A request was sent once more.
    pub fn resent(&self, service: &str) {
        *self.resends.borrow_mut().entry(service.into()).or_default() += 1;
    }

    /// The store was called.
    pub fn store(&self, outcome: &'static str) {
        *self.store.borrow_mut().entry(outcome).or_default() += 1;
    }

    /// An answer began `time` after its request came.
    pub fn began(&self, service: &str, time: Duration) {
        let millis = time.as_millis() as u64;
        let mut begins = self.begins.borrow_mut();
        let histogram = begins.entry(service.into()).or_default();
        for (bucket, bound) in histogram.buckets.iter_mut().zip(BOUNDS) {
            *bucket += u64::from(millis <= bound);
        }
        histogram.count += 1;
        histogram.sum += time.as_secs_f64() * 1000.0;
    }

    /// All of them in the text format of Prometheus; `gauges` are added as they stand.
    pub fn text(&self, gauges: &[(&str, f64)]) -> String {
        let mut text = String::new();
        // Writing to memory can't fail.
        for ((service, outcome), count) in &*self.requests.borrow() {
            let _ok = writeln!(
                text,
                "hawthornmill_requests_total{{service=\"{service}\",outcome=\"{outcome}\"}} {count}"
            );
        }
        for (service, count) in &*self.resends.borrow() {
            let _ok = writeln!(
                text,
                "hawthornmill_resends_total{{service=\"{service}\"}} {count}"
            );
        }
        for (outcome, count) in &*self.store.borrow() {
            let _ok = writeln!(
                text,
                "hawthornmill_store_calls_total{{outcome=\"{outcome}\"}} {count}"
            );
        }
        for (service, h) in &*self.begins.borrow() {
            let name = "hawthornmill_begin_milliseconds";
            for (bucket, bound) in h.buckets.iter().zip(BOUNDS) {
                let _ok = writeln!(
                    text,
                    "{name}_bucket{{service=\"{service}\",le=\"{bound}\"}} {bucket}"
                );
            }
            let _ok = writeln!(
                text,
                "{name}_bucket{{service=\"{service}\",le=\"+Inf\"}} {}",
                h.count
            );
            let _ok = writeln!(text, "{name}_count{{service=\"{service}\"}} {}", h.count);
            let _ok = writeln!(text, "{name}_sum{{service=\"{service}\"}} {}", h.sum);
        }
        let fixed = [
            ("connections", self.connections.get() as f64),
            ("connects_total", self.connects.get() as f64),
        ];
        for (name, value) in fixed.iter().chain(gauges) {
            let _ok = writeln!(text, "hawthornmill_{name} {value}");
        }
        text
    }
}
