//! Prints the figures of a run.

use std::fmt::Write;

use super::result::RunResult;

/// The table that the demo prints.
pub fn table(result: &RunResult) -> String {
    let mut out = String::new();
    let _infallible = write_table(&mut out, result);
    out
}

fn write_table(out: &mut String, r: &RunResult) -> std::fmt::Result {
    writeln!(
        out,
        "{:<18} {:>6} {:>10} {:>10} {:>8} {:>9} {:>9} {:>8}",
        "account", "share", "owed", "received", "diff %", "p50 ms", "p99 ms", "refused"
    )?;
    for a in &r.accounts {
        let difference = if a.owed > 0.0 {
            100.0 * (a.received - a.owed) / a.owed
        } else {
            0.0
        };
        writeln!(
            out,
            "{:<18} {:>6} {:>10.0} {:>10.0} {:>8.1} {:>9.1} {:>9.1} {:>8}",
            a.name, a.share, a.owed, a.received, difference, a.p50_ms, a.p99_ms, a.refused
        )?;
    }
    writeln!(out)?;
    writeln!(out, "policy               {}", r.policy)?;
    writeln!(
        out,
        "gap                  {:.0} {} per share, {} accounts backlogged throughout (bound {:.0})",
        r.gap, r.unit, r.gap_accounts, r.gap_bound
    )?;
    writeln!(out, "utilization          {:.1} %", 100.0 * r.utilization)?;
    writeln!(
        out,
        "idle while waiting   {:.2} %",
        100.0 * r.idle_while_waiting
    )?;
    writeln!(
        out,
        "control bytes/s      {:.0} mean, {:.0} most, per router",
        r.control_bytes_per_s.mean, r.control_bytes_per_s.max
    )?;
    writeln!(
        out,
        "cross-region bytes   {} control, {} calls",
        r.cross_region_bytes, r.cross_region_call_bytes
    )?;
    writeln!(
        out,
        "calls                {} (lost {}, crossed {}, truncated {}, repeated {})",
        r.calls, r.lost, r.crossed, r.truncated, r.repeated
    )
}
