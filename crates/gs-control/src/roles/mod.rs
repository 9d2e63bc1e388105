//! Roles and models of engines, ordered by one lease holder.
