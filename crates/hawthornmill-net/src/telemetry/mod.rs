//! Logs, spans, metrics and usage records, all as JSON lines on standard output.

pub mod gauges;
pub mod logs;
pub mod metrics;
pub mod spans;
pub mod usage;

use crate::settings::TelemetrySettings;
use metrics::Meters;
use spans::Spans;
use usage::UsageWriter;

/// Logs, spans and metrics of one process.
#[derive(Debug)]
pub struct Telemetry {
    /// Spans of calls.
    pub spans: Spans,
    /// Instruments.
    pub meters: Meters,
    /// Usage records.
    pub usage: UsageWriter,
}

impl Telemetry {
    /// Starts spans and metrics; logs are started by [`logs::start`].
    pub fn new(settings: &TelemetrySettings, instance: &str) -> Self {
        Self {
            spans: Spans::new(settings.spans, instance),
            meters: Meters::new(settings.metrics, instance),
            usage: UsageWriter::default(),
        }
    }

    /// Writes what is still held back.
    pub fn flush(&self) {
        self.spans.flush();
        self.meters.flush();
        log::logger().flush();
    }
}
