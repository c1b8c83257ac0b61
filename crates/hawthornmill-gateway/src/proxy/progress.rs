//! Progress of one request and its log lines.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use hawthornmill::codes::Code;
use hawthornmill::ident::{ServerId, VersionId};
use hawthornmill::routing::placement::{PassedOver, Placement};
use hawthornmill::routing::request::{Refusal, Request};
use serde_json::{Value, json};

use super::admission::Admitted;
use super::error_response::{ErrorResponse, NotReady};
use super::events::CompleteEvents;
use super::read::ClientRequest;
use super::response_limits::CutReason;
use super::{RequestContext, RequestOutcome, take_up};
use crate::event_log;
use crate::gateway::Gateway;
use crate::http::head::Framing;

/// Logs why the scheduler rejected a request.
pub fn log_rejection(
    context: RequestContext<'_>,
    admitted: &Admitted,
    request: &Request,
    refusal: &Refusal,
) {
    let (gateway, now) = (context.gateway, context.gateway.now());
    let scheduler = gateway.scheduler.borrow();
    let decision = scheduler.decision_context(request, now);
    let fields = json!({
        "account": admitted.account_name, "code": refusal.code.number(), "cause": refusal.cause.to_string(),
        "again_ms": refusal.retry_after.as_millis() as u64,
        "waited_ms": now.duration_since(request.arrival).as_millis() as u64,
        "servers": decision.servers, "draining": decision.draining, "down": decision.down,
        "evacuated": decision.evacuated, "out_of_region": decision.out_of_region,
        "resting": decision.resting, "leaving": decision.leaving, "full": decision.full, "waiting": decision.queue_len,
        "fraction": decision.capacity_fraction, "contended": decision.is_contended,
        "prompt_tokens": request.shape.prompt_tokens,
        "long_owed": scheduler.long_prompts.is_owed(request.route, request.shape.cost()),
        "head_tokens": decision.queue_head.prompt_tokens, "head_ms": decision.queue_head.waited.as_millis() as u64,
        "credit": decision.credit, "short_at": decision.unmet_instances,
        "lack": decision.unmet_cost, "standing": decision.share.status.to_string(), "lead": decision.share.usage_ratio,
        "asked": decision.usage.requested, "got": decision.usage.served,
        "level_owed": decision.levels.guaranteed, "level_even": decision.levels.fair, "registrations": scheduler.registry.latest_revision(),
        "catalog": gateway.catalog_version(), "lag_ms": lag_ms(gateway),
        "link_wait_ms": gateway.link_monitor.borrow().queueing_delay(now).as_millis() as u64,
    });
    event_log::request_problem("refused", &context.request.attempt_id, fields);
}

/// Returns for how long this instance has known of a catalog newer than its own.
fn lag_ms(gateway: &Gateway) -> u64 {
    let lag = gateway.catalog_lag.borrow();
    lag.duration(gateway.now()).as_millis() as u64
}

/// Returns what was believed of the server's speed; null where servers of the service report none.
fn speed_fields(placement: &Placement) -> Value {
    placement.speed.map_or(Value::Null, |speed| {
        let believed = speed.believed;
        json!({
            "percent": (believed.factor() * 100.0).round() as u64,
            "lasting_percent": (believed.lasting * 100.0).round() as u64,
            "age_ms": believed.age.map(|age| age.as_millis() as u64),
            "faster_passed_over": speed.passed_over.map(PassedOver::name),
        })
    })
}

/// What ended the body of a server's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// The length or the last chunk.
    Framing,
    /// The server closed its connection in order.
    Closed,
    /// The connection failed.
    Failed,
    /// The bytes violate the framing.
    Malformed,
    /// The gateway closed the connection because a bound was exceeded.
    Cut,
}

impl BodyEnd {
    /// Returns whether the connection ended, as all connections of a server do that ends itself.
    pub const fn is_connection_lost(self) -> bool {
        matches!(self, Self::Closed | Self::Failed)
    }

    const fn name(self) -> &'static str {
        match self {
            Self::Framing => "framing",
            Self::Closed => "closed",
            Self::Failed => "failed",
            Self::Malformed => "malformed",
            Self::Cut => "cut",
        }
    }
}

/// The body of a server's response, as far as it was read.
#[derive(Debug, Clone, Copy)]
struct BodySummary {
    framing: Framing,
    end: BodyEnd,
    /// Bytes after the last complete event of a stream.
    rest_bytes: usize,
}

/// What became of the hedge of a request, known also while both copies are in flight.
#[derive(Debug, Default)]
pub struct HedgeState {
    /// A server may have executed the hedge, or may still be executing it.
    pub may_have_executed: Cell<bool>,
    /// Fields of the final log line.
    pub fields: RefCell<Value>,
}

