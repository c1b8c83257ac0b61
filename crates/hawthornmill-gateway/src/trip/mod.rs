//! One request, from its first byte to its settlement.
//!
//! | step | takes | gives |
//! |---|---|---|
//! | [`read`] | bytes of a caller | a [`read::Call`] |
//! | [`admit`] | a call and the catalog | an [`admit::Admitted`], or a [`reply::Reply`] |
//! | wait | an admitted call | a server, from the scheduler |
//! | [`mod@send`] | a call and its server | a [`send::Sent`] |
//! | [`mod@deliver`], [`events`] | a server's answer | bytes to the caller |
//! | [`settle`] | how it ended | log line, counters |
//!
//! [`again`] alone decides whether a request is sent once more.

pub mod admit;
pub mod again;
pub mod deliver;
pub mod events;
pub mod read;
pub mod reply;
pub mod send;
pub mod settle;

use std::time::Instant;

use hawthornmill::codes::Code;
use hawthornmill::ident::ServerId;
use hawthornmill::routing::loads;
use hawthornmill::routing::placement::Placement;
use hawthornmill::routing::request::{Cause, Refusal};
use serde_json::json;
use tokio::net::tcp::OwnedWriteHalf;

use crate::gateway::Gateway;
use crate::journal;
use admit::Admitted;
use again::Next;
use deliver::{Delivered, deliver, pass_whole};
use read::Call;
use reply::Reply;
use send::{Answer, Sent, send};
use settle::Trip;

/// How a request ended for its caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The caller has a whole answer; the connection may carry another request.
    Whole,
    /// The answer was broken off, visibly.
    Broken,
    /// The caller closed its connection before it had its answer.
    Left,
}

/// Whether the connection ends after the answer.
#[derive(Debug, Clone, Copy)]
pub struct Closing {
    /// After any answer.
    pub last: bool,
    /// After a refusal.
    pub crowded: bool,
}

/// What every step of a request looks at.
#[derive(Debug, Clone, Copy)]
pub struct Way<'a> {
    /// The process.
    pub gateway: &'a Gateway,
    /// The request as it came.
    pub call: &'a Call,
    /// Whether the connection ends after the answer.
    pub closing: Closing,
}

/// Carries a request to its end, in the time that its route and its caller allow.
pub async fn carry(way: Way<'_>, trip: &mut Trip, out: &mut OwnedWriteHalf) -> End {
    let admitted = match admit::admit(way.gateway, way.call) {
        Ok(admitted) => admitted,
        Err(reply) => return answer_self(way, trip, &reply, out).await,
    };
    trip.admitted(way.call, &admitted);
    let ends = tokio::time::Instant::from_std(admitted.request.deadline);
    let journey = journey(way, &admitted, trip, out);
    if let Ok(end) = tokio::time::timeout_at(ends, journey).await {
        return end;
    }
    if trip.is_answering() {
        trip.note_code(Code::DeadlineWhileRunning);
        return End::Broken;
    }
    let reply = if trip.may_have_run() {
        Reply::new(Code::DeadlineWhileRunning)
    } else {
        Reply::again(Code::QueueLate, admitted.request.objective)
    };
    answer_self(way, trip, &reply, out).await
}

/// A server's place for one request, released however that ends.
#[derive(Debug)]
pub struct Held<'a> {
    gateway: &'a Gateway,
    admitted: &'a Admitted,
    choice: Placement,
    sent: Instant,
    began: bool,
}

/// Times the objective after which a server that has not begun counts as silent.
///
/// A server that takes requests and answers none looks idle, and would draw more of them; no answer
/// of its own ever says so. Under load all servers are late alike, so none is passed over for it.
const SILENT: f64 = 1.5;

impl Drop for Held<'_> {
    fn drop(&mut self) {
        let silent = self.admitted.request.objective.mul_f64(SILENT);
        let time = self.gateway.now().duration_since(self.sent);
        if !self.began && time > silent {
            again::judge(
                self.gateway,
                self.choice.server,
                loads::ServerOutcome::Failed,
            );
        }
        self.gateway.release(&self.choice, self.began);
    }
}

impl Held<'_> {
    /// The answer's first token is here; later calls change nothing.
    pub fn begin(&mut self) {
        if std::mem::replace(&mut self.began, true) {
            return;
        }
        let now = self.gateway.now();
        let request = &self.admitted.request;
        let time = (!self.gateway.is_behind()).then(|| now.duration_since(self.sent));
        self.gateway.scheduler.borrow_mut().record_first_token(
            request.service,
            &self.choice,
            time,
            now,
        );
        self.gateway.tell_work();
        let whole = now.duration_since(request.arrival);
        self.gateway
            .meters
            .began(&self.admitted.service_name, whole);
    }
}

