//! Goodput and memory under overload, measured.

use std::process::ExitCode;

use hawthornmill_lab::{overload, program};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    program::run(overload::main)
}
