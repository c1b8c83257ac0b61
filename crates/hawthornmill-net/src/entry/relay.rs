//! How a call ended, and what the head of its answer says of its cost.

use hawthornmill::codes::Outcome;

pub use super::record::finish;
use crate::upstream::COST_HEADER;

/// How a call ended.
#[derive(Debug, Clone, Copy)]
pub struct Finished {
    /// Numbered code; 0 for a whole answer.
    pub code: u16,
    /// What is known of the request.
    pub outcome: Outcome,
}

/// The cost that the head of an answer reports.
pub fn reported(answer: &reqwest::Response) -> Option<f64> {
    let value = answer.headers().get(COST_HEADER)?.to_str().ok()?;
    value
        .parse()
        .ok()
        .filter(|c: &f64| c.is_finite() && *c >= 0.0)
}
