//! The result of a call, and the cost that a response's headers report.

use hawthornmill::codes::Outcome;

pub use super::accounting::finish;
use crate::upstream::COST_HEADER;

/// The result of a call.
#[derive(Debug, Clone, Copy)]
pub struct CallResult {
    /// Numbered code; 0 for a complete response.
    pub code: u16,
    /// Whether the request was run, as far as is known.
    pub outcome: Outcome,
}

/// Returns the cost that a response's headers report.
pub fn reported_cost(response: &reqwest::Response) -> Option<f64> {
    let value = response.headers().get(COST_HEADER)?.to_str().ok()?;
    value
        .parse()
        .ok()
        .filter(|c: &f64| c.is_finite() && *c >= 0.0)
}
