//! Reports from the routers' logs the service that each account was entitled to and received.
//!
//! [`read`] extracts the usage lines from a log; [`text`] and [`plot`] format the report.

pub mod plot;
pub mod read;
pub mod text;

use std::path::PathBuf;

use argh::FromArgs;
use hawthornmill::ini::Diagnostic;
use hawthornmill::usage::explain::{Interval, MissingRecords, UsageLog, usage_per_interval};
use serde::Serialize;

use crate::request;

/// Explain from routers' logs what each account was owed and received. Exit codes: 0 nothing is
/// missing, 1 records are missing or unreadable, 2 a file can't be read or written. With
/// `request ID` before the files, show what the gateways that wrote them logged about one request.
#[derive(Debug, FromArgs)]
pub struct ExplainArgs {
    /// logs of routers; or `request`, a request's id, and logs of gateways
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// length of an interval in seconds; default 60
    #[argh(option, default = "60")]
    interval: u64,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
    /// write a plot of owed against received to this SVG file
    #[argh(option)]
    plot: Option<PathBuf>,
}

/// First argument that selects the trace of one request; a log file of this name is given as
/// `./request`.
const REQUEST_COMMAND: &str = "request";

/// Usage by interval, and how complete the records are.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct UsageReport {
    /// Intervals in chronological order.
    pub intervals: Vec<Interval>,
    /// Missing records of each process run.
    pub missing: Vec<MissingRecords>,
    /// Number of process runs with at least one usage line.
    pub runs: usize,
    /// Number of duplicate records that were ignored.
    pub duplicates: u64,
    /// Number of usage lines that could not be parsed.
    pub unreadable: u64,
}

impl UsageReport {
    /// Evaluates `log` in intervals of `seconds`.
    pub fn new(log: &UsageLog, seconds: u64) -> Self {
        Self {
            intervals: usage_per_interval(log, seconds.saturating_mul(1000)),
            missing: log.missing(),
            runs: log.run_count(),
            duplicates: log.duplicates,
            unreadable: log.unreadable,
        }
    }

    /// Returns whether no record is missing or unreadable.
    pub fn is_complete(&self) -> bool {
        self.missing.is_empty() && self.unreadable == 0
    }
}

/// Runs the tool and returns the exit code of the process.
pub fn main(args: &ExplainArgs) -> u8 {
    if let [command, id, files @ ..] = &*args.files
        && command.as_os_str() == REQUEST_COMMAND
    {
        return request::main(&id.to_string_lossy(), files, args.json);
    }
    match run(args) {
        Ok(report) if report.is_complete() => 0,
        Ok(_) => 1,
        Err(error) => {
            eprintln!("{error}");
            2
        }
    }
}

fn run(args: &ExplainArgs) -> Result<UsageReport, Diagnostic> {
    let mut log = UsageLog::default();
    for file in &args.files {
        read::read_file(file, &mut log)
            .map_err(|e| Diagnostic::unreadable(file, &e.to_string()))?;
    }
    let report = UsageReport::new(&log, args.interval);
    if let Some(file) = &args.plot {
        // One point per second shows changes that the sum over an interval hides.
        let seconds = usage_per_interval(&log, 1000);
        std::fs::write(
            file,
            plot::svg(&seconds).map_err(|e| Diagnostic::unreadable(file, &e))?,
        )
        .map_err(|e| Diagnostic::unreadable(file, &e.to_string()))?;
    }
    if args.json {
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
    } else {
        print!("{}", text::table(&report));
    }
    Ok(report)
}
