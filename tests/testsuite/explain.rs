//! Evaluation of usage records: missing records, entitlements, and reasons.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hawthornmill::usage::explain::UsageLog;
use hawthornmill::usage::explain::intervals::{Claim, max_min};
use hawthornmill::usage::{OpenCalls, Reason, UsageCheckpoint, UsageLine, UsageRecord};
use hawthornmill_lab::demo::site::{Site, SitePlan};
use hawthornmill_lab::load::plan::parse;
use hawthornmill_lab::load::{Plan, Watcher, run};
use hawthornmill_test_support::procs::{DOMAINS, small_fleet, small_site, start};
use hawthornmill_tools::explain::read::{format_line, read_file, read_text};
use hawthornmill_tools::explain::{UsageReport, plot, text};
use nix::sys::signal::{Signal, kill};

use crate::{ROUTER, block_on};

/// 2026-12-03T00:00:00Z.
const START: u64 = 1_796_256_000_000;

fn record(entry: &str, seq: u64, account: &str, share: f64, cost: f64) -> UsageRecord {
    UsageRecord {
        entry: entry.into(),
        incarnation: 7,
        seq,
        at_ms: START + 1000,
        request: format!("{entry}-{seq}").into(),
        account: account.into(),
        service: "drafting".into(),
        server: "draft-a".into(),
        owner: "r1".into(),
        share,
        estimate: 100.0,
        cost,
        estimated: false,
        waited_ms: 900.0,
        held_ms: 0.0,
        outcome: "ran".into(),
        code: 0,
        reason: Reason::SlotsBusy,
    }
}

fn line(record: UsageRecord) -> String {
    format_line(&UsageLine::Usage { usage: record })
}

fn mark(entry: &str, seq: u64, at_ms: u64, calls: u64, end: bool) -> String {
    let open = OpenCalls {
        service: "drafting".into(),
        account: "small".into(),
        calls,
        estimate: 100.0 * calls as f64,
    };
    format_line(&UsageLine::Checkpoint {
        checkpoint: UsageCheckpoint {
            entry: entry.into(),
            incarnation: 7,
            seq,
            at_ms,
            open: if calls > 0 { vec![open] } else { Vec::new() },
            end,
        },
    })
}

/// Two routers: r1 shuts down, r2 is killed with record 2 missing and a call in flight.
fn small_log() -> String {
    let mut rejected = record("r1", 3, "small", 1.0, 0.0);
    rejected.reason = Reason::QueueFull;
    rejected.code = 3008;
    rejected.outcome = "not_run".into();
    rejected.waited_ms = 0.0;
    [
        "{\"time\":\"x\",\"message\":\"instance r1 starts\"}".into(),
        line(record("r1", 1, "big", 4.0, 360.0)),
        line(record("r1", 2, "small", 1.0, 140.0)),
        line(record("r1", 2, "small", 1.0, 140.0)),
        line(rejected),
        line(record("r2", 1, "small", 1.0, 50.0)),
        line(record("r2", 3, "small", 1.0, 50.0)),
        mark("r2", 3, START + 1500, 1, false),
        mark("r1", 3, START + 9000, 0, true),
    ]
    .join("\n")
}

/// Other programs read usage lines and the report, so names in JSON must stay when code is renamed.
#[test]
fn json_names_of_usage_stay_the_same() {
    let reasons = [
        (Reason::SlotsBusy, "slots"),
        (Reason::SelectorLimit, "confined"),
        (Reason::RegionUnreachable, "region_cut"),
        (Reason::ViewUnconfirmed, "view"),
        (Reason::ServerFailed, "server"),
    ];
    for (reason, name) in reasons {
        let mut one = record("r1", 1, "big", 4.0, 1.0);
        one.reason = reason;
        let json = line(one);
        assert!(json.contains(&format!("\"reason\":\"{name}\"")), "{json}");
    }
    let json = mark("r1", 1, START, 0, true);
    assert!(
        json.contains("\"kind\":\"usage_mark\",\"mark\":{"),
        "{json}"
    );
    let explained = UsageReport::new(&read_text(&small_log()), 10);
    let json = serde_json::to_value(&explained.intervals).expect("it can be encoded");
    assert_eq!(json[0]["lines"][0]["owed"], 360.0, "{json}");
}

