//! Fair shares over the whole fleet, in a fixed order.

use hawthornmill::blackboard::{Policy, Tuning};
use hawthornmill::fairness::CostKey;
use hawthornmill::ident::{AccountId, ServiceId};
use hawthornmill_test_support::loads::{Backlog, Drive, EIGHT, WIDE_SLOTS, gap_bound, wide_fleet};
use hawthornmill_test_support::steps::Steps;

/// Age of the oldest counter in milliseconds: three reports.
const STALENESS: u64 = 750;
/// Time after which views agree once nothing runs: calls end, and reports repeat everything.
const QUIET: u64 = 8000;

const fn backlog(account: &'static str, share: f64, entries: &'static [usize]) -> Backlog {
    Backlog {
        account,
        share,
        entries,
        depth: 20,
    }
}

/// Three accounts at one instance each, one at two, and a flood at all.
const UNEVEN: &[Backlog] = &[
    backlog("flood", 1.0, &[0, 1, 2, 3, 4, 5, 6, 7]),
    backlog("large", 4.0, &[0, 1]),
    backlog("lab-1", 1.0, &[3]),
    backlog("lab-2", 1.0, &[4]),
    backlog("lab-3", 1.0, &[1]),
];

fn tuning(policy: Policy) -> Tuning {
    Tuning {
        policy,
        ..Tuning::default()
    }
}

fn warmed(policy: Policy) -> (Steps, Drive) {
    let mut steps = Steps::new(&wide_fleet(), EIGHT, &tuning(policy));
    let mut drive = Drive::new(UNEVEN);
    drive.run(&mut steps, 3000);
    drive.mark(&steps);
    (steps, drive)
}

/// Messages sent between instances and the bytes of their payloads.
fn traffic(steps: &Steps) -> (u64, u64) {
    (steps.sent.values().sum(), steps.bytes)
}

/// One account floods every instance; a small lab and a large one use one or two instances each. A
/// router that schedules alone gives the flood a slot at every instance, and the lab only one.
#[test]
fn the_gap_is_a_tenth_of_what_routers_that_schedule_alone_leave() {
    let (mut alone_steps, mut alone) = warmed(Policy::Static);
    let (mut steps, mut drive) = warmed(Policy::Pooled);

    let before = (traffic(&steps), steps.ended.len());

    alone.run(&mut alone_steps, 20_000);
    drive.run(&mut steps, 20_000);

    let calls = (steps.ended.len() - before.1) as f64;
    let (messages, bytes) = traffic(&steps);
    let messages = (messages - before.0.0) as f64 / calls;
    let bytes = (bytes - before.0.1) as f64 / calls;
    println!("a call costs {messages:.2} messages, {bytes:.0} bytes");
    assert!(messages < 2.5, "{messages} messages a call");
    assert!(bytes < 100.0, "{bytes} bytes a call");

    let bound = gap_bound(WIDE_SLOTS, STALENESS, 1.0);
    println!(
        "gap {:.0} alone {:.0} bound {bound:.0}",
        drive.gap, alone.gap
    );
    assert!(drive.gap < bound / 4.0, "gap {} bound {bound}", drive.gap);
    assert!(drive.gap * 10.0 <= alone.gap, "{} {}", drive.gap, alone.gap);
}

/// A router restarts without state and soon owns a pool again. If it took every account for equal,
/// or counted what it hears for the first time as served just now, some accounts would be served
/// ahead of others that are owed.
#[test]
fn a_restarted_router_knows_who_was_served() {
    let (mut steps, mut drive) = warmed(Policy::Pooled);
    for _ in 0..2 {
        for index in 0..steps.boards.len() {
            steps.kill(index);
            drive.run(&mut steps, 300);
            steps.restart(index, &wide_fleet(), 1);
            drive.run(&mut steps, 3000);
        }
    }

    steps.run(QUIET, |_| {});

    let totals: Vec<Vec<f64>> = steps.boards.iter().map(totals).collect();
    let most = spread(&totals);
    let bound = gap_bound(WIDE_SLOTS, STALENESS, 1.0);
    println!("spread {most:.0} gap {:.0} bound {bound:.0}", drive.gap);
    assert!(most < 1.0, "views differ by {most}: {totals:?}");
    assert!(drive.gap < bound, "gap {} bound {bound}", drive.gap);
}

