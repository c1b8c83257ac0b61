//! Reads the catalog in force and the registered servers from the platform's store.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use hawthornmill::codes::Code;
use hawthornmill::ini::Diagnostic;
use hawthornmill::routing::registry::Registration;
use hawthornmill_gateway::adapter::{Adapter, KvEntry, Page};
use reqwest::{Client, Response, redirect};
use tokio::time::timeout;

/// Time allowed for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time allowed for all calls.
const TOTAL_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest response: a megabyte of values in base64, and their keys.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Most bytes of keys and values in a list, well above those of the largest fleets.
const MAX_LIST_BYTES: usize = 64 << 20;

/// What the store holds.
#[derive(Debug, Default)]
pub struct StoreState {
    /// Catalog as published; `None` if there is none.
    pub catalog: Option<Vec<u8>>,
    /// Registered servers; entries that can't be parsed are left out, as gateways do.
    pub servers: Vec<Registration>,
}

/// Reads the store at `address`.
///
/// # Errors
/// Returns one diagnostic if the store can't be reached, or answers with something else than a list.
pub fn read(adapter: &Adapter, address: SocketAddr) -> Result<StoreState, Diagnostic> {
    let failed = |why: String| Diagnostic {
        code: Code::PlatformUnreachable,
        ..Diagnostic::unreadable(Path::new(&address.to_string()), &why)
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| failed(e.to_string()))?;
    let read = async { timeout(TOTAL_TIMEOUT, read_state(adapter, address)).await };
    match runtime.block_on(read) {
        Ok(state) => state.map_err(failed),
        Err(_elapsed) => Err(failed(format!("no whole list within {TOTAL_TIMEOUT:?}"))),
    }
}

async fn read_state(adapter: &Adapter, address: SocketAddr) -> Result<StoreState, String> {
    // A proxy from the environment would be asked for the store instead of the store itself.
    let client = Client::builder()
        .no_proxy()
        .redirect(redirect::Policy::none())
        .timeout(CALL_TIMEOUT)
        .build()
        .map_err(|e| describe(&e))?;
    let store = &adapter.store;
    let written = list(&client, adapter, address, store.operator_prefix).await?;
    let registered = list(&client, adapter, address, store.servers_prefix).await?;
    let catalog = written.into_iter().find(|e| &*e.key == store.catalog_key);
    let server = |entry: KvEntry| {
        let name = entry.key.strip_prefix(store.servers_prefix)?;
        (adapter.parse_registration)(name, &entry.value?).ok()
    };
    Ok(StoreState {
        catalog: catalog.and_then(|e| e.value),
        servers: registered.into_iter().filter_map(server).collect(),
    })
}

async fn list(
    client: &Client,
    adapter: &Adapter,
    address: SocketAddr,
    prefix: &str,
) -> Result<Vec<KvEntry>, String> {
    let mut entries: Vec<KvEntry> = Vec::new();
    let mut bytes = 0;
    loop {
        let last = entries.last().map(|e| e.key.clone());
        let path = (adapter.store.list_path)(prefix, last.as_deref());
        let page = read_page(client, adapter, &format!("http://{address}{path}")).await?;
        let is_ahead = |e: &KvEntry| last.as_ref().is_none_or(|l| e.key > *l);
        if page.has_more && !page.entries.last().is_some_and(is_ahead) {
            return Err(format!("the list of `{prefix}` doesn't go on"));
        }
        bytes += page.entries.iter().map(entry_bytes).sum::<usize>();
        if bytes > MAX_LIST_BYTES {
            return Err(format!("a list of over {MAX_LIST_BYTES} bytes"));
        }
        entries.extend(page.entries);
        if !page.has_more {
            return Ok(entries);
        }
    }
}

fn entry_bytes(entry: &KvEntry) -> usize {
    entry.key.len() + entry.value.as_ref().map_or(0, Vec::len)
}

async fn read_page(client: &Client, adapter: &Adapter, url: &str) -> Result<Page, String> {
    let response = client.get(url).send().await.map_err(|e| describe(&e))?;
    let status = response.status();
    if status != reqwest::StatusCode::OK {
        return Err(format!("status {status}"));
    }
    let body = read_body(response).await?;
    (adapter.store.parse_page)(&body).map_err(Into::into)
}

async fn read_body(mut response: Response) -> Result<Vec<u8>, String> {
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(|e| describe(&e))? {
        if body.len() + chunk.len() > MAX_RESPONSE_BYTES {
            return Err(format!("a response of over {MAX_RESPONSE_BYTES} bytes"));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

/// Returns the innermost cause, since the outer ones repeat the address only.
fn describe(error: &reqwest::Error) -> String {
    let mut cause: &dyn std::error::Error = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string()
}
