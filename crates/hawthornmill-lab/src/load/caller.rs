//! One call, sent until it is answered or its deadline passes.

use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{Duration, Instant};

use serde::Deserialize;
use tokio::sync::Mutex;

use super::plan::Caller;
use super::story::{Copy, Story};
use crate::standin::engine::{Generate, REQUEST_ID, last_line, line};

/// Times that one call is sent at most.
const TRIES: u32 = 4;

/// What discovery said, kept for as long as it allowed.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Addresses {
    /// Entries, best first.
    pub addresses: Vec<Box<str>>,
    /// Time for which they may be used.
    pub ttl_ms: u64,
    /// Prefix for keys.
    pub key_prefix: Box<str>,
}

/// Discovery as one group of callers does it.
#[derive(Debug)]
pub struct Discovery {
    seeds: Vec<Box<str>>,
    known: Mutex<(Addresses, Option<Instant>)>,
    next: AtomicI64,
}

impl Discovery {
    /// Discovery that starts from `seeds`.
    pub fn new(seeds: Vec<Box<str>>) -> Self {
        Self {
            seeds,
            known: Mutex::default(),
            next: AtomicI64::new(0),
        }
    }

    /// Addresses that may be used now; the same ones first for no two calls in a row.
    pub async fn addresses(&self, client: &reqwest::Client, salt: usize) -> Addresses {
        let mut known = self.known.lock().await;
        let fresh = known.1.is_some_and(|until| Instant::now() < until);
        if !fresh {
            self.renew(client, &mut known).await;
        }
        let mut addresses = known.0.clone();
        drop(known);
        // Callers keep to their own entries while one of them is listed.
        if addresses.addresses.iter().any(|a| self.seeds.contains(a)) {
            addresses.addresses.retain(|a| self.seeds.contains(a));
        }
        let turn = self.next.fetch_add(1, Ordering::Relaxed) as usize + salt;
        if !addresses.addresses.is_empty() {
            let by = turn % addresses.addresses.len();
            addresses.addresses.rotate_left(by);
        }
        addresses
    }

    async fn renew(&self, client: &reqwest::Client, known: &mut (Addresses, Option<Instant>)) {
        let tries: Vec<Box<str>> = known
            .0
            .addresses
            .iter()
            .chain(&self.seeds)
            .cloned()
            .collect();
        for address in tries {
            let url = format!("http://{address}/v1/addresses");
            let request = client.get(url).timeout(Duration::from_millis(500));
            let Ok(answer) = request.send().await else {
                continue;
            };
            let Ok(bytes) = answer.bytes().await else {
                continue;
            };
            let Ok(found) = serde_json::from_slice::<Addresses>(&bytes) else {
                continue;
            };
            if !found.addresses.is_empty() {
                known.1 = Some(Instant::now() + Duration::from_millis(found.ttl_ms));
                known.0 = found;
                return;
            }
        }
    }
}

/// A call to be made.
#[derive(Debug, Clone)]
pub struct Job {
    /// Who calls.
    pub caller: Arc<Caller>,
    /// Number of the call in the run.
    pub number: u64,
    /// Tokens that it asks for.
    pub tokens: u32,
    /// Start of the run.
    pub start: Instant,
}

/// What one answer amounted to.
enum Reply {
    Whole,
    Refused,
    /// No connection was made.
    Unreachable,
    /// The connection broke after something may have been sent.
    Broken,
}

/// Makes the call.
pub async fn call(
    client: &reqwest::Client,
    discovery: &Discovery,
    job: &Job,
    first: impl Fn() + Sync,
) -> Story {
    let caller = &job.caller;
    let mut story = Story {
        tag: format!("{}/{}", caller.account, job.number).into(),
        account: caller.account.clone(),
        service: caller.service.clone(),
        sent_us: micros(job.start),
        outcome: "none".into(),
        ..Story::default()
    };
    let deadline = Instant::now() + caller.deadline;
    let mut prefix = None;
    while story.tries < TRIES && Instant::now() < deadline {
        let known = discovery.addresses(client, job.number as usize).await;
        let Some(address) = known.addresses.first() else {
            tokio::time::sleep(Duration::from_millis(100)).await;
            story.tries += 1;
            continue;
        };
        story.entry = address.clone();
        if caller.keyed && story.key.is_none() {
            let prefix: Box<str> = prefix.take().unwrap_or(known.key_prefix);
            story.key = Some(format!("{prefix}.{}-{}", job.number, story.tries).into());
        }
        story.tries += 1;
        let sent = micros(job.start);
        story.fresh = None;
        let reply = send(client, job, &mut story, deadline, &first).await;
        let copy = copy(&story, &reply, sent, micros(job.start));
        story.copies.push(copy);
        match reply {
            Reply::Whole => break,
            Reply::Refused if !again(&mut story, &mut prefix) => break,
            Reply::Broken if story.first_us > 0 && !caller.keyed => break,
            Reply::Broken if !caller.keyed => break,
            Reply::Refused | Reply::Unreachable | Reply::Broken => {
                let pause = Duration::from_millis(story.retry_ms.clamp(20, 400));
                tokio::time::sleep(pause.min(deadline.saturating_duration_since(Instant::now())))
                    .await;
            }
        }
    }
    story.end_us = micros(job.start);
    story
}

