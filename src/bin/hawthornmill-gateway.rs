//! The gateway, built with the adapter of the users' platform.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use hawthornmill_platform::SETTINGS_ENV_VAR;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Pass requests of client accounts on to registered backend servers.
#[derive(Debug, FromArgs)]
struct Args {
    /// settings file; default: the file that the platform's environment variable names
    #[argh(option)]
    config: Option<PathBuf>,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let file = args
        .config
        .or_else(|| std::env::var_os(SETTINGS_ENV_VAR).map(PathBuf::from));
    let Some(config) = file else {
        eprintln!("no settings file: give --config or set {SETTINGS_ENV_VAR}");
        return ExitCode::from(2);
    };
    hawthornmill_gateway::daemon::main(&config, hawthornmill_platform::adapter()).into()
}
