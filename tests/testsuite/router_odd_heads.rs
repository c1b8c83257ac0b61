//! Servers whose answers begin with what is no head of an answer, behind a real router.

use serde_json::Value;

use crate::block_on;
use crate::gateway::odd_heads::odd_answers;
use crate::gateway::raw_servers::RawAnswer;
use crate::router_broken_heads::{MAX_ATTEMPTS, play, start};

/// Failure: what a server sends is no answer, as its status or a field isn't one, and the caller gets it as an answer.
#[test]
fn odd_head_is_no_answer() {
    block_on(async {
        let site = start().await;
        let mut taken = Vec::new();
        for text in odd_answers() {
            let row = vec![RawAnswer::cut(&text, usize::MAX); MAX_ATTEMPTS];
            let (got, _arrivals) = play(&site, "POST", "raw", &row).await;

            let got = got.expect("the caller is told");
            let body: Value = serde_json::from_slice(&got.body).unwrap_or_default();
            let told = (got.status, &body["outcome"], got.whole, got.rest);
            if told != (502, &"unknown".into(), true, 0) {
                taken.push((text, got.status, body));
            }
        }
        site.0.stop().await;
        assert!(taken.is_empty(), "{taken:#?}");
    });
}

/// Failure: a call that may not run twice is repeated after an odd head, or the odd answer is kept as its answer.
#[test]
fn keyed_call_with_an_odd_head_is_not_repeated() {
    block_on(async {
        let site = start().await;
        let mut wrong = Vec::new();
        for text in odd_answers().into_iter().step_by(5) {
            let row = [RawAnswer::cut(&text, usize::MAX)];
            let (got, arrivals) = play(&site, "POST", "once", &row).await;

            let got = got.expect("the caller is told");
            let body: Value = serde_json::from_slice(&got.body).unwrap_or_default();
            if (got.status, &body["outcome"], arrivals) != (502, &"unknown".into(), 1) {
                wrong.push((text, got.status, body, arrivals));
            }
        }
        site.0.stop().await;
        assert!(wrong.is_empty(), "{wrong:#?}");
    });
}
