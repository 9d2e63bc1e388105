//! Tests of the queue of plain requests under overload.