/// Normalised service of every account of [`UNEVEN`], as one instance knows it.
fn totals(board: &hawthornmill::blackboard::Blackboard) -> Vec<f64> {
    let service = ServiceId::of("drafting");
    let key = |b: &Backlog| CostKey {
        service,
        account: AccountId::of(b.account),
    };
    UNEVEN.iter().map(|b| board.ledger.total(key(b))).collect()
}

/// Largest difference between two instances' view of how far one account is ahead of the first.
fn spread(totals: &[Vec<f64>]) -> f64 {
    let lags = |t: &Vec<f64>| -> Vec<f64> { t.iter().map(|v| v - t[0]).collect() };
    let mut most: f64 = 0.0;
    for a in totals {
        for b in totals {
            for (x, y) in lags(a).iter().zip(lags(b)) {
                most = most.max((x - y).abs());
            }
        }
    }
    most
}

/// A link in the middle of the fleet fails for ten seconds and comes back. Both sides go on serving
/// by what they know; afterwards the lag that arose is repaid up to its cap, and then the gap is
/// under the bound again.
#[test]
fn a_partition_that_heals_leaves_the_gap_under_its_bound() {
    let (mut steps, mut drive) = warmed(Policy::Pooled);
    steps.cut_between(&[0, 1, 3], &[2, 4, 5, 6, 7]);
    drive.run(&mut steps, 10_000);
    steps.cut.clear();
    drive.run(&mut steps, 15_000);
    drive.mark(&steps);

    drive.run(&mut steps, 10_000);

    let bound = gap_bound(WIDE_SLOTS, STALENESS, 1.0);
    println!("gap after the cut {:.0} bound {bound:.0}", drive.gap);
    assert!(drive.gap < bound, "gap {} bound {bound}", drive.gap);
    steps.run(QUIET, |_| {});
    let totals: Vec<Vec<f64>> = steps.boards.iter().map(totals).collect();
    assert!(spread(&totals) < 1.0, "{totals:?}");
}

/// A lab is idle for a long time and comes back. If idle time earned credit, it would have every slot
/// to itself until it had caught up, and the others would wait.
#[test]
fn idle_time_earns_no_credit() {
    let (mut steps, mut others) = warmed(Policy::Pooled);
    others.run(&mut steps, 20_000);
    let all: Vec<Backlog> = UNEVEN
        .iter()
        .copied()
        .chain([backlog("lab-6", 1.0, &[5])])
        .collect();
    let mut drive = Drive::new(&all);
    drive.mark(&steps);

    drive.run(&mut steps, 6000);

    let bound = gap_bound(WIDE_SLOTS, STALENESS, 1.0);
    println!("gap {:.0} bound {bound:.0}", drive.gap);
    let lab = steps.got("lab-6");
    // Its share is 1 of 9 of 48 slots.
    let owed = 6000.0 * 48.0 / 9.0;
    assert!((0.8..1.2).contains(&(lab / owed)), "{lab} of {owed}");
    assert!(drive.gap < bound);
}

/// A fleet has run for days. An owner's counter of an account is in the tens of billions, and what the
/// account receives from call to call is a few hundred. Told with too few digits, the other owners
/// would not see those calls at all, and the account would be served ahead of the others.
#[test]
fn counters_stay_exact_after_days() {
    let mut steps = Steps::new(&wide_fleet(), EIGHT, &Tuning::default());
    let key = CostKey {
        service: ServiceId::of("drafting"),
        account: AccountId::of("large"),
    };
    steps.boards[0].ledger.charge(key, 3e10);
    steps.run(1000, |_| {});
    let before = steps.boards[2].ledger.total(key);

    steps.boards[0].ledger.charge(key, 300.0);
    steps.run(1000, |_| {});

    let seen = steps.boards[2].ledger.total(key) - before;
    assert!((seen - 300.0).abs() < 1.0, "seen {seen}");
}
