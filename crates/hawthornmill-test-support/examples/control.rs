//! Measures control traffic and configuration at several numbers of routers.
//!
//! `control ROUTER COUNT…` starts COUNT routers of the program ROUTER over the small fleet in three
//! failure domains, lets them settle, and prints one line for each COUNT: platform calls a second by
//! kind, control bytes a second of a router (mean and most), and the time until a change was in
//! force on all of them, calm and with three readers killed in that moment.

use std::time::{Duration, Instant};

use hawthornmill_lab::demo::site::Site;
use hawthornmill_test_support::procs::small_site;

const SETTLE: Duration = Duration::from_secs(15);
const WINDOW: Duration = Duration::from_secs(10);
const MOST: Duration = Duration::from_secs(20);

#[tokio::main(worker_threads = 2)]
async fn main() {
    let mut words = std::env::args().skip(1);
    let router = words.next().expect("the router program comes first");
    for count in words {
        let count = count.parse().expect("a number of routers");
        let mut site = small_site(&router, count).await;
        tokio::time::sleep(SETTLE).await;
        let idle = idle(&site).await;
        let calm = in_force(&site, 1).await;
        let killed = in_force_while(&mut site).await;
        println!("{count} routers: {idle}, in force after {calm:?}, readers killed {killed:?}");
        site.stop().await;
    }
}

async fn idle(site: &Site) -> String {
    let calls = site.platform.calls();
    let bytes = site.control_bytes().await.each;
    tokio::time::sleep(WINDOW).await;
    let after = site.control_bytes().await.each;
    let seconds = WINDOW.as_secs_f64();
    let rates: Vec<f64> = after
        .iter()
        .zip(&bytes)
        .map(|(a, b)| (a - b) as f64 / seconds)
        .collect();
    let mean = rates.iter().sum::<f64>() / rates.len() as f64;
    let most = rates.iter().copied().fold(0.0, f64::max);
    let calls: Vec<String> = site
        .platform
        .calls()
        .iter()
        .map(|(kind, count)| {
            let before = calls.get(kind).copied().unwrap_or(0);
            format!("{kind} {:.1}/s", (count - before) as f64 / seconds)
        })
        .collect();
    format!("{}, bytes/s mean {mean:.0} most {most:.0}", calls.join(" "))
}

/// Publishes a change and returns how long it took until all routers had it.
async fn in_force(site: &Site, number: u64) -> Option<Duration> {
    let revision = publish(site, number);
    wait(site, revision, 0).await
}

/// The same with the first three routers, one of each failure domain, killed in that moment.
async fn in_force_while(site: &mut Site) -> Option<Duration> {
    let revision = publish(site, 2);
    for router in site.routers.iter_mut().take(3) {
        router.kill();
    }
    wait(site, revision, 3).await
}

fn publish(site: &Site, number: u64) -> u64 {
    let estimate = format!("estimate = {}", 100 + number);
    let text = site.text.replacen("estimate = 100", &estimate, 1);
    site.platform
        .publish([("fleet".into(), text.into())].into())
}

async fn wait(site: &Site, revision: u64, dead: usize) -> Option<Duration> {
    let began = Instant::now();
    while began.elapsed() < MOST {
        let all = site.statuses().await;
        let held = all.iter().filter(|s| s["revision"] == revision).count();
        if held + dead >= site.routers.len() {
            return Some(began.elapsed());
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    None
}