#[test]
fn report_names_shares_reasons_and_missing_records() {
    let explained = UsageReport::new(&read_text(&small_log()), 10);

    insta::assert_snapshot!(text::table(&explained), @r"
drafting, 10 s from 2026-12-03T00:00:00Z
  account             share         owed     received   diff % backlogged s  why
  big                     4        360.0        360.0      0.0          0.9  received its share; calls waited because every server open to it was busy (100 %); records missing from r2
  small                   1        240.0        240.0      0.0          0.9  received its share; calls waited because every server open to it was busy (100 %); 1 refused: its queue was full: it asked for more than was served; records missing from r2

drafting: 600.0 received in all, 0.0 of it estimated because no cost was reported
2 process runs, 1 duplicates dropped, 0 lines unreadable
r2 (run 7): 1 record missing (numbers 2 to 2); ended without a final checkpoint; the last one lists 1 call in flight without a record, and the run had up to 1 at once; up to about 220 of drafting can't be explained
");
}

/// A router is killed while it writes a line, and its successor appends to the same file. The next
/// line must be read, and the truncated one counted.
#[test]
fn truncated_line_does_not_hide_the_next() {
    let first = line(record("r1", 1, "big", 4.0, 380.0));
    let second = line(record("r2", 1, "small", 1.0, 50.0));
    let text = format!("{}{second}\n", &first[..first.len() / 2]);

    let log = read_text(&text);

    assert_eq!(log.unreadable, 1);
    let entries: Vec<&str> = log.records().map(|r| &*r.entry).collect();
    assert_eq!(entries, ["r2"]);
}

/// Every line occurs twice and in another order, as when two collectors gather logs. Nothing may be
/// counted twice.
#[test]
fn order_and_duplicates_do_not_change_the_result() {
    let text = small_log();
    let mut lines: Vec<&str> = text.lines().chain(text.lines()).collect();
    lines.reverse();

    let once = UsageReport::new(&read_text(&text), 10);
    let twice = UsageReport::new(&read_text(&lines.join("\n")), 10);

    assert_eq!(twice.intervals, once.intervals);
    assert_eq!(twice.missing, once.missing);
    assert_eq!(twice.duplicates, 2 * once.duplicates + 5);
}

#[test]
fn no_account_is_entitled_to_more_than_its_demand() {
    let claim = |share, want| Claim {
        share,
        demand: want,
    };
    let claims = [
        claim(4.0, f64::INFINITY),
        claim(1.0, 5.0),
        claim(1.0, f64::INFINITY),
    ];

    let parts = max_min(&claims, 105.0);

    assert_eq!(parts, [80.0, 5.0, 20.0]);
}

/// An account has demand for 15 of 60 seconds, gets a fifth of its half and the rest is rejected. It
/// must be entitled to its share of these 15 seconds only.
#[test]
fn account_has_no_entitlement_without_demand() {
    let at = |seq, account: &str, second: u64, cost| {
        let mut one = record("r1", seq, account, 1.0, cost);
        one.at_ms = START + second * 1000 + 999;
        one
    };
    let rejected = |second| {
        let mut one = at(second + 300, "late", second, 0.0);
        one.reason = Reason::QueueFull;
        one.code = 3008;
        one.outcome = "not_run".into();
        one
    };
    let alone = (0..45).map(|s| at(s + 1, "busy", s, 100.0));
    let both = (45..60).flat_map(|s| [at(s + 1, "busy", s, 180.0), at(s + 100, "late", s, 20.0)]);
    let more = (45..60).flat_map(|s| {
        let mut waits = at(s + 400, "busy", s, 0.0);
        waits.outcome = "not_run".into();
        waits.code = 3007;
        [rejected(s), waits]
    });
    let lines: Vec<String> = alone.chain(both).chain(more).map(line).collect();

    let explained = UsageReport::new(&read_text(&lines.join("\n")), 60);

    let parts = explained.intervals[0].lines.iter().map(|l| &l.usage);
    let sums: Vec<(f64, f64)> = parts.map(|p| (p.entitled, p.received)).collect();
    assert_eq!(sums, [(6000.0, 7200.0), (1500.0, 300.0)]);
}

/// A share is lowered from 4 to 1 while two accounts are backlogged. Entitlements must follow the
/// share in force at each time, not the largest one.
#[test]
fn changed_share_applies_from_its_change() {
    let second = |s: u64| {
        let share = if s < 10 { 4.0 } else { 1.0 };
        let mut lines = Vec::new();
        for (n, (account, share)) in [("big", share), ("small", 1.0)].into_iter().enumerate() {
            let mut ran = record("r1", 4 * s + n as u64 + 1, account, share, 50.0);
            ran.at_ms = START + s * 1000 + 999;
            let mut rejected = ran.clone();
            rejected.seq += 2;
            (rejected.cost, rejected.code, rejected.outcome) = (0.0, 3008, "not_run".into());
            rejected.reason = Reason::QueueFull;
            lines.extend([line(ran), line(rejected)]);
        }
        lines
    };
    let lines: Vec<String> = (0..20).flat_map(second).collect();

    let explained = UsageReport::new(&read_text(&lines.join("\n")), 10);

    let lines = explained.intervals.iter().flat_map(|i| &i.lines);
    let parts: Vec<(f64, f64)> = lines.map(|l| (l.usage.share, l.usage.entitled)).collect();
    assert_eq!(
        parts,
        [(4.0, 800.0), (1.0, 200.0), (1.0, 500.0), (1.0, 500.0)]
    );
}

/// A call of an account with a small share waits two seconds and is then served. The account received
/// its whole demand, so its entitlement must not be higher.
#[test]
fn call_served_late_does_not_count_as_lost() {
    let large = (0..6).map(|s| {
        let mut one = record("r1", s + 1, "big", 4.0, if s == 3 { 50.0 } else { 100.0 });
        one.at_ms = START + s * 1000 + 999;
        one.waited_ms = 3000.0;
        one
    });
    let mut late = record("r1", 10, "small", 1.0, 50.0);
    late.at_ms = START + 3999;
    late.waited_ms = 2000.0;
    let lines: Vec<String> = large.chain([late]).map(line).collect();

    let explained = UsageReport::new(&read_text(&lines.join("\n")), 60);

    let parts = explained.intervals.iter().flat_map(|i| &i.lines);
    for part in parts.filter(|l| &*l.account == "small").map(|l| &l.usage) {
        assert!((part.entitled - 50.0).abs() < 1e-9, "{part:?}");
    }
}

#[test]
fn plot_has_both_lines_of_every_account() {
    let svg = plot::svg(&UsageReport::new(&read_text(&small_log()), 1).intervals);

    let svg = svg.expect("the plot can be drawn");
    for word in [
        "drafting: received (solid) and owed (dashed)",
        "big",
        "small",
        "seconds",
    ] {
        assert!(svg.contains(word), "{word}");
    }
    assert!(
        svg.contains("<polyline") || svg.contains("<line"),
        "no lines"
    );
}

const CALLERS: &str = "[caller big]\nservice = drafting\nrate = 50\ntokens = 20\n\
                       [caller small-1]\nservice = drafting\nrate = 30\ntokens = 20\n\
                       [caller small-2]\nservice = booking\nrate = 10\npath = /run\nkeyed = yes\n";

async fn send_load(site: &Site, seconds: u64) {
    let plan = Plan {
        callers: parse("callers", CALLERS).expect("the plan is valid"),
        time: Duration::from_secs(seconds),
        seed: 1,
    };
    run(&plan, &site.seeds(), &Arc::new(Watcher::default())).await;
}

/// Shuts down every running router.
async fn shut_down(site: &mut Site) {
    for router in &site.routers {
        router.signal(Signal::SIGTERM);
    }
    for router in &mut site.routers {
        router.wait(Duration::from_secs(8)).await;
    }
}

/// Cost of drafting according to the test servers, by account.
fn server_cost(site: &Site) -> BTreeMap<Box<str>, f64> {
    let mut sums: BTreeMap<Box<str>, f64> = BTreeMap::new();
    for server in &site.servers {
        for (account, cost) in &server.standin.ledger().lock().cost {
            if &*site.config.services[&site.config.servers[&server.id].service].name == "drafting" {
                *sums.entry(account.clone()).or_default() += cost;
            }
        }
    }
    sums
}

fn explain(site: &Site) -> UsageReport {
    let mut log = UsageLog::default();
    for router in &site.routers {
        read_file(&router.log, &mut log).expect("the log can be read");
    }
    UsageReport::new(&log, 60)
}

fn received(explained: &UsageReport) -> BTreeMap<Box<str>, f64> {
    let mut sums: BTreeMap<Box<str>, f64> = BTreeMap::new();
    let lines = explained.intervals.iter().flat_map(|i| &i.lines);
    for line in lines.filter(|l| &*l.service == "drafting") {
        *sums.entry(line.account.clone()).or_default() += line.usage.received;
    }
    sums
}

/// A second signal ends a leaving router at once while a server works on a call. The server's time was
/// used, so it must be charged to the account.
#[test]
fn aborted_call_is_charged_and_recorded() {
    block_on(async {
        let fleet = small_fleet()
            .line("[service slow]\ncost = time")
            .server("slow-a", "slow", "a", 1, "std");
        let mut plan = SitePlan::new(&fleet.text(), DOMAINS, 1);
        plan.work = Duration::from_secs(20);
        let mut site = start(ROUTER, plan).await;
        let url = format!("http://{}/v1/call/slow/run", site.routers[0].listed.http);
        let call = reqwest::Client::new()
            .post(url)
            .bearer_auth("token-big")
            .body("{\"tag\":\"big/1\"}");
        let call = tokio::spawn(call.send());

        // Wait until the call runs on the server.
        while site
            .servers
            .iter()
            .all(|s| s.standin.ledger().lock().running == 0)
        {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        site.routers[0].signal(Signal::SIGTERM);
        tokio::time::sleep(Duration::from_millis(200)).await;
        shut_down(&mut site).await;

        let response = call.await.expect("the task ends");
        let explained = explain(&site);
        assert!(response.is_err(), "{response:?}");
        let lines = explained.intervals.iter().flat_map(|i| &i.lines);
        let cost: f64 = lines.map(|l| l.usage.received).sum();
        assert!(cost > 400.0, "{explained:?}");
        assert!(explained.is_complete(), "{:?}", explained.missing);
    });
}

/// If no record is missing, the cost that each account received must match the cost that the servers
/// counted.
#[test]
fn received_cost_matches_the_servers() {
    block_on(async {
        let mut site = small_site(ROUTER, 3).await;
        send_load(&site, 3).await;
        shut_down(&mut site).await;

        let explained = explain(&site);

        assert!(explained.is_complete(), "{:?}", explained.missing);
        let (counted, records) = (server_cost(&site), received(&explained));
        assert!(counted.values().sum::<f64>() > 1000.0, "{counted:?}");
        for (account, cost) in &counted {
            let found = records.get(account).copied().unwrap_or(0.0);
            assert!(
                (found - cost).abs() <= 0.001 * cost,
                "{account}: {found} of {cost}"
            );
        }
    });
}

/// A router is killed with calls in flight, so their records are never written. The result must name
/// the router and an upper limit of the unrecorded cost instead of being silently too low.
#[test]
fn records_lost_with_a_killed_router_are_reported() {
    block_on(async {
        let mut site = small_site(ROUTER, 3).await;
        let load = send_load(&site, 3);
        let middle = tokio::time::sleep(Duration::from_millis(1500));
        let pid = site.routers[1].pid().expect("it runs");
        tokio::join!(load, async {
            middle.await;
            // A router process of this test.
            let _ended = kill(pid, Signal::SIGKILL);
        });
        site.routers[1].kill();
        shut_down(&mut site).await;

        let explained = explain(&site);

        let counted: f64 = server_cost(&site).values().sum();
        let records: f64 = received(&explained).values().sum();
        let names: Vec<&str> = explained.missing.iter().map(|m| &*m.entry).collect();
        let reported: f64 = explained
            .missing
            .iter()
            .filter_map(|m| m.cost.get("drafting"))
            .sum();
        println!(
            "counted {counted}, records {records}, reported {reported}, {:?}",
            explained.missing
        );
        assert_eq!(names, ["r2"]);
        let shortfall = counted - records;
        assert!(
            shortfall > -0.001 * counted,
            "counted {counted}, records {records}"
        );
        assert!(
            shortfall <= reported,
            "shortfall of {shortfall}, reported {reported}"
        );
    });
}
