//! Plain services: forwards calls to backend servers, non-idempotent ones at most once.

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
