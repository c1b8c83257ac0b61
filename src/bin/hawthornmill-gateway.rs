//! The gateway on the users' platform.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use hawthornmill_platform::SETTINGS_ENV_VAR;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Pass requests of client accounts on to registered backend servers.
#[derive(Debug, FromArgs)]
struct Args {
    /// settings file; where this is missing, the platform's variable names it
    #[argh(option)]
    config: Option<PathBuf>,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let named = args
        .config
        .or_else(|| std::env::var_os(SETTINGS_ENV_VAR).map(PathBuf::from));
    let Some(config) = named else {
        eprintln!("no settings file: give --config or set {SETTINGS_ENV_VAR}");
        return ExitCode::from(2);
    };
    hawthornmill_gateway::daemon::main(&config, hawthornmill_platform::adapter()).into()
}
