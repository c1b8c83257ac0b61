//! Calls that must not repeat.
//!
//! Only the home of a key runs its call, once; every other instance passes the call on to it. The
//! home records the key before the first byte can leave, and runs the call in a task of its own, so
//! that a caller who breaks off does not change what happens.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
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

use super::admit::TIMEOUT;
use super::call::{Call, Flying, attempt, refuse, slot};
use super::home::fresh_prefix;
use super::problem::Problem;
use super::record;
use super::relay::{self, Finished};
use super::stream as answer_stream;
use crate::fleet::{Fleet, SlotGuard};
use crate::upstream::REQUEST_ID;

/// Header with the caller's key.
pub const KEY: &str = "idempotency-key";
/// Header that marks a call passed on to its home; it is not passed on again.
const PASSED: &str = "hawthornmill-passed";
/// Time that a home is given beyond the deadline to say what became of a call.
const GRACE: Duration = Duration::from_millis(250);
/// Time after a pause within which every call that waited in a socket has been read.
const SETTLE: Duration = Duration::from_millis(250);
/// Longest answer of a call that must not repeat.
const ANSWER_LIMIT: usize = 16 << 20;

/// Answers one call of a service that must not repeat.
pub async fn run(fleet: &Arc<Fleet>, request: &Request, call: Call, flying: Flying) -> Response {
    // The run may end before its answer is written; this caller's call lasts until that is done.
    let flying = Arc::new(flying);
    let copy = call.clone();
    match dispatch(fleet, request, call, Arc::clone(&flying)).await {
        Ok(response) => until_written(response, flying).await,
        Err(problem) => {
            if refused_early(&problem) {
                record::record_refusal(fleet, &copy, &problem, copy.admitted.arrived);
            }
            refuse(fleet, &problem.prefix(fresh_prefix(fleet)))
        }
    }
}

/// Counts the call as in flight until its whole body was handed to the connection.
async fn until_written(mut response: Response, flying: Arc<Flying>) -> Response {
    let body = response.take_body().into_bytes().await.unwrap_or_default();
    response
        .headers_mut()
        .insert("content-length", body.len().into());
    let chunks = stream::iter([Ok::<_, std::io::Error>(body)]).inspect(move |_| {
        // Owned by the stream, which is dropped when the connection has taken all of it.
        let _held = &flying;
    });
    response.set_body(Body::from_bytes_stream(chunks));
    response
}

/// Tells whether the key itself was refused; any later refusal has left its record already.
fn refused_early(problem: &Problem) -> bool {
    let early = [
        Code::KeyRequired,
        Code::BadKey,
        Code::KeyExpired,
        Code::KeyRejected,
        Code::KeyTableFull,
        Code::HomeUnreachable,
    ];
    problem.attempt == Outcome::NotRun && early.contains(&problem.code)
}

async fn dispatch(
    fleet: &Arc<Fleet>,
    request: &Request,
    call: Call,
    flying: Arc<Flying>,
) -> Result<Response, Problem> {
    let id = call.out.id.clone();
    let text = request
        .headers()
        .get(KEY)
        .ok_or_else(|| Problem::not_run(Code::KeyRequired, &id))?;
    let text = text.to_str().unwrap_or_default();
    let (prefix, _) = KeyPrefix::parse_key(&fleet.settings.key, text).map_err(|error| {
        // A key that can't be read names no home, so this copy went nowhere.
        let words = match error {
            KeyError::Malformed => "malformed",
            KeyError::UnknownIssuer => "not made by this fleet",
        };
        Problem::not_run(Code::BadKey, &id).detail(words)
    })?;
    let me = InstanceId::of(&fleet.settings.contact.name);
    if prefix.home == me && prefix.incarnation == fleet.incarnation {
        return at_home(fleet, call, text, prefix, flying).await;
    }
    let passed = request.headers().contains_key(PASSED);
    if prefix.home == me || passed {
        // The home's earlier run took what it knew of the key with it.
        return Err(lost(&id));
    }
    pass(fleet, &call, text, prefix).await
}

/// Nothing is known of the key; this copy was passed to nobody.
fn lost(id: &str) -> Problem {
    Problem::new(Code::HomeUnreachable, Outcome::Unknown, id).attempt(Outcome::NotRun)
}

