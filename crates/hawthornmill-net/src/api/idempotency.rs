//! Calls that run at most once, identified by an idempotency key.
//!
//! The home of a key is the instance that issued its prefix. Only the home runs the call of a key,
//! once; every other instance forwards the call to it. The home records the key before the first
//! byte can be sent, and runs the call in its own task, so that it continues if the caller
//! disconnects.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, stream};
use hawthornmill::codes::{Code, Outcome};
use hawthornmill::ident::InstanceId;
use hawthornmill::keys::table::{AccountKey, retention};
use hawthornmill::keys::{ClaimResult, KeyError, KeyPrefix, KeyUse, StoredResponse};
use hawthornmill::pools::tick;
use hawthornmill::response::ResponseLines;
use poem::http::StatusCode;
use poem::{Body, Request, Response};
use tokio::sync::watch;
use tokio::time::Instant;

use super::admission::TIMEOUT_HEADER;
use super::call::{Call, InFlightGuard, acquire_slot, attempt, reject};
use super::call_result::{self, CallResult};
use super::key_store::issue_key_prefix;
use super::problem::Problem;
use super::{accounting, stream as response_stream};
use crate::event_check::EventCheck;
use crate::fleet::{Fleet, SlotGuard};
use crate::quarantine::{self, Progress};
use crate::upstream::{REQUEST_ID_HEADER, forwarded_headers, is_final_status, read_body};

/// Header with the caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header that marks a call as forwarded to its home; such a call is not forwarded again.
const FORWARDED_HEADER: &str = "hawthornmill-passed";
/// Time beyond the deadline for which the result of a call is awaited.
const RESULT_GRACE: Duration = Duration::from_millis(250);
/// Time after a pause of the process in which all calls buffered in its sockets are read.
const SOCKET_DRAIN_TIME: Duration = Duration::from_millis(250);
/// Longest response of a call with a key, which is held in memory.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// One part in this many of the memory for kept responses is for those that are being read.
const READ_DIVISOR: usize = 2;

/// Handles one call of a service without retries.
pub async fn handle(
    fleet: &Arc<Fleet>,
    request: &Request,
    call: Call,
    in_flight: InFlightGuard,
) -> Response {
    // The run may end before its response is written; the call stays in flight until it is.
    let in_flight = Arc::new(in_flight);
    let original = call.clone();
    match dispatch(fleet, request, call, Arc::clone(&in_flight)).await {
        Ok(response) => hold_until_written(response, in_flight).await,
        Err(problem) => {
            if rejected_for_key(&problem) {
                accounting::record_rejection(fleet, &original, &problem, original.admitted.arrived);
            }
            reject(fleet, &problem.with_key_prefix(issue_key_prefix(fleet)))
        }
    }
}

/// Keeps the call counted as in flight until the connection has taken the whole response body.
async fn hold_until_written(mut response: Response, in_flight: Arc<InFlightGuard>) -> Response {
    let body = response.take_body().into_bytes().await.unwrap_or_default();
    response
        .headers_mut()
        .insert("content-length", body.len().into());
    let chunks = stream::iter([Ok::<_, std::io::Error>(body)]).inspect(move |_| {
        // Owned by the stream, which is dropped once the connection has taken all of it.
        let _in_flight = &in_flight;
    });
    response.set_body(Body::from_bytes_stream(chunks));
    response
}

/// Returns whether the call was rejected for its key, before anything wrote its usage record.
fn rejected_for_key(problem: &Problem) -> bool {
    let codes = [
        Code::KeyRequired,
        Code::BadKey,
        Code::KeyExpired,
        Code::KeyRejected,
        Code::KeyTableFull,
        Code::HomeUnreachable,
    ];
    problem.attempt == Outcome::NotRun && codes.contains(&problem.code)
}

async fn dispatch(
    fleet: &Arc<Fleet>,
    request: &Request,
    call: Call,
    in_flight: Arc<InFlightGuard>,
) -> Result<Response, Problem> {
    let id = call.outbound.id.clone();
    let key = request
        .headers()
        .get(KEY_HEADER)
        .ok_or_else(|| Problem::not_run(Code::KeyRequired, &id))?;
    let key = key.to_str().unwrap_or_default();
    let (prefix, _) = KeyPrefix::parse_key(&fleet.settings.key, key).map_err(|error| {
        // A key that can't be parsed names no home, so this copy was sent to nobody.
        let detail = match error {
            KeyError::Malformed => "malformed",
            KeyError::UnknownIssuer => "not made by this fleet",
        };
        Problem::not_run(Code::BadKey, &id).with_detail(detail)
    })?;
    let own_id = InstanceId::of(&fleet.settings.contact.name);
    if prefix.home == own_id && prefix.incarnation == fleet.incarnation {
        return run_at_home(fleet, call, key, prefix, in_flight).await;
    }
    let forwarded = request.headers().contains_key(FORWARDED_HEADER);
    if prefix.home == own_id || forwarded {
        // The key was issued by an earlier run of the home; its state was lost with that process.
        return Err(home_unreachable(&id));
    }
    forward(fleet, &call, key, prefix).await
}

