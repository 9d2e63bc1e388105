//! The command line of the engine.

use std::net::SocketAddr;
use std::str::FromStr;

use bpaf::Bpaf;
use gs_protocol::engine::EngineRole;

use crate::error::StandinError;

/// How an engine behaves. Every rate, time and size is modelled.
#[derive(Bpaf, Clone, Debug)]
pub struct EngineOptions {
    /// Where to listen; port 0 lets the kernel choose
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))), display_fallback)]
    pub listen: SocketAddr,
    /// The engine's name in its load reports
    #[bpaf(argument("NAME"), fallback(String::from("engine")), display_fallback)]
    pub name: String,
    /// prefill or decode
    #[bpaf(argument::<RoleArgument>("ROLE"), map(|role| role.0), fallback(EngineRole::Decode))]
    pub role: EngineRole,
    /// A model that is loaded from the start; may be given again
    #[bpaf(argument("MODEL"), many, map(default_models))]
    pub model: Vec<String>,
    /// Streams and reservations at most
    #[bpaf(argument("COUNT"), fallback(20), display_fallback)]
    pub max_streams: u32,
    /// Prefills that wait or run at most
    #[bpaf(argument("COUNT"), fallback(64), display_fallback)]
    pub max_prefills: u32,
    /// Pieces of memory, of 16 tokens each
    #[bpaf(argument("COUNT"), fallback(2000), display_fallback)]
    pub pieces: u32,
    /// Uncached prompt tokens prefilled a second; 0 takes no time
    #[bpaf(argument("TOKENS"), fallback(8000), display_fallback)]
    pub prefill_rate: u32,
    /// Tokens of a prefill between two looks at the queue
    #[bpaf(argument("TOKENS"), fallback(512), display_fallback)]
    pub prefill_chunk: u32,
    /// Microseconds of a decode step with one stream
    #[bpaf(argument("US"), fallback(8000), display_fallback)]
    pub step_base_us: u32,
    /// Microseconds that each further stream adds to a step
    #[bpaf(argument("US"), fallback(1000), display_fallback)]
    pub step_stream_us: u32,
    /// Bytes a second of the link to other engines; 0 takes no time
    #[bpaf(argument("BYTES"), fallback(50_000_000), display_fallback)]
    pub link_rate: u64,
    /// Milliseconds that a prefill result is kept
    #[bpaf(argument("MS"), fallback(800), display_fallback)]
    pub kv_ttl_ms: u64,
    /// Milliseconds between measuring the load and reporting it
    #[bpaf(argument("MS"), fallback(200), display_fallback)]
    pub load_lag_ms: u64,
    /// Milliseconds between a change of the prefix cache and its event
    #[bpaf(argument("MS"), fallback(300), display_fallback)]
    pub cache_event_lag_ms: u64,
    /// Share of cache events that are lost, from 0 to 1
    #[bpaf(argument("SHARE"), fallback(0.02), display_fallback)]
    pub cache_event_gap: f64,
    /// Take orders with an old fencing number too
    pub ignore_fence: bool,
    /// Threads that serve HTTP
    #[bpaf(argument("COUNT"), fallback(1), display_fallback)]
    pub workers: usize,
    /// Seed of the lost cache events
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    pub seed: u64,
}

/// A role as given on the command line.
#[derive(Clone, Copy, Debug)]
struct RoleArgument(EngineRole);

impl FromStr for RoleArgument {
    type Err = StandinError;

    fn from_str(text: &str) -> Result<Self, StandinError> {
        match text {
            "prefill" => Ok(Self(EngineRole::Prefill)),
            "decode" => Ok(Self(EngineRole::Decode)),
            _ => Err(StandinError::UnknownRole {
                text: text.to_owned(),
            }),
        }
    }
}

/// The model of an engine that is given none.
const DEFAULT_MODEL: &str = "base";

fn default_models(models: Vec<String>) -> Vec<String> {
    if models.is_empty() {
        vec![DEFAULT_MODEL.to_owned()]
    } else {
        models
    }
}
