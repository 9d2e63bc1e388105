//! The gateway on loopback, before servers that fail.

mod generation;
mod logs;
mod plain;
mod soak;
mod stages;
mod support;
