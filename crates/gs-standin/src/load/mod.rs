//! Drives callers with open-loop arrivals and prints the measures.
