//! Check of a gateway catalog in the platform's format before it is published.
//!
//! [`check`] does no I/O; [`check_files`] collects what it needs.
//!
//! | module | finds |
//! |---|---|
//! | [`entries`] | entries that can never match, names and tokens that mean two things |
//! | [`limits`] | limits that contradict each other |
//! | [`hedging`] | what contradicts the settings of a gateway |
//! | [`changes`] | differences from the catalog in force |

pub mod changes;
pub mod entries;
pub mod finding;
pub mod fleet;
pub mod hedging;
pub mod limits;
pub mod names;
pub mod store;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use hawthornmill::codes::Code;
use hawthornmill::ini::Diagnostic;
use hawthornmill::routing::catalog::{Catalog, faults};
use hawthornmill::routing::registry::Registration;
use hawthornmill_platform::catalog::{ignored_values, parse};

use finding::{Finding, Findings, Report};
use fleet::Fleet;
use hedging::CheckedSettings;
use names::Names;

/// A text with the name that findings about it have.
#[derive(Debug, Clone, Default)]
pub struct Document {
    /// File or address.
    pub name: Box<str>,
    /// Content.
    pub bytes: Vec<u8>,
}

/// What a check works on.
#[derive(Debug, Clone, Default)]
pub struct Input {
    /// Catalog to check.
    pub candidate: Document,
    /// Settings of a gateway, if they are given.
    pub settings: Option<Document>,
    /// Catalog in force, if it is known.
    pub present: Option<Document>,
    /// Registered servers, if they are known.
    pub servers: Option<Vec<Registration>>,
}

/// Where the catalog in force is read from.
#[derive(Debug, Clone)]
pub enum PresentSource {
    /// A file.
    File(PathBuf),
    /// The platform's store.
    Store(SocketAddr),
}

/// Checks the catalog in `file` with what the other sources hold.
///
/// Sources that can't be read are findings; the checks that don't need them are done all the same.
pub fn check_files(
    file: &Path,
    settings: Option<&Path>,
    present: Option<&PresentSource>,
) -> Report {
    let mut unread = Vec::new();
    let candidate = keep(read_file(file), &mut unread);
    let mut input = Input {
        settings: settings.and_then(|path| keep(read_file(path), &mut unread)),
        ..Input::default()
    };
    match present {
        Some(PresentSource::File(path)) => input.present = keep(read_file(path), &mut unread),
        Some(PresentSource::Store(address)) => unread.extend(read_store(&mut input, *address)),
        None => {}
    }
    let mut report = match candidate {
        Some(candidate) => check(&Input { candidate, ..input }),
        None => Report::default(),
    };
    report.extend(unread);
    report
}

fn keep(document: Result<Document, Finding>, unread: &mut Vec<Finding>) -> Option<Document> {
    document.map_err(|finding| unread.push(finding)).ok()
}

fn read_file(path: &Path) -> Result<Document, Finding> {
    let bytes = std::fs::read(path).map_err(|e| Diagnostic::unreadable(path, &e.to_string()))?;
    Ok(Document {
        name: path.display().to_string().into(),
        bytes,
    })
}

/// Fills in what the store at `address` holds; returns what is missing.
fn read_store(input: &mut Input, address: SocketAddr) -> Option<Finding> {
    let state = match store::read(&hawthornmill_platform::adapter(), address) {
        Ok(state) => state,
        Err(fault) => return Some(fault.into()),
    };
    input.servers = Some(state.servers);
    let name: Box<str> = address.to_string().into();
    let Some(bytes) = state.catalog else {
        let mut found = Findings::of(&name);
        found.add(Code::NothingInForce, "the store holds no catalog");
        return found.into_list().pop();
    };
    input.present = Some(Document { name, bytes });
    None
}

/// Checks a catalog.
pub fn check(input: &Input) -> Report {
    let mut report = Report::default();
    let settings = input.settings.as_ref().and_then(|document| {
        let settings = parse_settings(document);
        settings.map_err(|faults| report.extend(faults)).ok()
    });
    let mut found = Findings::of(&input.candidate.name);
    match parse(&input.candidate.bytes) {
        Ok(catalog) => {
            report.describe(&catalog);
            check_catalog(input, &catalog, settings.as_ref(), &mut found);
            report.extend(check_settings(input, &catalog, settings.as_ref()));
            compare_with_present(input, &catalog, &mut found, &mut report);
        }
        Err(why) => found.add(Code::BadValue, why),
    }
    report.extend(found.into_list());
    report
}

fn parse_settings(document: &Document) -> Result<CheckedSettings, Vec<Finding>> {
    let unreadable = |e: std::str::Utf8Error| {
        vec![Diagnostic::unreadable(
            Path::new(&*document.name),
            &e.to_string(),
        )]
    };
    let text = std::str::from_utf8(&document.bytes).map_err(unreadable);
    let parsed = text.and_then(|text| hedging::parse(&document.name, text));
    parsed.map_err(|faults| faults.into_iter().map(Finding::from).collect())
}

fn check_catalog(
    input: &Input,
    catalog: &Catalog,
    settings: Option<&CheckedSettings>,
    found: &mut Findings,
) {
    let mut names = Names::default();
    names.collect(&input.candidate.bytes);
    let domains = settings.map(|s| &*s.gateway.regions);
    let fleet = Fleet::new(domains, input.servers.as_deref());
    for (code, what) in faults(catalog, |service| names.service(service)) {
        found.add(code, what);
    }
    for what in ignored_values(&input.candidate.bytes) {
        found.add(Code::ValueIgnored, what);
    }
    if catalog.version == 0 {
        let what = "never in force: gateways start with version 0";
        found.add(Code::VersionTooLow, what);
    }
    entries::check_names(catalog, found);
    entries::check_routes(catalog, found);
    entries::check_services(catalog, &fleet, &names, found);
    entries::check_regions(catalog, &fleet, &names, found);
    entries::check_accounts(catalog, found);
    limits::check_limits(catalog, found);
    if let Some(settings) = settings {
        hedging::check_attempts(catalog, settings, found);
    }
}

fn check_settings(
    input: &Input,
    catalog: &Catalog,
    settings: Option<&CheckedSettings>,
) -> Vec<Finding> {
    let (Some(document), Some(settings)) = (&input.settings, settings) else {
        return Vec::new();
    };
    let mut found = Findings::of(&document.name);
    hedging::check_hedging(catalog, settings, &mut found);
    found.into_list()
}

fn compare_with_present(
    input: &Input,
    catalog: &Catalog,
    found: &mut Findings,
    report: &mut Report,
) {
    let Some(document) = &input.present else {
        return;
    };
    let mut of_present = Findings::of(&document.name);
    match parse(&document.bytes) {
        Ok(present) => {
            report.in_force = Some(present.version);
            let mut names = Names::default();
            names.collect(&document.bytes);
            names.collect(&input.candidate.bytes);
            let refused = faults(&present, |service| names.service(service));
            if let Some((code, why)) = refused.first() {
                let what = format!("gateways refuse it with {}: {why}", code.number());
                of_present.add(Code::PresentRefused, what);
            }
            changes::check_changes(&present, catalog, &names, found);
        }
        Err(why) => of_present.add(Code::PresentUnparsable, why),
    }
    report.extend(of_present.into_list());
}
