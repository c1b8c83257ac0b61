//! New streams at an instance that may be out of step with the others.
//!
//! Where nobody has a record of a stream, others derive its version from what served when it began. So an instance that was cut
//! off from the others, or stood still, begins no stream by registrations that may have changed since.

use std::rc::Rc;
use std::time::Duration;

use hawthornmill::routing::version_history::VIEW_LAG;
use serde_json::json;

use super::RequestContext;
use super::admission::Admitted;
use super::error_response::{ErrorResponse, NotReady};
use crate::event_log;
use crate::gateway::Gateway;
use crate::store_call::CALL_TIMEOUT;
use crate::store_view::STANDSTILL;

/// Pause between two looks whether the store's changes have come.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Retry delay sent to a client; another instance takes the request at once.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Waits until the registrations are known to be the present ones, if this instance may be out of step.
///
/// # Errors
/// The instance is cut off from the store and from the others that it knew. Where it hears others and the store doesn't answer,
/// none of them knows more.
pub async fn wait_for_registrations(
    context: RequestContext<'_>,
    admitted: &Admitted,
) -> Result<(), ErrorResponse> {
    let gateway = context.gateway;
    if !is_out_of_step(gateway) {
        return Ok(());
    }
    let begin = gateway.now();
    let end = (begin + CALL_TIMEOUT).min(admitted.request.deadline);
    let view = &gateway.streams.store_view;
    loop {
        let left = end.saturating_duration_since(gateway.now());
        // While the store is silent, one question at a time finds out when it isn't any more.
        let wait = if view.is_silent() {
            Duration::ZERO
        } else {
            left
        };
        if view.is_newer_than(gateway, VIEW_LAG, wait).await {
            return Ok(());
        }
        if left.is_zero() || view.is_silent() {
            break;
        }
        tokio::time::sleep(CHECK_INTERVAL.min(left)).await;
    }
    let is_cut_off = gateway.peers.borrow().is_cut_off(gateway.now());
    let waited = gateway.now().duration_since(begin).as_millis() as u64;
    let fields = json!({"cut_off": is_cut_off, "waited_ms": waited});
    event_log::request_problem("stream_begin_late", &context.request.attempt_id, fields);
    if is_cut_off {
        return Err(ErrorResponse::not_ready(NotReady::CutOff, RETRY_DELAY));
    }
    Ok(())
}

fn is_out_of_step(gateway: &Rc<Gateway>) -> bool {
    let now = gateway.now();
    // The timer that records a standstill may run after a request that came meanwhile.
    let stands_still = gateway.load_shedder.get().lag(now) > STANDSTILL;
    stands_still || gateway.streams.store_view.is_behind() || gateway.peers.borrow().is_cut_off(now)
}
