//! Properties of documents and operations under random interleavings.

mod promotion;
mod reports;
mod store;
mod support;
mod view;
