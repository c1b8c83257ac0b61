//! Runs a whole fleet on one machine and measures it.

use std::process::ExitCode;

use hawthornmill_lab::{demo, program};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    program::run(demo::main)
}
