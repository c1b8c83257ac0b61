//! Explains who was owed and who received what.

use std::process::ExitCode;

use hawthornmill_tools::explain;

fn main() -> ExitCode {
    explain::main(&argh::from_env()).into()
}
