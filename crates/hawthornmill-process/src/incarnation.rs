//! Incarnation numbers, which tell the runs of an instance apart.

use std::time::{SystemTime, UNIX_EPOCH};

use hawthornmill::ident::Incarnation;

/// Returns a new incarnation number.
///
/// It is greater for each later run of the same instance, unless its clock is set back in between.
/// The high bits are the Unix time in milliseconds, the low 12 bits are random.
pub fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since_epoch.map_or(0, |d| d.as_millis() as u64);
    Incarnation((millis << 12) | u64::from(rand::random::<u16>() >> 4))
}
