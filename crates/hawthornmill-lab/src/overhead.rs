//! The time that a router adds to a call.
//!
//! One engine without delays, some routers in one failure domain, one caller. The same call is made
//! directly to the engine and through each router in turn, so that whatever else the machine does
//! falls on all of them alike. Every call uses a connection that is open already.

use std::time::{Duration, Instant};

use argh::FromArgs;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::demo::site::{RouterCommand, Site, SitePlan};
use crate::standin::engine::{EngineModel, Generate};

/// Calls to each target before anything is measured.
const WARM: usize = 200;
/// Tokens of a call: one burst, so that the engine answers without a pause.
const TOKENS: u32 = 8;
const TOKEN: &str = "token-caller";
const FLEET: &str = "[domain a]\nregion = north\n[service drafting]\n\
                     [server engine]\nservice = drafting\ndomain = a\naddress = 127.0.0.1:1\nslots = 64\n\
                     [grant all]\naccounts = name=caller\nservers = service=drafting\n";

/// Measure the time that a router adds to a call on loopback.
#[derive(Debug, FromArgs)]
pub struct OverheadArgs {
    /// number of routers
    #[argh(option, default = "3")]
    pub instances: usize,
    /// calls to each target
    #[argh(option, default = "3000")]
    pub calls: usize,
    /// print one JSON object
    #[argh(switch)]
    pub json: bool,
}

/// Times of the calls to one target, in microseconds.
#[derive(Debug, Clone, Serialize)]
pub struct Timing {
    /// `direct`, or the router's name.
    pub target: Box<str>,
    /// It owns the engine's pool, so that a grant needs no message.
    pub owner: bool,
    /// To the first byte of the answer's body, half of the calls.
    pub first_p50: u64,
    /// The same for 99 of 100.
    pub first_p99: u64,
    /// To the end of the answer, half of the calls.
    pub end_p50: u64,
    /// The same for 99 of 100.
    pub end_p99: u64,
}

/// Runs the tool; the result is the process's exit code.
pub async fn main(args: OverheadArgs, router: RouterCommand) -> u8 {
    match measure(&args, router).await {
        Ok(timings) if args.json => {
            println!("{}", serde_json::to_string(&timings).unwrap_or_default());
            0
        }
        Ok(timings) => {
            show(&timings);
            0
        }
        Err(words) => {
            eprintln!("{words}");
            2
        }
    }
}

async fn measure(args: &OverheadArgs, router: RouterCommand) -> Result<Vec<Timing>, Box<str>> {
    let token = blake3::hash(TOKEN.as_bytes());
    let fleet = format!("{FLEET}[account caller]\ntoken = {token}\n");
    let mut plan = SitePlan::new(&fleet, &[("a", "north")], args.instances);
    plan.model = EngineModel {
        step: Duration::ZERO,
        ..EngineModel::default()
    };
    let site = Site::start(plan, router).await?;
    // A new owner collects what entries hold before it grants.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let result = all_targets(args, &site).await;
    site.stop().await;
    result
}

async fn all_targets(args: &OverheadArgs, site: &Site) -> Result<Vec<Timing>, Box<str>> {
    let engine = site.config.servers.values().next();
    let direct = engine
        .map(|s| s.address.clone())
        .ok_or("the site has no engine")?;
    let mut targets = vec![(Box::from("direct"), format!("http://{direct}/generate"))];
    for router in &site.routers {
        let url = format!("http://{}/v1/call/drafting/generate", router.listed.http);
        targets.push((router.listed.name.clone(), url));
    }
    let owner = owner_name(site).await;
    let client = reqwest::Client::builder()
        .tcp_nodelay(true)
        .no_proxy()
        .build()
        .map_err(|e| e.to_string())?;
    let mut times: Vec<[Histogram<u64>; 2]> = Vec::new();
    for _ in &targets {
        times.push([histogram(), histogram()]);
    }
    for number in 0..WARM + args.calls {
        for (index, (_, url)) in targets.iter().enumerate() {
            let (first, end) = one(&client, url, number).await?;
            if number >= WARM {
                times[index][0].saturating_record(first);
                times[index][1].saturating_record(end);
            }
        }
    }
    let timings = targets
        .into_iter()
        .zip(times)
        .map(|((target, _), [first, end])| Timing {
            owner: owner.as_deref() == Some(&*target),
            target,
            first_p50: first.value_at_quantile(0.5),
            first_p99: first.value_at_quantile(0.99),
            end_p50: end.value_at_quantile(0.5),
            end_p99: end.value_at_quantile(0.99),
        });
    Ok(timings.collect())
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds are valid")
}

/// The router that says of itself that it owns the pool.
async fn owner_name(site: &Site) -> Option<Box<str>> {
    let statuses = site.statuses().await;
    statuses.iter().find_map(|s| {
        s["pools"].as_array()?.first()?["owner"]
            .as_str()
            .map(Box::from)
    })
}

async fn one(client: &reqwest::Client, url: &str, number: usize) -> Result<(u64, u64), Box<str>> {
    let asked = Generate {
        tag: format!("caller/{number}").into(),
        tokens: TOKENS,
        from: 0,
        events: false,
    };
    let body = serde_json::to_string(&asked).map_err(|e| e.to_string())?;
    let request = client.post(url).bearer_auth(TOKEN).body(body);
    let start = Instant::now();
    let mut answer = request.send().await.map_err(|e| e.to_string())?;
    if !answer.status().is_success() {
        return Err(format!("{url} answered {}", answer.status()).into());
    }
    let mut first = None;
    while answer.chunk().await.map_err(|e| e.to_string())?.is_some() {
        first.get_or_insert_with(|| start.elapsed());
    }
    let end = start.elapsed();
    let first = first.unwrap_or(end);
    Ok((first.as_micros() as u64, end.as_micros() as u64))
}

fn show(timings: &[Timing]) {
    println!("target  owner  first p50  p99  end p50  p99 (microseconds)");
    for t in timings {
        println!(
            "{:<8}{:<6}{:>10}{:>6}{:>8}{:>6}",
            t.target, t.owner, t.first_p50, t.first_p99, t.end_p50, t.end_p99
        );
    }
    let Some((direct, routed)) = timings.split_first() else {
        return;
    };
    println!("added to the first byte: p50, p99; ratio of p50");
    for t in routed {
        println!(
            "{:<8}{:>6}{:>6}{:>8.2}",
            t.target,
            t.first_p50.cast_signed() - direct.first_p50.cast_signed(),
            t.first_p99.cast_signed() - direct.first_p99.cast_signed(),
            t.first_p50 as f64 / direct.first_p50 as f64
        );
    }
}
