//! Generated token text.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Letters of a generated token, indexed by 5 bits of its hash.
const TOKEN_LETTERS: &[u8; 32] = b"abcdefghijklmnopqrstuvwxyz234567";

/// Returns the text of one token: a space and three letters, determined by seed and index only.
///
/// A resumed stream therefore continues with the same tokens, and a caller that knows the seed can
/// check that an answer is its own. If the caller gives no seed, it is the hash of the prompt,
/// [`gs_protocol::prefix::derive_seed`].
pub fn token_text(seed: u64, index: u32) -> String {
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), seed);
    let mut text = String::with_capacity(4);
    text.push(' ');
    for shift in [0, 5, 10] {
        let letter = (hash >> shift) & 31;
        text.push(char::from(TOKEN_LETTERS[letter as usize]));
    }
    text
}
