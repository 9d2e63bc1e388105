//! Prompt sizes and prefix hashes, counted alike by routers and engines.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Bytes of text that count as one token.
pub const TOKEN_BYTES: usize = 4;

/// Tokens that one piece of engine memory holds.
pub const BLOCK_TOKENS: u32 = 16;

/// Bytes of KV cache for one token.
pub const KV_TOKEN_BYTES: u64 = 1_024;

/// The hash of a prompt's prefix that ends with a given full piece.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct PrefixHash(pub u64);

/// Counts the tokens of a text.
///
/// ```
/// assert_eq!(gs_protocol::prefix::count_tokens("four"), 1);
/// assert_eq!(gs_protocol::prefix::count_tokens("fours"), 2);
/// ```
pub fn count_tokens(text: &str) -> u32 {
    u32::try_from(text.len().div_ceil(TOKEN_BYTES)).unwrap_or(u32::MAX)
}

/// The seed of a request that names none: determined by its prompt.
pub fn derive_seed(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

/// Pieces of engine memory that a number of tokens takes.
pub fn count_blocks(tokens: u32) -> u32 {
    tokens.div_ceil(BLOCK_TOKENS)
}

/// Hashes every prefix of a prompt that ends with a full piece, shortest first.
///
/// Two prompts share their first `n` hashes exactly if they share their first `n` pieces.
pub fn hash_prefixes(prompt: &str) -> Vec<PrefixHash> {
    let mut seed = 0;
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_TOKENS as usize * TOKEN_BYTES)
        .map(|piece| {
            seed = xxh3_64_with_seed(piece, seed);
            PrefixHash(seed)
        })
        .collect()
}
