//! Checks that a streamed text is the one that the engine stand-in generates for its prompt.

use gs_protocol::prefix::TOKEN_BYTES;

use crate::engine::token_text;

/// Compares a streamed text with the expected one, token by token.
#[derive(Debug)]
pub struct TextCheck {
    seed: u64,
    index: u32,
    pending: Vec<u8>,
    wrong: bool,
}

impl TextCheck {
    /// Creates a check for the text of a seed, from its first token.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            index: 0,
            pending: Vec::with_capacity(TOKEN_BYTES),
            wrong: false,
        }
    }

    /// Appends the next part of the text and compares the tokens that it completes.
    pub fn append(&mut self, text: &str) {
        self.pending.extend_from_slice(text.as_bytes());
        let complete = self.pending.len() - self.pending.len() % TOKEN_BYTES;
        for token in self.pending[..complete].chunks_exact(TOKEN_BYTES) {
            self.wrong |= token_text(self.seed, self.index).as_bytes() != token;
            self.index += 1;
        }
        self.pending.drain(..complete);
    }

    /// The number of complete tokens so far.
    pub fn tokens(&self) -> u32 {
        self.index
    }

    /// Whether a token differs from the expected one.
    pub fn is_wrong(&self) -> bool {
        self.wrong
    }

    /// Whether the text is the expected one and has exactly `tokens` tokens.
    pub fn is_complete(&self, tokens: u32) -> bool {
        !self.wrong && self.pending.is_empty() && self.index == tokens
    }
}
