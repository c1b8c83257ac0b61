//! Copies of the same calls through several routers at the same time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Deserialize;
use tokio::task::JoinSet;

use super::check::Books;
use crate::demo::site::Site;
use crate::load::story::Copy;
use crate::standin::engine::REQUEST_ID;

/// A storm of calls that must not repeat.
#[derive(Debug, Clone)]
pub struct Storm {
    /// Seed of every choice.
    pub seed: u64,
    /// Service to call, and its path.
    pub service: Box<str>,
    /// Account, whose token is `token-ACCOUNT`.
    pub account: Box<str>,
    /// Keys used.
    pub keys: u64,
    /// Most copies of a call that are sent.
    pub copies: usize,
    /// Time over which the calls are spread.
    pub time: Duration,
    /// Addresses of the routers.
    pub entries: Vec<Box<str>>,
}

/// Sends the storm and returns every copy.
///
/// Copies go to routers drawn at random, some at the same moment, some late; and some callers break
/// off after a time drawn at random. Every copy of a call carries the same key, whatever is answered.
///
/// # Panics
/// When the HTTP library can't start.
pub async fn run(storm: &Storm) -> Vec<Copy> {
    let mut rng = StdRng::seed_from_u64(storm.seed);
    let client = reqwest::Client::builder()
        .connect_timeout(Duration::from_millis(300))
        .no_proxy()
        .retry(reqwest::retry::never())
        .build()
        .expect("the HTTP client needs no files and no network to start");
    let start = Instant::now();
    let storm = Arc::new(storm.clone());
    let mut tasks = JoinSet::new();
    for number in 0..storm.keys {
        let at = storm.time.mul_f64(number as f64 / storm.keys as f64);
        let copies = rng.random_range(1..=storm.copies);
        let plan: Vec<Plan> = (0..copies).map(|_| draw(&mut rng, &storm)).collect();
        let home = rng.random_range(0..storm.entries.len());
        let (client, storm) = (client.clone(), Arc::clone(&storm));
        tasks.spawn(async move {
            tokio::time::sleep_until((start + at).into()).await;
            one(&client, &storm, number, home, plan, start).await
        });
    }
    tasks.join_all().await.into_iter().flatten().collect()
}

/// How one copy is sent.
#[derive(Debug, Clone)]
struct Plan {
    entry: Box<str>,
    after: Duration,
    patience: Duration,
}

fn draw(rng: &mut StdRng, storm: &Storm) -> Plan {
    let late = rng.random_bool(0.5);
    let hasty = rng.random_bool(0.3);
    Plan {
        entry: storm.entries[rng.random_range(0..storm.entries.len())].clone(),
        after: Duration::from_millis(if late { rng.random_range(0..800) } else { 0 }),
        patience: Duration::from_millis(if hasty {
            rng.random_range(5..120)
        } else {
            4000
        }),
    }
}

async fn one(
    client: &reqwest::Client,
    storm: &Arc<Storm>,
    number: u64,
    home: usize,
    plans: Vec<Plan>,
    start: Instant,
) -> Vec<Copy> {
    let Some(prefix) = prefix(client, storm, home).await else {
        return Vec::new();
    };
    let tag: Box<str> = format!("{}/{}-{number}", storm.account, storm.seed).into();
    let key: Box<str> = format!("{prefix}.k{number}").into();
    let mut tasks = JoinSet::new();
    for plan in plans {
        let copy = Copy {
            tag: tag.clone(),
            key: Some(key.clone()),
            entry: plan.entry.clone(),
            ..Copy::default()
        };
        let (client, storm) = (client.clone(), Arc::clone(storm));
        tasks.spawn(async move {
            tokio::time::sleep(plan.after).await;
            send(&client, &storm, copy, plan.patience, start).await
        });
    }
    tasks.join_all().await
}

/// A key prefix of router `home`, or of the next one that answers.
async fn prefix(client: &reqwest::Client, storm: &Storm, home: usize) -> Option<Box<str>> {
    #[derive(Deserialize)]
    struct Found {
        key_prefix: Box<str>,
    }
    for turn in 0..storm.entries.len() {
        let entry = &storm.entries[(home + turn) % storm.entries.len()];
        let url = format!("http://{entry}/v1/addresses");
        let request = client.get(url).timeout(Duration::from_millis(300));
        let Ok(answer) = request.send().await else {
            continue;
        };
        let bytes = answer.bytes().await.unwrap_or_default();
        if let Ok(found) = serde_json::from_slice::<Found>(&bytes) {
            return Some(found.key_prefix);
        }
    }
    None
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Reply {
    tag: Box<str>,
    serial: u64,
    code: u16,
    outcome: Box<str>,
    attempt: Box<str>,
}

async fn send(
    client: &reqwest::Client,
    storm: &Storm,
    mut copy: Copy,
    patience: Duration,
    start: Instant,
) -> Copy {
    let micros = || start.elapsed().as_micros() as u64;
    let url = format!("http://{}/v1/call/{}/run", copy.entry, storm.service);
    let request = client
        .post(url)
        .bearer_auth(format!("token-{}", storm.account))
        .header("idempotency-key", copy.key.as_deref().unwrap_or_default())
        .header("hawthornmill-timeout-ms", patience.as_millis() as u64)
        .timeout(patience + Duration::from_millis(400))
        .body(format!("{{\"tag\":\"{}\"}}", copy.tag));
    copy.sent_us = micros();
    let answer = request.send().await;
    let unreachable = answer.as_ref().is_err_and(reqwest::Error::is_connect);
    let named = answer
        .as_ref()
        .is_ok_and(|a| a.headers().contains_key(REQUEST_ID));
    let bytes = match answer {
        Ok(answer) => answer.bytes().await.ok(),
        Err(_) => None,
    };
    copy.end_us = micros();
    let reply = bytes.and_then(|b| serde_json::from_slice::<Reply>(&b).ok());
    match reply {
        Some(reply) if reply.serial > 0 => {
            copy.outcome = "whole".into();
            copy.attempt = "ran".into();
            copy.serial = reply.serial;
            copy.crossed = reply.tag != copy.tag || !named;
        }
        Some(reply) => {
            copy.code = reply.code;
            copy.outcome = reply.outcome;
            copy.attempt = reply.attempt;
        }
        None => {
            copy.outcome = "none".into();
            copy.attempt = if unreachable { "not_run" } else { "unknown" }.into();
        }
    }
    copy
}

/// Runs by tag over all servers of `site`.
pub fn books(site: &Site) -> Books {
    let mut books = Books::new();
    for server in &site.servers {
        for (tag, runs) in &server.standin.ledger().lock().runs {
            *books.entry(tag.clone()).or_default() += runs.started;
        }
    }
    books
}
