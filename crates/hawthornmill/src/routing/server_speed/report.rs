//! What instances tell each other of the servers' speed.

use serde::{Deserialize, Serialize};

use super::SpeedFigure;
use crate::ident::{ServerId, mix};
use crate::routing::load_parts::Scope;

/// Steps of a mean logarithm in a message, per unit; 1.6 % each.
const LOG_STEPS: f64 = 64.0;
/// Steps of a weight in a message, per doubling.
const WEIGHT_STEPS: f64 = 8.0;
/// Entries on lasting parts in a message, at 6 bytes each.
pub(super) const MAX_LASTING: usize = 120;
/// Entries on momentary parts in a message, at up to 8 bytes each.
pub(super) const MAX_MOMENTARY: usize = 64;

/// Identifies one run of a server in a message: a hash of its identifier and its start.
///
/// Four bytes keep the message small. Of 12,000 servers, two have the same tag with a probability of 2 %, and then share
/// what is learnt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunTag([u8; 4]);

impl RunTag {
    /// Returns the tag of the run of `server` that began at `start_ms`.
    pub fn of(server: ServerId, start_ms: u64) -> Self {
        Self((mix(server.0 ^ mix(start_ms)) as u32).to_le_bytes())
    }
}

/// Evidence on the lasting part of a server's speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastingEntry {
    /// Run of the server.
    pub run: RunTag,
    log: i8,
    weight: u8,
}

impl LastingEntry {
    /// Encodes a mean logarithm of `weight` measurements.
    pub fn new(run: RunTag, log: f64, weight: f64) -> Self {
        Self {
            run,
            log: (log * LOG_STEPS).round() as i8,
            weight: ((1.0 + weight).log2() * WEIGHT_STEPS).round() as u8,
        }
    }

    /// Returns the mean logarithm.
    pub fn log(self) -> f64 {
        f64::from(self.log) / LOG_STEPS
    }

    /// Returns the weight in measurements.
    pub fn weight(self) -> f64 {
        (f64::from(self.weight) / WEIGHT_STEPS).exp2() - 1.0
    }
}

/// A figure that a server reported a moment ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MomentaryEntry {
    /// Run of the server.
    pub run: RunTag,
    percent: u16,
    /// Milliseconds since the figure was reported.
    pub age_ms: u16,
}

impl MomentaryEntry {
    /// Encodes a figure that is `age_ms` old.
    pub const fn new(run: RunTag, figure: SpeedFigure, age_ms: u16) -> Self {
        Self {
            run,
            percent: figure.percent(),
            age_ms,
        }
    }

    /// Returns the figure; `None` if it is none.
    pub fn figure(self) -> Option<SpeedFigure> {
        SpeedFigure::from_percent(f64::from(self.percent))
    }
}

/// What an instance, a failure domain or the fleet knows of the servers' speed. Entries hold whole values, so a lost
/// message is made up by the next one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedReport {
    /// Whose measurements they are.
    pub scope: Scope,
    /// Evidence on lasting parts.
    pub lasting: Vec<LastingEntry>,
    /// New figures that differ clearly from the usual one.
    pub momentary: Vec<MomentaryEntry>,
}

impl SpeedReport {
    /// Returns whether the report tells nothing.
    pub const fn is_empty(&self) -> bool {
        self.lasting.is_empty() && self.momentary.is_empty()
    }
}
