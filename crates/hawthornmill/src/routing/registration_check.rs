//! What a registration must be for its server to be used: another writer may have written anything.

use std::net::{Ipv4Addr, SocketAddr};

use super::registry::Registration;

/// Most concurrent requests of a server; the largest have hundreds, and 12,000 of these stay countable.
const MAX_SLOTS: u32 = 100_000;
/// Longest name of a run, as keys are at most that long, and longest text of a version, in bytes.
const MAX_NAME_BYTES: usize = 200;

/// Checks a registration.
///
/// # Errors
/// Returns why its server can't be used.
pub fn check(registration: &Registration) -> Result<(), &'static str> {
    let name = &registration.name;
    // The name goes into the heads of requests.
    let is_name = !name.is_empty() && name.bytes().all(|b| b.is_ascii_graphic());
    if !is_name || name.len() > MAX_NAME_BYTES {
        return Err("its key names no server");
    }
    if registration.version_name.len() > MAX_NAME_BYTES {
        return Err("its version is too long");
    }
    if registration.slots > MAX_SLOTS {
        return Err("no server has so many slots");
    }
    if !is_host(registration.address) {
        return Err("nothing can listen at its address");
    }
    Ok(())
}

/// Returns whether a single host may listen at `address`.
fn is_host(address: SocketAddr) -> bool {
    let ip = address.ip().to_canonical();
    let is_broadcast = ip == Ipv4Addr::BROADCAST;
    let is_group = ip.is_unspecified() || ip.is_multicast() || is_broadcast;
    !is_group && address.port() != 0
}
