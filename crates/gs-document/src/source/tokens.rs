//! Checks a text's tokens before it is parsed.
//!
//! The parser recurses for each nested value and takes two values without a comma between them, so
//! both are refused here.

use jsonc_parser::Scanner;
use jsonc_parser::errors::ParseError;
use jsonc_parser::tokens::Token;

use super::mistake::{MistakeKind, MistakeList, SourceMistake};
use super::path::FieldPath;
use super::text::SourceText;

/// Levels of objects and lists that a file may nest.
const MAX_DEPTH: usize = 32;

/// What was seen of a text's tokens so far.
#[derive(Default)]
struct TokenState {
    depth: usize,
    after_value: bool,
}

impl TokenState {
    /// Takes the next token; returns what is wrong with it.
    fn advance(&mut self, token: &Token<'_>) -> Result<(), MistakeKind> {
        if self.after_value && self.depth > 0 && starts_value(token) {
            let detail = "expected a comma before this value".to_owned();
            return Err(MistakeKind::Syntax { detail });
        }
        match token {
            Token::CommentBlock(_) | Token::CommentLine(_) => return Ok(()),
            Token::CloseBrace | Token::CloseBracket => self.depth = self.depth.saturating_sub(1),
            Token::OpenBrace | Token::OpenBracket => self.depth += 1,
            _ => {}
        }
        if self.depth > MAX_DEPTH {
            return Err(MistakeKind::TooDeep { limit: MAX_DEPTH });
        }
        self.after_value = ends_value(token);
        Ok(())
    }
}

/// Returns the first mistake of the token stream.
pub(crate) fn check_tokens(source: &SourceText<'_>) -> Result<(), MistakeList> {
    let mut scanner = Scanner::new(source.text());
    let mut state = TokenState::default();
    loop {
        let token = scanner
            .scan()
            .map_err(|error| syntax_mistake(source, &error))?;
        let Some(token) = token else {
            return Ok(());
        };
        if let Err(kind) = state.advance(&token) {
            let offset = scanner.token_start();
            return Err(source.mistake(offset, FieldPath::default(), kind).into());
        }
    }
}

/// The mistake that stands for a parser's error.
pub(crate) fn syntax_mistake(source: &SourceText<'_>, error: &ParseError) -> SourceMistake {
    let kind = MistakeKind::Syntax {
        detail: error.kind().to_string().to_lowercase(),
    };
    source.mistake(error.range().start, FieldPath::default(), kind)
}

fn starts_value(token: &Token<'_>) -> bool {
    matches!(
        token,
        Token::Boolean(_)
            | Token::Null
            | Token::Number(_)
            | Token::OpenBrace
            | Token::OpenBracket
            | Token::String(_)
            | Token::Word(_)
    )
}

fn ends_value(token: &Token<'_>) -> bool {
    matches!(
        token,
        Token::Boolean(_)
            | Token::CloseBrace
            | Token::CloseBracket
            | Token::Null
            | Token::Number(_)
            | Token::String(_)
            | Token::Word(_)
    )
}
