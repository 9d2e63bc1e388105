//! Token counts and prefix hashes of prompts, computed the same way by routers and engines.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Bytes of text per token.
pub const TOKEN_BYTES: usize = 4;

/// Tokens per KV-cache block.
pub const BLOCK_TOKENS: u32 = 16;

/// Bytes of KV cache per token.
pub const KV_TOKEN_BYTES: u64 = 1_024;

/// The hash of a prompt's prefix that ends at a block boundary.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct PrefixHash(pub u64);

/// Counts the tokens of a text, rounding up.
///
/// ```
/// assert_eq!(gs_protocol::prefix::count_tokens("four"), 1);
/// assert_eq!(gs_protocol::prefix::count_tokens("fours"), 2);
/// ```
pub fn count_tokens(text: &str) -> u32 {
    u32::try_from(text.len().div_ceil(TOKEN_BYTES)).unwrap_or(u32::MAX)
}

/// Derives the sampling seed of a request that sets none from its prompt.
pub fn derive_seed(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

/// Returns the number of KV-cache blocks that a number of tokens occupies, rounding up.
pub fn count_blocks(tokens: u32) -> u32 {
    tokens.div_ceil(BLOCK_TOKENS)
}

/// Hashes every prefix of a prompt that ends with a full block, shortest first.
///
/// Two prompts share their first `n` hashes if and only if they share their first `n` blocks.
pub fn hash_prefixes(prompt: &str) -> Vec<PrefixHash> {
    let mut seed = 0;
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_TOKENS as usize * TOKEN_BYTES)
        .map(|block| {
            seed = xxh3_64_with_seed(block, seed);
            PrefixHash(seed)
        })
        .collect()
}
