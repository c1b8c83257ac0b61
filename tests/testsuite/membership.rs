//! Owners of pools during starts, stops, pauses and partitions, simulated in a deterministic order.

use std::time::{Duration, Instant};

use hawthornmill::blackboard::Tuning;
use hawthornmill::ident::{DomainId, Incarnation, InstanceId, PoolId, ServiceId};
use hawthornmill::membership::{LivenessUpdate, Members};
use hawthornmill::pools::tick;
use hawthornmill::wire::message::ProbeAck;
use hawthornmill_test_support::fleet::FleetText;
use hawthornmill_test_support::procs::small_fleet;
use hawthornmill_test_support::steps::{Steps, contact};

/// Four instances in one failure domain, one in each of two others.
const PLACES: &[(&str, &str)] = &[
    ("a", "north"),
    ("a", "north"),
    ("a", "north"),
    ("a", "north"),
    ("b", "north"),
    ("c", "south"),
];
const SLOTS_OF_A: u64 = 4;

fn steps() -> Steps {
    let mut steps = Steps::new(&small_fleet(), PLACES, &Tuning::default());
    steps.run(5000, |_| {});
    steps
}

fn pool_of_a() -> PoolId {
    PoolId::of(ServiceId::of("drafting"), DomainId::of("a"))
}

/// Running instances that grant slots of the pool in failure domain `a`.
fn owners(steps: &Steps) -> Vec<usize> {
    let now = steps.instant();
    (0..PLACES.len())
        .filter(|n| !steps.dead.contains(n) && !steps.frozen.contains(n))
        .filter(|n| {
            let owned = steps.boards[*n].owned_pools.get(&pool_of_a());
            owned.is_some_and(|o| o.active && o.ready_at.is_some_and(|r| r <= now))
        })
        .collect()
}

/// Milliseconds without an owner and with several, and the number of changes of the single owner.
#[derive(Debug, Default, PartialEq, Eq)]
struct OwnerStats {
    none: u64,
    several: u64,
    changes: u64,
    last: Option<usize>,
}

impl OwnerStats {
    fn sample(&mut self, steps: &Steps) {
        match owners(steps)[..] {
            [] => self.none += 1,
            [one] => {
                self.changes += u64::from(self.last.is_some_and(|last| last != one));
                self.last = Some(one);
            }
            _ => self.several += 1,
        }
    }
}

/// Keeps requests waiting at two instances of failure domain `a` and at one of `b`.
fn load(steps: &mut Steps) {
    for entry in [0, 1, 4] {
        if steps.dead.contains(&entry) || steps.frozen.contains(&entry) {
            continue;
        }
        while steps.waiting(entry, "big", "drafting") < 8 {
            let accepted = steps.arrive(entry, "big", "drafting", 50, 60_000);
            assert_eq!(accepted, Ok(()));
        }
    }
}

/// The owner of a busy pool is replaced. Without a handover its successor would first collect the
/// held slots from all entries, while freed slots idle.
#[test]
fn handover_of_a_leaving_owner_keeps_throughput() {
    let mut steps = steps();
    steps.run(1000, load);
    let old = owners(&steps)[0];
    let before = steps.busy;
    steps.run(500, load);
    let usual = steps.busy - before;

    let me = steps.boards[old].me();
    steps.boards[old].members.set_leaving(me);
    let mut stats = OwnerStats::default();
    let before = steps.busy;
    steps.run(500, |s| {
        load(s);
        stats.sample(s);
    });

    let used = (steps.busy - before) as f64 / usual as f64;
    assert_ne!(stats.last, Some(old));
    assert!(used > 0.95, "used {used}, {stats:?}");
    assert!(stats.none <= 5 && stats.several <= 105, "{stats:?}");
    assert!(steps.peak.values().all(|n| u64::from(*n) <= SLOTS_OF_A));
}

/// The instance that the hash prefers restarts without state. If it regarded all others as just
/// started too, it would reclaim its pools at once while the others keep the new owner, and two
/// owners would grant the same slots until the instance counts as stable everywhere.
#[test]
fn a_restarted_instance_and_the_others_agree_on_the_owner() {
    let mut steps = steps();
    let old = owners(&steps)[0];
    steps.kill(old);
    steps.run(2000, load);

    steps.restart(old, &small_fleet(), 1);
    let mut stats = OwnerStats::default();
    steps.run(6000, |s| {
        load(s);
        stats.sample(s);
    });

    assert_eq!(
        stats.last,
        Some(old),
        "it becomes the owner again once it is stable"
    );
    assert_eq!(stats.changes, 1, "{stats:?}");
    assert!(stats.several <= 150 && stats.none <= 5, "{stats:?}");
}

/// A faulty instance starts, runs for two seconds and dies, again and again. If it got its pools back
/// each time, every round would cause two changes of owner and a drop in throughput.
#[test]
fn a_flapping_instance_does_not_make_ownership_flap() {
    let mut steps = steps();
    let old = owners(&steps)[0];
    steps.kill(old);
    steps.run(2000, load);
    let mut stats = OwnerStats::default();

    for _ in 0..5 {
        steps.restart(old, &small_fleet(), 1);
        steps.run(2000, |s| {
            load(s);
            stats.sample(s);
        });
        steps.kill(old);
        steps.run(1000, |s| {
            load(s);
            stats.sample(s);
        });
    }

    assert_eq!(stats.changes, 0, "{stats:?}");
    assert_eq!((stats.none, stats.several), (0, 0));
}

