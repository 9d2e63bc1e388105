//! The document of an environment, and the settings of a process.
//!
//! Both are JSON with comments. A document holds nothing that belongs to one environment alone (no
//! addresses), so that the same bytes go from trial to production.

pub mod document;
