//! Checks settings and fleet configurations before they are used.

use std::path::PathBuf;

use argh::FromArgs;
use hawthornmill::codes::Code;
use hawthornmill::config::FleetConfig;
use hawthornmill::config::accept::{Values, accept, manifest};
use hawthornmill::ini::Fault;
use hawthornmill_net::settings::Settings;

/// Check settings and fleet configurations.
#[derive(Debug, FromArgs)]
pub struct CheckArgs {
    #[argh(subcommand)]
    what: What,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum What {
    Settings(SettingsArgs),
    Fleet(FleetArgs),
    Token(TokenArgs),
}

/// Check the settings file of a router.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "settings")]
struct SettingsArgs {
    /// settings file
    #[argh(positional)]
    file: PathBuf,
}

/// Check the values of a fleet configuration together.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "fleet")]
struct FleetArgs {
    /// files, one for each value
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// Print the hash of a bearer token, as the configuration holds it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "token")]
struct TokenArgs {
    /// the token
    #[argh(positional)]
    token: String,
}

/// Runs the tool; the result is the process's exit code: 0 for no faults, 2 for faults.
pub fn main(args: &CheckArgs) -> u8 {
    let result = match &args.what {
        What::Settings(args) => Settings::load(&args.file).map(|_| "settings are good".to_owned()),
        What::Fleet(args) => read_fleet(&args.files).map(|config| describe(&config)),
        What::Token(args) => Ok(blake3::hash(args.token.as_bytes()).to_hex().to_string()),
    };
    match result {
        Ok(words) => {
            println!("{words}");
            0
        }
        Err(faults) => {
            for fault in faults {
                eprintln!("{fault}");
            }
            2
        }
    }
}

/// Reads and checks the values of a fleet configuration.
///
/// # Errors
/// Every fault of every file.
pub fn read_fleet(files: &[PathBuf]) -> Result<FleetConfig, Vec<Fault>> {
    let mut values = Values::new();
    let mut faults = Vec::new();
    for file in files {
        let name = file.display().to_string();
        match std::fs::read_to_string(file) {
            Ok(text) => {
                values.insert(name.into(), text.into());
            }
            Err(error) => faults.push(Fault {
                code: Code::FileUnreadable,
                file: name.into(),
                line: 0,
                column: 0,
                what: error.to_string().into(),
            }),
        }
    }
    if !faults.is_empty() {
        return Err(faults);
    }
    accept(&manifest(1, &values), &values)
}

fn describe(config: &FleetConfig) -> String {
    format!(
        "configuration is good: {} accounts, {} services, {} servers, {} grants, {} pools",
        config.accounts.len(),
        config.services.len(),
        config.servers.len(),
        config.grants.len(),
        config.pools.len()
    )
}
