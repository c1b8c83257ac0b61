//! Fair shares over the whole fleet, simulated in a deterministic order.

use hawthornmill::blackboard::{Policy, Tuning};
use hawthornmill::fairness::CostKey;
use hawthornmill::ident::{AccountId, ServiceId};
use hawthornmill_test_support::loads::{Backlog, Drive, EIGHT, WIDE_SLOTS, gap_bound, wide_fleet};
use hawthornmill_test_support::steps::Steps;

/// Age of the oldest counter: three report intervals.
const STALENESS_MS: u64 = 750;
/// Time after which all views agree when idle: calls have ended, and all reports were repeated.
const SETTLE_MS: u64 = 8000;

const fn backlog(account: &'static str, share: f64, entries: &'static [usize]) -> Backlog {
    Backlog {
        account,
        share,
        entries,
        depth: 20,
    }
}

/// Three accounts at one instance each, one at two instances, and one that floods all instances.
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

fn warmed_up(policy: Policy) -> (Steps, Drive) {
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

/// One account floods every instance; the others use one or two instances each. Routers with static
/// shares serve the flood at every instance, so it receives several times its fair share.
#[test]
fn service_gap_is_a_tenth_of_that_under_static_shares() {
    let (mut static_steps, mut static_drive) = warmed_up(Policy::Static);
    let (mut steps, mut drive) = warmed_up(Policy::Pooled);

    let before = (traffic(&steps), steps.ended.len());

    static_drive.run(&mut static_steps, 20_000);
    drive.run(&mut steps, 20_000);

    let calls = (steps.ended.len() - before.1) as f64;
    let (messages, bytes) = traffic(&steps);
    let messages = (messages - before.0.0) as f64 / calls;
    let bytes = (bytes - before.0.1) as f64 / calls;
    println!("a call costs {messages:.2} messages, {bytes:.0} bytes");
    assert!(messages < 2.5, "{messages} messages a call");
    assert!(bytes < 100.0, "{bytes} bytes a call");

    let bound = gap_bound(WIDE_SLOTS, STALENESS_MS, 1.0);
    println!(
        "gap {:.0} alone {:.0} bound {bound:.0}",
        drive.gap, static_drive.gap
    );
    assert!(drive.gap < bound / 4.0, "gap {} bound {bound}", drive.gap);
    assert!(
        drive.gap * 10.0 <= static_drive.gap,
        "{} {}",
        drive.gap,
        static_drive.gap
    );
}

/// A router restarts without state and soon owns a pool again. If it treated all accounts as equal,
/// or counted old service as new, accounts that had their share would be preferred.
#[test]
fn restarted_router_recovers_the_fairness_counters() {
    let (mut steps, mut drive) = warmed_up(Policy::Pooled);
    for _ in 0..2 {
        for index in 0..steps.boards.len() {
            steps.kill(index);
            drive.run(&mut steps, 300);
            steps.restart(index, &wide_fleet(), 1);
            drive.run(&mut steps, 3000);
        }
    }

    steps.run(SETTLE_MS, |_| {});

    let totals: Vec<Vec<f64>> = steps.boards.iter().map(totals).collect();
    let most = spread(&totals);
    let bound = gap_bound(WIDE_SLOTS, STALENESS_MS, 1.0);
    println!("spread {most:.0} gap {:.0} bound {bound:.0}", drive.gap);
    assert!(most < 1.0, "views differ by {most}: {totals:?}");
    assert!(drive.gap < bound, "gap {} bound {bound}", drive.gap);
}

/// Normalised service of every account of [`UNEVEN`] in the view of one instance.
fn totals(board: &hawthornmill::blackboard::Blackboard) -> Vec<f64> {
    let service = ServiceId::of("drafting");
    let key = |b: &Backlog| CostKey {
        service,
        account: AccountId::of(b.account),
    };
    UNEVEN.iter().map(|b| board.ledger.total(key(b))).collect()
}

/// Largest difference between two instances' views of an account's lead over the first account.
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

/// During a partition of ten seconds each side schedules by its own counters. If the counters didn't
/// converge afterwards, or the lag were repaid without limit, the gap would stay above its bound.
#[test]
fn service_gap_is_bounded_after_a_partition_heals() {
    let (mut steps, mut drive) = warmed_up(Policy::Pooled);
    steps.cut_between(&[0, 1, 3], &[2, 4, 5, 6, 7]);
    drive.run(&mut steps, 10_000);
    steps.cut.clear();
    drive.run(&mut steps, 15_000);
    drive.mark(&steps);

    drive.run(&mut steps, 10_000);

    let bound = gap_bound(WIDE_SLOTS, STALENESS_MS, 1.0);
    println!("gap after the cut {:.0} bound {bound:.0}", drive.gap);
    assert!(drive.gap < bound, "gap {} bound {bound}", drive.gap);
    steps.run(SETTLE_MS, |_| {});
    let totals: Vec<Vec<f64>> = steps.boards.iter().map(totals).collect();
    assert!(spread(&totals) < 1.0, "{totals:?}");
}

/// An account returns after a long idle time. If idle time earned credit, it would get every slot
/// until it had caught up, and the others would wait.
#[test]
fn idle_time_earns_no_credit() {
    let (mut steps, mut others) = warmed_up(Policy::Pooled);
    others.run(&mut steps, 20_000);
    let all: Vec<Backlog> = UNEVEN
        .iter()
        .copied()
        .chain([backlog("lab-6", 1.0, &[5])])
        .collect();
    let mut drive = Drive::new(&all);
    drive.mark(&steps);

    drive.run(&mut steps, 6000);

    let bound = gap_bound(WIDE_SLOTS, STALENESS_MS, 1.0);
    println!("gap {:.0} bound {bound:.0}", drive.gap);
    let lab = steps.got("lab-6");
    // Its share is 1 of 9 of 48 slots.
    let owed = 6000.0 * 48.0 / 9.0;
    assert!((0.8..1.2).contains(&(lab / owed)), "{lab} of {owed}");
    assert!(drive.gap < bound);
}

/// After days, counters are in the tens of billions and grow by a few hundred per call. Sent with too
/// low a precision, these calls would be lost to other owners, and the account would be preferred.
#[test]
fn large_counters_stay_exact() {
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
