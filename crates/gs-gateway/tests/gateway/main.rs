//! The gateway on loopback, before servers that fail.

mod generation;
mod logs;
mod plain;
mod stages;
mod support;
