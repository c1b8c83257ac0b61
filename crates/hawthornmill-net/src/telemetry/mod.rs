//! Logs, spans, metrics and usage records, all as JSON lines on standard output.

pub mod logs;
pub mod metrics;
pub mod spans;

use std::sync::atomic::{AtomicU64, Ordering};

use hawthornmill::usage::UsageRecord;

use crate::settings::TelemetrySettings;
use metrics::Meters;
use spans::Spans;

/// Logs, spans and metrics of one process.
#[derive(Debug)]
pub struct Telemetry {
    /// Spans of calls.
    pub spans: Spans,
    /// Instruments.
    pub meters: Meters,
    usage: AtomicU64,
}

impl Telemetry {
    /// Starts spans and metrics; logs are started by [`logs::start`].
    pub fn new(settings: &TelemetrySettings, instance: &str) -> Self {
        Self {
            spans: Spans::new(settings.spans, instance),
            meters: Meters::new(settings.metrics, instance),
            usage: AtomicU64::new(0),
        }
    }

    /// Writes a usage record; its number follows the one before without a gap.
    pub fn usage(&self, mut record: UsageRecord) {
        record.seq = self.usage.fetch_add(1, Ordering::Relaxed) + 1;
        match serde_json::to_string(&record) {
            Ok(line) => log::info!(target: logs::RAW, "{{\"kind\":\"usage\",\"usage\":{line}}}"),
            Err(error) => log::error!(target: "usage", "record can't be written: {error}"),
        }
    }

    /// Writes what is still held back.
    pub fn flush(&self) {
        self.spans.flush();
        self.meters.flush();
        log::logger().flush();
    }
}