async fn at_home(
    fleet: &Arc<Fleet>,
    call: Call,
    text: &str,
    prefix: KeyPrefix,
    flying: Arc<Flying>,
) -> Result<Response, Problem> {
    let id = call.out.id.clone();
    if undatable(fleet) {
        // Nothing of this copy has left; an earlier one may have run.
        let problem = Problem::new(Code::NotReady, Outcome::Unknown, &id).attempt(Outcome::NotRun);
        return Err(problem.retry(SETTLE));
    }
    let ttl = fleet.settings.discovery.keys;
    let own: AccountKey = (call.admitted.account, text.into());
    let deadline = call.admitted.deadline;
    let digest = digest(&call);
    let ended = {
        let mut home = fleet.home.lock();
        // Read under the lock. Were the process stopped between this check and the claim, the sweep
        // could forget the key of an earlier copy in between, and this copy would run it again.
        let now = fleet.clock.now();
        if prefix.is_expired(now.duration_since(fleet.started), ttl) {
            // The mark may be forgotten, so nothing is known of the key; this copy goes nowhere.
            let problem = Problem::new(Code::KeyExpired, Outcome::Unknown, &id);
            return Err(problem.attempt(Outcome::NotRun));
        }
        let usage = KeyUse {
            issued_secs: prefix.issued_secs,
            digest,
            expires_at: now + retention(ttl, deadline.saturating_duration_since(now)),
        };
        match home.table.claim(&own, usage) {
            ClaimResult::Run => {
                let (sender, receiver) = watch::channel(());
                home.running.insert(own.clone(), receiver.clone());
                tokio::spawn(run_once(
                    Arc::clone(fleet),
                    call,
                    own.clone(),
                    sender,
                    flying,
                ));
                receiver
            }
            ClaimResult::InProgress => home.running[&own].clone(),
            // The refusal of another copy is final; the caller needs a new key.
            ClaimResult::Rejected(_) => return Err(Problem::not_run(Code::KeyRejected, &id)),
            other => return settled(other, &id),
        }
    };
    wait_end(fleet, ended, &own, digest, deadline, &id).await
}

/// Tells whether it can't be known how long this copy has waited to be read.
///
/// A stopped process finds calls in its sockets when it goes on; the time left that such a call
/// names began to run before the stop, so it would be run after its caller has given up. Until the
/// sockets have been read empty after a pause, no such call is taken.
fn undatable(fleet: &Fleet) -> bool {
    fleet.feed(|board, now| {
        // The first handler after a pause may run before the next tick.
        tick::detect_pause(board, now);
        let woke = board
            .resumed_at
            .is_some_and(|at| now.duration_since(at) < SETTLE);
        woke || board.stale_since.is_some()
    })
}

/// The same key must mean the same request.
fn digest(call: &Call) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(call.out.method.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(call.admitted.service_name.as_bytes());
    hasher.update(call.out.path.as_bytes());
    hasher.update(&[0]);
    hasher.update(&call.out.body);
    *hasher.finalize().as_bytes()
}

async fn wait_end(
    fleet: &Arc<Fleet>,
    mut ended: watch::Receiver<()>,
    own: &AccountKey,
    digest: [u8; 32],
    deadline: std::time::Instant,
    id: &str,
) -> Result<Response, Problem> {
    let until = tokio::time::Instant::from_std(deadline + GRACE);
    // The sender says nothing and is dropped at the end, so an error is the awaited event.
    let _end = tokio::time::timeout_at(until, ended.changed()).await;
    let found = fleet.home.lock().table.get(own, digest);
    match found {
        // The run was given up before a byte left, and its key never runs.
        Some(ClaimResult::Rejected(code)) => {
            Err(Problem::not_run(code, id).retry(Duration::from_millis(500)))
        }
        Some(other) => settled(other, id),
        // The mark was forgotten while this copy waited, which only a stopped process can meet.
        None => Err(Problem::new(Code::KeyExpired, Outcome::Unknown, id)),
    }
}

fn settled(claim: ClaimResult, id: &str) -> Result<Response, Problem> {
    match claim {
        ClaimResult::Replay(answer) => Ok(kept(&answer)),
        ClaimResult::Discarded => Err(Problem::new(Code::ResponseDiscarded, Outcome::Ran, id)),
        ClaimResult::Mismatch => {
            let problem = Problem::new(Code::BadKey, Outcome::Unknown, id);
            Err(problem
                .attempt(Outcome::NotRun)
                .detail("the key was used for a different request"))
        }
        // No room to mark the key, so nothing was started, nor will be: the table refuses it on.
        ClaimResult::Full => {
            Err(Problem::not_run(Code::KeyTableFull, id).retry(Duration::from_secs(1)))
        }
        ClaimResult::Run | ClaimResult::InProgress | ClaimResult::Rejected(_) => Err(Problem::new(
            Code::DeadlineWhileRunning,
            Outcome::Unknown,
            id,
        )),
        ClaimResult::Unknown => Err(Problem::new(Code::UpstreamFailed, Outcome::Unknown, id)),
    }
}

fn kept(answer: &StoredResponse) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let mut response = Response::builder()
        .status(status)
        .header(REQUEST_ID, &*answer.request_id);
    if let Some(kind) = &answer.content_type {
        response = response.content_type(kind);
    }
    response.body(Bytes::copy_from_slice(&answer.body))
}

