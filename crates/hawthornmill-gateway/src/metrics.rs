//! Counters and latency histograms, in the text format of Prometheus.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use hawthornmill::routing::hedging::Withheld;
use hawthornmill::routing::request::Cause;
use hawthornmill::routing::unmet_demand::UnmetReason;
use hawthornmill::routing::usage::ShareStatus;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::proxy::reservation::ReservationError;
use crate::proxy::response_limits::CutReason;

/// Upper bounds of the histogram buckets; latency objectives are between 200 and 1,000 ms.
const BUCKET_BOUNDS_MS: [f64; 12] = [
    5.0, 10.0, 25.0, 50.0, 100.0, 200.0, 300.0, 500.0, 800.0, 1_500.0, 3_000.0, 10_000.0,
];

/// The name of a service as the value of a label.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ServiceName(Box<str>);

impl EncodeLabelValue for ServiceName {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> std::fmt::Result {
        (&*self.0).encode(encoder)
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    service: ServiceName,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: ServiceName,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabels {
    service: ServiceName,
    cause: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceReasonLabels {
    service: ServiceName,
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct UnmetLabels {
    standing: &'static str,
    why: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabels {
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SourceLabels {
    source: &'static str,
}

type CounterFamily<L> = Family<L, Counter<u64, AtomicU64>>;

/// The counters of a process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: CounterFamily<RequestLabels>,
    refusals: CounterFamily<CauseLabels>,
    not_ready: CounterFamily<OutcomeLabels>,
    begun_tokens: CounterFamily<ServiceLabels>,
    unmet_tokens: Family<UnmetLabels, Gauge>,
    resends: CounterFamily<ServiceLabels>,
    hedges_sent: CounterFamily<ServiceLabels>,
    hedges_won: CounterFamily<ServiceLabels>,
    hedges_withheld: CounterFamily<ServiceReasonLabels>,
    hedge_percent: Family<ServiceLabels, Gauge<f64, AtomicU64>>,
    store_calls: CounterFamily<OutcomeLabels>,
    connects: Counter<u64, AtomicU64>,
    server_crashes: Counter<u64, AtomicU64>,
    runs_doubted: CounterFamily<ReasonLabels>,
    runs_asked: Counter<u64, AtomicU64>,
    unreadable_figures: Counter<u64, AtomicU64>,
    unreadable_registrations: Counter<u64, AtomicU64>,
    cuts: CounterFamily<ReasonLabels>,
    memory_refusals: CounterFamily<ReasonLabels>,
    rejected: CounterFamily<OutcomeLabels>,
    take_ups: CounterFamily<SourceLabels>,
    datings: CounterFamily<SourceLabels>,
    take_up_refusals: CounterFamily<ReasonLabels>,
    resumptions: CounterFamily<OutcomeLabels>,
    response_starts: Family<ServiceLabels, Histogram, fn() -> Histogram>,
}

impl Default for Metrics {
    fn default() -> Self {
        let response_starts: fn() -> Histogram = || Histogram::new(BUCKET_BOUNDS_MS);
        let mut metrics = Self {
            registry: Registry::with_prefix("hawthornmill"),
            requests: Family::default(),
            refusals: Family::default(),
            not_ready: Family::default(),
            begun_tokens: Family::default(),
            unmet_tokens: Family::default(),
            resends: Family::default(),
            hedges_sent: Family::default(),
            hedges_won: Family::default(),
            hedges_withheld: Family::default(),
            hedge_percent: Family::default(),
            store_calls: Family::default(),
            connects: Counter::default(),
            server_crashes: Counter::default(),
            runs_doubted: Family::default(),
            runs_asked: Counter::default(),
            unreadable_figures: Counter::default(),
            unreadable_registrations: Counter::default(),
            cuts: Family::default(),
            memory_refusals: Family::default(),
            rejected: Family::default(),
            take_ups: Family::default(),
            datings: Family::default(),
            take_up_refusals: Family::default(),
            resumptions: Family::default(),
            response_starts: Family::new_with_constructor(response_starts),
        };
        let registry = &mut metrics.registry;
        registry.register("requests", "Requests that ended", metrics.requests.clone());
        let help = "Requests refused by the scheduler, by cause";
        registry.register("refusals", help, metrics.refusals.clone());
        let help = "Requests refused because the instance could not serve yet or any more";
        registry.register("not_ready", help, metrics.not_ready.clone());
        let help = "Prompt tokens of requests that were sent to a server, once each";
        registry.register("begun_tokens", help, metrics.begun_tokens.clone());
        let help = "Tokens of requests that weren't sent when they arrived, by standing and reason";
        registry.register("unmet_tokens", help, metrics.unmet_tokens.clone());
        registry.register("resends", "Second sends", metrics.resends.clone());
        let help = "Second copies of requests that had no answer in time";
        registry.register("hedges_sent", help, metrics.hedges_sent.clone());
        let help = "Second copies that answered first";
        registry.register("hedges_won", help, metrics.hedges_won.clone());
        let help = "Second copies that were due and not sent, by reason";
        registry.register("hedges_withheld", help, metrics.hedges_withheld.clone());
        let help = "Second copies in percent of the requests of the last window";
        registry.register("hedge_extra_percent", help, metrics.hedge_percent.clone());
        registry.register(
            "store_calls",
            "Calls of the store",
            metrics.store_calls.clone(),
        );
        registry.register(
            "connects",
            "New connections to servers",
            metrics.connects.clone(),
        );
        let help = "Servers that crashed while they ran requests of this instance";
        registry.register("server_crashes", help, metrics.server_crashes.clone());
        let help = "Runs of servers whose version came in doubt, by reason";
        registry.register("runs_doubted", help, metrics.runs_doubted.clone());
        let help = "Questions to servers for the start of their run";
        registry.register("runs_asked", help, metrics.runs_asked.clone());
        let help = "Figures of servers' load reports that could not be read";
        registry.register(
            "unreadable_figures",
            help,
            metrics.unreadable_figures.clone(),
        );
        let help =
            "Entries among those of servers that named no server to use, each time they were read";
        let unreadable = metrics.unreadable_registrations.clone();
        registry.register("unreadable_registrations", help, unreadable);
        let help = "Connections turned away because the process was behind or full";
        registry.register("turned_away", help, metrics.rejected.clone());
        let help = "Connections to servers that were closed because of what came, by reason";
        registry.register("responses_cut", help, metrics.cuts.clone());
        let help = "Requests refused for lack of memory, by reason";
        registry.register("memory_refusals", help, metrics.memory_refusals.clone());
        let help = "Streams of earlier attempts that were taken up, by source of their version";
        registry.register("stream_take_ups", help, metrics.take_ups.clone());
        let help = "Streams without a record that clients asked to go on, by what dates them";
        registry.register("stream_datings", help, metrics.datings.clone());
        let help = "Streams that were not taken up since their version is not known, by reason";
        let refusals = metrics.take_up_refusals.clone();
        registry.register("stream_take_up_refusals", help, refusals);
        let help = "Streams that were sent to another server after their first event, by outcome";
        registry.register("stream_resumptions", help, metrics.resumptions.clone());
        let help = "Time to the answer's begin in milliseconds";
        registry.register("begin_milliseconds", help, metrics.response_starts.clone());
        metrics
    }
}

fn service_labels(service: &str) -> ServiceLabels {
    ServiceLabels {
        service: ServiceName(service.into()),
    }
}

impl Metrics {
    /// Counts a server that ended while it ran requests.
    pub fn server_crashed(&self) {
        self.server_crashes.inc();
    }

    /// Counts a run of a server whose version came in doubt.
    pub fn run_doubted(&self, reason: &'static str) {
        self.runs_doubted
            .get_or_create(&ReasonLabels { reason })
            .inc();
    }

    /// Counts a question to a server for the start of its run.
    pub fn run_asked(&self) {
        self.runs_asked.inc();
    }

    /// Counts figures of a server's load report that could not be read.
    pub fn figures_unreadable(&self, count: u8) {
        self.unreadable_figures.inc_by(count.into());
    }

    /// Counts entries among those of servers that name no server to use.
    pub fn registrations_unreadable(&self, count: u64) {
        self.unreadable_registrations.inc_by(count);
    }

    /// Counts a request that ended.
    pub fn request_ended(&self, service: &str, outcome: &'static str) {
        let service = ServiceName(service.into());
        self.requests
            .get_or_create(&RequestLabels { service, outcome })
            .inc();
    }

    /// Counts a request that the scheduler refused.
    pub fn request_refused(&self, service: &str, cause: Cause) {
        let service = ServiceName(service.into());
        let cause = cause.name();
        self.refusals
            .get_or_create(&CauseLabels { service, cause })
            .inc();
    }

    /// Counts a request that was refused because the instance could not serve it yet, or any more.
    pub fn request_not_ready(&self, outcome: &'static str) {
        self.not_ready
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    /// Counts the prompt tokens of a request that is sent to its first server.
    pub fn request_begun(&self, service: &str, tokens: u32) {
        self.begun_tokens
            .get_or_create(&service_labels(service))
            .inc_by(tokens.into());
    }

    /// Sets the tokens of all requests of a status that were not sent when they arrived.
    pub fn set_unmet(&self, status: ShareStatus, reason: UnmetReason, tokens: u64) {
        let labels = UnmetLabels {
            standing: status.name(),
            why: reason.name(),
        };
        self.unmet_tokens
            .get_or_create(&labels)
            .set(tokens.cast_signed());
    }

    /// Counts a request that was sent to another server.
    pub fn request_resent(&self, service: &str) {
        self.resends.get_or_create(&service_labels(service)).inc();
    }

    /// Counts a second copy of a request.
    pub fn hedge_sent(&self, service: &str) {
        self.hedges_sent
            .get_or_create(&service_labels(service))
            .inc();
    }

    /// Counts a second copy that answered first.
    pub fn hedge_won(&self, service: &str) {
        self.hedges_won
            .get_or_create(&service_labels(service))
            .inc();
    }

    /// Counts a second copy that was due and not sent.
    pub fn hedge_withheld(&self, service: &str, withheld: Withheld) {
        let labels = ServiceReasonLabels {
            service: ServiceName(service.into()),
            reason: withheld.name(),
        };
        self.hedges_withheld.get_or_create(&labels).inc();
    }

    /// Sets the second copies of a service in percent of its recent requests.
    pub fn set_hedge_percent(&self, service: &str, percent: f64) {
        self.hedge_percent
            .get_or_create(&service_labels(service))
            .set(percent);
    }

    /// Counts a call of the store.
    pub fn store_called(&self, outcome: &'static str) {
        self.store_calls
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    /// Counts a new connection to a server.
    pub fn server_connected(&self) {
        self.connects.inc();
    }

    /// Counts a connection to a server that is closed because of what the server sent.
    pub fn response_cut(&self, reason: CutReason) {
        let reason = reason.name();
        self.cuts.get_or_create(&ReasonLabels { reason }).inc();
    }

    /// Counts a request for which there was no memory.
    pub fn memory_refused(&self, error: ReservationError) {
        let reason = error.name();
        self.memory_refusals
            .get_or_create(&ReasonLabels { reason })
            .inc();
    }

    /// Counts a request that takes up a stream of an earlier attempt.
    pub fn stream_taken_up(&self, source: &'static str) {
        self.take_ups.get_or_create(&SourceLabels { source }).inc();
    }

    /// Counts a request that takes up a stream without a record.
    pub fn stream_dated(&self, source: &'static str) {
        self.datings.get_or_create(&SourceLabels { source }).inc();
    }

    /// Counts a stream that is not taken up since its version is not known.
    pub fn take_up_refused(&self, reason: &'static str) {
        self.take_up_refusals
            .get_or_create(&ReasonLabels { reason })
            .inc();
    }

    /// Counts a stream that was sent to another server after its first event.
    pub fn stream_resumed(&self, outcome: &'static str) {
        self.resumptions
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    /// Counts a client connection that was rejected.
    pub fn connection_rejected(&self, outcome: &'static str) {
        self.rejected
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    /// Records that a response started `time` after its request arrived.
    pub fn response_started(&self, service: &str, time: Duration) {
        let millis = time.as_secs_f64() * 1000.0;
        self.response_starts
            .get_or_create(&service_labels(service))
            .observe(millis);
    }

    /// Encodes all counters and `gauges`, given as name, help text and value.
    pub fn encode(&self, gauges: &[(&'static str, &'static str, i64)]) -> String {
        let mut gauge_registry = Registry::with_prefix("hawthornmill");
        for (name, help, value) in gauges {
            let gauge = Gauge::<i64>::default();
            gauge.set(*value);
            gauge_registry.register(*name, *help, gauge);
        }
        let (mut counter_text, mut text) = (String::new(), String::new());
        // Writing to a string can't fail.
        let _encoded = encode(&mut counter_text, &self.registry);
        let _encoded = encode(&mut text, &gauge_registry);
        // Each part ends with an end-of-file line, which may only occur once.
        let end = counter_text.rfind("# EOF").unwrap_or(counter_text.len());
        counter_text.truncate(end);
        counter_text + &text
    }
}
