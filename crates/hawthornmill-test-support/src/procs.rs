//! Real router processes around stand-ins.

use std::path::Path;
use std::time::Duration;

use hawthornmill_lab::demo::site::{RouterCommand, Site, SitePlan};

use crate::fleet::FleetBuilder;

/// Failure domains of the small test sites.
pub const DOMAINS: &[(&str, &str)] = &[("a", "north"), ("b", "north"), ("c", "south")];

/// The program `router` without further words.
pub fn command(router: &str) -> RouterCommand {
    RouterCommand {
        program: Path::new(router).to_path_buf(),
        words: Vec::new(),
    }
}

/// Two services, six servers, four accounts: `big` has share 4, the others 1.
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

/// Starts `routers` routers over the small fleet.
///
/// # Panics
/// With the reason, when the site does not get ready.
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
/// With the reason, when the site does not get ready.
pub async fn start(router: &str, plan: SitePlan) -> Site {
    match Site::start(plan, command(router)).await {
        Ok(site) => site,
        Err(words) => panic!("the site did not start: {words}"),
    }
}

/// An answer read whole.
#[derive(Debug, Clone)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Headers as text.
    pub headers: std::collections::BTreeMap<String, String>,
    /// Body as text.
    pub text: String,
}

impl Response {
    /// The body as JSON; null where it is none.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }
}

/// Sends `request` and reads the answer whole; none when the connection broke.
pub async fn send(request: reqwest::RequestBuilder) -> Option<Response> {
    let answer = request.timeout(Duration::from_secs(30)).send().await.ok()?;
    let status = answer.status().as_u16();
    let headers = answer
        .headers()
        .iter()
        .map(|(n, v)| (n.to_string(), v.to_str().unwrap_or_default().to_owned()))
        .collect();
    let text = answer.text().await.ok()?;
    Some(Response {
        status,
        headers,
        text,
    })
}
