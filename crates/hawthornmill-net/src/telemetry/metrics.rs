//! Metric instruments and an exporter that writes them as JSON lines.

use std::time::Duration;

use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::metrics::data::{AggregatedMetrics, Metric, MetricData, ResourceMetrics};
use opentelemetry_sdk::metrics::exporter::PushMetricExporter;
use opentelemetry_sdk::metrics::{PeriodicReader, SdkMeterProvider, Temporality};

use super::logs::RAW_TARGET;

/// Exports each data point as one JSON line.
#[derive(Debug)]
struct JsonLineExporter {
    instance: Box<str>,
}

impl PushMetricExporter for JsonLineExporter {
    async fn export(&self, metrics: &ResourceMetrics) -> OTelSdkResult {
        for scope in metrics.scope_metrics() {
            for metric in scope.metrics() {
                for (attributes, value) in points(metric) {
                    let line = serde_json::json!({
                        "kind": "metric",
                        "instance": self.instance,
                        "name": metric.name(),
                        "unit": metric.unit(),
                        "attributes": attributes,
                        "value": value,
                    });
                    log::info!(target: RAW_TARGET, "{line}");
                }
            }
        }
        Ok(())
    }

    fn force_flush(&self) -> OTelSdkResult {
        Ok(())
    }

    fn shutdown_with_timeout(&self, _timeout: Duration) -> OTelSdkResult {
        Ok(())
    }

    fn temporality(&self) -> Temporality {
        Temporality::Cumulative
    }
}

/// Attributes and value of a data point.
type Point = (serde_json::Value, serde_json::Value);

fn attributes<'a>(list: impl Iterator<Item = &'a opentelemetry::KeyValue>) -> serde_json::Value {
    list.map(|a| (a.key.to_string(), a.value.to_string().into()))
        .collect::<serde_json::Map<_, _>>()
        .into()
}

fn points(metric: &Metric) -> Vec<Point> {
    match metric.data() {
        AggregatedMetrics::U64(MetricData::Sum(sum)) => sum
            .data_points()
            .map(|p| (attributes(p.attributes()), p.value().into()))
            .collect(),
        AggregatedMetrics::U64(MetricData::Gauge(gauge)) => gauge
            .data_points()
            .map(|p| (attributes(p.attributes()), p.value().into()))
            .collect(),
        AggregatedMetrics::F64(MetricData::Histogram(histogram)) => histogram
            .data_points()
            .map(|p| {
                let value = serde_json::json!({"count": p.count(), "sum": p.sum(), "max": p.max()});
                (attributes(p.attributes()), value)
            })
            .collect(),
        _ => Vec::new(),
    }
}

/// Metric instruments of one process.
#[derive(Debug)]
pub struct Instruments {
    provider: SdkMeterProvider,
    /// Creates further instruments.
    pub meter: Meter,
    /// Calls by result code; 0 for a complete response.
    pub calls: Counter<u64>,
    /// Milliseconds that calls waited for a slot; exported as `waited`.
    pub wait_ms: Histogram<f64>,
    /// Cost charged for calls, in the unit of their service.
    pub cost: Histogram<f64>,
}

impl Instruments {
    /// Creates instruments whose values are exported every `interval`.
    pub fn new(interval: Duration, instance: &str) -> Self {
        let exporter = JsonLineExporter {
            instance: instance.into(),
        };
        let reader = PeriodicReader::builder(exporter)
            .with_interval(interval)
            .build();
        let provider = SdkMeterProvider::builder().with_reader(reader).build();
        let meter = provider.meter("hawthornmill");
        Self {
            calls: meter.u64_counter("calls").build(),
            wait_ms: meter.f64_histogram("waited").with_unit("ms").build(),
            cost: meter.f64_histogram("cost").build(),
            meter,
            provider,
        }
    }

    /// Exports all pending values.
    pub fn flush(&self) {
        if let Err(error) = self.provider.force_flush() {
            log::warn!(target: "telemetry", "failed to export metrics: {error}");
        }
    }
}
