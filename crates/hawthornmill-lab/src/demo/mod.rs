//! A whole fleet on one machine.
//!
//! [`site`] starts the stand-ins in this process and the routers as processes of their own,
//! [`measure`] samples what the stand-ins and the load tool see, [`result`] works out the figures,
//! and [`show`] prints them. The routers are started by this tool as an operator's supervisor would;
//! no program of the system itself starts another.

pub mod examples;
pub mod measure;
pub mod result;
pub mod show;
pub mod site;

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use argh::FromArgs;

use crate::load::{self, Plan, Watcher};
use measure::Sampler;
use site::{Site, SitePlan};

/// Run a whole fleet on this machine and show who received what.
#[derive(Debug, FromArgs)]
pub struct DemoArgs {
    /// example to run: kilima or bringamaret
    #[argh(option, default = "\"kilima\".into()")]
    pub example: String,
    /// number of routers
    #[argh(option, default = "8")]
    pub instances: usize,
    /// seconds of load
    #[argh(option, default = "16")]
    pub seconds: u64,
    /// seed of arrivals and sizes
    #[argh(option, default = "1")]
    pub seed: u64,
    /// pooled, or static as the baseline in which each router schedules alone
    #[argh(option, default = "\"pooled\".into()")]
    pub policy: String,
    /// print one JSON object
    #[argh(switch)]
    pub json: bool,
    /// keep logs, settings and the history in this directory
    #[argh(option)]
    pub keep: Option<PathBuf>,
}

/// Runs the demo; the result is the process's exit code.
pub async fn main(args: DemoArgs, router: site::RouterCommand) -> u8 {
    match run(&args, router).await {
        Ok(()) => 0,
        Err(error) => {
            eprintln!("{error}");
            2
        }
    }
}

async fn run(args: &DemoArgs, router: site::RouterCommand) -> Result<(), Box<str>> {
    let example = examples::find(&args.example).ok_or("no such example; kilima or bringamaret")?;
    if !matches!(args.policy.as_str(), "pooled" | "static") {
        return Err("no such policy; pooled or static".into());
    }
    if args.instances == 0 || args.instances > 64 {
        return Err("instances: 1 to 64".into());
    }
    let callers = load::plan::parse("load.ini", example.load).map_err(|f| words(&f))?;
    let mut plan = SitePlan::new(example.fleet, example.domains, args.instances);
    plan.scheduling = format!("policy = {}\n", args.policy).into();
    // A fleet that is stopped for good need not serve callers with old addresses for long.
    plan.extra = "[discovery]\nttl_ms = 500\n".into();
    plan.keep.clone_from(&args.keep);
    let site = Site::start(plan, router).await?;
    progress(args, "fleet is up");
    let load = Plan {
        callers,
        time: Duration::from_secs(args.seconds),
        seed: args.seed,
    };
    let watcher = Arc::new(Watcher::default());
    let sampler = Sampler::start(&site, &watcher);
    let show = tokio::spawn(show_progress(Arc::clone(&watcher), args.json));
    let stories = load::run(&load, &site.seeds(), &watcher).await;
    show.abort();
    let samples = sampler.stop().await;
    let bytes = site.control_bytes().await;
    let result = result::work_out(&site, &load, &stories, &samples, &bytes, &args.policy);
    if let Some(dir) = &args.keep {
        write_history(dir, &stories)?;
    }
    site.stop().await;
    if args.json {
        println!("{}", serde_json::to_string(&result).unwrap_or_default());
    } else {
        print!("{}", show::table(&result));
    }
    Ok(())
}

fn words(faults: &[hawthornmill::ini::Diagnostic]) -> Box<str> {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n").into()
}

fn progress(args: &DemoArgs, what: &str) {
    if !args.json {
        eprintln!("{what}");
    }
}

async fn show_progress(watcher: Arc<Watcher>, quiet: bool) {
    let mut timer = tokio::time::interval(Duration::from_secs(2));
    timer.tick().await;
    let mut seconds = 0;
    loop {
        timer.tick().await;
        seconds += 2;
        if !quiet {
            let waiting: i64 = watcher.waiting().values().sum();
            let sent = watcher.sent.load(Ordering::Relaxed);
            let ended = watcher.ended.load(Ordering::Relaxed);
            eprintln!("{seconds:3} s: {sent} calls sent, {ended} ended, {waiting} waiting");
        }
    }
}

fn write_history(dir: &std::path::Path, stories: &[crate::load::Story]) -> Result<(), Box<str>> {
    let lines: Vec<String> = stories
        .iter()
        .filter_map(|s| serde_json::to_string(s).ok())
        .collect();
    std::fs::write(dir.join("history.jsonl"), lines.join("\n") + "\n")
        .map_err(|error| format!("history can't be written: {error}").into())
}
