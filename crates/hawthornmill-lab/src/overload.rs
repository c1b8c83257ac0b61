//! Goodput and memory under more load than the servers can run.
//!
//! A small fleet with real routers. First callers keep every slot busy, which gives the capacity; then
//! callers that don't wait for each other send a multiple of it. Goodput is the cost of the answers
//! that came whole and in time.

use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;
use serde::Serialize;

use crate::demo::site::{RouterCommand, Site, SitePlan};
use crate::load::plan::Caller;
use crate::load::story::Story;
use crate::load::{Plan, Watcher, run};

const DOMAINS: &[(&str, &str)] = &[("a", "north"), ("b", "north"), ("c", "north")];
const ACCOUNTS: usize = 6;
/// Mean tokens of a call.
const TOKENS: f64 = 40.0;
/// Calls that each account keeps in flight while the capacity is measured.
const WORKERS: usize = 12;
/// Time that a caller waits under overload.
const DEADLINE: Duration = Duration::from_secs(2);
/// Part at the start of each phase that is not counted.
const START: Duration = Duration::from_secs(3);

/// Measure goodput and memory under overload.
#[derive(Debug, FromArgs)]
pub struct OverloadArgs {
    /// number of routers
    #[argh(option, default = "8")]
    pub instances: usize,
    /// seconds of overload
    #[argh(option, default = "60")]
    pub seconds: u64,
    /// load as a multiple of the capacity
    #[argh(option, default = "3.0")]
    pub times: f64,
}

/// What was measured.
#[derive(Debug, Clone, Serialize)]
pub struct Overload {
    /// Cost a second that the servers run when every slot is busy.
    pub capacity: f64,
    /// Cost a second of calls that were sent under overload.
    pub offered: f64,
    /// Cost a second of answers that came whole and in time.
    pub goodput: f64,
    /// Cost a second of answers that came whole after the caller's deadline.
    pub late: f64,
    /// Goodput over capacity.
    pub ratio: f64,
    /// Calls under overload.
    pub calls: usize,
    /// Calls without an answer or a refusal.
    pub lost: usize,
    /// Refusals by code.
    pub codes: std::collections::BTreeMap<u16, u64>,
    /// Resident kilobytes of the largest router at each tenth of the overload.
    pub memory: Vec<u64>,
}

/// Runs the tool; the result is the process's exit code.
pub async fn main(args: OverloadArgs, router: RouterCommand) -> u8 {
    match measure(&args, router).await {
        Ok(result) => {
            println!(
                "{}",
                serde_json::to_string_pretty(&result).unwrap_or_default()
            );
            0
        }
        Err(words) => {
            eprintln!("{words}");
            2
        }
    }
}

fn fleet() -> String {
    let mut parts: Vec<String> = vec!["[service drafting]\nestimate = 40\n".into()];
    for (domain, region) in DOMAINS {
        parts.push(format!("[domain {domain}]\nregion = {region}\n"));
        let servers = (0..2).map(|n| {
            format!(
                "[server s-{domain}{n}]\nservice = drafting\ndomain = {domain}\n\
                 address = 127.0.0.1:1\nslots = 4\n"
            )
        });
        parts.extend(servers);
    }
    for n in 0..ACCOUNTS {
        let token = blake3::hash(format!("token-a{n}").as_bytes());
        parts.push(format!("[account a{n}]\ntoken = {token}\n"));
    }
    parts.push("[grant all]\naccounts = name\nservers = service=drafting\n".into());
    parts.concat()
}

fn callers(rate: f64, workers: usize, deadline: Duration) -> Vec<Caller> {
    let caller = |n: usize| Caller {
        account: format!("a{n}").into(),
        token: format!("token-a{n}").into(),
        service: "drafting".into(),
        path: "/generate".into(),
        rate: rate / ACCOUNTS as f64,
        workers,
        tokens: TOKENS,
        deadline,
        keyed: false,
        regions: Vec::new(),
        entries: 0,
    };
    (0..ACCOUNTS).map(caller).collect()
}

async fn measure(args: &OverloadArgs, router: RouterCommand) -> Result<Overload, Box<str>> {
    let site = Site::start(SitePlan::new(&fleet(), DOMAINS, args.instances), router).await?;
    tokio::time::sleep(START).await;
    let plan = Plan {
        callers: callers(0.0, WORKERS, Duration::from_mins(1)),
        time: Duration::from_secs(12),
        seed: 1,
    };
    let stories = run(&plan, &site.seeds(), &Arc::new(Watcher::default())).await;
    let capacity = rate(&stories, plan.time, Duration::from_mins(1));
    let mean = mean_cost(&stories);
    let plan = Plan {
        callers: callers(capacity * args.times / mean, 0, DEADLINE),
        time: Duration::from_secs(args.seconds),
        seed: 2,
    };
    let watcher = Arc::new(Watcher::default());
    let seeds = site.seeds();
    let (stories, memory) = tokio::join!(run(&plan, &seeds, &watcher), memory(&site, plan.time));
    site.stop().await;
    let goodput = rate(&stories, plan.time, DEADLINE);
    let offered: f64 = watcher.offered().values().sum();
    let mut codes = std::collections::BTreeMap::new();
    for story in stories.iter().filter(|s| s.code != 0) {
        *codes.entry(story.code).or_default() += 1;
    }
    Ok(Overload {
        capacity,
        offered: offered / plan.time.as_secs_f64(),
        goodput,
        late: rate(&stories, plan.time, Duration::MAX) - goodput,
        ratio: goodput / capacity,
        calls: stories.len(),
        lost: stories.iter().filter(|s| !s.whole() && s.code == 0).count(),
        codes,
        memory,
    })
}

/// Cost a second of the whole answers that ended within `time`, its start left out, and that took no
/// longer than `most`.
fn rate(stories: &[Story], time: Duration, most: Duration) -> f64 {
    let span = (START.as_micros() as u64)..(time.as_micros() as u64);
    let good = stories.iter().filter(|s| {
        let took = s.end_us - s.sent_us;
        s.whole() && span.contains(&s.end_us) && u128::from(took) <= most.as_micros()
    });
    good.map(|s| s.cost).sum::<f64>() / time.saturating_sub(START).as_secs_f64()
}

fn mean_cost(stories: &[Story]) -> f64 {
    let whole: Vec<f64> = stories
        .iter()
        .filter(|s| s.whole())
        .map(|s| s.cost)
        .collect();
    whole.iter().sum::<f64>() / whole.len().max(1) as f64
}

/// Resident kilobytes of the largest router, at each tenth of `time`.
async fn memory(site: &Site, time: Duration) -> Vec<u64> {
    let mut list = Vec::new();
    for _ in 0..10 {
        tokio::time::sleep(time / 10).await;
        let pids = site
            .routers
            .iter()
            .filter_map(crate::demo::site::Router::pid);
        list.push(pids.map(|p| resident(p.as_raw())).max().unwrap_or(0));
    }
    list
}

fn resident(pid: i32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.trim().trim_end_matches(" kB").trim().parse().ok())
        .unwrap_or(0)
}
