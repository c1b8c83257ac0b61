//! The text that the tool prints.

use std::collections::BTreeMap;
use std::fmt::Write;

use hawthornmill::usage::explain::{AccountLine, Interval, summary};

use super::Explained;

/// Everything as tables, one for each interval and service.
pub fn table(explained: &Explained) -> String {
    let mut out = String::new();
    let _infallible = write_all(&mut out, explained);
    out
}

fn write_all(out: &mut String, explained: &Explained) -> std::fmt::Result {
    for interval in &explained.intervals {
        let mut services: BTreeMap<&str, Vec<&AccountLine>> = BTreeMap::new();
        for line in &interval.lines {
            services.entry(&line.service).or_default().push(line);
        }
        for (service, lines) in services {
            write_service(out, service, &lines, interval, explained)?;
        }
    }
    write_totals(out, explained)?;
    write_missing(out, explained)
}

fn write_service(
    out: &mut String,
    service: &str,
    lines: &[&AccountLine],
    interval: &Interval,
    explained: &Explained,
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
        let part = &line.part;
        let difference = if part.entitled > 0.0 {
            100.0 * (part.received - part.entitled) / part.entitled
        } else {
            0.0
        };
        writeln!(
            out,
            "  {:<18} {:>6} {:>12.1} {:>12.1} {:>8.1} {:>12.1}  {}",
            line.account,
            part.share,
            part.entitled,
            part.received,
            difference,
            part.backlogged_ms / 1000.0,
            summary::explain_line(line, interval, &explained.missing)
        )?;
    }
    writeln!(out)
}

fn write_totals(out: &mut String, explained: &Explained) -> std::fmt::Result {
    let mut totals: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
    for line in explained.intervals.iter().flat_map(|i| &i.lines) {
        let total = totals.entry(&line.service).or_default();
        total.0 += line.part.received;
        total.1 += line.part.estimated;
    }
    for (service, (received, estimated)) in totals {
        writeln!(
            out,
            "{service}: {received:.1} received in all, {estimated:.1} of it estimated because no cost was reported"
        )?;
    }
    Ok(())
}

fn write_missing(out: &mut String, explained: &Explained) -> std::fmt::Result {
    writeln!(
        out,
        "{} process runs, {} duplicates dropped, {} lines unreadable",
        explained.runs, explained.duplicates, explained.unreadable
    )?;
    if explained.missing.is_empty() {
        return writeln!(out, "no records are missing");
    }
    for sentence in summary::describe_missing(&explained.missing) {
        writeln!(out, "{sentence}")?;
    }
    Ok(())
}

/// Wall-clock time as `YYYY-MM-DDThh:mm:ssZ`.
fn utc(ms: u64) -> String {
    let seconds = ms / 1000;
    let (year, month, day) = civil(seconds / 86_400);
    let (hour, minute, second) = (seconds / 3600 % 24, seconds / 60 % 60, seconds % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Year, month and day of a day counted from 1970-01-01.
fn civil(mut days: u64) -> (u64, u64, u64) {
    let mut year = 1970;
    let leap = |y: u64| y.is_multiple_of(4) && (!y.is_multiple_of(100) || y.is_multiple_of(400));
    while days >= 365 + u64::from(leap(year)) {
        days -= 365 + u64::from(leap(year));
        year += 1;
    }
    let february = 28 + u64::from(leap(year));
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