/// Runs a claimed call; the caller may go away meanwhile.
async fn run_once(
    fleet: Arc<Fleet>,
    call: Call,
    own: AccountKey,
    ended: watch::Sender<()>,
    flying: Arc<Flying>,
) {
    let result = run_claimed(&fleet, &call).await;
    let mut home = fleet.home.lock();
    match result {
        Ok(answer) => home.table.complete(&own, Some(answer)),
        // Nothing was sent. The key stays refused, so that a copy which is still on its way can't
        // run after its caller was told `not_run` and went on with a new key.
        Err(problem) if problem.outcome == Outcome::NotRun => {
            home.table.reject(&own, problem.code);
        }
        Err(_) => home.table.set_unknown(&own),
    }
    home.running.remove(&own);
    drop(home);
    drop(ended);
    drop(flying);
}

async fn run_claimed(fleet: &Arc<Fleet>, call: &Call) -> Result<StoredResponse, Problem> {
    let mut slot = slot(fleet, call).await?;
    match attempt(fleet, call, &mut slot, true).await {
        Ok(answer) => collect(fleet, call, slot, answer).await,
        Err(problem) => {
            let finished = Finished {
                code: problem.code.number(),
                outcome: problem.outcome,
            };
            relay::finish(fleet, call, slot, None, finished);
            Err(problem)
        }
    }
}

async fn collect(
    fleet: &Arc<Fleet>,
    call: &Call,
    slot: SlotGuard,
    mut answer: reqwest::Response,
) -> Result<StoredResponse, Problem> {
    let reported = relay::reported(&answer);
    let rule = call.admitted.answer;
    let mut body = Vec::new();
    let ended = loop {
        // A server that falls silent must not hold its slot for ever.
        match tokio::time::timeout(rule.idle_timeout, answer.chunk()).await {
            Ok(Ok(Some(chunk))) => body.extend_from_slice(&chunk),
            Ok(Ok(None)) => break true,
            Ok(Err(_)) | Err(_) => break false,
        }
        if body.len() > ANSWER_LIMIT {
            break false;
        }
    };
    let whole = ended && (!answer_stream::needs_done(call, answer.status()) || says_done(&body));
    let code = if whole {
        0
    } else {
        Code::UpstreamFailed.number()
    };
    let outcome = if whole {
        Outcome::Ran
    } else {
        Outcome::Unknown
    };
    relay::finish(fleet, call, slot, reported, Finished { code, outcome });
    if !whole {
        return Err(Problem::new(
            Code::UpstreamFailed,
            Outcome::Unknown,
            &call.out.id,
        ));
    }
    let kind = answer.headers().get("content-type");
    Ok(StoredResponse {
        status: answer.status().as_u16(),
        content_type: kind.and_then(|k| k.to_str().ok()).map(Into::into),
        body: body.into(),
        request_id: call.out.id.clone(),
    })
}

fn says_done(body: &[u8]) -> bool {
    let mut lines = ResponseLines::default();
    lines.push(body);
    lines.is_complete()
}

/// Passes the call on to the home of its key.
async fn pass(
    fleet: &Arc<Fleet>,
    call: &Call,
    text: &str,
    prefix: KeyPrefix,
) -> Result<Response, Problem> {
    let id = &call.out.id;
    let address = fleet.view(|board| {
        let member = board.members.map.get(&prefix.home)?;
        (member.incarnation <= prefix.incarnation).then(|| member.contact.http.clone())
    });
    let Some(address) = address else {
        return Err(lost(id));
    };
    let left = call
        .admitted
        .deadline
        .saturating_duration_since(fleet.clock.now());
    let url = format!(
        "http://{address}/v1/call/{}{}",
        call.admitted.service_name, call.out.path
    );
    let sent = fleet
        .upstream
        .client()
        .request(call.out.method.clone(), url)
        .headers(call.out.headers.clone())
        .header(KEY, text)
        .header(PASSED, "1")
        .header(TIMEOUT, (left.as_millis() as u64).max(1))
        .header("authorization", &*call.bearer)
        .body(call.out.body.clone())
        .timeout(left + GRACE)
        .send()
        .await;
    let answer = sent.map_err(|error| {
        // Only the making of a connection fails as `is_connect`, and a call is written after that.
        if error.is_connect() {
            // No connection, so this copy reached nobody; an earlier copy may have run.
            lost(id)
        } else {
            Problem::new(Code::HomeUnreachable, Outcome::Unknown, id)
        }
    })?;
    let status = answer.status();
    let headers = crate::upstream::passed_on(answer.headers());
    let named = answer.headers().get(REQUEST_ID).cloned();
    let body = answer
        .bytes()
        .await
        .map_err(|_cut| Problem::new(Code::HomeUnreachable, Outcome::Unknown, id))?;
    let mut response = Response::builder().status(status).body(body);
    response.headers_mut().extend(headers);
    if let Some(named) = named {
        response.headers_mut().insert(REQUEST_ID, named);
    }
    Ok(response)
}
