//! Identity of what a request holds, whatever its attempt is called.

use serde::{Deserialize, Serialize};

use crate::ident::AccountId;
use crate::routing::shape::PromptPart;

/// Identity of the content of a request; a client's repeats of a request share it.
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
    /// Body.
    pub body: &'a [u8],
}

impl Fingerprint {
    /// Returns the fingerprint of a whole request.
    pub fn of_request(content: &RequestContent<'_>) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&content.account.map_or(0, |a| a.0).to_le_bytes());
        for field in [
            content.method.as_bytes(),
            content.host,
            content.target.as_bytes(),
        ] {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        hasher.update(&(content.parts.len() as u64).to_le_bytes());
        for part in content.parts {
            hasher.update(&part.id.to_le_bytes());
        }
        hasher.update(content.body);
        let mut first = [0_u8; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Self(u64::from_le_bytes(first))
    }
}
