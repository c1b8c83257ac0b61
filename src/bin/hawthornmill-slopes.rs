//! Measures how the cost of scheduling decisions grows with the fleet.

use std::process::ExitCode;

use hawthornmill_lab::slopes::{self, SlopesArgs};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    let args: SlopesArgs = argh::from_env();
    slopes::main(&args).into()
}
