//! Spans for each hop of a call, linked across hops by the `traceparent` header.

use std::time::{Duration, SystemTime};

use opentelemetry::propagation::{Extractor, Injector, TextMapPropagator};
use opentelemetry::trace::{SpanKind, TraceContextExt, Tracer, TracerProvider};
use opentelemetry::{Context, KeyValue};
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{Sampler, SdkTracer, SdkTracerProvider, SpanData, SpanExporter};
use poem::http::{HeaderMap, HeaderName, HeaderValue};

use super::logs::RAW_TARGET;

/// Exports each span as one JSON line.
#[derive(Debug, Clone)]
struct JsonLineExporter {
    instance: Box<str>,
}

impl SpanExporter for JsonLineExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        for span in batch {
            log::info!(target: RAW_TARGET, "{}", span_to_json(&self.instance, &span));
        }
        Ok(())
    }

    fn shutdown_with_timeout(&self, _timeout: Duration) -> OTelSdkResult {
        Ok(())
    }
}

fn span_to_json(instance: &str, span: &SpanData) -> serde_json::Value {
    let attributes: serde_json::Map<String, serde_json::Value> = span
        .attributes
        .iter()
        .map(|a| (a.key.to_string(), a.value.to_string().into()))
        .collect();
    let micros = |time: SystemTime| {
        time.duration_since(SystemTime::UNIX_EPOCH)
            .map_or(0, |d| d.as_micros() as u64)
    };
    serde_json::json!({
        "kind": "span",
        "instance": instance,
        "name": span.name,
        "trace": span.span_context.trace_id().to_string(),
        "span": span.span_context.span_id().to_string(),
        "parent": span.parent_span_id.to_string(),
        "start_us": micros(span.start_time),
        "end_us": micros(span.end_time),
        "attributes": attributes,
    })
}

/// Records the spans of one process.
#[derive(Debug)]
pub struct SpanRecorder {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
    propagator: TraceContextPropagator,
}

impl SpanRecorder {
    /// Samples a fraction `ratio` of the traces that begin here, and all that a caller sampled.
    pub fn new(ratio: f64, instance: &str) -> Self {
        let sampler = Sampler::ParentBased(Box::new(Sampler::TraceIdRatioBased(ratio)));
        let provider = SdkTracerProvider::builder()
            .with_sampler(sampler)
            .with_batch_exporter(JsonLineExporter {
                instance: instance.into(),
            })
            .build();
        Self {
            tracer: provider.tracer("hawthornmill"),
            provider,
            propagator: TraceContextPropagator::new(),
        }
    }

    /// Starts the span of a call, as a child of the caller's span if `headers` name one.
    pub fn start_call(&self, headers: &HeaderMap, request: &str) -> Context {
        let parent = self.propagator.extract(&HeaderExtractor(headers));
        let span = self
            .tracer
            .span_builder("call")
            .with_kind(SpanKind::Server)
            .with_attributes([KeyValue::new("request", request.to_owned())])
            .start_with_context(&self.tracer, &parent);
        parent.with_span(span)
    }

    /// Starts a child span of `parent`.
    pub fn start_child(&self, parent: &Context, name: &'static str) -> Context {
        let span = self
            .tracer
            .span_builder(name)
            .with_kind(SpanKind::Client)
            .start_with_context(&self.tracer, parent);
        parent.with_span(span)
    }

    /// Injects the `traceparent` of `context` into `headers`.
    pub fn inject_context(&self, context: &Context, headers: &mut HeaderMap) {
        if context.span().span_context().is_valid() {
            self.propagator
                .inject_context(context, &mut HeaderInjector(headers));
        }
    }

    /// Exports all pending spans.
    pub fn flush(&self) {
        if let Err(error) = self.provider.force_flush() {
            log::warn!(target: "telemetry", "failed to export spans: {error}");
        }
    }
}

struct HeaderExtractor<'a>(&'a HeaderMap);

impl Extractor for HeaderExtractor<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key)?.to_str().ok()
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(HeaderName::as_str).collect()
    }
}

struct HeaderInjector<'a>(&'a mut HeaderMap);

impl Injector for HeaderInjector<'_> {
    fn set(&mut self, key: &str, value: String) {
        let header = HeaderName::try_from(key)
            .ok()
            .zip(HeaderValue::try_from(value).ok());
        if let Some((name, value)) = header {
            self.0.insert(name, value);
        }
    }
}
