//! What the decisions cost as a fleet grows.
//!
//! Each measurement varies one size over at least four values, with the real decision code and
//! codec on boards in this process (memory: in a process for each), and fits a line: a value at size 0 and a slope. [`fixture`]
//! builds the boards, [`measure`] has the measurements, [`line`](mod@line) fits and prints.
//! docs/CAPACITY.md is worked out from these lines.

pub mod fixture;
pub mod line;
pub mod measure;

use argh::FromArgs;

use line::Line;

/// Measure what the decisions cost as a fleet grows.
#[derive(Debug, FromArgs)]
pub struct SlopesArgs {
    /// print one JSON object
    #[argh(switch)]
    json: bool,
    /// only build a board before so many servers and print the process's kilobytes
    #[argh(option)]
    memory: Option<usize>,
}

/// Runs the tool; the result is the process's exit code.
pub fn main(args: &SlopesArgs) -> u8 {
    if let Some(servers) = args.memory {
        println!("{}", measure::board_memory(servers));
        return 0;
    }
    let lines = all();
    if args.json {
        println!(
            "{}",
            serde_json::to_string_pretty(&lines).unwrap_or_default()
        );
    } else {
        print!("{}", line::table(&lines));
    }
    0
}

/// Every measurement.
pub fn all() -> Vec<Line> {
    let mut lines = Vec::new();
    lines.extend(measure::grants());
    lines.extend(measure::entries());
    lines.extend(measure::reports());
    lines.extend(measure::members());
    lines.extend(measure::configuration());
    lines
}
