//! Goodput and memory under overload, measured.

use std::path::PathBuf;
use std::process::ExitCode;

use hawthornmill_lab::demo::site::RouterCommand;
use hawthornmill_lab::overload::{self, OverloadArgs};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// First argument with which this program acts as a router, so that one build is enough.
const AS_ROUTER: &str = "as-router";

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    if let [_, first, _, config] = &*words
        && first == AS_ROUTER
    {
        return hawthornmill_net::daemon::main(&PathBuf::from(config)).into();
    }
    let args: OverloadArgs = argh::from_env();
    let Ok(program) = std::env::current_exe() else {
        eprintln!("this program's own file can't be found");
        return ExitCode::FAILURE;
    };
    let router = RouterCommand {
        program,
        words: vec![AS_ROUTER.into()],
    };
    let runtime = tokio::runtime::Runtime::new().expect("a runtime can start");
    runtime.block_on(overload::main(args, router)).into()
}
