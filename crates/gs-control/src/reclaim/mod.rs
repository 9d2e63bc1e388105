//! Cancel orders that are repeated until the engine has acknowledged them.
