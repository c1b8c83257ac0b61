//! Checks a catalog of the gateway as the platform publishes it, and shows what it would change.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

use hawthornmill::codes::Code;
use hawthornmill::ini::Diagnostic;
use hawthornmill::routing::catalog::{Account, Catalog, Route, validate};

/// Reads and checks the catalog in `file`.
///
/// # Errors
/// The first fault of the file.
pub fn read(file: &Path) -> Result<Catalog, Vec<Diagnostic>> {
    let bytes =
        std::fs::read(file).map_err(|e| vec![Diagnostic::unreadable(file, &e.to_string())])?;
    let fault = |code: Code, what: Box<str>| {
        vec![Diagnostic {
            code,
            message: what,
            ..Diagnostic::unreadable(file, "")
        }]
    };
    let catalog = hawthornmill_platform::catalog::parse(&bytes)
        .map_err(|what| fault(Code::BadValue, what))?;
    validate(&catalog).map_err(|(code, what)| fault(code, what))?;
    Ok(catalog)
}

/// What a catalog holds.
pub fn describe(catalog: &Catalog) -> String {
    format!(
        "version {}: {} routes, {} services, {} accounts\n",
        catalog.version,
        catalog.routes.len(),
        catalog.services.len(),
        catalog.accounts.len()
    )
}

/// What `candidate` would change in place of `present`.
pub fn changes(present: &Catalog, candidate: &Catalog) -> String {
    let mut text = String::new();
    let place = |r: &Route| format!("route {}{}", r.host, r.prefix);
    let (before, after) = (
        keyed(&present.routes, place),
        keyed(&candidate.routes, place),
    );
    tell(&mut text, &before, &after);
    let name = |a: &Account| format!("account {}", a.name);
    let (before, after) = (
        keyed(&present.accounts, name),
        keyed(&candidate.accounts, name),
    );
    tell(&mut text, &before, &after);
    if candidate.version <= present.version {
        // Writing to memory can't fail.
        let _ok = writeln!(
            text,
            "never in force: version {} is not above {}",
            candidate.version, present.version
        );
    }
    text
}

fn keyed<T>(list: &[T], key: impl Fn(&T) -> String) -> BTreeMap<String, &T> {
    list.iter().map(|entry| (key(entry), entry)).collect()
}

fn tell<T: PartialEq>(
    text: &mut String,
    before: &BTreeMap<String, &T>,
    after: &BTreeMap<String, &T>,
) {
    for (key, entry) in after {
        let word = match before.get(key) {
            None => "added",
            Some(old) if old != entry => "changed",
            Some(_) => continue,
        };
        let _ok = writeln!(text, "{word}: {key}");
    }
    for key in before.keys().filter(|k| !after.contains_key(*k)) {
        let _ok = writeln!(text, "removed: {key}");
    }
}
