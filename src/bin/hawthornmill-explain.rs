//! Reports from logs the service that accounts were entitled to and received.

use std::process::ExitCode;

use hawthornmill_tools::explain;

fn main() -> ExitCode {
    explain::main(&argh::from_env()).into()
}
