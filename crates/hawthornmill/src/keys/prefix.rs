//! Prefixes of idempotency keys.

use std::time::Duration;

use snafu::Snafu;

use crate::ident::{Incarnation, InstanceId};

/// Version of the prefix format.
const FORMAT: &str = "h1";
const MAC_CHARS: usize = 16;
/// Maximum length of a suffix.
pub const MAX_SUFFIX_CHARS: usize = 64;

/// A key prefix: the home that issued it and when, by that home's own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyPrefix {
    /// Home instance.
    pub home: InstanceId,
    /// Process run of the home.
    pub incarnation: Incarnation,
    /// Seconds from the start of that run until the prefix was issued.
    pub issued_secs: u32,
}

/// Why a key is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum KeyError {
    /// Not `<prefix>.<suffix>` in the allowed characters.
    #[snafu(display("malformed key"))]
    Malformed,
    /// The prefix was not issued by this fleet: its MAC is wrong.
    #[snafu(display("foreign key"))]
    UnknownIssuer,
}

impl KeyPrefix {
    /// The prefix as text, authenticated with `key`.
    pub fn encode(&self, key: &[u8; 32]) -> Box<str> {
        let body = self.body();
        let mac = mac(key, &body);
        format!("{body}-{mac}").into()
    }

    fn body(&self) -> String {
        format!(
            "{FORMAT}-{:016x}-{:016x}-{:x}",
            self.home.0, self.incarnation.0, self.issued_secs
        )
    }

    /// Splits a client's key into its verified prefix and the suffix.
    ///
    /// # Errors
    /// [`KeyError::Malformed`] or [`KeyError::UnknownIssuer`].
    pub fn parse_key(key: &[u8; 32], text: &str) -> Result<(Self, Box<str>), KeyError> {
        let (prefix, suffix) = text.split_once('.').ok_or(KeyError::Malformed)?;
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_');
        if suffix.is_empty() || suffix.len() > MAX_SUFFIX_CHARS || !suffix.chars().all(allowed) {
            return Err(KeyError::Malformed);
        }
        let (body, actual) = prefix.rsplit_once('-').ok_or(KeyError::Malformed)?;
        let parsed = parse(body).ok_or(KeyError::Malformed)?;
        let expected = mac(key, &parsed.body());
        let equal = actual.len() == expected.len()
            && actual
                .bytes()
                .zip(expected.bytes())
                .fold(0, |acc, (a, b)| acc | (a ^ b))
                == 0;
        if !equal {
            return Err(KeyError::UnknownIssuer);
        }
        Ok((parsed, suffix.into()))
    }

    /// Returns whether the prefix is older than `ttl`; `age` is the time since the home started.
    pub fn is_expired(&self, age: Duration, ttl: Duration) -> bool {
        age > Duration::from_secs(u64::from(self.issued_secs)) + ttl
    }
}

fn parse(body: &str) -> Option<KeyPrefix> {
    let mut parts = body.split('-');
    if parts.next() != Some(FORMAT) {
        return None;
    }
    let home = u64::from_str_radix(parts.next()?, 16).ok()?;
    let run = u64::from_str_radix(parts.next()?, 16).ok()?;
    let issued = u32::from_str_radix(parts.next()?, 16).ok()?;
    let complete = parts.next().is_none();
    complete.then_some(KeyPrefix {
        home: InstanceId(home),
        incarnation: Incarnation(run),
        issued_secs: issued,
    })
}

fn mac(key: &[u8; 32], body: &str) -> String {
    let hash = blake3::keyed_hash(key, body.as_bytes());
    hash.to_hex().as_str()[..MAC_CHARS].to_owned()
}
