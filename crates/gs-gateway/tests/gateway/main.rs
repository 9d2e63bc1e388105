//! The gateway on loopback, before servers that fail.

mod generation;
mod plain;
mod support;
