//! One request, from its first byte to its settlement.
//!
//! | step | takes | gives |
//! |---|---|---|
//! | [`read`] | bytes of a caller | a [`read::Call`] |
//! | [`admit`] | a call and the catalog | an [`admit::Admitted`], or a [`reply::Reply`] |
//! | wait | an admitted call | a server, from the desk |
//! | [`send`] | a call and its server | a [`send::Sent`] |
//! | [`deliver`], [`events`] | a server's answer | bytes to the caller |
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

use hawthornmill::codes::Code;
use hawthornmill::routing::desk::{Refusal, Verdict};
use hawthornmill::routing::loads;
use hawthornmill::routing::place::Choice;
use serde_json::json;
use tokio::net::tcp::OwnedWriteHalf;

use crate::gateway::Gateway;
use crate::journal;
use admit::Admitted;
use again::Next;
use deliver::{Delivered, deliver};
use read::Call;
use reply::Reply;
use send::{Answer, Sent, send};
use settle::{Stage, Trip};

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

/// Carries a request to its end, in the time that its route and its caller allow.
pub async fn carry(
    gateway: &Gateway,
    call: &Call,
    trip: &mut Trip,
    closing: Closing,
    out: &mut OwnedWriteHalf,
) -> End {
    let admitted = match admit::admit(gateway, call) {
        Ok(admitted) => admitted,
        Err(reply) => return answer_self(gateway, call, trip, &reply, closing, out).await,
    };
    trip.admitted(call, &admitted);
    let ends = tokio::time::Instant::from_std(admitted.request.ends);
    let journey = journey(gateway, call, &admitted, trip, closing, out);
    if let Ok(end) = tokio::time::timeout_at(ends, journey).await {
        return end;
    }
    match trip.stage {
        Stage::Waiting => {
            let again = admitted.request.objective;
            let reply = Reply::again(Code::QueueLate, again);
            answer_self(gateway, call, trip, &reply, closing, out).await
        }
        Stage::Sent => {
            let reply = Reply::new(Code::DeadlineWhileRunning);
            answer_self(gateway, call, trip, &reply, closing, out).await
        }
        Stage::Answering => {
            trip.note_code(Code::DeadlineWhileRunning);
            End::Broken
        }
    }
}

/// Releases a server's place however the request ends.
struct Held<'a> {
    gateway: &'a Gateway,
    choice: Choice,
    began: bool,
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.gateway.release(&self.choice, self.began);
    }
}

impl Held<'_> {
    /// The answer's first token is here.
    fn begin(&mut self, call: &Call, admitted: &Admitted, sent: std::time::Instant) {
        if std::mem::replace(&mut self.began, true) {
            return;
        }
        let now = self.gateway.now();
        let time = now.duration_since(sent);
        self.gateway
            .desk
            .borrow_mut()
            .began(admitted.request.service, &self.choice, time);
        let whole = now.duration_since(call.came);
        self.gateway.meters.began(&admitted.service_name, whole);
    }
}

async fn journey(
    gateway: &Gateway,
    call: &Call,
    admitted: &Admitted,
    trip: &mut Trip,
    closing: Closing,
    out: &mut OwnedWriteHalf,
) -> End {
    let mut request = admitted.request.clone();
    let mut fallback: Option<Answer> = None;
    loop {
        let choice = match gateway.place(&request).await {
            Verdict::Send(choice) => choice,
            Verdict::Refuse(refusal) => {
                return no_server(gateway, call, trip, fallback, refusal, closing, out).await;
            }
            Verdict::Wait(_) => {
                let refusal = Refusal {
                    code: Code::InstanceFull,
                    again: request.objective,
                };
                return no_server(gateway, call, trip, fallback, refusal, closing, out).await;
            }
        };
        let mut held = Held {
            gateway,
            choice,
            began: false,
        };
        trip.sending(gateway, call, &choice);
        let sent_at = gateway.now();
        let sent = send(gateway, call, admitted, trip, choice.server).await;
        let failed = match sent {
            Sent::Answer(answer)
                if again::is_failure(&answer) && again::may(gateway, admitted, trip) =>
            {
                gateway.desk.borrow_mut().loads.judge(
                    choice.server,
                    loads::Verdict::Failed,
                    gateway.now(),
                );
                fallback = deliver::collect(answer).await.or(fallback);
                Next::Again
            }
            Sent::Answer(answer) => {
                let begin = |held: &mut Held<'_>| held.begin(call, admitted, sent_at);
                match deliver(
                    gateway,
                    call,
                    admitted,
                    trip,
                    answer,
                    closing.last,
                    out,
                    &mut |()| begin(&mut held),
                )
                .await
                {
                    Delivered::Whole => return End::Whole,
                    Delivered::CallerGone => return End::Left,
                    Delivered::Cut => again::after_break(gateway, admitted, trip, choice.server),
                }
            }
            Sent::Unreached(why) => {
                again::after_unreached(gateway, call, trip, choice.server, &why)
            }
            Sent::NotRun { moved } => {
                again::after_not_run(gateway, admitted, trip, choice.server, moved)
            }
            Sent::Broken(why) => {
                journal::trouble("server_broke_off", &call.attempt, json!({"why": why}));
                again::after_break(gateway, admitted, trip, choice.server)
            }
        };
        drop(held);
        request.tried.push(choice.server);
        match failed {
            Next::Again => {}
            Next::Refuse => {
                let refusal = Refusal {
                    code: Code::UpstreamUnreachable,
                    again: admitted.request.objective / 2,
                };
                return no_server(gateway, call, trip, fallback, refusal, closing, out).await;
            }
            Next::Fail if trip.stage == Stage::Answering => {
                trip.note_code(Code::UpstreamFailed);
                return End::Broken;
            }
            Next::Fail => {
                let reply = Reply::new(Code::UpstreamFailed);
                return answer_self(gateway, call, trip, &reply, closing, out).await;
            }
        }
    }
}

/// Ends a request for which there is no further server: with a failure that a server gave, or with
/// the truth about whether it may have run.
async fn no_server(
    gateway: &Gateway,
    call: &Call,
    trip: &mut Trip,
    fallback: Option<Answer>,
    refusal: Refusal,
    closing: Closing,
    out: &mut OwnedWriteHalf,
) -> End {
    if trip.stage == Stage::Answering {
        trip.note_code(refusal.code);
        return End::Broken;
    }
    if let Some(answer) = fallback {
        return deliver::pass_whole(gateway, call, trip, &answer, closing.last, out).await;
    }
    let reply = if trip.maybe_run {
        Reply::new(Code::UpstreamFailed)
    } else {
        Reply::again(refusal.code, refusal.again)
    };
    answer_self(gateway, call, trip, &reply, closing, out).await
}

async fn answer_self(
    gateway: &Gateway,
    call: &Call,
    trip: &mut Trip,
    reply: &Reply,
    closing: Closing,
    out: &mut OwnedWriteHalf,
) -> End {
    trip.note_reply(reply);
    match reply
        .write(
            gateway,
            Some(&call.attempt),
            closing.last || closing.crowded && reply.again.is_some(),
            out,
        )
        .await
    {
        Ok(()) => End::Whole,
        Err(_gone) => End::Left,
    }
}
