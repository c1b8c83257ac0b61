//! Generates load on a fleet and reports the outcome of the calls.

use std::process::ExitCode;

use hawthornmill_lab::load::tool;

fn main() -> ExitCode {
    let args = argh::from_env();
    let runtime = tokio::runtime::Runtime::new().expect("a runtime can start");
    runtime.block_on(tool::main(args)).into()
}
