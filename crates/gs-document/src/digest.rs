//! SHA-256 digests of documents and bearer tokens.

use sha2::{Digest, Sha256};

/// Returns the digest of a document's exact bytes, as `sha256:` and 64 hexadecimal digits.
pub fn digest_document(bytes: &[u8]) -> String {
    format!("sha256:{:x}", Sha256::digest(bytes))
}

/// Returns the digest of a bearer token in the form that documents contain, as `sha256:` and 64
/// hexadecimal digits.
pub fn digest_token(token: &str) -> String {
    format!("sha256:{:x}", Sha256::digest(token.as_bytes()))
}

/// Returns whether a string is `sha256:` and 64 lower-case hexadecimal digits.
pub fn is_digest(text: &str) -> bool {
    let is_hex = |digit: u8| matches!(digit, b'0'..=b'9' | b'a'..=b'f');
    text.strip_prefix("sha256:")
        .is_some_and(|digits| digits.len() == 64 && digits.bytes().all(is_hex))
}
