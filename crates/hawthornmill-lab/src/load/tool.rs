//! The load tool's command line.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;

use super::plan::{Plan, parse};
use super::run::{Seeds, Watcher, run};
use super::summary::summarize;

/// Call a fleet as client accounts do and write down what became of every call.
#[derive(Debug, FromArgs)]
pub struct LoadArgs {
    /// callers, an INI file with [caller NAME] sections
    #[argh(option)]
    plan: PathBuf,
    /// entries to ask for addresses, REGION=IP:PORT, any number of times
    #[argh(option)]
    entry: Vec<String>,
    /// seconds of load
    #[argh(option, default = "10")]
    seconds: u64,
    /// seed of arrivals and sizes
    #[argh(option, default = "1")]
    seed: u64,
    /// write every call's story to this file, one JSON object a line
    #[argh(option)]
    history: Option<PathBuf>,
}

/// Runs the tool; the result is the process's exit code.
pub async fn main(args: LoadArgs) -> u8 {
    match run_plan(&args).await {
        Ok(summary) => {
            println!("{summary}");
            0
        }
        Err(words) => {
            eprintln!("{words}");
            2
        }
    }
}

async fn run_plan(args: &LoadArgs) -> Result<String, Box<str>> {
    let file = args.plan.display().to_string();
    let text = std::fs::read_to_string(&args.plan).map_err(|e| format!("{file}: {e}"))?;
    let callers = parse(&file, &text).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        lines.join("\n")
    })?;
    let mut seeds = Seeds::new();
    for entry in &args.entry {
        let (region, address) = entry
            .split_once('=')
            .ok_or_else(|| format!("--entry is REGION=IP:PORT, not `{entry}`"))?;
        seeds.entry(region.into()).or_default().push(address.into());
    }
    let plan = Plan {
        callers,
        time: Duration::from_secs(args.seconds),
        seed: args.seed,
    };
    let stories = run(&plan, &seeds, &Arc::new(Watcher::default())).await;
    if let Some(path) = &args.history {
        let lines: Vec<String> = stories
            .iter()
            .filter_map(|s| serde_json::to_string(s).ok())
            .collect();
        std::fs::write(path, lines.join("\n") + "\n").map_err(|e| e.to_string())?;
    }
    serde_json::to_string_pretty(&summarize(&stories)).map_err(|e| e.to_string().into())
}
