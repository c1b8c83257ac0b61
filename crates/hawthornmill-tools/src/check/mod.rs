//! Validates settings, fleet configurations and catalogs before they are deployed.
//!
//! Exit codes: 0 valid, 1 valid but with warnings under `--strict`, 2 invalid or unreadable.

pub mod catalog;
mod show;

use std::path::PathBuf;

use argh::FromArgs;
use hawthornmill::codes::Code;
use hawthornmill::config::FleetConfig;
use hawthornmill::config::accept::{Values, accept, manifest};
use hawthornmill::config::compare::{compare, warnings};
use hawthornmill::ini::Diagnostic;
use hawthornmill_gateway::settings::Settings as GatewaySettings;
use hawthornmill_net::settings::Settings;

/// Check settings and fleet configurations. Exit codes: 0 valid, 1 valid but with warnings under
/// --strict, 2 invalid or unreadable.
#[derive(Debug, FromArgs)]
pub struct CheckArgs {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Settings(SettingsArgs),
    Fleet(FleetArgs),
    Token(TokenArgs),
    Gateway(GatewayArgs),
    Catalog(CatalogArgs),
}

/// Check the settings file of a router.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "settings")]
struct SettingsArgs {
    /// settings file
    #[argh(positional)]
    file: PathBuf,
}

/// Check a fleet configuration, all its values together.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "fleet")]
struct FleetArgs {
    /// files, one for each value
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// file of the configuration in force, to compare with; repeat for each value
    #[argh(option)]
    present: Vec<PathBuf>,
    /// exit with 1 when there are warnings
    #[argh(switch)]
    strict: bool,
}

/// Check the settings file of a gateway.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "gateway")]
struct GatewayArgs {
    /// settings file
    #[argh(positional)]
    file: PathBuf,
}

/// Check a gateway catalog in the platform's format.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "catalog")]
struct CatalogArgs {
    /// catalog file
    #[argh(positional)]
    file: PathBuf,
    /// file of the catalog in force, to compare with
    #[argh(option)]
    present: Option<PathBuf>,
    /// settings file of a gateway, which names the regions
    #[argh(option)]
    settings: Option<PathBuf>,
    /// exit with 1 when there are warnings
    #[argh(switch)]
    strict: bool,
}

/// Print the hash of a bearer token, for the configuration.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "token")]
struct TokenArgs {
    /// the token
    #[argh(positional)]
    token: String,
}

/// Runs the tool and returns the exit code of the process.
pub fn main(args: &CheckArgs) -> u8 {
    let result = match &args.command {
        Command::Settings(args) => Settings::load(&args.file).map(|_| settings_valid()),
        Command::Gateway(args) => GatewaySettings::load(&args.file).map(|_| settings_valid()),
        Command::Catalog(args) => check_catalog(args),
        Command::Fleet(args) => check_fleet(args),
        Command::Token(args) => Ok(CheckReport {
            text: format!("{}\n", blake3::hash(args.token.as_bytes()).to_hex()),
            ..CheckReport::default()
        }),
    };
    match result {
        Ok(report) => {
            print!("{}", report.text);
            for warning in &report.warnings {
                eprintln!("warning: {warning}");
            }
            u8::from(report.strict && !report.warnings.is_empty())
        }
        Err(errors) => {
            for error in errors {
                eprintln!("{error}");
            }
            2
        }
    }
}

#[derive(Debug, Default)]
struct CheckReport {
    text: String,
    warnings: Vec<String>,
    strict: bool,
}

fn settings_valid() -> CheckReport {
    CheckReport {
        text: "settings are good\n".into(),
        ..CheckReport::default()
    }
}

fn check_catalog(args: &CatalogArgs) -> Result<CheckReport, Vec<Diagnostic>> {
    let candidate = catalog::read(&args.file)?;
    let mut text = catalog::describe(&candidate);
    if let Some(present) = &args.present {
        text += &catalog::changes(&catalog::read(present)?, &candidate);
    }
    let settings = args.settings.as_deref().map(GatewaySettings::load);
    let settings = settings.transpose()?;
    let regions = settings.map(|s| s.regions.iter().map(|(_, r)| *r).collect::<Vec<_>>());
    Ok(CheckReport {
        text,
        warnings: catalog::warnings(&candidate, regions.as_deref()),
        strict: args.strict,
    })
}

fn check_fleet(args: &FleetArgs) -> Result<CheckReport, Vec<Diagnostic>> {
    let candidate = read_fleet(&args.files)?;
    let mut text = show::describe(&candidate);
    if !args.present.is_empty() {
        let present = read_fleet(&args.present)?;
        text += &show::changes(&compare(&present, &candidate));
    }
    Ok(CheckReport {
        text,
        warnings: warnings(&candidate),
        strict: args.strict,
    })
}

/// Reads and validates the values of a fleet configuration.
///
/// # Errors
/// All errors of all files.
pub fn read_fleet(files: &[PathBuf]) -> Result<FleetConfig, Vec<Diagnostic>> {
    let mut values = Values::new();
    let mut errors = Vec::new();
    for file in files {
        let name = file.display().to_string();
        match std::fs::read_to_string(file) {
            Ok(text) => {
                values.insert(name.into(), text.into());
            }
            Err(error) => errors.push(Diagnostic {
                code: Code::FileUnreadable,
                file: name.into(),
                line: 0,
                column: 0,
                message: error.to_string().into(),
            }),
        }
    }
    if !errors.is_empty() {
        return Err(errors);
    }
    accept(&manifest(1, &values), &values)
}
