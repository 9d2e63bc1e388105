//! A TCP relay that delays, cuts and silences connections.
