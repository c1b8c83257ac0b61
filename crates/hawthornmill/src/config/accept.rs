//! Accepts or rejects a whole revision.
//!
//! A revision is a manifest and the values that it lists. The digest of each value must match the
//! manifest: a truncated value or one of another revision has a different digest, so a mixture of
//! two revisions is never accepted.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::model::FleetConfig;
use super::parse;
use crate::codes::Code;
use crate::ini::Diagnostic;

/// Size limit of one configuration value, the platform's own.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// A value listed in a manifest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValueRef {
    /// Name of the value, for instance `servers-0`.
    pub name: Box<str>,
    /// BLAKE3 digest of its bytes, in hexadecimal.
    pub digest: Box<str>,
}

/// The values that make up a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct Manifest {
    /// Number of the revision; later revisions have greater numbers.
    pub revision: u64,
    /// Every value of the revision.
    pub values: Vec<ValueRef>,
}

/// Texts of values by name.
pub type Values = BTreeMap<Box<str>, Box<str>>;

/// The digest of a value's text, in hexadecimal.
pub fn digest(text: &str) -> Box<str> {
    blake3::hash(text.as_bytes()).to_hex().as_str().into()
}

/// A manifest for `values` under `revision`.
pub fn manifest(revision: u64, values: &Values) -> Manifest {
    let values = values
        .iter()
        .map(|(name, text)| ValueRef {
            name: name.clone(),
            digest: digest(text),
        })
        .collect();
    Manifest { revision, values }
}

/// Validates a revision and builds its configuration.
///
/// # Errors
/// Every error found; the caller keeps the configuration in force.
pub fn accept(manifest: &Manifest, values: &Values) -> Result<FleetConfig, Vec<Diagnostic>> {
    let errors: Vec<Diagnostic> = manifest
        .values
        .iter()
        .filter_map(|v| check_value(v, values))
        .collect();
    if !errors.is_empty() {
        return Err(errors);
    }
    let texts: Vec<(&str, &str)> = manifest
        .values
        .iter()
        .filter_map(|v| values.get(&v.name).map(|t| (&*v.name, &**t)))
        .collect();
    parse::parse(manifest.revision, &texts)
}

fn check_value(value: &ValueRef, values: &Values) -> Option<Diagnostic> {
    let error = |code, message: String| {
        Some(Diagnostic {
            code,
            file: value.name.clone(),
            line: 0,
            column: 0,
            message: message.into(),
        })
    };
    let Some(text) = values.get(&value.name) else {
        return error(
            Code::ValueMissing,
            "listed in the manifest but not served by the platform".into(),
        );
    };
    if text.len() > MAX_VALUE_BYTES {
        let message = format!(
            "{} bytes; at most {MAX_VALUE_BYTES} are allowed",
            text.len()
        );
        return error(Code::ValueTooLarge, message);
    }
    if digest(text) != value.digest {
        return error(
            Code::DigestMismatch,
            "the digest differs from the manifest".into(),
        );
    }
    None
}
