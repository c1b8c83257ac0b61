//! Validates settings, fleet configurations and catalogs.

use std::process::ExitCode;

use hawthornmill_tools::check;

fn main() -> ExitCode {
    check::main(&argh::from_env()).into()
}
