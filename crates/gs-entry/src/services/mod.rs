//! Plain services: calls that are passed on, at most once where the document says so.

mod call;
mod claimed;
mod client;
mod forward;
mod handler;
mod routes;

pub use call::{ServiceAnswer, ServiceCall};
pub use client::{ServiceClient, ServiceFailure};
pub use handler::call_service;
pub use routes::find_route;
