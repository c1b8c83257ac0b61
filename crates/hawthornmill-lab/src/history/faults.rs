//! Schedules of faults, drawn from a seed.

use std::time::Duration;

use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::demo::site::Site;

/// What happens to a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It is killed, and started anew when the fault ends.
    Kill,
    /// It is stopped, and goes on when the fault ends.
    Freeze,
    /// It is told to leave, and started anew when the fault ends.
    Leave,
}

/// A fault at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// From the start of the run.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// Router that it meets.
    pub router: usize,
    /// What happens.
    pub fault: Fault,
}

/// Draws `count` faults within `time`, one after the other, for a site of `routers` routers.
pub fn draw(seed: u64, routers: usize, count: usize, time: Duration) -> Vec<Event> {
    let mut rng = StdRng::seed_from_u64(seed);
    let part = time / count.max(1) as u32;
    (0..count as u32)
        .map(|n| {
            let start = part * n + part.mul_f64(rng.random_range(0.0..0.4));
            Event {
                at: start,
                lasts: part.mul_f64(rng.random_range(0.1..0.6)),
                router: rng.random_range(0..routers),
                fault: [Fault::Kill, Fault::Freeze, Fault::Leave][rng.random_range(0..3)],
            }
        })
        .collect()
}

/// Makes the faults of `events` happen.
///
/// # Errors
/// In words, when a router can't be started again.
pub async fn play(site: &mut Site, events: &[Event]) -> Result<(), Box<str>> {
    let start = tokio::time::Instant::now();
    for event in events {
        tokio::time::sleep_until(start + event.at).await;
        let router = &mut site.routers[event.router];
        match event.fault {
            Fault::Kill => router.kill(),
            Fault::Freeze => router.signal(Signal::SIGSTOP),
            Fault::Leave => router.signal(Signal::SIGTERM),
        }
        tokio::time::sleep(event.lasts).await;
        if event.fault == Fault::Freeze {
            router.signal(Signal::SIGCONT);
            continue;
        }
        router.kill();
        site.launch(event.router)?;
    }
    Ok(())
}
