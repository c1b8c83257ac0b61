//! Formats a fleet configuration and its changes as text.

use std::fmt::Write;

use hawthornmill::config::FleetConfig;
use hawthornmill::config::compare::{Access, Comparison};

/// Maximum number of names listed on one line; the others are only counted.
const MAX_LISTED_NAMES: usize = 8;

/// Returns the number of entries of each kind in a valid configuration.
pub fn describe(config: &FleetConfig) -> String {
    format!(
        "configuration is good: {} accounts, {} services, {} servers, {} grants, {} pools\n",
        config.accounts.len(),
        config.services.len(),
        config.servers.len(),
        config.grants.len(),
        config.pools.len()
    )
}

/// Lists the accounts that gain or lose servers, and the entitlements that change.
pub fn changes(comparison: &Comparison) -> String {
    let mut out = String::new();
    let _infallible = write_changes(&mut out, comparison);
    out
}

fn write_changes(out: &mut String, comparison: &Comparison) -> std::fmt::Result {
    if comparison.access.is_empty() {
        writeln!(out, "no account gains or loses a server")?;
    }
    for (Access { gained, lost }, accounts) in &comparison.access {
        writeln!(out, "{}:", format_names("account", accounts))?;
        if !gained.is_empty() {
            writeln!(out, "  gained: {}", format_names("server", gained))?;
        }
        if !lost.is_empty() {
            writeln!(out, "  lost: {}", format_names("server", lost))?;
        }
    }
    if comparison.entitlements.is_empty() {
        return writeln!(out, "no owed share changes");
    }
    writeln!(
        out,
        "owed if every account waits all the time, % of the service's slots:"
    )?;
    writeln!(
        out,
        "  {:<18} {:<18} {:>8} {:>8}",
        "service", "account", "before", "after"
    )?;
    for change in &comparison.entitlements {
        writeln!(
            out,
            "  {:<18} {:<18} {:>8.1} {:>8.1}",
            change.service,
            change.account,
            100.0 * change.before,
            100.0 * change.after
        )?;
    }
    writeln!(out, "  {} others stay as they are", comparison.unchanged)
}

/// Returns the number of `names` and the first few of them.
pub fn format_names(kind: &str, names: &[Box<str>]) -> String {
    let more = names.len().saturating_sub(MAX_LISTED_NAMES);
    let listed: Vec<&str> = names.iter().take(MAX_LISTED_NAMES).map(|n| &**n).collect();
    let plural = if names.len() == 1 { "" } else { "s" };
    let mut text = format!("{} {kind}{plural} ({}", names.len(), listed.join(", "));
    if more > 0 {
        let _infallible = write!(text, " and {more} more");
    }
    text.push(')');
    text
}
