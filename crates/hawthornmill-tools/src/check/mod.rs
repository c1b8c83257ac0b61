//! Checks settings and fleet configurations before they are used.
//!
//! Exit codes: 0 good, 1 good with warnings where `--strict` was given, 2 faults.

mod catalog;
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

/// Check settings and fleet configurations. Exit codes: 0 good, 1 good with warnings and --strict,
/// 2 faults.
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

/// Check the values of a fleet configuration together.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "fleet")]
struct FleetArgs {
    /// files, one for each value
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// file of the configuration in force, to compare with; once for each value
    #[argh(option)]
    present: Vec<PathBuf>,
    /// end with 1 when there are warnings
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

/// Check a catalog of the gateway, as the platform publishes it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "catalog")]
struct CatalogArgs {
    /// the catalog
    #[argh(positional)]
    file: PathBuf,
    /// the catalog in force, to compare with
    #[argh(option)]
    present: Option<PathBuf>,
}

/// Print the hash of a bearer token, as the configuration holds it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "token")]
struct TokenArgs {
    /// the token
    #[argh(positional)]
    token: String,
}

/// Runs the tool; the result is the process's exit code.
pub fn main(args: &CheckArgs) -> u8 {
    let result = match &args.what {
        What::Settings(args) => Settings::load(&args.file).map(|_| good()),
        What::Gateway(args) => GatewaySettings::load(&args.file).map(|_| good()),
        What::Catalog(args) => check_catalog(args),
        What::Fleet(args) => check_fleet(args),
        What::Token(args) => Ok(Verdict {
            text: format!("{}\n", blake3::hash(args.token.as_bytes()).to_hex()),
            ..Verdict::default()
        }),
    };
    match result {
        Ok(verdict) => {
            print!("{}", verdict.text);
            for warning in &verdict.warnings {
                eprintln!("warning: {warning}");
            }
            u8::from(verdict.strict && !verdict.warnings.is_empty())
        }
        Err(faults) => {
            for fault in faults {
                eprintln!("{fault}");
            }
            2
        }
    }
}

#[derive(Debug, Default)]
struct Verdict {
    text: String,
    warnings: Vec<String>,
    strict: bool,
}

fn good() -> Verdict {
    Verdict {
        text: "settings are good\n".into(),
        ..Verdict::default()
    }
}

fn check_catalog(args: &CatalogArgs) -> Result<Verdict, Vec<Diagnostic>> {
    let candidate = catalog::read(&args.file)?;
    let mut text = catalog::describe(&candidate);
    if let Some(present) = &args.present {
        text += &catalog::changes(&catalog::read(present)?, &candidate);
    }
    Ok(Verdict {
        text,
        ..Verdict::default()
    })
}

fn check_fleet(args: &FleetArgs) -> Result<Verdict, Vec<Diagnostic>> {
    let candidate = read_fleet(&args.files)?;
    let mut text = show::describe(&candidate);
    if !args.present.is_empty() {
        let present = read_fleet(&args.present)?;
        text += &show::changes(&compare(&present, &candidate));
    }
    Ok(Verdict {
        text,
        warnings: warnings(&candidate),
        strict: args.strict,
    })
}

/// Reads and checks the values of a fleet configuration.
///
/// # Errors
/// Every fault of every file.
pub fn read_fleet(files: &[PathBuf]) -> Result<FleetConfig, Vec<Diagnostic>> {
    let mut values = Values::new();
    let mut faults = Vec::new();
    for file in files {
        let name = file.display().to_string();
        match std::fs::read_to_string(file) {
            Ok(text) => {
                values.insert(name.into(), text.into());
            }
            Err(error) => faults.push(Diagnostic {
                code: Code::FileUnreadable,
                file: name.into(),
                line: 0,
                column: 0,
                message: error.to_string().into(),
            }),
        }
    }
    if !faults.is_empty() {
        return Err(faults);
    }
    accept(&manifest(1, &values), &values)
}
