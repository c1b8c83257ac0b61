//! Size of a request and its cost on a model engine, as far as the caller declares it.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::ident::mix;

/// Number of preceding tokens whose attention takes an engine as long as the token itself.
///
/// On the users' engines a token takes 7 to 11 µs to prefill and each million pairs of tokens 0.3 to 0.35 ms:
/// a prompt of 50,000 tokens takes twice what its length alone suggests.
const ATTENTION_TOKENS: f64 = 25_000.0;

/// Highest cost of a prefill, far above what a server does before any deadline; sums of many stay countable.
const MAX_PREFILL_COST: u32 = 1 << 26;

/// One part of a prompt; requests that begin with the same parts share a cached prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part's text.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// Identity of a prompt prefix that ends with one of its parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PrefixKey(#[serde(with = "postcard::fixint::le")] pub u64);

/// Prompt and output size of a request for a model engine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Shape {
    /// Parts in order; the last one is specific to the request or its session.
    pub parts: SmallVec<[PromptPart; 4]>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Maximum number of generated tokens.
    pub max_output: u32,
    /// The caller's estimate of the generated tokens; accurate at the median only.
    pub output_hint: Option<u32>,
}

impl Shape {
    /// Returns the expected number of generated tokens.
    pub fn expected_output(&self) -> u32 {
        self.output_hint
            .map_or(self.max_output, |hint| hint.min(self.max_output))
    }

    /// Returns the cost in tokens, with each generated token counted twice.
    pub fn cost(&self) -> f64 {
        f64::from(self.prompt_tokens) + 2.0 * f64::from(self.expected_output())
    }

    /// Returns the cost of prefilling the last `tokens` tokens of the prompt, in tokens at the start of a prompt.
    pub fn prefill_cost(&self, tokens: u32) -> u32 {
        let preceding =
            f64::from(self.prompt_tokens.saturating_sub(tokens)) + f64::from(tokens) / 2.0;
        let cost = f64::from(tokens) * (1.0 + preceding / ATTENTION_TOKENS);
        (cost as u32).min(MAX_PREFILL_COST)
    }

    /// Returns the tokens of the parts that other requests share.
    pub fn shared_tokens(&self) -> u32 {
        let shared = self.parts.len().saturating_sub(1);
        let tokens = self.parts[..shared].iter().map(|p| p.tokens);
        tokens.fold(0, u32::saturating_add)
    }

    /// Returns the prompt's prefixes in order, each with its tokens; the last one is the whole prompt.
    pub fn prefixes(&self) -> SmallVec<[(PrefixKey, u32); 4]> {
        let mut key = 0_u64;
        let mut tokens = 0;
        self.parts
            .iter()
            .map(|part| {
                key = mix(key ^ part.id);
                tokens = part.tokens.saturating_add(tokens);
                (PrefixKey(key), tokens)
            })
            .collect()
    }

    /// Returns the identity of the shared prefix; `None` where nothing is shared.
    pub fn shared_prefix(&self) -> Option<PrefixKey> {
        let shared = self.parts.len().checked_sub(2)?;
        self.prefixes().get(shared).map(|(key, _)| *key)
    }
}