/// The error for a key whose state can't be reached; this copy was forwarded to nobody.
fn home_unreachable(id: &str) -> Problem {
    Problem::new(Code::HomeUnreachable, Outcome::Unknown, id).with_attempt(Outcome::NotRun)
}

async fn run_at_home(
    fleet: &Arc<Fleet>,
    call: Call,
    key: &str,
    prefix: KeyPrefix,
    in_flight: Arc<InFlightGuard>,
) -> Result<Response, Problem> {
    let id = call.outbound.id.clone();
    if possibly_stale(fleet) {
        // Nothing of this copy was sent; an earlier copy may have run.
        let problem =
            Problem::new(Code::NotReady, Outcome::Unknown, &id).with_attempt(Outcome::NotRun);
        return Err(problem.with_retry_after(SOCKET_DRAIN_TIME));
    }
    let ttl = fleet.settings.discovery.key_ttl;
    let account_key: AccountKey = (call.admitted.account, key.into());
    let deadline = call.admitted.deadline;
    let digest = request_digest(&call);
    let ended = {
        let mut keys = fleet.home.lock();
        // Read under the lock. If the process were paused between this check and the claim, the
        // cleanup could remove the key of an earlier copy meanwhile, and this copy would run again.
        let now = fleet.clock.now();
        if prefix.is_expired(now.duration_since(fleet.started), ttl) {
            // The key may have been removed, so its outcome is unknown; this copy is not run.
            let problem = Problem::new(Code::KeyExpired, Outcome::Unknown, &id);
            return Err(problem.with_attempt(Outcome::NotRun));
        }
        let usage = KeyUse {
            issued_secs: prefix.issued_secs,
            digest,
            expires_at: now + retention(ttl, deadline.saturating_duration_since(now)),
        };
        match keys.table.claim(&account_key, usage) {
            ClaimResult::Run => {
                let (sender, receiver) = watch::channel(());
                keys.running.insert(account_key.clone(), receiver.clone());
                tokio::spawn(run_once(
                    Arc::clone(fleet),
                    call,
                    account_key.clone(),
                    sender,
                    in_flight,
                ));
                receiver
            }
            ClaimResult::InProgress => keys.running[&account_key].clone(),
            // The rejection of another copy is final; the caller needs a new key.
            ClaimResult::Rejected(_) => return Err(Problem::not_run(Code::KeyRejected, &id)),
            other => return claim_response(other, &id),
        }
    };
    wait_for_result(fleet, ended, &account_key, digest, deadline, &id).await
}

/// Returns whether this copy may have been buffered in a socket while the process was paused.
///
/// The timeout in such a call counts from before the pause, so the call would run after its caller
/// stopped waiting. After a pause, no call with a key is accepted until the sockets are drained.
fn possibly_stale(fleet: &Fleet) -> bool {
    fleet.apply(|board, now| {
        // The first handler after a pause may run before the next tick detects it.
        tick::detect_pause(board, now);
        let resumed_recently = board
            .resumed_at
            .is_some_and(|at| now.duration_since(at) < SOCKET_DRAIN_TIME);
        resumed_recently || board.stale_since.is_some()
    })
}

/// Digest of the request, by which a key that is reused for another request is detected.
fn request_digest(call: &Call) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(call.outbound.method.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(call.admitted.service_name.as_bytes());
    hasher.update(call.outbound.path.as_bytes());
    hasher.update(&[0]);
    hasher.update(&call.outbound.body);
    *hasher.finalize().as_bytes()
}