/// Sends the request to one server after another until it ends.
async fn journey(
    way: Way<'_>,
    admitted: &Admitted,
    trip: &mut Trip,
    out: &mut OwnedWriteHalf,
) -> End {
    let mut request = admitted.request.clone();
    let mut fallback: Option<Answer> = None;
    loop {
        let choice = match way.gateway.place(&request).await {
            Ok(choice) => choice,
            Err(refusal) => {
                settle::note_refusal(way, &request, &refusal);
                return no_server(way, trip, fallback, refusal, out).await;
            }
        };
        request.tried.push(choice.server);
        let next = match attempt(way, admitted, trip, choice, &mut fallback, out).await {
            Ok(end) => return end,
            Err(next) => next,
        };
        match next {
            Next::Again => {}
            Next::Refuse => {
                let refusal = Refusal {
                    code: Code::UpstreamUnreachable,
                    cause: Cause::NoServer,
                    retry_after: admitted.request.objective / 2,
                };
                return no_server(way, trip, fallback, refusal, out).await;
            }
            Next::Fail if trip.is_answering() => {
                trip.note_code(Code::UpstreamFailed);
                return End::Broken;
            }
            Next::Fail => {
                return answer_self(way, trip, &Reply::new(Code::UpstreamFailed), out).await;
            }
        }
    }
}

/// Sends the request to one server; an error says what follows its failure there.
async fn attempt(
    way: Way<'_>,
    admitted: &Admitted,
    trip: &mut Trip,
    choice: Placement,
    fallback: &mut Option<Answer>,
    out: &mut OwnedWriteHalf,
) -> Result<End, Next> {
    let (gateway, server) = (way.gateway, choice.server);
    trip.sending(gateway, way.call, &choice);
    let mut held = Held {
        gateway,
        admitted,
        choice,
        sent: gateway.now(),
        began: false,
    };
    match send(gateway, way.call, admitted, trip, &choice).await {
        Sent::Answer(answer)
            if again::is_failure(&answer) && again::may(gateway, admitted, trip) =>
        {
            again::judge(gateway, server, loads::ServerOutcome::Failed);
            if let Some(answer) = deliver::collect(answer).await {
                *fallback = Some(answer);
            }
            Err(Next::Again)
        }
        Sent::Answer(answer) => match deliver(way, admitted, trip, answer, &mut held, out).await {
            Delivered::Whole => Ok(End::Whole),
            Delivered::CallerGone => Ok(End::Left),
            Delivered::Cut => {
                note_break(way, server, "the answer broke off");
                Err(again::after_break(gateway, admitted, trip, server))
            }
        },
        Sent::Unreached(why) => Err(again::after_unreached(
            gateway, way.call, trip, server, &why,
        )),
        Sent::NotRun { moved } => Err(again::after_not_run(gateway, admitted, trip, server, moved)),
        Sent::Broken(why) => {
            note_break(way, server, &why);
            Err(again::after_break(gateway, admitted, trip, server))
        }
    }
}

fn note_break(way: Way<'_>, server: ServerId, why: &str) {
    let fields = json!({"server": way.gateway.server_name(server), "why": why});
    journal::trouble("server_broke_off", &way.call.attempt, fields);
}

/// Ends a request for which there is no further server: with a failure that a server gave, or with
/// the truth about whether it may have run.
async fn no_server(
    way: Way<'_>,
    trip: &mut Trip,
    fallback: Option<Answer>,
    refusal: Refusal,
    out: &mut OwnedWriteHalf,
) -> End {
    if trip.is_answering() {
        trip.note_code(refusal.code);
        return End::Broken;
    }
    if let Some(answer) = fallback {
        return pass_whole(way, trip, &answer, out).await;
    }
    let reply = if trip.may_have_run() {
        Reply::new(Code::UpstreamFailed)
    } else {
        Reply::again(refusal.code, refusal.retry_after)
    };
    answer_self(way, trip, &reply, out).await
}

async fn answer_self(
    way: Way<'_>,
    trip: &mut Trip,
    reply: &Reply,
    out: &mut OwnedWriteHalf,
) -> End {
    trip.note_reply(reply);
    let last = way.closing.last || (way.closing.crowded && trip.is_refused());
    match reply
        .write(way.gateway, Some(&way.call.attempt), last, out)
        .await
    {
        Ok(()) => End::Whole,
        Err(_gone) => End::Left,
    }
}