/// Progress of one request through the proxy.
#[derive(Debug, Default)]
pub struct RequestProgress {
    /// Number of servers that were sent at least one byte of the request.
    pub sends: u32,
    /// Number of servers that could not be reached.
    pub unreachable: u32,
    /// Id of the last complete event that was forwarded to the client.
    pub last_event_id: Option<u64>,
    /// Events that the current server brought.
    pub server_events: u32,
    /// Bytes of events that were forwarded to the client.
    pub event_bytes: usize,
    /// Version of the server that brought the first event.
    pub version: Option<VersionId>,
    /// Status sent to the client, or 0 if none.
    pub status: u16,
    /// An earlier server was sent bytes of the request and never reported that it did not execute it.
    earlier_uncertain: bool,
    /// The current server was sent at least one byte of the request.
    bytes_sent: bool,
    has_retry_after: bool,
    code: Option<Code>,
    not_ready: Option<NotReady>,
    admitted: Option<(Box<str>, Box<str>)>,
    servers: Vec<Box<str>>,
    response_start: Option<Instant>,
    body: Option<BodySummary>,
    /// Set where a hedge may be sent.
    hedge: Option<Rc<HedgeState>>,
    /// Server of the hedge of the current attempt.
    hedge_server: Option<ServerId>,
    /// Why the gateway closed the connection to the current server, if it did.
    cut: Option<CutReason>,
}

impl RequestProgress {
    /// Records and logs that the request passed admission.
    pub fn record_admitted(&mut self, request: &ClientRequest, admitted: &Admitted) {
        self.admitted = Some((admitted.route_name.clone(), admitted.service_name.clone()));
        let fields = json!({
            "route": admitted.route_name, "service": admitted.service_name, "account": admitted.account_name,
            "prompt_tokens": admitted.request.shape.prompt_tokens, "body_bytes": request.body_bytes,
            "body_ms": request.received.duration_since(request.head_received).as_millis() as u64,
            "time_left_ms": admitted.request.deadline.duration_since(request.received).as_millis() as u64,
        });
        event_log::request_step("admitted", &request.attempt_id, fields);
    }

    /// Records and logs that the request is sent to a server, of version `bound` if it may go to no other one.
    pub fn start_attempt(
        &mut self,
        gateway: &Gateway,
        request: &ClientRequest,
        admitted: &Admitted,
        placement: &Placement,
        bound: Option<VersionId>,
    ) {
        let share = gateway.scheduler.borrow().share_of(&admitted.request);
        let name = gateway.server_name(placement.server);
        let waited = gateway.now().duration_since(request.received);
        let version = gateway.server_version_name(placement.server);
        let mut fields = json!({
            "account": admitted.account_name, "standing": share.status.to_string(), "lead": share.usage_ratio,
            "server": name, "version": version, "waited_ms": waited.as_millis() as u64, "send": self.sends + 1,
            "tokens_before_first": placement.queued_prefill, "tokens_again": placement.duplicate_prefill, "tokens_fetched": placement.fetch.map_or(0, |f| f.tokens), "stray": placement.spilled, "expected_ms": placement.expected_ttft.as_millis() as u64, "speed": speed_fields(placement),
            "catalog": gateway.catalog_version(), "lag_ms": lag_ms(gateway), "registrations": gateway.scheduler.borrow().registry.latest_revision(),
        });
        if bound.or(self.version).is_some() {
            let [born, entry_age] = take_up::run_fields(gateway, placement.server);
            fields["born_ms"] = born;
            fields["entry_age_ms"] = entry_age;
        }
        event_log::request_step("sent", &request.attempt_id, fields);
        if self.servers.is_empty() {
            let tokens = admitted.request.shape.prompt_tokens;
            gateway
                .metrics
                .request_begun(&admitted.service_name, tokens);
        }
        self.servers.push(name);
        self.body = None;
        self.cut = None;
        self.server_events = 0;
        self.earlier_uncertain |= std::mem::take(&mut self.bytes_sent);
    }

    /// Records that bytes of the request were sent to the current server.
    pub const fn record_sent(&mut self) {
        if !self.bytes_sent {
            self.bytes_sent = true;
            self.sends += 1;
        }
    }

    /// Returns whether the current server was sent at least one byte of the request.
    pub const fn bytes_sent(&self) -> bool {
        self.bytes_sent
    }

    /// Returns whether a server may have executed the request, or may still be executing it.
    pub fn may_have_executed(&self) -> bool {
        let hedge = self.hedge.as_ref();
        self.earlier_uncertain
            || self.bytes_sent
            || hedge.is_some_and(|h| h.may_have_executed.get())
    }

    /// Returns the sends of the request, with that of a hedge in flight.
    pub fn all_sends(&self) -> u32 {
        let hedge = self.hedge.as_ref();
        self.sends + u32::from(hedge.is_some_and(|h| h.may_have_executed.get()))
    }

    /// Returns the state of a hedge of this request, which outlasts a copy that is dropped.
    pub fn hedge_state(&mut self) -> Rc<HedgeState> {
        Rc::clone(self.hedge.get_or_insert_default())
    }

    /// Returns the progress of a hedge, which is one send more than the current attempt.
    #[must_use]
    pub fn for_hedge(&self) -> Self {
        Self {
            sends: self.sends + 1,
            ..Self::default()
        }
    }

