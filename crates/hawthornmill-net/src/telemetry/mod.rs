//! Logs, spans, metrics and usage records, all as JSON lines on standard output.

pub mod gauges;
pub mod logs;
pub mod metrics;
pub mod spans;
pub mod usage;

use crate::settings::TelemetrySettings;
use metrics::Instruments;
use spans::SpanRecorder;
use usage::UsageWriter;

/// Logs, spans and metrics of one process.
#[derive(Debug)]
pub struct Telemetry {
    /// Spans of calls.
    pub spans: SpanRecorder,
    /// Metric instruments.
    pub instruments: Instruments,
    /// Usage records and checkpoints.
    pub usage: UsageWriter,
}

impl Telemetry {
    /// Starts spans and metrics; [`logs::init`] initializes logging.
    pub fn new(settings: &TelemetrySettings, instance: &str) -> Self {
        Self {
            spans: SpanRecorder::new(settings.sample_ratio, instance),
            instruments: Instruments::new(settings.metrics_interval, instance),
            usage: UsageWriter::default(),
        }
    }

    /// Exports pending spans and metrics and flushes the log.
    pub fn flush(&self) {
        self.spans.flush();
        self.instruments.flush();
        log::logger().flush();
    }
}
