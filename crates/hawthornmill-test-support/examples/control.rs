//! Measures control traffic and configuration rollout for several numbers of routers.
//!
//! `control ROUTER COUNT…` starts COUNT routers of the program ROUTER with the small fleet in three
//! failure domains, waits until they have settled, and prints one line for each COUNT: platform
//! calls per second by kind, control bytes per second and router (mean and maximum), and the time
//! until a change was in force on all routers, first undisturbed, then with three readers of the
//! configuration killed at the time of the change.

use std::time::{Duration, Instant};

use hawthornmill_lab::demo::site::Site;
use hawthornmill_test_support::procs::small_site;

const SETTLE_TIME: Duration = Duration::from_secs(15);
const MEASUREMENT_TIME: Duration = Duration::from_secs(10);
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(20);

#[tokio::main(worker_threads = 2)]
async fn main() {
    let mut args = std::env::args().skip(1);
    let router = args.next().expect("the router program comes first");
    for count in args {
        let count = count.parse().expect("a number of routers");
        let mut site = small_site(&router, count).await;
        tokio::time::sleep(SETTLE_TIME).await;
        let traffic = idle_traffic(&site).await;
        let undisturbed = rollout_time(&site, 1).await;
        let killed = rollout_time_with_kills(&mut site).await;
        println!(
            "{count} routers: {traffic}, in force after {undisturbed:?}, readers killed {killed:?}"
        );
        site.stop().await;
    }
}

async fn idle_traffic(site: &Site) -> String {
    let calls_before = site.platform.calls();
    let bytes_before = site.control_bytes().await.each;
    tokio::time::sleep(MEASUREMENT_TIME).await;
    let bytes_after = site.control_bytes().await.each;
    let seconds = MEASUREMENT_TIME.as_secs_f64();
    let rates: Vec<f64> = bytes_after
        .iter()
        .zip(&bytes_before)
        .map(|(a, b)| (a - b) as f64 / seconds)
        .collect();
    let mean = rates.iter().sum::<f64>() / rates.len() as f64;
    let max = rates.iter().copied().fold(0.0, f64::max);
    let calls: Vec<String> = site
        .platform
        .calls()
        .iter()
        .map(|(kind, count)| {
            let before = calls_before.get(kind).copied().unwrap_or(0);
            format!("{kind} {:.1}/s", (count - before) as f64 / seconds)
        })
        .collect();
    format!("{}, bytes/s mean {mean:.0} most {max:.0}", calls.join(" "))
}

/// Publishes a change and returns the time until it was in force on all routers.
async fn rollout_time(site: &Site, number: u64) -> Option<Duration> {
    let revision = publish(site, number);
    wait_in_force(site, revision, 0).await
}

/// Like [`rollout_time`], but kills the first three routers, one of each failure domain, at once.
async fn rollout_time_with_kills(site: &mut Site) -> Option<Duration> {
    let revision = publish(site, 2);
    for router in site.routers.iter_mut().take(3) {
        router.kill();
    }
    wait_in_force(site, revision, 3).await
}

fn publish(site: &Site, number: u64) -> u64 {
    let estimate = format!("estimate = {}", 100 + number);
    let text = site.text.replacen("estimate = 100", &estimate, 1);
    site.platform
        .publish([("fleet".into(), text.into())].into())
}

async fn wait_in_force(site: &Site, revision: u64, killed: usize) -> Option<Duration> {
    let start = Instant::now();
    while start.elapsed() < ROLLOUT_TIMEOUT {
        let statuses = site.statuses().await;
        let updated = statuses
            .iter()
            .filter(|s| s["revision"] == revision)
            .count();
        if updated + killed >= site.routers.len() {
            return Some(start.elapsed());
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    None
}