    /// Adds the progress of a hedge that was sent to `server`.
    pub fn add_hedge(&mut self, hedge: &Self, server: ServerId, name: Box<str>) {
        self.earlier_uncertain |= hedge.bytes_sent;
        self.hedge_server = Some(server);
        self.servers.push(name);
        if let Some(state) = &self.hedge {
            state.may_have_executed.set(false);
        }
    }

    /// Takes the server of the hedge of the current attempt.
    pub const fn take_hedge_server(&mut self) -> Option<ServerId> {
        self.hedge_server.take()
    }

    /// Records that the current server reported that it did not execute the request.
    pub const fn record_not_executed(&mut self) {
        self.bytes_sent = false;
    }

    /// Records that a response with `status` begins.
    pub fn start_response(&mut self, status: u16, now: Instant) {
        self.status = status;
        self.response_start.get_or_insert(now);
    }

    /// Returns whether a response to the client has begun.
    pub const fn response_started(&self) -> bool {
        self.response_start.is_some()
    }

    /// Returns whether the gateway rejected the request with a retry delay.
    pub const fn has_retry_after(&self) -> bool {
        self.has_retry_after
    }

    /// Records how the body of a response ended; `rest_bytes` came after the last complete event of a stream.
    pub const fn record_body_end(&mut self, framing: Framing, end: BodyEnd, rest_bytes: usize) {
        self.body = Some(BodySummary {
            framing,
            end,
            rest_bytes,
        });
    }

    /// Records that events of a stream, of `size` bytes together, were forwarded.
    pub const fn record_events(&mut self, events: &CompleteEvents, size: usize) {
        self.last_event_id = events.last_id;
        self.event_bytes += size;
        self.server_events += events.count;
    }

    /// Returns whether the last response broke off because its connection ended.
    pub fn connection_lost(&self) -> bool {
        self.body.is_some_and(|body| body.end.is_connection_lost())
    }

    /// Returns how the body of the last response ended, for the log.
    pub fn body_fields(&self) -> Value {
        self.body.map_or(Value::Null, |body| {
            json!({
                "framing": body.framing.name(), "ended_by": body.end.name(), "rest_bytes": body.rest_bytes,
            })
        })
    }

    /// Records whether, and why, the gateway closed the connection to the current server.
    pub const fn record_cut(&mut self, reason: Option<CutReason>) {
        self.cut = reason;
    }

    /// Returns the code for a request whose last server brought no usable answer.
    pub fn failure_code(&self) -> Code {
        self.cut.map_or(Code::UpstreamFailed, CutReason::code)
    }

    /// Sets the code of the error that ends the request.
    pub const fn set_code(&mut self, code: Code) {
        self.code = Some(code);
    }

    /// Records that the gateway sends an error response.
    pub const fn record_error(&mut self, response: &ErrorResponse) {
        self.code = Some(response.code);
        self.not_ready = response.not_ready;
        self.status = response.code.status();
        self.has_retry_after = response.retry_after.is_some();
    }

    /// Writes the final log line of the request and counts its outcome.
    pub fn finish(&self, gateway: &Gateway, request: &ClientRequest, end: RequestOutcome) {
        let now = gateway.now();
        let outcome = match end {
            RequestOutcome::ClientClosed => "caller_left",
            RequestOutcome::Truncated => "broken_off",
            RequestOutcome::Complete
                if self.code.is_some_and(|c| matches!(c.status(), 429 | 503)) =>
            {
                "refused"
            }
            RequestOutcome::Complete if self.code.is_some() => "failed",
            RequestOutcome::Complete if self.status >= 500 => "server_failed",
            RequestOutcome::Complete => "answered",
        };
        let (route, service) = match &self.admitted {
            Some((route, service)) => (&**route, &**service),
            None => ("none", "none"),
        };
        gateway.metrics.request_ended(service, outcome);
        let not_ready = self.not_ready.map(NotReady::name);
        if let Some(reason) = not_ready {
            gateway.metrics.request_not_ready(reason);
        }
        let mut fields = json!({
            "outcome": outcome, "status": self.status, "code": self.code.map(Code::number),
            "not_ready": not_ready, "route": route, "service": service, "servers": self.servers, "sends": self.sends,
            "last_event": self.last_event_id, "catalog": gateway.catalog_version(), "lag_ms": lag_ms(gateway),
            "begin_ms": self.response_start.map(|b| b.duration_since(request.received).as_millis() as u64),
            "took_ms": now.duration_since(request.received).as_millis() as u64, "body": self.body_fields(),
        });
        if let Some(hedge) = self.hedge.as_ref().map(|h| h.fields.take())
            && !hedge.is_null()
        {
            fields["hedge"] = hedge;
        }
        if outcome == "answered" {
            event_log::request_step("ended", &request.attempt_id, fields);
        } else {
            event_log::request_problem("ended", &request.attempt_id, fields);
        }
    }
}
