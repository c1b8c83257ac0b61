//! Explains from routers' logs who was owed and who received what.
//!
//! [`read`] finds usage lines among others, [`text`] and [`plot`] show the result.

pub mod plot;
pub mod read;
pub mod text;

use std::path::PathBuf;

use argh::FromArgs;
use hawthornmill::ini::Diagnostic;
use hawthornmill::usage::explain::{Interval, MissingRecords, UsageLog, intervals};
use serde::Serialize;

use crate::request;

/// Explain from routers' logs what each account was owed and received. Exit codes: 0 nothing is
/// missing, 1 records are missing or unreadable, 2 a file can't be read or written. With the words
/// `request ID` before the files it tells what became of one request at the gateways that wrote them.
#[derive(Debug, FromArgs)]
pub struct ExplainArgs {
    /// logs of routers; or `request`, a request's id, and logs of gateways
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// seconds of one interval; default 60
    #[argh(option, default = "60")]
    interval: u64,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
    /// write a plot of owed against received to this SVG file
    #[argh(option)]
    plot: Option<PathBuf>,
}

/// Word before a request's id; a log of this name is given as `./request`.
const REQUEST: &str = "request";

/// Everything that the tool tells.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Explained {
    /// Intervals in the order of time.
    pub intervals: Vec<Interval>,
    /// What each process run left out.
    pub missing: Vec<MissingRecords>,
    /// Process runs from which any line came.
    pub runs: usize,
    /// Records that came more than once and were counted once.
    pub duplicates: u64,
    /// Usage lines that could not be read.
    pub unreadable: u64,
}

impl Explained {
    /// Works out everything from `log`, in intervals of `seconds`.
    pub fn new(log: &UsageLog, seconds: u64) -> Self {
        Self {
            intervals: intervals(log, seconds.saturating_mul(1000)),
            missing: log.missing(),
            runs: log.run_count(),
            duplicates: log.duplicates,
            unreadable: log.unreadable,
        }
    }

    /// Tells whether every record is there.
    pub fn is_whole(&self) -> bool {
        self.missing.is_empty() && self.unreadable == 0
    }
}

/// Runs the tool; the result is the process's exit code.
pub fn main(args: &ExplainArgs) -> u8 {
    if let [word, id, files @ ..] = &*args.files
        && word.as_os_str() == REQUEST
    {
        return request::main(&id.to_string_lossy(), files, args.json);
    }
    match run(args) {
        Ok(explained) if explained.is_whole() => 0,
        Ok(_) => 1,
        Err(fault) => {
            eprintln!("{fault}");
            2
        }
    }
}

fn run(args: &ExplainArgs) -> Result<Explained, Diagnostic> {
    let mut log = UsageLog::default();
    for file in &args.files {
        read::read_file(file, &mut log)
            .map_err(|e| Diagnostic::unreadable(file, &e.to_string()))?;
    }
    let explained = Explained::new(&log, args.interval);
    if let Some(file) = &args.plot {
        // Steps of a second show what an interval's sum hides.
        let steps = intervals(&log, 1000);
        std::fs::write(
            file,
            plot::svg(&steps).map_err(|e| Diagnostic::unreadable(file, &e))?,
        )
        .map_err(|e| Diagnostic::unreadable(file, &e.to_string()))?;
    }
    if args.json {
        println!("{}", serde_json::to_string(&explained).unwrap_or_default());
    } else {
        print!("{}", text::table(&explained));
    }
    Ok(explained)
}
