//! Whether a streamed text is the one that belongs to its prompt.

use gs_protocol::prefix::TOKEN_BYTES;

use crate::engine::token_text;

/// Compares a text, as it comes, with the expected one.
#[derive(Debug)]
pub struct TextCheck {
    seed: u64,
    index: u32,
    pending: Vec<u8>,
    wrong: bool,
}

impl TextCheck {
    /// Expects the text of a seed from its first token.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            index: 0,
            pending: Vec::with_capacity(TOKEN_BYTES),
            wrong: false,
        }
    }

    /// Takes the next part of the text.
    pub fn feed(&mut self, text: &str) {
        self.pending.extend_from_slice(text.as_bytes());
        let whole = self.pending.len() - self.pending.len() % TOKEN_BYTES;
        for token in self.pending[..whole].chunks_exact(TOKEN_BYTES) {
            self.wrong |= token_text(self.seed, self.index).as_bytes() != token;
            self.index += 1;
        }
        self.pending.drain(..whole);
    }

    /// Tokens so far.
    pub fn tokens(&self) -> u32 {
        self.index
    }

    /// Whether a part of the text is not the expected one.
    pub fn is_wrong(&self) -> bool {
        self.wrong
    }

    /// Whether the text is the expected one and has exactly this many tokens.
    pub fn is_whole(&self, tokens: u32) -> bool {
        !self.wrong && self.pending.is_empty() && self.index == tokens
    }
}
