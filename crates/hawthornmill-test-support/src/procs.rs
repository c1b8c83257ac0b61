//! Starts real router processes with stand-ins for the other systems.

use std::path::Path;
use std::time::Duration;

use hawthornmill_lab::demo::site::{RouterCommand, Site, SitePlan};

use crate::fleet::FleetBuilder;

/// Failure domains of the small test sites, each with its region.
pub const DOMAINS: &[(&str, &str)] = &[("a", "north"), ("b", "north"), ("c", "south")];

/// Returns the command that runs the program `router` without arguments of its own.
pub fn router_command(router: &str) -> RouterCommand {
    RouterCommand {
        program: Path::new(router).to_path_buf(),
        words: Vec::new(),
    }
}

/// Returns a fleet with two services, six servers and four accounts.
///
/// `big` has share 4, `small-1` and `small-2` share 1; `stranger` has no grant.
pub fn small_fleet() -> FleetBuilder {
    let mut fleet = FleetBuilder::new()
        .domain("a", "north")
        .domain("b", "north")
        .domain("c", "south")
        .service("drafting")
        .non_idempotent_service("booking");
    for domain in ["a", "b", "c"] {
        fleet = fleet
            .server(&format!("draft-{domain}"), "drafting", domain, 4, "std")
            .server(&format!("book-{domain}"), "booking", domain, 2, "std");
    }
    fleet
        .account("big", "large")
        .account("small-1", "small")
        .account("small-2", "small")
        .account("stranger", "none")
        .grant("large", "size=large", "pool=std", 4.0)
        .grant("small", "size=small", "pool=std", 1.0)
}

/// Starts `routers` routers with the small fleet.
///
/// # Panics
/// With the reason, if the site does not become ready.
pub async fn small_site(router: &str, routers: usize) -> Site {
    start(
        router,
        SitePlan::new(&small_fleet().text(), DOMAINS, routers),
    )
    .await
}

/// Starts the site of `plan`.
///
/// # Panics
/// With the reason, if the site does not become ready.
pub async fn start(router: &str, plan: SitePlan) -> Site {
    match Site::start(plan, router_command(router)).await {
        Ok(site) => site,
        Err(error) => panic!("the site did not start: {error}"),
    }
}

/// HTTP response with its complete body.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: std::collections::BTreeMap<String, String>,
    /// Body.
    pub text: String,
}

impl Response {
    /// Returns the body as JSON, or null if it is not valid JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }
}

/// Sends `request` and reads the whole response; `None` if the connection failed or timed out.
pub async fn send(request: reqwest::RequestBuilder) -> Option<Response> {
    let response = request.timeout(Duration::from_secs(30)).send().await.ok()?;
    let status = response.status().as_u16();
    let headers = response
        .headers()
        .iter()
        .map(|(n, v)| (n.to_string(), v.to_str().unwrap_or_default().to_owned()))
        .collect();
    let text = response.text().await.ok()?;
    Some(Response {
        status,
        headers,
        text,
    })
}

/// Returns the most memory that a process has used, in KiB.
///
/// # Panics
/// If the process has ended.
pub fn peak_memory_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"));
    let status = status.expect("the process status can be read");
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    let number = line.and_then(|l| l.trim().strip_suffix(" kB"));
    number
        .and_then(|n| n.parse().ok())
        .expect("the status has a number")
}
