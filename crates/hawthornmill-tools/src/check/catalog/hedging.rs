//! Checks that need the settings of a gateway: the retry budget and hedged requests.

use std::time::Duration;

use hawthornmill::codes::Code;
use hawthornmill::ini::{Diagnostic, Reader, Section, parse_sections};
use hawthornmill::routing::catalog::{Catalog, RetryPolicy, Route};
use hawthornmill::routing::retry_budget::RetryBudgetConfig;
use hawthornmill_gateway::settings::Settings;

use super::super::show::format_names;
use super::finding::Findings;

const SECTION: &str = "hedging";
const KEYS: [&str; 4] = ["share", "quantile", "after_ms", "services"];
const SHARE_RANGE: std::ops::RangeInclusive<f64> = 0.0..=0.5;
const QUANTILE_RANGE: std::ops::RangeInclusive<f64> = 0.5..=0.999;
const DEFAULT_QUANTILE: f64 = 0.95;

/// Settings of hedged requests, as far as the check needs them.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Hedging {
    /// Limit on hedges as a fraction of the requests; 0 when none are sent.
    pub share: f64,
    /// Fixed time after which a request is hedged.
    pub after: Option<Duration>,
    has_quantile: bool,
}

/// Settings of a gateway with its section on hedged requests.
#[derive(Debug)]
pub struct CheckedSettings {
    /// All other sections.
    pub gateway: Settings,
    /// Hedged requests.
    pub hedging: Hedging,
}

/// Parses the settings in `text`, the section on hedged requests by itself.
///
/// # Errors
/// All faults of the text.
pub fn parse(file: &str, text: &str) -> Result<CheckedSettings, Vec<Diagnostic>> {
    let sections = parse_sections(file, text)?;
    let mut reader = Reader::new(file);
    let section = Section::first_or_empty(&sections, SECTION);
    let hedging = read_hedging(&mut reader, &section);
    let mut faults = reader.diagnostics;
    match Settings::parse(file, &without_section(text, &sections)) {
        Ok(gateway) if faults.is_empty() => Ok(CheckedSettings { gateway, hedging }),
        Ok(_) => Err(faults),
        Err(others) => {
            faults.extend(others);
            Err(faults)
        }
    }
}

fn read_hedging(reader: &mut Reader<'_>, section: &Section) -> Hedging {
    reader.reject_unknown_keys(section, &KEYS);
    let share = reader.number_in(section, "share", 0.0, SHARE_RANGE);
    let _in_range = reader.number_in(section, "quantile", DEFAULT_QUANTILE, QUANTILE_RANGE);
    let services = [("all", ()), ("speed_reported", ())];
    reader.choice(section, "services", &services);
    let is_fixed = section.get("after_ms").is_some();
    Hedging {
        share,
        after: is_fixed.then(|| reader.millis(section, "after_ms", 1.0)),
        has_quantile: section.get("quantile").is_some(),
    }
}

/// Empties the lines of the section on hedged requests, so that the others keep their numbers.
///
/// Gateways of earlier versions don't know this section.
fn without_section(text: &str, sections: &[Section]) -> String {
    let Some(index) = sections.iter().position(|s| &*s.kind == SECTION) else {
        return text.into();
    };
    let first = sections[index].line;
    let next = sections.get(index + 1).map_or(usize::MAX, |s| s.line);
    let is_kept = |line: usize| line < first || line >= next;
    let lines = text.lines().enumerate();
    let kept = lines.map(|(i, l)| if is_kept(i + 1) { l } else { "" });
    kept.collect::<Vec<_>>().join("\n")
}

/// Reports routes with several attempts where the retry budget allows only one.
pub fn check_attempts(catalog: &Catalog, settings: &CheckedSettings, found: &mut Findings) {
    if !is_empty(&settings.gateway.guarantees.resend_budget) {
        return;
    }
    let several = catalog.routes.iter().filter(|r| r.max_attempts > 1);
    let several: Vec<Box<str>> = several.map(|r| r.name.clone()).collect();
    if !several.is_empty() {
        let routes = format_names("route", &several);
        let what = format!("the retry budget is 0, and there are several attempts for {routes}");
        found.add(Code::AttemptsWithoutBudget, what);
    }
}

/// Returns whether the budget never allows a whole retry, whatever the number of requests.
fn is_empty(budget: &RetryBudgetConfig) -> bool {
    budget.ratio <= 0.0 && budget.extra < 1.0
}

/// Reports settings of hedged requests that don't go with the catalog, the retry budget or each other.
pub fn check_hedging(catalog: &Catalog, settings: &CheckedSettings, found: &mut Findings) {
    let hedging = &settings.hedging;
    if hedging.share <= 0.0 {
        return;
    }
    if is_empty(&settings.gateway.guarantees.resend_budget) {
        let what = "[hedging]: hedges take from the retry budget, which is 0";
        found.add(Code::HedgingWithoutBudget, what);
    }
    if hedging.has_quantile && hedging.after.is_some() {
        let what = "[hedging]: `after_ms` replaces `quantile`";
        found.add(Code::ValueIgnored, what);
    }
    let routes = catalog.routes.iter().filter(|r| allows_hedges(r));
    let routes: Vec<&Route> = routes.collect();
    if routes.is_empty() {
        let what = "[hedging]: no route may be hedged; it takes an idempotent one with two attempts or more";
        found.add(Code::HedgingUnused, what);
    }
    let Some(after) = hedging.after else {
        return;
    };
    let late = routes.iter().filter(|r| r.timeout <= after);
    let late: Vec<Box<str>> = late.map(|r| r.name.clone()).collect();
    if !late.is_empty() {
        let routes = format_names("route", &late);
        let what =
            format!("[hedging]: `after_ms` of {after:?} isn't below the timeout of {routes}");
        found.add(Code::HedgingUnused, what);
    }
}

fn allows_hedges(route: &Route) -> bool {
    let repeats = route.retry_policy == RetryPolicy::Idempotent;
    repeats && !route.streaming && route.max_attempts > 1
}
