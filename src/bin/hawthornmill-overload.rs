//! Measures goodput and memory under overload.

use std::process::ExitCode;

use hawthornmill_lab::{overload, program};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    program::run(overload::main)
}
