//! Checks a text's tokens before it is parsed.
//!
//! The parser recurses for each nested value, so deep nesting could overflow the stack, and it
//! accepts two values without a comma between them. Both are refused here.

use jsonc_parser::Scanner;
use jsonc_parser::errors::ParseError;
use jsonc_parser::tokens::Token;

use super::mistake::{MistakeKind, MistakeList, SourceMistake};
use super::path::FieldPath;
use super::text::SourceText;

/// The maximum nesting depth of objects and lists.
const MAX_DEPTH: usize = 32;

/// The state of the check after the tokens read so far.
#[derive(Default)]
struct TokenState {
    depth: usize,
    after_value: bool,
}

impl TokenState {
    /// Processes the next token; fails if it is not allowed here.
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

/// Checks all tokens of a text; fails with the first mistake.
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

/// Converts a parser error to a mistake.
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
