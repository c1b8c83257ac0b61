//! Owners of pools during starts, stops, pauses and partitions, simulated in a deterministic order.

use std::time::{Duration, Instant};

use hawthornmill::blackboard::Tuning;
use hawthornmill::ident::{DomainId, Incarnation, InstanceId, PoolId, ServiceId};
use hawthornmill::membership::{LivenessUpdate, Members};
use hawthornmill::pools::tick;
use hawthornmill::wire::message::ProbeAck;
use hawthornmill_test_support::fleet::FleetBuilder;
use hawthornmill_test_support::procs::small_fleet;
use hawthornmill_test_support::simulation::{Simulation, contact};

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

fn simulation() -> Simulation {
    let mut sim = Simulation::new(&small_fleet(), PLACES, &Tuning::default());
    sim.run(5000, |_| {});
    sim
}

fn pool_of_a() -> PoolId {
    PoolId::of(ServiceId::of("drafting"), DomainId::of("a"))
}

/// Running instances that grant slots of the pool in failure domain `a`.
fn owners(sim: &Simulation) -> Vec<usize> {
    let now = sim.instant();
    (0..PLACES.len())
        .filter(|n| !sim.dead.contains(n) && !sim.paused.contains(n))
        .filter(|n| {
            let owned = sim.boards[*n].owned_pools.get(&pool_of_a());
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
    fn sample(&mut self, sim: &Simulation) {
        match owners(sim)[..] {
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
fn load(sim: &mut Simulation) {
    for entry in [0, 1, 4] {
        if sim.dead.contains(&entry) || sim.paused.contains(&entry) {
            continue;
        }
        while sim.queue_length(entry, "big", "drafting") < 8 {
            let accepted = sim.submit_call(entry, "big", "drafting", 50, 60_000);
            assert_eq!(accepted, Ok(()));
        }
    }
}

/// The owner of a busy pool is replaced. Without a handover its successor would first collect the
/// held slots from all entries, while freed slots idle.
#[test]
fn handover_of_a_leaving_owner_keeps_throughput() {
    let mut sim = simulation();
    sim.run(1000, load);
    let old = owners(&sim)[0];
    let before = sim.busy_ms;
    sim.run(500, load);
    let usual = sim.busy_ms - before;

    let me = sim.boards[old].me();
    sim.boards[old].members.set_leaving(me);
    let mut stats = OwnerStats::default();
    let before = sim.busy_ms;
    sim.run(500, |s| {
        load(s);
        stats.sample(s);
    });

    let used = (sim.busy_ms - before) as f64 / usual as f64;
    assert_ne!(stats.last, Some(old));
    assert!(used > 0.95, "used {used}, {stats:?}");
    assert!(stats.none <= 5 && stats.several <= 105, "{stats:?}");
    assert!(
        sim.peak_running
            .values()
            .all(|n| u64::from(*n) <= SLOTS_OF_A)
    );
}

/// The instance that the hash prefers restarts without state. If it regarded all others as just
/// started too, it would reclaim its pools at once while the others keep the new owner, and two
/// owners would grant the same slots until the instance counts as stable everywhere.
#[test]
fn a_restarted_instance_and_the_others_agree_on_the_owner() {
    let mut sim = simulation();
    let old = owners(&sim)[0];
    sim.kill(old);
    sim.run(2000, load);

    sim.restart(old, &small_fleet(), 1);
    let mut stats = OwnerStats::default();
    sim.run(6000, |s| {
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
    let mut sim = simulation();
    let old = owners(&sim)[0];
    sim.kill(old);
    sim.run(2000, load);
    let mut stats = OwnerStats::default();

    for _ in 0..5 {
        sim.restart(old, &small_fleet(), 1);
        sim.run(2000, |s| {
            load(s);
            stats.sample(s);
        });
        sim.kill(old);
        sim.run(1000, |s| {
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
    let mut sim = simulation();
    let old = owners(&sim)[0];
    let rest: Vec<usize> = (0..PLACES.len()).filter(|n| *n != old).collect();
    sim.run(1000, load);
    sim.partition(&[old], &rest);
    sim.run(4000, load);
    assert_eq!(owners(&sim).len(), 2, "each side has an owner");

    sim.broken_links.clear();
    let mut stats = OwnerStats::default();
    sim.run(2500, |s| {
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
    let mut sim = simulation();
    let old = owners(&sim)[0];
    sim.run(1000, load);
    for _ in 0..2 {
        for _ in 0..8 {
            let accepted = sim.submit_call(old, "small-1", "drafting", 50, 60_000);
            assert_eq!(accepted, Ok(()));
        }
        sim.step();
        sim.paused.insert(old);
        sim.run(3000, load);
        sim.paused.remove(&old);

        let waiting = sim.queue_length(old, "small-1", "drafting");
        sim.step();
        let mut stale = 0;
        while sim.boards[old].stale_since.is_some() {
            assert_eq!(sim.queue_length(old, "small-1", "drafting"), waiting);
            sim.step();
            stale += 1;
        }
        let mut stats = OwnerStats::default();
        sim.run(1500, |s| {
            load(s);
            stats.sample(s);
        });

        assert!(waiting > 0 && (1..10).contains(&stale), "{stale}");
        assert_eq!((stats.several, stats.none), (0, 0), "{stats:?}");
        assert_ne!(stats.last, Some(old));
        assert_eq!(sim.queue_length(old, "small-1", "drafting"), 0);
        sim.run(3000, load);
    }
}

/// The only instance of a failure domain is paused. When it resumes, it owns its pool again at once
/// and still has the old demand, but others have granted the slots in the meantime. Nothing may be
/// granted until a peer responds to a probe sent after the pause; a response to an earlier probe,
/// left in the socket buffer, must not count.
#[test]
fn resumed_sole_owner_waits_for_a_fresh_probe_response() {
    let mut sim = simulation();
    let pool = PoolId::of(ServiceId::of("drafting"), DomainId::of("b"));
    sim.run(1000, load);
    sim.paused.insert(4);
    sim.run(3000, load);
    sim.paused.remove(&4);
    let granted = |sim: &Simulation| sim.boards[4].owned_pools[&pool].seq;
    let before = granted(&sim);

    sim.step();
    let stale_ack = ProbeAck {
        number: sim.boards[4].pause_count - 1,
        revision: 1,
        serving: true,
    };
    let now = sim.instant();
    tick::on_probe_ack(&mut sim.boards[4], stale_ack, now);
    let stale = sim.boards[4].stale_since.is_some();
    let held_back = granted(&sim);
    sim.run(1500, load);

    assert!(stale, "a response to an earlier probe confirms nothing");
    assert_eq!(held_back, before);
    assert!(sim.boards[4].stale_since.is_none() && granted(&sim) > before);
}

/// A server is removed while an instance is paused. If a probe response confirmed the view without
/// comparing configuration revisions, the resumed instance would send requests to that server.
#[test]
fn resumed_instance_waits_for_the_configuration_of_its_peers() {
    let mut sim = simulation();
    sim.run(1000, load);
    sim.paused.insert(0);
    sim.run(1000, load);
    let newer = leaving_fleet();
    for index in 1..PLACES.len() {
        let (config, manifest, values) = newer.accept(2);
        sim.boards[index].install(config, manifest, values);
    }
    sim.run(2000, load);
    sim.paused.remove(&0);

    sim.run(500, load);
    let before = sim.boards[0].stale_since.is_some();
    let (config, manifest, values) = newer.accept(2);
    sim.boards[0].install(config, manifest, values);
    sim.run(100, load);

    assert!(
        before,
        "the view is not confirmed without the latest revision"
    );
    assert!(sim.boards[0].stale_since.is_none());
}

/// The small fleet with one server of failure domain `a` leaving.
fn leaving_fleet() -> FleetBuilder {
    let text = small_fleet().text();
    let text = text.replacen("slots = 4", "slots = 4\nleaving = yes", 1);
    FleetBuilder::new().line(&text)
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