/// Tells whether a refused call should be sent again.
fn again(story: &mut Story, prefix: &mut Option<Box<str>>) -> bool {
    // The key can't be used any more: refused, expired, no room for it, or its home is gone.
    let spent = matches!(story.code, 3012 | 3014 | 3015 | 3024);
    // The instance is leaving or full: another address may do.
    let elsewhere = matches!(story.code, 3009 | 3020);
    if !spent && !elsewhere {
        return false;
    }
    // A call of which no copy went anywhere may go on with a new key; otherwise nobody but the
    // server's own books can say what became of it.
    if story.key.is_some() && story.harmless() {
        story.key = None;
        *prefix = story.fresh.take();
        return true;
    }
    elsewhere
}

fn copy(story: &Story, reply: &Reply, sent: u64, end: u64) -> Copy {
    let (outcome, attempt) = match reply {
        Reply::Whole => ("whole", "ran"),
        Reply::Refused => (&*story.outcome, &*story.attempt),
        Reply::Unreachable => ("none", "not_run"),
        Reply::Broken => ("none", "unknown"),
    };
    Copy {
        tag: story.tag.clone(),
        key: story.key.clone(),
        entry: story.entry.clone(),
        sent_us: sent,
        end_us: end,
        code: if matches!(reply, Reply::Refused) {
            story.code
        } else {
            0
        },
        outcome: outcome.into(),
        attempt: attempt.into(),
        serial: if matches!(reply, Reply::Whole) {
            story.serial
        } else {
            0
        },
        crossed: matches!(reply, Reply::Whole) && story.crossed,
    }
}

async fn send(
    client: &reqwest::Client,
    job: &Job,
    story: &mut Story,
    deadline: Instant,
    first: &(impl Fn() + Sync),
) -> Reply {
    let caller = &job.caller;
    let left = deadline.saturating_duration_since(Instant::now());
    let url = format!(
        "http://{}/v1/call/{}{}",
        story.entry, caller.service, caller.path
    );
    let mut request = client
        .post(url)
        .bearer_auth(&caller.token)
        .header("hawthornmill-timeout-ms", (left.as_millis() as u64).max(1))
        .timeout(left + Duration::from_secs(20))
        .body(body(story, job));
    if let Some(key) = &story.key {
        request = request.header("idempotency-key", &**key);
    }
    let mut answer = match request.send().await {
        Ok(answer) => answer,
        Err(error) if error.is_connect() => return Reply::Unreachable,
        Err(_) => {
            story.outcome = "none".into();
            return Reply::Broken;
        }
    };
    story.status = answer.status().as_u16();
    let named = answer.headers().get(REQUEST_ID);
    story.request = named
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .into();
    let refused = answer
        .headers()
        .get("content-type")
        .is_some_and(|t| t.as_bytes() == b"application/problem+json");
    let mut bytes = Vec::new();
    loop {
        match answer.chunk().await {
            Ok(Some(chunk)) => {
                if bytes.is_empty() && !refused {
                    story.first_us = micros(job.start);
                    first();
                }
                bytes.extend_from_slice(&chunk);
            }
            Ok(None) => break,
            Err(_) => {
                story.outcome = "broken".into();
                return Reply::Broken;
            }
        }
    }
    if refused {
        read_problem(story, &bytes);
        return Reply::Refused;
    }
    story.outcome = "whole".into();
    story.code = 0;
    judge(story, job, &bytes);
    Reply::Whole
}

fn body(story: &Story, job: &Job) -> String {
    if job.caller.keyed {
        return format!("{{\"tag\":\"{}\"}}", story.tag);
    }
    let asked = Generate {
        tag: story.tag.clone(),
        tokens: job.tokens,
        from: 0,
        events: false,
    };
    serde_json::to_string(&asked).unwrap_or_default()
}

fn read_problem(story: &mut Story, bytes: &[u8]) {
    #[derive(Deserialize, Default)]
    #[serde(default)]
    struct Problem {
        code: u16,
        outcome: Box<str>,
        attempt: Box<str>,
        retry_after_ms: u64,
        key_prefix: Option<Box<str>>,
    }
    let problem: Problem = serde_json::from_slice(bytes).unwrap_or_default();
    story.code = problem.code;
    story.outcome = problem.outcome;
    story.attempt = problem.attempt;
    story.retry_ms = problem.retry_after_ms;
    story.fresh = problem.key_prefix;
}

/// Compares an answer with the one that the server makes for this call.
fn judge(story: &mut Story, job: &Job, bytes: &[u8]) {
    let text = String::from_utf8_lossy(bytes);
    let own = format!("\"tag\":\"{}\"", story.tag);
    story.crossed = text.lines().any(|l| !l.contains(&own));
    if job.caller.keyed {
        #[derive(Deserialize)]
        struct Ran {
            serial: u64,
        }
        let ran: Option<Ran> = serde_json::from_str(&text).ok();
        story.truncated = ran.is_none();
        story.serial = ran.map_or(0, |r| r.serial);
        return;
    }
    let asked = Generate {
        tag: story.tag.clone(),
        tokens: job.tokens,
        from: 0,
        events: false,
    };
    let mut expected: String = (0..job.tokens).map(|i| line(&story.tag, i)).collect();
    expected.push_str(&last_line(&asked));
    story.truncated = !story.crossed && text != expected;
    story.cost = f64::from(job.tokens);
}

fn micros(start: Instant) -> u64 {
    start.elapsed().as_micros() as u64
}
