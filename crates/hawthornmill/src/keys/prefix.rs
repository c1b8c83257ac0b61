//! Key prefixes.

use std::time::Duration;

use snafu::Snafu;

use crate::ident::{Incarnation, InstanceId};

const TAG: &str = "h1";
const MAC_CHARS: usize = 16;
/// Most characters of a suffix.
pub const MAX_SUFFIX_CHARS: usize = 64;

/// A key prefix: the home that made it and when, by that home's own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyPrefix {
    /// Home instance.
    pub home: InstanceId,
    /// Process run of the home.
    pub incarnation: Incarnation,
    /// Seconds since that run began.
    pub issued_secs: u32,
}

/// Why a key can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum KeyError {
    /// Not `<prefix>.<suffix>` in the expected characters.
    #[snafu(display("malformed key"))]
    Malformed,
    /// The prefix was not made by this fleet.
    #[snafu(display("foreign key"))]
    UnknownIssuer,
}

impl KeyPrefix {
    /// The prefix as callers see it.
    pub fn encode(&self, key: &[u8; 32]) -> Box<str> {
        let body = self.body();
        let mac = mac(key, &body);
        format!("{body}-{mac}").into()
    }

    fn body(&self) -> String {
        format!(
            "{TAG}-{:016x}-{:016x}-{:x}",
            self.home.0, self.incarnation.0, self.issued_secs
        )
    }

    /// Splits a caller's key into its prefix and suffix.
    ///
    /// # Errors
    /// [`KeyError::Malformed`] or [`KeyError::UnknownIssuer`].
    pub fn parse_key(key: &[u8; 32], text: &str) -> Result<(Self, Box<str>), KeyError> {
        let (prefix, suffix) = text.split_once('.').ok_or(KeyError::Malformed)?;
        let good = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_');
        if suffix.is_empty() || suffix.len() > MAX_SUFFIX_CHARS || !suffix.chars().all(good) {
            return Err(KeyError::Malformed);
        }
        let (body, code) = prefix.rsplit_once('-').ok_or(KeyError::Malformed)?;
        let parsed = parse(body).ok_or(KeyError::Malformed)?;
        let expected = mac(key, &parsed.body());
        let same = code.len() == expected.len()
            && code
                .bytes()
                .zip(expected.bytes())
                .fold(0, |acc, (a, b)| acc | (a ^ b))
                == 0;
        if !same {
            return Err(KeyError::UnknownIssuer);
        }
        Ok((parsed, suffix.into()))
    }

    /// Tells whether the prefix is older than `ttl` at `age`, the home's time since its start.
    pub fn is_expired(&self, age: Duration, ttl: Duration) -> bool {
        age > Duration::from_secs(u64::from(self.issued_secs)) + ttl
    }
}

fn parse(body: &str) -> Option<KeyPrefix> {
    let mut parts = body.split('-');
    if parts.next() != Some(TAG) {
        return None;
    }
    let home = u64::from_str_radix(parts.next()?, 16).ok()?;
    let run = u64::from_str_radix(parts.next()?, 16).ok()?;
    let made = u32::from_str_radix(parts.next()?, 16).ok()?;
    let whole = parts.next().is_none();
    whole.then_some(KeyPrefix {
        home: InstanceId(home),
        incarnation: Incarnation(run),
        issued_secs: made,
    })
}

fn mac(key: &[u8; 32], body: &str) -> String {
    let hash = blake3::keyed_hash(key, body.as_bytes());
    hash.to_hex().as_str()[..MAC_CHARS].to_owned()
}