/// The owner is partitioned from its failure domain for four seconds. It kept running, so it regards
/// itself as stable and all others as restarted, while they have a new owner and regard it as
/// restarted. If it took its pools back at once, there would be two owners.
#[test]
fn partitioned_instance_does_not_reclaim_its_pools_at_once() {
    let mut steps = steps();
    let old = owners(&steps)[0];
    let rest: Vec<usize> = (0..PLACES.len()).filter(|n| *n != old).collect();
    steps.run(1000, load);
    steps.cut_between(&[old], &rest);
    steps.run(4000, load);
    assert_eq!(owners(&steps).len(), 2, "each side has an owner");

    steps.cut.clear();
    let mut stats = OwnerStats::default();
    steps.run(2500, |s| {
        load(s);
        stats.sample(s);
    });

    assert!(stats.several <= 250, "{stats:?}");
    assert_ne!(stats.last, Some(old));
    assert!(stats.none <= 5, "{stats:?}");
}

/// The owner is paused for three seconds, twice. When it resumes, calls are waiting and old grants
/// are in its socket buffer. If it granted or dispatched on its stale view, slots of the new owner
/// would be used twice, and a server could run more calls than it has slots.
#[test]
fn resumed_owner_does_not_act_on_a_stale_view() {
    let mut steps = steps();
    let old = owners(&steps)[0];
    steps.run(1000, load);
    for _ in 0..2 {
        for _ in 0..8 {
            let accepted = steps.arrive(old, "small-1", "drafting", 50, 60_000);
            assert_eq!(accepted, Ok(()));
        }
        steps.step();
        steps.frozen.insert(old);
        steps.run(3000, load);
        steps.frozen.remove(&old);

        let waiting = steps.waiting(old, "small-1", "drafting");
        steps.step();
        let mut stale = 0;
        while steps.boards[old].stale_since.is_some() {
            assert_eq!(steps.waiting(old, "small-1", "drafting"), waiting);
            steps.step();
            stale += 1;
        }
        let mut stats = OwnerStats::default();
        steps.run(1500, |s| {
            load(s);
            stats.sample(s);
        });

        assert!(waiting > 0 && (1..10).contains(&stale), "{stale}");
        assert_eq!((stats.several, stats.none), (0, 0), "{stats:?}");
        assert_ne!(stats.last, Some(old));
        assert_eq!(steps.waiting(old, "small-1", "drafting"), 0);
        steps.run(3000, load);
    }
}

/// The only instance of a failure domain is paused. When it resumes, it owns its pool again at once
/// and still has the old demand, but others have granted the slots in the meantime. Nothing may be
/// granted until a peer responds to a probe sent after the pause; a response to an earlier probe,
/// left in the socket buffer, must not count.
#[test]
fn resumed_sole_owner_waits_for_a_fresh_probe_response() {
    let mut steps = steps();
    let pool = PoolId::of(ServiceId::of("drafting"), DomainId::of("b"));
    steps.run(1000, load);
    steps.frozen.insert(4);
    steps.run(3000, load);
    steps.frozen.remove(&4);
    let granted = |steps: &Steps| steps.boards[4].owned_pools[&pool].seq;
    let before = granted(&steps);

    steps.step();
    let stale_ack = ProbeAck {
        number: steps.boards[4].pause_count - 1,
        revision: 1,
        serving: true,
    };
    let now = steps.instant();
    tick::on_probe_ack(&mut steps.boards[4], stale_ack, now);
    let stale = steps.boards[4].stale_since.is_some();
    let held_back = granted(&steps);
    steps.run(1500, load);

    assert!(stale, "a response to an earlier probe confirms nothing");
    assert_eq!(held_back, before);
    assert!(steps.boards[4].stale_since.is_none() && granted(&steps) > before);
}

/// A server is removed while an instance is paused. If a probe response confirmed the view without
/// comparing configuration revisions, the resumed instance would send requests to that server.
#[test]
fn resumed_instance_waits_for_the_configuration_of_its_peers() {
    let mut steps = steps();
    steps.run(1000, load);
    steps.frozen.insert(0);
    steps.run(1000, load);
    let newer = leaving_fleet();
    for index in 1..PLACES.len() {
        let (config, manifest, values) = newer.accept(2);
        steps.boards[index].install(config, manifest, values);
    }
    steps.run(2000, load);
    steps.frozen.remove(&0);

    steps.run(500, load);
    let before = steps.boards[0].stale_since.is_some();
    let (config, manifest, values) = newer.accept(2);
    steps.boards[0].install(config, manifest, values);
    steps.run(100, load);

    assert!(
        before,
        "the view is not confirmed without the latest revision"
    );
    assert!(steps.boards[0].stale_since.is_none());
}

/// The small fleet with one server of failure domain `a` leaving.
fn leaving_fleet() -> FleetText {
    let text = small_fleet().text();
    let text = text.replacen("slots = 4", "slots = 4\nleaving = yes", 1);
    FleetText::new().line(&text)
}

/// An instance with more and more partners announces longer heartbeat intervals. If receivers kept
/// the old timeout, they would mark it dead before each heartbeat, and pools would move back and
/// forth.
#[test]
fn longer_heartbeat_intervals_do_not_time_out() {
    let start = Instant::now();
    let own = contact("i0", "a", "north");
    let mut members = Members::new(InstanceId::of("i0"), own, Incarnation(1), start);
    members.upsert_contact(contact("i1", "a", "north"), start);
    let mut at = Duration::ZERO;
    let mut died = 0;

    for interval in [100, 350, 350, 350, 800, 800, 800].map(Duration::from_millis) {
        let update = LivenessUpdate {
            from: InstanceId::of("i1"),
            incarnation: Incarnation(1),
            leaving: false,
            revision: 1,
            interval,
            stable_tenths: 0,
            direct: true,
        };
        members.record_liveness(update, start + at);
        at += interval;
        members.expire_silent(start + at);
        died += members.newly_dead.len();
        members.newly_dead.clear();
    }

    assert_eq!(died, 0);
}
