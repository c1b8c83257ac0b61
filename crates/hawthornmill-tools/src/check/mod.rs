//! Validates settings, fleet configurations and catalogs before they are deployed.
//!
//! Exit codes: 0 valid, 1 valid but with warnings, 2 invalid, 3 for a command line that can't be read. Warnings give 1
//! for a catalog always, otherwise under `--strict`. A file that can't be read gives 3 for a catalog, otherwise 2.

pub mod catalog;
mod show;

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use hawthornmill::codes::Code;
use hawthornmill::config::FleetConfig;
use hawthornmill::config::accept::{Values, accept, manifest};
use hawthornmill::config::compare::{compare, warnings};
use hawthornmill::ini::Diagnostic;
use hawthornmill_gateway::settings::Settings as GatewaySettings;
use hawthornmill_net::settings::Settings;

use catalog::PresentSource;

/// Check settings, fleet configurations and catalogs. Exit codes: 0 valid, 1 valid but with warnings (of catalogs;
/// otherwise under --strict), 2 invalid, 3 something can't be read (of catalogs; otherwise 2).
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

/// Check a gateway catalog in the platform's format. Exit codes: 0 nothing found or differences only, 1 warnings,
/// 2 errors, 3 something can't be read.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "catalog")]
struct CatalogArgs {
    /// catalog file
    #[argh(positional)]
    file: PathBuf,
    /// file of the catalog in force, to compare with
    #[argh(option)]
    present: Option<PathBuf>,
    /// address (IP:port) of the store, from which the catalog in force and the registered servers are read
    #[argh(option)]
    store: Option<SocketAddr>,
    /// settings file of a gateway, which names the regions, the retry budget and the hedging of requests
    #[argh(option)]
    settings: Option<PathBuf>,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
    /// no effect: warnings give exit code 1 without it; kept for scripts that set it
    #[argh(switch)]
    #[expect(dead_code, reason = "the command line of earlier versions stays valid")]
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

/// Exit code for a command line that can't be read; 1 would mean warnings.
const EXIT_BAD_ARGUMENTS: u8 = 3;

/// Runs the tool with the words of its command line and returns the exit code of the process.
pub fn run(words: &[&str]) -> u8 {
    let arguments = words.get(1..).unwrap_or_default();
    match CheckArgs::from_args(&["hawthornmill-check"], arguments) {
        Ok(args) => main(&args),
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            0
        }
        Err(exit) => {
            eprintln!("{}", exit.output);
            EXIT_BAD_ARGUMENTS
        }
    }
}

fn main(args: &CheckArgs) -> u8 {
    let result = match &args.command {
        Command::Settings(args) => Settings::load(&args.file).map(|_| settings_valid()),
        Command::Gateway(args) => GatewaySettings::load(&args.file).map(|_| settings_valid()),
        Command::Catalog(args) => return check_catalog(args),
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

fn check_catalog(args: &CatalogArgs) -> u8 {
    let present = match (&args.present, args.store) {
        (Some(_), Some(_)) => {
            eprintln!("only one of --present and --store can be given");
            return EXIT_BAD_ARGUMENTS;
        }
        (Some(path), None) => Some(PresentSource::File(path.clone())),
        (None, store) => store.map(PresentSource::Store),
    };
    let report = catalog::check_files(&args.file, args.settings.as_deref(), present.as_ref());
    if args.json {
        print!("{}", report.json());
    } else {
        print!("{}", report.summary());
        eprint!("{}", report.problems());
    }
    report.exit_code()
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
