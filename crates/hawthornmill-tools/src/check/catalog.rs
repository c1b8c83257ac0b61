//! Validates a gateway catalog in the platform's format and compares it with another.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

use hawthornmill::codes::Code;
use hawthornmill::ident::RegionId;
use hawthornmill::ini::Diagnostic;
use hawthornmill::routing::catalog::{Account, Catalog, Route, validate};
use hawthornmill::routing::regions::AllowedRegions;

/// Reads and validates the catalog in `file`.
///
/// # Errors
/// The first error in the file.
pub fn read(file: &Path) -> Result<Catalog, Vec<Diagnostic>> {
    let bytes =
        std::fs::read(file).map_err(|e| vec![Diagnostic::unreadable(file, &e.to_string())])?;
    let diagnostic = |code: Code, message: Box<str>| {
        vec![Diagnostic {
            code,
            message,
            ..Diagnostic::unreadable(file, "")
        }]
    };
    let catalog = hawthornmill_platform::catalog::parse(&bytes)
        .map_err(|message| diagnostic(Code::BadValue, message))?;
    validate(&catalog).map_err(|(code, message)| diagnostic(code, message))?;
    Ok(catalog)
}

/// Returns the version of a catalog and the number of its entries.
pub fn describe(catalog: &Catalog) -> String {
    format!(
        "version {}: {} routes, {} services, {} accounts\n",
        catalog.version,
        catalog.routes.len(),
        catalog.services.len(),
        catalog.accounts.len()
    )
}

/// Lists the routes and accounts that differ between `present` and `candidate`.
pub fn changes(present: &Catalog, candidate: &Catalog) -> String {
    let mut text = String::new();
    let route_key = |r: &Route| format!("route {}{}", r.host, r.prefix);
    let (before, after) = (
        index_by(&present.routes, route_key),
        index_by(&candidate.routes, route_key),
    );
    write_differences(&mut text, &before, &after);
    let account_key = |a: &Account| format!("account {}", a.name);
    let (before, after) = (
        index_by(&present.accounts, account_key),
        index_by(&candidate.accounts, account_key),
    );
    write_differences(&mut text, &before, &after);
    if candidate.version <= present.version {
        let _infallible = writeln!(
            text,
            "never in force: version {} is not above {}",
            candidate.version, present.version
        );
    }
    text
}

/// Lists routes that no region can serve, for some of the accounts or for all.
///
/// `known` are the regions of the fleet, if they are known.
pub fn warnings(catalog: &Catalog, known: Option<&[RegionId]>) -> Vec<String> {
    let is_served = |regions: &AllowedRegions| match known {
        Some(known) => known.iter().any(|r| regions.contains(Some(*r))),
        None => !regions.is_empty(),
    };
    let mut warnings = Vec::new();
    for route in &catalog.routes {
        if !is_served(&route.allowed_regions) {
            warnings.push(format!("route {}: no region can serve it", route.name));
            continue;
        }
        let bounds = |a: &Account| route.allowed_regions.intersect(&a.allowed_regions);
        let accounts = catalog.accounts.iter().filter(|_| !route.public);
        for account in accounts.filter(|a| !is_served(&bounds(a))) {
            let (route, account) = (&route.name, &account.name);
            warnings.push(format!(
                "route {route}: no region can serve it for account {account}"
            ));
        }
    }
    warnings
}

fn index_by<T>(list: &[T], key: impl Fn(&T) -> String) -> BTreeMap<String, &T> {
    list.iter().map(|entry| (key(entry), entry)).collect()
}

fn write_differences<T: PartialEq>(
    text: &mut String,
    before: &BTreeMap<String, &T>,
    after: &BTreeMap<String, &T>,
) {
    for (key, entry) in after {
        let change = match before.get(key) {
            None => "added",
            Some(old) if old != entry => "changed",
            Some(_) => continue,
        };
        let _infallible = writeln!(text, "{change}: {key}");
    }
    for key in before.keys().filter(|k| !after.contains_key(*k)) {
        let _infallible = writeln!(text, "removed: {key}");
    }
}
