//! The text that an engine generates.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Letters of a generated token.
const LETTERS: &[u8; 32] = b"abcdefghijklmnopqrstuvwxyz234567";

/// The text of one token: a space and three letters, determined by seed and index only.
///
/// A resumed stream therefore goes on alike, and a caller that knows the seed can tell whether an
/// answer is its own. Without a seed of the caller, the seed is the hash of the prompt,
/// [`gs_protocol::prefix::derive_seed`].
pub fn expected_token(seed: u64, index: u32) -> String {
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), seed);
    let mut text = String::with_capacity(4);
    text.push(' ');
    for shift in [0, 5, 10] {
        let letter = (hash >> shift) & 31;
        text.push(char::from(LETTERS[letter as usize]));
    }
    text
}
