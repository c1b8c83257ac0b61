//! What a request will cost a model engine, as far as its caller says.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::ident::mix;

/// Tokens before a token from which attending to them takes an engine as long as the token itself.
///
/// On the users' engines a token takes 7 to 11 µs to read and each million pairs of tokens 0.3 to 0.35 ms:
/// a prompt of 50,000 tokens takes twice what its length alone says.
const ATTENTION: f64 = 25_000.0;

/// One part of a prompt; requests that begin with the same parts share what was read of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part's text.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// Identity of a prompt up to the end of one of its parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PrefixKey(#[serde(with = "postcard::fixint::le")] pub u64);

/// Size and parts of a request for a model engine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Shape {
    /// Parts in order; the last one belongs to the request or its session alone.
    pub parts: SmallVec<[PromptPart; 4]>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Tokens that will be generated at most.
    pub max_output: u32,
    /// The caller's guess of the tokens that will be generated, right at the median only.
    pub output_hint: Option<u32>,
}

impl Shape {
    /// Tokens that will be generated, as far as can be told.
    pub fn expected_output(&self) -> u32 {
        self.output_hint
            .map_or(self.max_output, |hint| hint.min(self.max_output))
    }

    /// Tokens read and generated, a generated one counted twice.
    pub fn cost(&self) -> f64 {
        f64::from(self.prompt_tokens) + 2.0 * f64::from(self.expected_output())
    }

    /// What reading the last `read` tokens of the prompt takes, in tokens at the begin of a prompt.
    pub fn prefill_cost(&self, read: u32) -> u32 {
        let before = f64::from(self.prompt_tokens.saturating_sub(read)) + f64::from(read) / 2.0;
        (f64::from(read) * (1.0 + before / ATTENTION)) as u32
    }

    /// Tokens of the parts that other requests share.
    pub fn shared_tokens(&self) -> u32 {
        let all = self.parts.len().saturating_sub(1);
        self.parts[..all].iter().map(|p| p.tokens).sum()
    }

    /// The prompt's prefixes in order, each with its tokens; the last one is the whole prompt.
    pub fn prefixes(&self) -> SmallVec<[(PrefixKey, u32); 4]> {
        let mut key = 0_u64;
        let mut tokens = 0;
        self.parts
            .iter()
            .map(|part| {
                key = mix(key ^ part.id);
                tokens += part.tokens;
                (PrefixKey(key), tokens)
            })
            .collect()
    }

    /// Identity of the shared parts together; none where nothing is shared.
    pub fn shared_prefix(&self) -> Option<PrefixKey> {
        let shared = self.parts.len().checked_sub(2)?;
        self.prefixes().get(shared).map(|(key, _)| *key)
    }
}
