//! Formats a usage report as text.

use std::collections::BTreeMap;
use std::fmt::Write;

use hawthornmill::usage::explain::{AccountLine, Interval, summary};

use super::UsageReport;

/// Formats `report` as one table for each interval and service, and totals.
pub fn table(report: &UsageReport) -> String {
    let mut out = String::new();
    let _infallible = write_report(&mut out, report);
    out
}

fn write_report(out: &mut String, report: &UsageReport) -> std::fmt::Result {
    for interval in &report.intervals {
        let mut services: BTreeMap<&str, Vec<&AccountLine>> = BTreeMap::new();
        for line in &interval.lines {
            services.entry(&line.service).or_default().push(line);
        }
        for (service, lines) in services {
            write_service(out, service, &lines, interval, report)?;
        }
    }
    write_totals(out, report)?;
    write_missing(out, report)
}

fn write_service(
    out: &mut String,
    service: &str,
    lines: &[&AccountLine],
    interval: &Interval,
    report: &UsageReport,
) -> std::fmt::Result {
    let seconds = interval.length_ms / 1000;
    let start = utc(interval.start_ms);
    writeln!(out, "{service}, {seconds} s from {start}")?;
    writeln!(
        out,
        "  {:<18} {:>6} {:>12} {:>12} {:>8} {:>12}  why",
        "account", "share", "owed", "received", "diff %", "backlogged s"
    )?;
    for line in lines {
        let usage = &line.usage;
        let difference = if usage.entitled > 0.0 {
            100.0 * (usage.received - usage.entitled) / usage.entitled
        } else {
            0.0
        };
        writeln!(
            out,
            "  {:<18} {:>6} {:>12.1} {:>12.1} {:>8.1} {:>12.1}  {}",
            line.account,
            usage.share,
            usage.entitled,
            usage.received,
            difference,
            usage.backlogged_ms / 1000.0,
            summary::explain_line(line, interval, &report.missing)
        )?;
    }
    writeln!(out)
}

fn write_totals(out: &mut String, report: &UsageReport) -> std::fmt::Result {
    let mut totals: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
    for line in report.intervals.iter().flat_map(|i| &i.lines) {
        let total = totals.entry(&line.service).or_default();
        total.0 += line.usage.received;
        total.1 += line.usage.estimated;
    }
    for (service, (received, estimated)) in totals {
        writeln!(
            out,
            "{service}: {received:.1} received in all, {estimated:.1} of it estimated because no cost was reported"
        )?;
    }
    Ok(())
}

fn write_missing(out: &mut String, report: &UsageReport) -> std::fmt::Result {
    writeln!(
        out,
        "{} process runs, {} duplicates dropped, {} lines unreadable",
        report.runs, report.duplicates, report.unreadable
    )?;
    if report.missing.is_empty() {
        return writeln!(out, "no records are missing");
    }
    for sentence in summary::describe_missing(&report.missing) {
        writeln!(out, "{sentence}")?;
    }
    Ok(())
}

/// Formats Unix time in milliseconds as `YYYY-MM-DDThh:mm:ssZ`.
fn utc(ms: u64) -> String {
    let seconds = ms / 1000;
    let (year, month, day) = civil_date(seconds / 86_400);
    let (hour, minute, second) = (seconds / 3600 % 24, seconds / 60 % 60, seconds % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Returns year, month and day of the date `days` after 1970-01-01.
fn civil_date(mut days: u64) -> (u64, u64, u64) {
    let mut year = 1970;
    let is_leap = |y: u64| y.is_multiple_of(4) && (!y.is_multiple_of(100) || y.is_multiple_of(400));
    while days >= 365 + u64::from(is_leap(year)) {
        days -= 365 + u64::from(is_leap(year));
        year += 1;
    }
    let february = 28 + u64::from(is_leap(year));
    let lengths = [31, february, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31];
    let mut month = 1;
    for length in lengths {
        if days < length {
            break;
        }
        days -= length;
        month += 1;
    }
    (year, month, days + 1)
}
