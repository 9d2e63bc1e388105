//! Which document is in force at an entry, and how operators change it.
