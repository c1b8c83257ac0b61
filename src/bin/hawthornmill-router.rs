//! The router daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Route calls of client accounts to the backend servers that they may use.
#[derive(Debug, FromArgs)]
struct Args {
    /// settings file
    #[argh(option)]
    config: PathBuf,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    hawthornmill_net::daemon::main(&args.config).into()
}
