//! The record of one request: how far it is, and its last line in the log.

use std::time::Instant;

use hawthornmill::codes::Code;
use hawthornmill::routing::placement::Placement;
use hawthornmill::routing::request::{Refusal, Request};
use serde_json::json;

use super::admit::Admitted;
use super::read::Call;
use super::reply::Reply;
use super::{End, Way};
use crate::gateway::Gateway;
use crate::journal;

/// Writes why the scheduler turned a request away.
pub fn note_refusal(way: Way<'_>, request: &Request, refusal: &Refusal) {
    let (gateway, now) = (way.gateway, way.gateway.now());
    let scheduler = gateway.scheduler.borrow();
    let outlook = scheduler.decision_context(request, now);
    let fields = json!({
        "code": refusal.code.number(), "cause": refusal.cause.log_name(),
        "again_ms": refusal.retry_after.as_millis() as u64,
        "waited_ms": now.duration_since(request.arrival).as_millis() as u64,
        "servers": outlook.servers, "draining": outlook.draining, "down": outlook.down,
        "full": outlook.full, "waiting": outlook.queue_len, "short_at": outlook.unmet_instances,
        "lack": outlook.unmet_cost, "standing": outlook.share.status.log_name(), "lead": outlook.share.usage_ratio,
        "asked": outlook.usage.requested, "got": outlook.usage.served, "registrations": scheduler.registry.latest_revision(),
        "catalog": gateway.version(), "lag_ms": lag_ms(gateway),
        "link_wait_ms": gateway.link.borrow().wait(now).as_millis() as u64,
    });
    journal::trouble("refused", &way.call.attempt, fields);
}

/// How long this instance has known of a newer catalog than its own.
fn lag_ms(gateway: &Gateway) -> u64 {
    let lag = gateway.lag.borrow();
    lag.duration(gateway.now()).as_millis() as u64
}

/// What is known of one request on its way.
#[derive(Debug, Default)]
pub struct Trip {
    /// Servers that had a byte of it.
    pub arrivals: u32,
    /// Servers that could not be reached.
    pub unreached: u32,
    /// Number of the last whole event that the caller has.
    pub last_event: Option<u64>,
    /// Status that the caller got; 0 when none.
    pub status: u16,
    /// An earlier server had a byte of it and never said that it did not run it.
    earlier: bool,
    /// The server in turn has a byte of it.
    this: bool,
    told_again: bool,
    code: Option<Code>,
    admitted: Option<(Box<str>, Box<str>)>,
    servers: Vec<Box<str>>,
    begun: Option<Instant>,
}

impl Trip {
    /// The request may be served.
    pub fn admitted(&mut self, call: &Call, admitted: &Admitted) {
        self.admitted = Some((admitted.route.clone(), admitted.service_name.clone()));
        let fields = json!({
            "route": admitted.route, "service": admitted.service_name, "account": admitted.account,
            "prompt_tokens": admitted.request.shape.prompt_tokens, "body_bytes": call.body.len(),
            "body_ms": call.came.duration_since(call.began).as_millis() as u64,
            "time_left_ms": admitted.request.deadline.duration_since(call.came).as_millis() as u64,
        });
        journal::step("admitted", &call.attempt, fields);
    }

    /// The request goes to a server.
    pub fn sending(&mut self, gateway: &Gateway, call: &Call, choice: &Placement) {
        let name = gateway.server_name(choice.server);
        let waited = gateway.now().duration_since(call.came);
        let fields = json!({
            "server": name, "waited_ms": waited.as_millis() as u64, "send": self.arrivals + 1,
            "tokens_before_first": choice.queued_prefill, "tokens_again": choice.duplicate_prefill, "stray": choice.spilled, "expected_ms": choice.expected_ttft.as_millis() as u64,
            "catalog": gateway.version(), "lag_ms": lag_ms(gateway), "registrations": gateway.scheduler.borrow().registry.latest_revision(),
        });
        journal::step("sent", &call.attempt, fields);
        self.servers.push(name);
        self.earlier |= std::mem::take(&mut self.this);
    }

    /// The first bytes are with the server.
    pub const fn sent_bytes(&mut self) {
        if !self.this {
            self.this = true;
            self.arrivals += 1;
        }
    }

    /// Tells whether the server in turn has a byte of it.
    pub const fn is_sent(&self) -> bool {
        self.this
    }

    /// Tells whether a server may have run it, or still runs it.
    pub const fn may_have_run(&self) -> bool {
        self.earlier || self.this
    }

    /// The server in turn says that it did not run it.
    pub const fn not_run(&mut self) {
        self.this = false;
    }

    /// The answer has begun with `status`.
    pub fn answering(&mut self, status: u16, now: Instant) {
        self.status = status;
        self.begun.get_or_insert(now);
    }

    /// Tells whether its caller has the begin of an answer.
    pub const fn is_answering(&self) -> bool {
        self.begun.is_some()
    }

    /// The gateway refused it with a time to come back.
    pub const fn is_refused(&self) -> bool {
        self.told_again
    }

    /// Why it ends as it does.
    pub const fn note_code(&mut self, code: Code) {
        self.code = Some(code);
    }

    /// The gateway answers itself.
    pub const fn note_reply(&mut self, reply: &Reply) {
        self.code = Some(reply.code);
        self.status = reply.code.status();
        self.told_again = reply.again.is_some();
    }

    /// Writes the request's last line and counts it.
    pub fn settle(&self, gateway: &Gateway, call: &Call, end: End) {
        let now = gateway.now();
        let outcome = match end {
            End::Left => "caller_left",
            End::Broken => "broken_off",
            End::Whole if self.code.is_some_and(|c| matches!(c.status(), 429 | 503)) => "refused",
            End::Whole if self.code.is_some() => "failed",
            End::Whole if self.status >= 500 => "server_failed",
            End::Whole => "answered",
        };
        let (route, service) = match &self.admitted {
            Some((route, service)) => (&**route, &**service),
            None => ("none", "none"),
        };
        gateway.meters.ended(service, outcome);
        let fields = json!({
            "outcome": outcome, "status": self.status, "code": self.code.map(Code::number),
            "route": route, "service": service, "servers": self.servers, "sends": self.arrivals,
            "last_event": self.last_event, "catalog": gateway.version(), "lag_ms": lag_ms(gateway),
            "begin_ms": self.begun.map(|b| b.duration_since(call.came).as_millis() as u64),
            "took_ms": now.duration_since(call.came).as_millis() as u64,
        });
        if outcome == "answered" {
            journal::step("ended", &call.attempt, fields);
        } else {
            journal::trouble("ended", &call.attempt, fields);
        }
    }
}
