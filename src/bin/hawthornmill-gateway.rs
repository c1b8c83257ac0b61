//! The gateway on the users' platform.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Variable that names the settings file where no argument does.
const CONFIG: &str = "HAWTHORNMILL_CONFIG";

/// Pass requests of client accounts on to registered backend servers.
#[derive(Debug, FromArgs)]
struct Args {
    /// settings file; the variable `HAWTHORNMILL_CONFIG` names it where this is missing
    #[argh(option)]
    config: Option<PathBuf>,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let named = args
        .config
        .or_else(|| std::env::var_os(CONFIG).map(PathBuf::from));
    let Some(config) = named else {
        eprintln!("no settings file: give --config or set {CONFIG}");
        return ExitCode::from(2);
    };
    hawthornmill_gateway::daemon::main(&config, hawthornmill_platform::dialect()).into()
}