async fn wait_for_result(
    fleet: &Arc<Fleet>,
    mut ended: watch::Receiver<()>,
    account_key: &AccountKey,
    digest: [u8; 32],
    deadline: std::time::Instant,
    id: &str,
) -> Result<Response, Problem> {
    let wait_until = tokio::time::Instant::from_std(deadline + RESULT_GRACE);
    // The sender sends nothing and is dropped when the call ends, so an error means the end.
    let _end = tokio::time::timeout_at(wait_until, ended.changed()).await;
    let claim = fleet.home.lock().table.get(account_key, digest);
    match claim {
        // The run was abandoned before a byte was sent, and its key is never run.
        Some(ClaimResult::Rejected(code)) => {
            Err(Problem::not_run(code, id).with_retry_after(Duration::from_millis(500)))
        }
        Some(other) => claim_response(other, id),
        // The key was removed while this copy waited, which happens only if the process was paused.
        None => Err(Problem::new(Code::KeyExpired, Outcome::Unknown, id)),
    }
}

fn claim_response(claim: ClaimResult, id: &str) -> Result<Response, Problem> {
    match claim {
        ClaimResult::Replay(response) => Ok(replay(&response)),
        ClaimResult::Discarded => Err(Problem::new(Code::ResponseDiscarded, Outcome::Ran, id)),
        ClaimResult::Mismatch => {
            let problem = Problem::new(Code::BadKey, Outcome::Unknown, id);
            Err(problem
                .with_attempt(Outcome::NotRun)
                .with_detail("the key was used for a different request"))
        }
        // The table had no room for the key, so nothing was started; it keeps rejecting the key.
        ClaimResult::Full => {
            Err(Problem::not_run(Code::KeyTableFull, id).with_retry_after(Duration::from_secs(1)))
        }
        ClaimResult::Run | ClaimResult::InProgress | ClaimResult::Rejected(_) => Err(Problem::new(
            Code::DeadlineWhileRunning,
            Outcome::Unknown,
            id,
        )),
        ClaimResult::Unknown => Err(Problem::new(Code::UpstreamFailed, Outcome::Unknown, id)),
    }
}

fn replay(stored: &StoredResponse) -> Response {
    let status = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    let mut response = Response::builder()
        .status(status)
        .header(REQUEST_ID_HEADER, &*stored.request_id);
    if let Some(kind) = &stored.content_type {
        response = response.content_type(kind);
    }
    response.body(Bytes::copy_from_slice(&stored.body))
}

/// Runs a claimed call to its end, even if the caller disconnects.
async fn run_once(
    fleet: Arc<Fleet>,
    call: Call,
    account_key: AccountKey,
    ended: watch::Sender<()>,
    in_flight: Arc<InFlightGuard>,
) {
    let result = run_claimed(&fleet, &call).await;
    let mut keys = fleet.home.lock();
    match result {
        Ok(response) => keys.table.complete(&account_key, Some(response)),
        // Nothing was sent. The key stays rejected, so that a copy still in transit can't run after
        // the caller received `not_run` and retried with a new key.
        Err(problem) if problem.outcome == Outcome::NotRun => {
            keys.table.reject(&account_key, problem.code);
        }
        Err(_) => keys.table.set_unknown(&account_key),
    }
    keys.running.remove(&account_key);
    drop(keys);
    drop(ended);
    drop(in_flight);
}

async fn run_claimed(fleet: &Arc<Fleet>, call: &Call) -> Result<StoredResponse, Problem> {
    if fleet.may_cut(call.admitted.deadline) {
        // Nobody would know its outcome; another instance takes it under a new key.
        return Err(Problem::not_run(Code::NotReady, &call.outbound.id));
    }
    let mut slot = acquire_slot(fleet, call).await?;
    match attempt(fleet, call, &mut slot, true).await {
        Ok(response) => read_response(fleet, call, slot, response).await,
        Err(problem) => {
            let result = CallResult {
                code: problem.code.number(),
                outcome: problem.outcome,
            };
            call_result::finish(fleet, call, slot, None, result);
            Err(problem)
        }
    }
}

