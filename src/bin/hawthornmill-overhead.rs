//! Measures the latency that a router adds to a call.

use std::process::ExitCode;

use hawthornmill_lab::{overhead, program};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    program::run(overhead::main)
}
