//! Forwards clients' HTTP requests to backend servers and exchanges load reports with peer entries.
//!
//! Routing and admission decisions are made by `gs_control::forwarding`; header and body formats are behind
//! [`ServerWire`]. Everything runs on a single thread, because an entry VM has only a fraction of a core.

pub mod logs;

mod answer;
mod answer_reader;
mod capacity;
mod client_stream;
mod connection;
mod crashes;
mod currency;
mod datagram;
mod detour;
mod error;
mod event_stream;
mod gateway;
mod generation;
mod ingress;
mod intake;
mod isolation;
mod keys;
mod lifecycle;
mod notices;
mod origins;
mod peers;
mod plain;
mod prefill;
mod quotas;
mod registry;
mod relays;
mod release;
mod reservation;
mod scheduling;
mod server_health;
mod server_list;
mod stages;
mod stream_forwarder;
mod stream_queue;
mod traffic;
mod views;
mod wire;

pub use answer::{AnswerBody, ClientAnswer};
pub use connection::{CallError, ServerConnection, fetch};
pub use currency::run_currency;
pub use error::GatewayError;
pub use event_stream::{EventSplitter, StreamEvent};
pub use gateway::{EntryEndpoint, Gateway, GatewaySettings};
pub use ingress::{serve_bodiless, serve_clients, serve_peers};
pub use isolation::run_reachability;
pub use lifecycle::{run_admission, run_shutdown};
pub use origins::{OriginRecords, run_origin_records};
pub use peers::{ReportSocket, receive_reports, send_reports};
pub use reservation::LONG_BODY_FRACTION;
pub use stages::{ClaimStore, run_stage_balancer};
pub use wire::{
    AnswerClass, EngineCall, ForwardOptions, GenerationParams, KvSource, PrefillResult,
    RequestError, RequestMetadata, ResumePoint, ServerNotice, ServerTask, ServerWire, StageOrder,
};
