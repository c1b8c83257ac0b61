//! Checks settings and fleet configurations.

use std::process::ExitCode;

use hawthornmill_tools::check;

fn main() -> ExitCode {
    check::main(&argh::from_env()).into()
}
