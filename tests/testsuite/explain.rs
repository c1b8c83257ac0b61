//! Usage records read back: what is missing, who was owed what, and why.

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
use hawthornmill_tools::explain::read::{read_file, read_text, write_line};
use hawthornmill_tools::explain::{Explained, plot, text};
use nix::sys::signal::{Signal, kill};

use crate::{ROUTER, block_on};

/// A Thursday in 2026.
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
    write_line(&UsageLine::Usage { usage: record })
}

fn mark(entry: &str, seq: u64, at_ms: u64, calls: u64, end: bool) -> String {
    let open = OpenCalls {
        service: "drafting".into(),
        account: "small".into(),
        calls,
        estimate: 100.0 * calls as f64,
    };
    write_line(&UsageLine::Checkpoint {
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

/// Two routers: r1 ends well, r2 is killed with number 2 lost and a call in flight.
fn small_log() -> String {
    let mut flood = record("r1", 3, "small", 1.0, 0.0);
    flood.reason = Reason::QueueFull;
    flood.code = 3008;
    flood.outcome = "not_run".into();
    flood.waited_ms = 0.0;
    [
        "{\"time\":\"x\",\"message\":\"instance r1 starts\"}".into(),
        line(record("r1", 1, "big", 4.0, 360.0)),
        line(record("r1", 2, "small", 1.0, 140.0)),
        line(record("r1", 2, "small", 1.0, 140.0)),
        line(flood),
        line(record("r2", 1, "small", 1.0, 50.0)),
        line(record("r2", 3, "small", 1.0, 50.0)),
        mark("r2", 3, START + 1500, 1, false),
        mark("r1", 3, START + 9000, 0, true),
    ]
    .join("\n")
}

#[test]
fn the_text_of_a_small_log() {
    let explained = Explained::new(&read_text(&small_log()), 10);

    insta::assert_snapshot!(text::table(&explained), @r"
drafting, 10 s from 2026-12-03T00:00:00Z
  account             share         owed     received   diff % backlogged s  why
  big                     4        360.0        360.0      0.0          0.9  received its share; calls waited because every server open to it was busy (100 %); records missing from r2
  small                   1        240.0        240.0      0.0          0.9  received its share; calls waited because every server open to it was busy (100 %); 1 refused: its queue was full: it asked for more than was served; records missing from r2

drafting: 600.0 received in all, 0.0 of it estimated because no cost was reported
2 process runs, 1 duplicates dropped, 0 lines unreadable
r2 (run 7): 1 record missing (numbers 2 to 2); ended without a word; its last mark names 1 call in flight without a record, and it had up to 1 at one time; up to about 220 of drafting can't be explained
");
}

/// A router was killed while it wrote, and its successor appends to the same file: the parent's
/// accountant must see the whole second line, and be told that the first is lost.
#[test]
fn a_line_cut_by_a_kill_hides_no_other() {
    let first = line(record("r1", 1, "big", 4.0, 380.0));
    let second = line(record("r2", 1, "small", 1.0, 50.0));
    let text = format!("{}{second}\n", &first[..first.len() / 2]);

    let log = read_text(&text);

    assert_eq!(log.unreadable, 1);
    let entries: Vec<&str> = log.records().map(|r| &*r.entry).collect();
    assert_eq!(entries, ["r2"]);
}

/// Every line is given twice and in another order, as when logs are gathered by two collectors.
/// Nothing may be counted twice.
#[test]
fn order_and_repeats_change_nothing_but_the_count_of_duplicates() {
    let text = small_log();
    let mut lines: Vec<&str> = text.lines().chain(text.lines()).collect();
    lines.reverse();

    let once = Explained::new(&read_text(&text), 10);
    let twice = Explained::new(&read_text(&lines.join("\n")), 10);

    assert_eq!(twice.intervals, once.intervals);
    assert_eq!(twice.missing, once.missing);
    assert_eq!(twice.duplicates, 2 * once.duplicates + 5);
}

#[test]
fn nobody_is_owed_more_than_it_wants() {
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

/// An account asks for a quarter of a minute, gets a fifth of its half and is refused the rest; then
/// it idles. It is owed its share of that quarter only, not of what ran while it asked for nothing.
#[test]
fn an_account_is_owed_only_for_the_time_in_which_it_asked() {
    let at = |seq, account: &str, second: u64, cost| {
        let mut one = record("r1", seq, account, 1.0, cost);
        one.at_ms = START + second * 1000 + 999;
        one
    };
    let refused = |second| {
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
        [refused(s), waits]
    });
    let lines: Vec<String> = alone.chain(both).chain(more).map(line).collect();

    let explained = Explained::new(&read_text(&lines.join("\n")), 60);

    let parts = explained.intervals[0].lines.iter().map(|l| &l.part);
    let sums: Vec<(f64, f64)> = parts.map(|p| (p.entitled, p.received)).collect();
    assert_eq!(sums, [(6000.0, 7200.0), (1500.0, 300.0)]);
}

/// An operator lowers a share from 4 to 1 in the middle of a run in which two accounts ask for more
/// than there is. What is owed must follow the change, not the larger share of the day.
#[test]
fn a_changed_share_counts_from_its_change_on() {
    let second = |s: u64| {
        let share = if s < 10 { 4.0 } else { 1.0 };
        let mut lines = Vec::new();
        for (n, (account, share)) in [("big", share), ("small", 1.0)].into_iter().enumerate() {
            let mut ran = record("r1", 4 * s + n as u64 + 1, account, share, 50.0);
            ran.at_ms = START + s * 1000 + 999;
            let mut refused = ran.clone();
            refused.seq += 2;
            (refused.cost, refused.code, refused.outcome) = (0.0, 3008, "not_run".into());
            refused.reason = Reason::QueueFull;
            lines.extend([line(ran), line(refused)]);
        }
        lines
    };
    let lines: Vec<String> = (0..20).flat_map(second).collect();

    let explained = Explained::new(&read_text(&lines.join("\n")), 10);

    let lines = explained.intervals.iter().flat_map(|i| &i.lines);
    let parts: Vec<(f64, f64)> = lines.map(|l| (l.part.share, l.part.entitled)).collect();
    assert_eq!(
        parts,
        [(4.0, 800.0), (1.0, 200.0), (1.0, 500.0), (1.0, 500.0)]
    );
}

/// An account with a small share has one call that waits two seconds behind a large one. It got all
/// that it asked for, only later; the accountant must not read that something was kept from it.
#[test]
fn a_call_served_late_is_not_counted_as_lost() {
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

    let explained = Explained::new(&read_text(&lines.join("\n")), 60);

    let parts = explained.intervals.iter().flat_map(|i| &i.lines);
    for part in parts.filter(|l| &*l.account == "small").map(|l| &l.part) {
        assert!((part.entitled - 50.0).abs() < 1e-9, "{part:?}");
    }
}

#[test]
fn the_plot_names_every_account_with_both_lines() {
    let svg = plot::svg(&Explained::new(&read_text(&small_log()), 1).intervals);

    let svg = svg.expect("the plot can be drawn");
    for word in [
        "drafting: received (whole) and owed (broken)",
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

async fn serve(site: &Site, seconds: u64) {
    let plan = Plan {
        callers: parse("callers", CALLERS).expect("the plan is good"),
        time: Duration::from_secs(seconds),
        seed: 1,
    };
    run(&plan, &site.seeds(), &Arc::new(Watcher::default())).await;
}

/// Ends every router that still runs in good order.
async fn leave(site: &mut Site) {
    for router in &site.routers {
        router.signal(Signal::SIGTERM);
    }
    for router in &mut site.routers {
        router.wait(Duration::from_secs(8)).await;
    }
}

/// Cost of drafting that the stand-ins ran, by account.
fn ran(site: &Site) -> BTreeMap<Box<str>, f64> {
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

fn explain(site: &Site) -> Explained {
    let mut log = UsageLog::default();
    for router in &site.routers {
        read_file(&router.log, &mut log).expect("the log can be read");
    }
    Explained::new(&log, 60)
}

fn received(explained: &Explained) -> BTreeMap<Box<str>, f64> {
    let mut sums: BTreeMap<Box<str>, f64> = BTreeMap::new();
    let lines = explained.intervals.iter().flat_map(|i| &i.lines);
    for line in lines.filter(|l| &*l.service == "drafting") {
        *sums.entry(line.account.clone()).or_default() += line.part.received;
    }
    sums
}

/// An operator cuts a leaving router short with a second signal while a server works on a call that
/// has no answer yet. The server's time was used, so it must stand in the account's record.
#[test]
fn a_call_that_was_cut_is_charged_and_recorded() {
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

        // From here on the call runs, whatever it waited for before.
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
        leave(&mut site).await;

        let answer = call.await.expect("the caller lives");
        let explained = explain(&site);
        assert!(answer.is_err(), "{answer:?}");
        let lines = explained.intervals.iter().flat_map(|i| &i.lines);
        let cost: f64 = lines.map(|l| l.part.received).sum();
        assert!(cost > 400.0, "{explained:?}");
        assert!(explained.is_whole(), "{:?}", explained.missing);
    });
}

/// The parent company adds up what its accounts received and holds it against the servers' own
/// books. With every record there, the two must agree.
#[test]
fn sums_agree_with_the_servers_books_when_no_record_is_missing() {
    block_on(async {
        let mut site = small_site(ROUTER, 3).await;
        serve(&site, 3).await;
        leave(&mut site).await;

        let explained = explain(&site);

        assert!(explained.is_whole(), "{:?}", explained.missing);
        let (books, records) = (ran(&site), received(&explained));
        assert!(books.values().sum::<f64>() > 1000.0, "{books:?}");
        for (account, cost) in &books {
            let found = records.get(account).copied().unwrap_or(0.0);
            assert!(
                (found - cost).abs() <= 0.001 * cost,
                "{account}: {found} of {cost}"
            );
        }
    });
}

/// A router is killed with calls in flight. Their records are never written, and the accountant
/// must be told from which router and how much can't be explained, instead of a sum that is
/// silently short.
#[test]
fn what_a_killed_router_did_not_write_is_told() {
    block_on(async {
        let mut site = small_site(ROUTER, 3).await;
        let load = serve(&site, 3);
        let middle = tokio::time::sleep(Duration::from_millis(1500));
        let pid = site.routers[1].pid().expect("it runs");
        tokio::join!(load, async {
            middle.await;
            // A process of this test's own site.
            let _ended = kill(pid, Signal::SIGKILL);
        });
        site.routers[1].kill();
        leave(&mut site).await;

        let explained = explain(&site);

        let books: f64 = ran(&site).values().sum();
        let records: f64 = received(&explained).values().sum();
        let names: Vec<&str> = explained.missing.iter().map(|m| &*m.entry).collect();
        let told: f64 = explained
            .missing
            .iter()
            .filter_map(|m| m.cost.get("drafting"))
            .sum();
        println!(
            "books {books}, records {records}, told {told}, {:?}",
            explained.missing
        );
        assert_eq!(names, ["r2"]);
        let short = books - records;
        assert!(short > -0.001 * books, "books {books}, records {records}");
        assert!(short <= told, "short of {short}, told {told}");
    });
}
