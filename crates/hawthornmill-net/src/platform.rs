//! The platform: configuration watch and instance list, read only.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hawthornmill::codes::Code;
use hawthornmill::config::accept::{Manifest, VALUE_LIMIT, Values};
use hawthornmill::ident::InstanceId;
use hawthornmill::membership::place;
use hawthornmill::wire::message::Contact;
use serde::Deserialize;

use crate::fleet::Fleet;
use crate::peers::inbox::install;

/// Time for which a watch may wait at the platform.
const WATCH: Duration = Duration::from_secs(10);
/// Time allowed for any other call.
const CALL: Duration = Duration::from_secs(2);
/// Time between two readings of the instance list.
const LIST: Duration = Duration::from_secs(1);
/// Time between two looks of an instance that is not a reader.
const FALLBACK: Duration = Duration::from_secs(5);
const AGAIN: Duration = Duration::from_millis(300);

/// An instance in the platform's list.
#[derive(Debug, Clone, Deserialize)]
struct Listed {
    #[serde(flatten)]
    contact: ListedContact,
    #[serde(default)]
    leaving: bool,
}

#[derive(Debug, Clone, Deserialize)]
struct ListedContact {
    name: Box<str>,
    domain: Box<str>,
    region: Box<str>,
    http: Box<str>,
    peer: Box<str>,
}

impl From<ListedContact> for Contact {
    fn from(c: ListedContact) -> Self {
        Self {
            name: c.name,
            domain: c.domain,
            region: c.region,
            http: c.http,
            peer: c.peer,
        }
    }
}

/// Starts the tasks that read the platform.
pub fn start(fleet: &Arc<Fleet>) {
    tokio::spawn(watch(Arc::clone(fleet)));
    tokio::spawn(list(Arc::clone(fleet)));
}

async fn get(fleet: &Fleet, path: &str, limit: usize, wait: Duration) -> Option<Vec<u8>> {
    let url = format!("http://{}{path}", fleet.settings.platform);
    let request = fleet.upstream.client().get(url).timeout(wait);
    let mut answer = request.send().await.ok()?;
    if !answer.status().is_success() {
        return None;
    }
    let mut bytes = Vec::new();
    while let Some(chunk) = answer.chunk().await.ok()? {
        bytes.extend_from_slice(&chunk);
        if bytes.len() > limit {
            let code = Code::ValueTooLarge.number();
            log::error!(target: "config", "{path}: code {code}: over {limit} bytes");
            return None;
        }
    }
    Some(bytes)
}

/// Readers hold a watch; others look now and then, in case no reader reaches them.
async fn watch(fleet: Arc<Fleet>) {
    loop {
        let reader = fleet.view(|board| {
            let own = board.members.own().domain;
            board.config.revision == 0 || place::readers(&board.members, own).contains(&board.me())
        });
        if !reader {
            let jitter = rand::random_range(0.5..1.0);
            tokio::time::sleep(FALLBACK.mul_f64(jitter)).await;
        }
        let wait = if reader { WATCH } else { Duration::ZERO };
        if look(&fleet, wait).await.is_none() {
            tokio::time::sleep(AGAIN.mul_f64(rand::random_range(0.5..1.5))).await;
        }
    }
}

/// Asks for a newer manifest and puts it in force; none when the platform gave no usable answer.
async fn look(fleet: &Arc<Fleet>, wait: Duration) -> Option<()> {
    let have = fleet.view(|board| board.config.revision);
    let path = format!("/v1/manifest?after={have}&wait_ms={}", wait.as_millis());
    let bytes = get(fleet, &path, VALUE_LIMIT, wait + CALL).await?;
    let manifest: Manifest = serde_json::from_slice(&bytes).ok()?;
    fleet.platform_spoke.store(true, Ordering::Relaxed);
    if manifest.revision <= have {
        return Some(());
    }
    let values = fetch(fleet, &manifest).await?;
    let taken = install(fleet, &manifest, values);
    taken.then_some(())
}

async fn fetch(fleet: &Fleet, manifest: &Manifest) -> Option<Values> {
    let (have, mut values) = fleet.view(|board| (board.manifest.clone(), (*board.values).clone()));
    values.retain(|name, _| manifest.values.iter().any(|v| v.name == *name));
    for value in manifest.values.iter().filter(|v| !have.values.contains(v)) {
        let path = format!("/v1/values/{}?revision={}", value.name, manifest.revision);
        let bytes = get(fleet, &path, VALUE_LIMIT, CALL).await?;
        let text = String::from_utf8(bytes).ok()?;
        values.insert(value.name.clone(), text.into());
    }
    Some(values)
}

async fn list(fleet: Arc<Fleet>) {
    loop {
        if let Some(bytes) = get(&fleet, "/v1/instances", VALUE_LIMIT, CALL).await
            && let Ok(list) = serde_json::from_slice::<Vec<Listed>>(&bytes)
        {
            fleet.feed(|board, now| {
                for entry in list {
                    let id = InstanceId::of(&entry.contact.name);
                    board.members.learn(entry.contact.into(), now);
                    if entry.leaving {
                        board.members.set_leaving(id);
                    }
                }
            });
        }
        tokio::time::sleep(LIST.mul_f64(rand::random_range(0.75..1.25))).await;
    }
}
