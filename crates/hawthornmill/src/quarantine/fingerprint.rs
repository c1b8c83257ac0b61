//! Identity of what a request holds, whatever its attempt is called.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::ident::{AccountId, mix};
use crate::routing::shape::PromptPart;

/// Bytes that are mixed into a hash at once.
const WORD_BYTES: usize = 8;
/// Parts of a prompt that are looked at.
const MAX_PARTS: usize = 16;

/// Identity of the content of a request, which a client's repeats share, or of a part of its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(#[serde(with = "postcard::fixint::le")] pub u64);

/// What a backend server sees of a request.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// Account of its caller; `None` on public routes.
    pub account: Option<AccountId>,
    /// HTTP method.
    pub method: &'a str,
    /// Host that the caller named.
    pub host: &'a [u8],
    /// Path and query.
    pub target: &'a str,
    /// Parts of its prompt; none where no model engine serves it.
    pub parts: &'a [PromptPart],
    /// Body, in parts that follow each other.
    pub body: &'a [&'a [u8]],
}

/// All that a request may share with another one under which servers crash.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fingerprints {
    /// The whole request.
    pub request: Fingerprint,
    /// The parts of its prompt that other requests may hold too, in their order; the last part is its own.
    pub parts: SmallVec<[Fingerprint; 2]>,
}

impl Fingerprints {
    /// Returns the fingerprints of a request.
    pub fn of(content: &RequestContent<'_>) -> Self {
        let shared = content.parts.len().saturating_sub(1).min(MAX_PARTS);
        let parts = content.parts[..shared].iter();
        Self {
            request: Fingerprint::of_request(content),
            parts: parts.map(|p| Fingerprint(mix(!p.id))).collect(),
        }
    }

    /// Returns all of them.
    pub fn all(&self) -> impl Iterator<Item = Fingerprint> {
        let parts = self.parts.iter().copied();
        std::iter::once(self.request).chain(parts)
    }
}

impl Fingerprint {
    /// Returns the fingerprint of a whole request.
    ///
    /// The hash is fast and not secure: the account is part of it, so whoever finds two requests with one fingerprint has
    /// found two of his own.
    pub fn of_request(content: &RequestContent<'_>) -> Self {
        let account = content.account.map_or(0, |a| a.0);
        let mut hash = fold(mix(account), content.method.as_bytes());
        for field in [content.host, content.target.as_bytes()] {
            hash = fold(hash, field);
        }
        hash = fold_parts(hash, content.body);
        let parts = content.parts.iter();
        Self(parts.fold(hash, |hash, part| mix(hash ^ part.id)))
    }
}

/// Adds a field, with its length, to a hash.
fn fold(hash: u64, field: &[u8]) -> u64 {
    fold_parts(hash, &[field])
}

/// Adds a field that is in parts; how it is divided doesn't matter.
fn fold_parts(hash: u64, parts: &[&[u8]]) -> u64 {
    let length: usize = parts.iter().map(|p| p.len()).sum();
    let mut hash = mix(hash ^ length as u64);
    let (mut last, mut filled) = ([0_u8; WORD_BYTES], 0);
    for mut part in parts.iter().copied() {
        if filled > 0 {
            let (begin, rest) = part.split_at(part.len().min(WORD_BYTES - filled));
            last[filled..filled + begin.len()].copy_from_slice(begin);
            (filled, part) = (filled + begin.len(), rest);
        }
        if filled == WORD_BYTES {
            hash = mix(hash ^ u64::from_le_bytes(std::mem::take(&mut last)));
            filled = 0;
        }
        let (words, rest) = part.as_chunks::<WORD_BYTES>();
        for word in words {
            hash = mix(hash ^ u64::from_le_bytes(*word));
        }
        last[filled..filled + rest.len()].copy_from_slice(rest);
        filled += rest.len();
    }
    mix(hash ^ u64::from_le_bytes(last))
}
