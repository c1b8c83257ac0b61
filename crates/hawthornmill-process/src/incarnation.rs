//! Numbers the runs of a process.

use std::time::{SystemTime, UNIX_EPOCH};

use hawthornmill::ident::Incarnation;

/// A number that is greater for each later run of the same instance, as long as its clock is not set
/// back between them.
pub fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |d| d.as_millis() as u64);
    Incarnation((millis << 12) | u64::from(rand::random::<u16>() >> 4))
}
