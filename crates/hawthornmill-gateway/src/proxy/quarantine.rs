//! Holds and refuses requests under which servers end, and records those that were answered.

use hawthornmill::codes::Code;
use hawthornmill::ident::mix;
use hawthornmill::quarantine::evidence::PROGRESS_EVENTS;
use hawthornmill::quarantine::fingerprint::{Fingerprint, Fingerprints, RequestContent};
use hawthornmill::quarantine::table::{QuarantineStatus, Quarantined};
use hawthornmill::routing::recent::Source;
use hawthornmill::routing::request::{Cause, Refusal};
use serde_json::json;
use smallvec::SmallVec;
use tokio::time::Instant;

use super::RequestContext;
use super::admission::Admitted;
use super::read::ClientRequest;
use crate::event_log;

/// Returns the identity of what a server sees of the request, and of the parts of its prompt.
pub fn fingerprints<'a>(request: &ClientRequest, admitted: &'a Admitted) -> &'a Fingerprints {
    admitted
        .fingerprints
        .get_or_init(|| fingerprints_of(request, admitted))
}

fn fingerprints_of(request: &ClientRequest, admitted: &Admitted) -> Fingerprints {
    let head = &request.head;
    let body = request.body();
    let parts = body.iter().flat_map(|b| b.blocks.parts());
    let parts: SmallVec<[&[u8]; 1]> = parts.collect();
    Fingerprints::of(&RequestContent {
        account: admitted.request.account,
        method: &head.method,
        host: head.headers.get("host").unwrap_or_default(),
        target: &head.target,
        parts: &admitted.request.shape.parts,
        body: &parts,
    })
}

/// Returns a hash of the id of the client's attempt.
pub fn attempt_hash(request: &ClientRequest) -> u64 {
    let bytes = request.attempt_id.bytes();
    bytes.fold(0, |hash, byte| mix(hash ^ u64::from(byte)))
}

/// Returns what may be done with the request now.
pub fn status(context: RequestContext<'_>, admitted: &Admitted) -> QuarantineStatus {
    let gateway = context.gateway;
    if gateway.quarantine.borrow().is_idle() {
        return QuarantineStatus::Clear;
    }
    let fingerprints = fingerprints(context.request, admitted);
    let mut quarantine = gateway.quarantine.borrow_mut();
    let status = quarantine.status(fingerprints, gateway.now());
    drop(quarantine);
    gateway.log_quarantine();
    status
}

/// Waits while it is uncertain whether servers crash under the request.
///
/// # Errors
/// The refusal of a request that must not be sent.
pub async fn wait_until_clear(
    context: RequestContext<'_>,
    admitted: &Admitted,
) -> Result<(), Refusal> {
    loop {
        let changed = context.gateway.quarantine_wakeup.notified();
        match status(context, admitted) {
            QuarantineStatus::Clear => return Ok(()),
            QuarantineStatus::Held(until) => {
                let until = Instant::from_std(until);
                let _elapsed = tokio::time::timeout_at(until, changed).await;
            }
            QuarantineStatus::Quarantined(quarantined) => {
                log_refusal(context, quarantined);
                return Err(Refusal {
                    code: Code::RequestQuarantined,
                    cause: Cause::Quarantined,
                    retry_after: quarantined.retry_after,
                });
            }
        }
    }
}

fn log_refusal(context: RequestContext<'_>, quarantined: Quarantined) {
    let fields = json!({
        "fingerprint": format!("{:x}", quarantined.fingerprint.0), "ends": quarantined.crashes,
    });
    event_log::request_problem("quarantined", &context.request.attempt_id, fields);
}

/// Returns whether the request may be sent again after its connection broke.
pub fn allows_retry(context: RequestContext<'_>, admitted: &Admitted) -> bool {
    let quarantine = context.gateway.quarantine.borrow();
    quarantine.is_idle() || quarantine.allows_retry(fingerprints(context.request, admitted))
}

/// Records that a server answered the request completely.
pub fn record_answer(context: RequestContext<'_>, admitted: &Admitted, status: u16) {
    if status < 400 && !context.gateway.quarantine.borrow().is_idle() {
        clear(context, fingerprints(context.request, admitted).all());
    }
}

/// Records that a stream of the request brought `count` more events, the last of which was number `events`.
///
/// Once it has gone on for some, the parts of its prompt are not what crashes servers.
pub fn record_events(context: RequestContext<'_>, admitted: &Admitted, events: u32, count: u32) {
    if events == count && !context.gateway.quarantine.borrow().is_idle() {
        record_begin(context, admitted);
    }
    let is_first = events >= PROGRESS_EVENTS && events - count < PROGRESS_EVENTS;
    if is_first && !context.gateway.quarantine.borrow().is_idle() {
        let parts = &fingerprints(context.request, admitted).parts;
        clear(context, parts.iter().copied());
    }
}

/// Records that a server began to answer the request, which shows that it runs while a suspect is held.
fn record_begin(context: RequestContext<'_>, admitted: &Admitted) {
    let (gateway, now) = (context.gateway, context.gateway.now());
    let fingerprints = fingerprints(context.request, admitted);
    if gateway
        .quarantine
        .borrow_mut()
        .record_begin(fingerprints, now)
    {
        gateway.quarantine_wakeup.notify_waiters();
    }
}

fn clear(context: RequestContext<'_>, answered: impl Iterator<Item = Fingerprint>) {
    let (gateway, now) = (context.gateway, context.gateway.now());
    let mut quarantine = gateway.quarantine.borrow_mut();
    let mut is_new = false;
    for fingerprint in answered {
        is_new |= quarantine.record_answer(fingerprint, now, Source::Own, now);
    }
    drop(quarantine);
    if is_new {
        gateway.announce_quarantine();
    }
}