async fn read_response(
    fleet: &Arc<Fleet>,
    call: &Call,
    slot: SlotGuard,
    mut response: reqwest::Response,
) -> Result<StoredResponse, Problem> {
    let reported = call_result::reported_cost(&response);
    let rules = call.admitted.response;
    let max_bytes = fleet.settings.limits.kept_bytes / READ_DIVISOR;
    let mut memory = fleet.answer_budget.begin(max_bytes);
    let (mut body, mut pieces) = (BytesMut::new(), 0);
    // Where memory lacks, only answers that come whole in time are waited for.
    let deadline = Instant::from_std(call.admitted.deadline);
    let mut failure = Code::UpstreamFailed;
    let ended = loop {
        // A server that stops sending must not hold its slot forever.
        match tokio::time::timeout(rules.idle_timeout, response.chunk()).await {
            Ok(Ok(Some(chunk))) => {
                if body.len() + chunk.len() > MAX_RESPONSE_BYTES {
                    failure = Code::ResponseOverLimit;
                    break false;
                }
                let appended = memory.append_in_turn(&mut body, &chunk, MAX_RESPONSE_BYTES);
                let is_late = tokio::time::timeout_at(deadline, appended).await.is_err();
                if is_late || memory.has_turn() && Instant::now() > deadline {
                    failure = Code::ResponseOverLimit;
                    break false;
                }
                pieces += 1;
            }
            Ok(Ok(None)) => break true,
            Ok(Err(_)) => {
                let progress = Progress {
                    sent_at: slot.acquired_at,
                    pieces,
                };
                quarantine::record_break(fleet, call, slot.dispatch.server, progress);
                break false;
            }
            Err(_elapsed) => break false,
        }
    };
    let complete = ended
        && (!response_stream::requires_last_line(call, response.status()) || has_last_line(&body))
        && has_whole_events(response_stream::event_check(call, &response), &body);
    let code = if complete { 0 } else { failure.number() };
    let outcome = if complete {
        Outcome::Ran
    } else {
        Outcome::Unknown
    };
    call_result::finish(fleet, call, slot, reported, CallResult { code, outcome });
    if !complete {
        return Err(Problem::new(failure, Outcome::Unknown, &call.outbound.id));
    }
    let kind = response.headers().get("content-type");
    Ok(StoredResponse {
        status: response.status().as_u16(),
        content_type: kind.and_then(|k| k.to_str().ok()).map(Into::into),
        body: body.as_ref().into(),
        request_id: call.outbound.id.clone(),
    })
}

fn has_last_line(body: &[u8]) -> bool {
    let mut lines = ResponseLines::default();
    lines.push(body);
    lines.is_complete()
}

/// Returns whether an event stream ends where one may end; a body of another type has no events.
fn has_whole_events(check: Option<EventCheck>, body: &[u8]) -> bool {
    check.is_none_or(|mut events| {
        events.push(body);
        events.may_end()
    })
}

/// Forwards the call to the home of its key.
async fn forward(
    fleet: &Arc<Fleet>,
    call: &Call,
    key: &str,
    prefix: KeyPrefix,
) -> Result<Response, Problem> {
    let id = &call.outbound.id;
    let address = fleet.view(|board| {
        let member = board.members.map.get(&prefix.home)?;
        (member.incarnation <= prefix.incarnation).then(|| member.contact.http.clone())
    });
    let Some(address) = address else {
        return Err(home_unreachable(id));
    };
    let remaining = call
        .admitted
        .deadline
        .saturating_duration_since(fleet.clock.now());
    let url = format!(
        "http://{address}/v1/call/{}{}",
        call.admitted.service_name, call.outbound.path
    );
    let result = fleet
        .upstream
        .unpooled_client()
        .request(call.outbound.method.clone(), url)
        .headers(call.outbound.headers.clone())
        .header(KEY_HEADER, key)
        .header(FORWARDED_HEADER, "1")
        .header(TIMEOUT_HEADER, (remaining.as_millis() as u64).max(1))
        .header("authorization", &*call.authorization)
        .body(call.outbound.body.clone())
        .timeout(remaining + RESULT_GRACE)
        .send()
        .await;
    let mut response = result.map_err(|error| {
        // `is_connect` errors occur only before the connection is made, and nothing is sent before.
        if error.is_connect() {
            // Without a connection this copy reached nobody; an earlier copy may have run.
            home_unreachable(id)
        } else {
            Problem::new(Code::HomeUnreachable, Outcome::Unknown, id)
        }
    })?;
    let status = response.status();
    if !is_final_status(status) {
        return Err(Problem::new(Code::HomeUnreachable, Outcome::Unknown, id));
    }
    let headers = forwarded_headers(response.headers());
    let request_id = response.headers().get(REQUEST_ID_HEADER).cloned();
    let body = read_body(&mut response, MAX_RESPONSE_BYTES)
        .await
        .map_err(|_error| Problem::new(Code::HomeUnreachable, Outcome::Unknown, id))?;
    let mut response = Response::builder().status(status).body(body);
    response.headers_mut().extend(headers);
    if let Some(request_id) = request_id {
        response.headers_mut().insert(REQUEST_ID_HEADER, request_id);
    }
    Ok(response)
}
