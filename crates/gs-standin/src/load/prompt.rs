//! Generates prompts of a given size.

use gs_protocol::prefix::TOKEN_BYTES;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Generates a text of `tokens` tokens that depends only on the seed.
pub fn make_text(seed: u64, tokens: u32) -> String {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut text = String::with_capacity(tokens as usize * TOKEN_BYTES);
    for _ in 0..tokens {
        let letters: u32 = random.r#gen();
        for shift in [0, 8, 16] {
            let letter = (letters >> shift) % 26;
            text.push(char::from(b'a' + letter as u8));
        }
        text.push(' ');
    }
    text
}
