//! Runs a plan.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hawthornmill::ident::{AccountId, mix};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;

use super::caller::{Discovery, Job, call};
use super::plan::{Caller, Plan};
use super::story::Story;

/// Most and least size of a call, in mean sizes.
const SIZES: (f64, f64) = (0.2, 3.0);

/// Names of a service and an account.
pub type Pair = (Box<str>, Box<str>);

/// Counters that can be read while a run goes on.
#[derive(Debug, Default)]
pub struct Watcher {
    waiting: Mutex<BTreeMap<Pair, Arc<AtomicI64>>>,
    offered: Mutex<BTreeMap<Pair, f64>>,
    /// Calls sent.
    pub sent: AtomicU64,
    /// Calls ended.
    pub ended: AtomicU64,
}

impl Watcher {
    fn gauge(&self, service: &str, account: &str) -> Arc<AtomicI64> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(waiting.entry((service.into(), account.into())).or_default())
    }

    /// Calls without a first byte, by service and account.
    pub fn waiting(&self) -> BTreeMap<Pair, i64> {
        let waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting
            .iter()
            .map(|(k, v)| (k.clone(), v.load(Ordering::Relaxed)))
            .collect()
    }

    fn offer(&self, service: &str, account: &str, cost: f64) {
        let mut offered = self.offered.lock().unwrap_or_else(PoisonError::into_inner);
        *offered.entry((service.into(), account.into())).or_default() += cost;
    }

    /// Cost of all calls sent, by service and account.
    pub fn offered(&self) -> BTreeMap<Pair, f64> {
        self.offered
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// Entries of each region, for callers that start there.
pub type Seeds = BTreeMap<Box<str>, Vec<Box<str>>>;

/// Makes every call of `plan` and returns their stories in the order of their ends.
///
/// # Panics
/// When the HTTP library can't start.
pub async fn run(plan: &Plan, seeds: &Seeds, watcher: &Arc<Watcher>) -> Vec<Story> {
    let client = reqwest::Client::builder()
        .connect_timeout(Duration::from_millis(500))
        .tcp_nodelay(true)
        .no_proxy()
        .retry(reqwest::retry::never())
        .build()
        .expect("the HTTP client needs no files and no network to start");
    let start = Instant::now();
    let numbers = Arc::new(AtomicU64::new(0));
    let mut tasks = JoinSet::new();
    for (index, caller) in plan.callers.iter().enumerate() {
        let source = Source {
            caller: Arc::new(caller.clone()),
            discovery: Arc::new(Discovery::new(own_seeds(seeds, caller))),
            client: client.clone(),
            watcher: Arc::clone(watcher),
            numbers: Arc::clone(&numbers),
            start,
            until: start + plan.time,
        };
        let seed = plan.seed.wrapping_add((index as u64 + 1) << 32);
        if caller.rate > 0.0 {
            tasks.spawn(source.clone().open_loop(StdRng::seed_from_u64(seed)));
        }
        for worker in 0..caller.workers {
            let seed = seed.wrapping_add(worker as u64 + 1);
            tasks.spawn(source.clone().closed_loop(StdRng::seed_from_u64(seed)));
        }
    }
    let mut stories = Vec::new();
    while let Some(result) = tasks.join_next().await {
        stories.extend(result.unwrap_or_default());
    }
    stories.sort_by_key(|s: &Story| s.end_us);
    stories
}

/// The entries that `caller` uses; which ones when it uses only some is drawn from its account.
fn own_seeds(seeds: &Seeds, caller: &Caller) -> Vec<Box<str>> {
    let mut own: Vec<Box<str>> = seeds
        .iter()
        .filter(|(region, _)| caller.regions.is_empty() || caller.regions.contains(region))
        .flat_map(|(_, entries)| entries.iter().cloned())
        .collect();
    if caller.entries > 0 && !own.is_empty() {
        let first = mix(AccountId::of(&caller.account).0) as usize % own.len();
        own.rotate_left(first);
        own.truncate(caller.entries);
    }
    own
}

#[derive(Debug, Clone)]
struct Source {
    caller: Arc<Caller>,
    discovery: Arc<Discovery>,
    client: reqwest::Client,
    watcher: Arc<Watcher>,
    numbers: Arc<AtomicU64>,
    start: Instant,
    until: Instant,
}

impl Source {
    async fn open_loop(self, mut rng: StdRng) -> Vec<Story> {
        let mut calls = JoinSet::new();
        let mut next = self.start;
        loop {
            let gap = exponential(&mut rng) / self.caller.rate;
            next += Duration::from_secs_f64(gap);
            if next >= self.until {
                break;
            }
            tokio::time::sleep_until(next.into()).await;
            let job = self.job(&mut rng);
            let source = self.clone();
            calls.spawn(async move { source.one(&job).await });
        }
        calls.join_all().await
    }

    async fn closed_loop(self, mut rng: StdRng) -> Vec<Story> {
        let mut stories = Vec::new();
        while Instant::now() < self.until {
            let job = self.job(&mut rng);
            let story = self.one(&job).await;
            if !story.whole() {
                tokio::time::sleep(Duration::from_millis(story.retry_ms.clamp(10, 500))).await;
            }
            stories.push(story);
        }
        stories
    }

    fn job(&self, rng: &mut StdRng) -> Job {
        let size = exponential(rng).clamp(SIZES.0, SIZES.1);
        Job {
            caller: Arc::clone(&self.caller),
            number: self.numbers.fetch_add(1, Ordering::Relaxed),
            tokens: (self.caller.tokens * size).round().max(1.0) as u32,
            start: self.start,
        }
    }

    async fn one(&self, job: &Job) -> Story {
        let caller = &self.caller;
        let gauge = self.watcher.gauge(&caller.service, &caller.account);
        gauge.fetch_add(1, Ordering::Relaxed);
        self.watcher.sent.fetch_add(1, Ordering::Relaxed);
        self.watcher
            .offer(&caller.service, &caller.account, f64::from(job.tokens));
        let started = std::sync::atomic::AtomicBool::new(false);
        let first = || {
            if !started.swap(true, Ordering::Relaxed) {
                gauge.fetch_sub(1, Ordering::Relaxed);
            }
        };
        let story = call(&self.client, &self.discovery, job, first).await;
        if !started.load(Ordering::Relaxed) {
            gauge.fetch_sub(1, Ordering::Relaxed);
        }
        self.watcher.ended.fetch_add(1, Ordering::Relaxed);
        story
    }
}

/// A draw from the exponential distribution with mean 1.
fn exponential(rng: &mut StdRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
