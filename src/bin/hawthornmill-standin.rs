//! Runs stand-ins for the systems that hawthornmill communicates with.

use std::process::ExitCode;

use hawthornmill_lab::standin::tool;

fn main() -> ExitCode {
    let args = argh::from_env();
    let runtime = tokio::runtime::Runtime::new().expect("a runtime can start");
    runtime.block_on(tool::main(args)).into()
}
