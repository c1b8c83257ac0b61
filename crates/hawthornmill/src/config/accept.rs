//! Takes a revision whole or refuses it whole.
//!
//! A revision is a manifest and the values that it names. A value's size and digest must be the
//! manifest's: a value cut in half, or one of another revision, shows as a different digest, so a
//! mixture of two revisions can't be accepted.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::model::FleetConfig;
use super::parse;
use crate::codes::Code;
use crate::ini::Diagnostic;

/// Bytes that one configuration value may have, as the platform bounds it.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// One value that a manifest names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValueRef {
    /// Name of the value, for instance `servers-0`.
    pub name: Box<str>,
    /// BLAKE3 digest of its bytes, in hexadecimal.
    pub digest: Box<str>,
}

/// What makes up a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct Manifest {
    /// Number of the revision; a later one is greater.
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

/// Checks a revision whole and builds the configuration that it describes.
///
/// # Errors
/// Every fault found; the caller keeps what was in force.
pub fn accept(manifest: &Manifest, values: &Values) -> Result<FleetConfig, Vec<Diagnostic>> {
    let faults: Vec<Diagnostic> = manifest
        .values
        .iter()
        .filter_map(|v| check_value(v, values))
        .collect();
    if !faults.is_empty() {
        return Err(faults);
    }
    let texts: Vec<(&str, &str)> = manifest
        .values
        .iter()
        .filter_map(|v| values.get(&v.name).map(|t| (&*v.name, &**t)))
        .collect();
    parse::parse(manifest.revision, &texts)
}

fn check_value(value: &ValueRef, values: &Values) -> Option<Diagnostic> {
    let fault = |code, what: String| {
        Some(Diagnostic {
            code,
            file: value.name.clone(),
            line: 0,
            column: 0,
            message: what.into(),
        })
    };
    let Some(text) = values.get(&value.name) else {
        return fault(
            Code::ValueMissing,
            "named by the manifest, not served".into(),
        );
    };
    if text.len() > MAX_VALUE_BYTES {
        let what = format!(
            "{} bytes; at most {MAX_VALUE_BYTES} are allowed",
            text.len()
        );
        return fault(Code::ValueTooLarge, what);
    }
    if digest(text) != value.digest {
        return fault(Code::DigestMismatch, "text is not the manifest's".into());
    }
    None
}
