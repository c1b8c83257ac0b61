//! Adds stories up.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::story::Story;

/// Percentiles of one account's calls to one service, and how its calls ended.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct AccountSummary {
    /// Calls made.
    pub calls: u64,
    /// Whole answers of the call's own.
    pub whole: u64,
    /// Refusals.
    pub refused: u64,
    /// Calls without an answer or a refusal.
    pub lost: u64,
    /// Milliseconds to the first byte, half of the whole answers.
    pub p50_ms: f64,
    /// The same for 99 of 100.
    pub p99_ms: f64,
}

/// Sums over all calls of a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Summary {
    /// By service and account.
    pub accounts: BTreeMap<Box<str>, BTreeMap<Box<str>, AccountSummary>>,
    /// Refusals by code.
    pub codes: BTreeMap<u16, u64>,
    /// Calls made.
    pub calls: u64,
    /// Calls without an answer or a refusal.
    pub lost: u64,
    /// Answers that belonged to another call.
    pub crossed: u64,
    /// Answers that ended as if whole and were not.
    pub truncated: u64,
}

/// Adds up `stories`.
///
/// # Panics
/// Never: the histogram's bounds are valid constants.
pub fn summarize(stories: &[Story]) -> Summary {
    let mut summary = Summary::default();
    let mut waits: BTreeMap<(&str, &str), Histogram<u64>> = BTreeMap::new();
    for story in stories {
        add(&mut summary, story);
        if story.whole() {
            let histogram = waits
                .entry((&story.service, &story.account))
                .or_insert_with(|| {
                    Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("bounds are valid")
                });
            histogram.saturating_record(story.first_us.saturating_sub(story.sent_us));
        }
    }
    for ((service, account), histogram) in waits {
        let entry = summary
            .accounts
            .entry(service.into())
            .or_default()
            .entry(account.into())
            .or_default();
        entry.p50_ms = histogram.value_at_quantile(0.5) as f64 / 1000.0;
        entry.p99_ms = histogram.value_at_quantile(0.99) as f64 / 1000.0;
    }
    summary
}

fn add(summary: &mut Summary, story: &Story) {
    let entry = summary
        .accounts
        .entry(story.service.clone())
        .or_default()
        .entry(story.account.clone())
        .or_default();
    summary.calls += 1;
    entry.calls += 1;
    summary.crossed += u64::from(story.crossed);
    summary.truncated += u64::from(story.truncated);
    match &*story.outcome {
        "whole" => entry.whole += u64::from(story.whole()),
        "none" | "broken" => {
            entry.lost += 1;
            summary.lost += 1;
        }
        _ => {
            entry.refused += 1;
            *summary.codes.entry(story.code).or_default() += 1;
        }
    }
}
