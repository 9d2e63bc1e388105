//! A plain service that records what it ran.
