//! Holds and refuses requests under which servers end, and records those that were answered.

use hawthornmill::codes::Code;
use hawthornmill::quarantine::fingerprint::{Fingerprint, RequestContent};
use hawthornmill::quarantine::table::{Quarantined, Standing};
use hawthornmill::routing::recent::Source;
use hawthornmill::routing::request::{Cause, Refusal};
use serde_json::json;
use tokio::time::Instant;

use super::RequestContext;
use super::admission::Admitted;
use super::read::ClientRequest;
use crate::event_log;

/// Returns the identity of what a server sees of the request.
pub fn fingerprint(request: &ClientRequest, admitted: &Admitted) -> Fingerprint {
    let head = &request.head;
    Fingerprint::of_request(&RequestContent {
        account: admitted.request.account,
        method: &head.method,
        host: head.headers.get("host").unwrap_or_default(),
        target: &head.target,
        parts: &admitted.request.shape.parts,
        body: &request.body,
    })
}

/// Returns what may be done with the request now.
pub fn standing(context: RequestContext<'_>, admitted: &Admitted) -> Standing {
    let gateway = context.gateway;
    if gateway.quarantine.borrow().is_idle() {
        return Standing::Clear;
    }
    let fingerprint = fingerprint(context.request, admitted);
    let mut quarantine = gateway.quarantine.borrow_mut();
    let standing = quarantine.standing(fingerprint, gateway.now());
    drop(quarantine);
    gateway.log_quarantine();
    standing
}

/// Waits while it is uncertain whether servers end under the request.
///
/// # Errors
/// The refusal of a request that must not be sent.
pub async fn wait_until_clear(
    context: RequestContext<'_>,
    admitted: &Admitted,
) -> Result<(), Refusal> {
    loop {
        let changed = context.gateway.quarantine_wakeup.notified();
        match standing(context, admitted) {
            Standing::Clear => return Ok(()),
            Standing::Held(until) => {
                let until = Instant::from_std(until);
                let _elapsed = tokio::time::timeout_at(until, changed).await;
            }
            Standing::Quarantined(quarantined) => {
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
        "fingerprint": format!("{:x}", quarantined.fingerprint.0), "ends": quarantined.ends,
    });
    event_log::request_problem("quarantined", &context.request.attempt_id, fields);
}

/// Returns whether a server is known to have ended under the request before its connection broke.
pub fn has_ended_server(context: RequestContext<'_>, admitted: &Admitted) -> bool {
    let quarantine = context.gateway.quarantine.borrow();
    !quarantine.is_idle() && quarantine.earlier_ends(fingerprint(context.request, admitted)) > 0
}

/// Records that a server answered the request completely.
pub fn record_answer(context: RequestContext<'_>, admitted: &Admitted, status: u16) {
    let gateway = context.gateway;
    if status >= 400 || gateway.quarantine.borrow().is_idle() {
        return;
    }
    let fingerprint = fingerprint(context.request, admitted);
    let now = gateway.now();
    let mut quarantine = gateway.quarantine.borrow_mut();
    let is_new = quarantine.record_sound(fingerprint, now, Source::Own, now);
    drop(quarantine);
    if is_new {
        gateway.announce_quarantine();
    }
}
