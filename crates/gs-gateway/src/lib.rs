//! Forwards HTTP requests of clients to backend servers and keeps its peers informed of its load.
//!
//! The decisions are those of `gs_control::forwarding`; how requests and answers are spelled is behind
//! [`ServerWire`]. All of it runs on one thread: an entry VM has a part of one core.

pub mod logs;

mod answer;
mod call;
mod error;
mod event_stream;
mod gateway;
mod generation;
mod give_back;
mod ingress;
mod lifecycle;
mod peers;
mod plain;
mod prefill;
mod pump;
mod reservation;
mod stages;
mod views;
mod wire;

pub use answer::{AnswerBody, ClientAnswer};
pub use call::{CallError, ServerConnection, fetch};
pub use error::GatewayError;
pub use event_stream::{EventSplitter, StreamEvent};
pub use gateway::{EntryEndpoint, Gateway, GatewaySettings};
pub use ingress::{serve_bodiless, serve_clients};
pub use lifecycle::{run_admission, run_shutdown};
pub use peers::{HeartbeatSocket, receive_heartbeats, send_heartbeats};
pub use stages::{ClaimStore, run_stage_balancer};
pub use wire::{
    AnswerClass, EngineCall, ForwardOptions, GenerationParams, KvSource, PrefillResult,
    RequestError, RequestMetadata, ResumePoint, ServerTask, ServerWire, StageOrder,
};
