//! Command-line options of the engine stand-in.

use std::net::SocketAddr;
use std::str::FromStr;

use bpaf::Bpaf;
use gs_protocol::engine::EngineRole;

use crate::error::StandinError;

/// Options of one engine. Every rate, duration and size is modelled.
#[derive(Bpaf, Clone, Debug)]
pub struct EngineOptions {
    /// Address to listen on; port 0 picks a free port
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))), display_fallback)]
    pub listen: SocketAddr,
    /// Name of the engine in its load reports
    #[bpaf(argument("NAME"), fallback(String::from("engine")), display_fallback)]
    pub name: String,
    /// Role of the engine: prefill or decode
    #[bpaf(argument::<RoleArgument>("ROLE"), map(|role| role.0), fallback(EngineRole::Decode))]
    pub role: EngineRole,
    /// Model loaded at start; may be given more than once
    #[bpaf(argument("MODEL"), many, map(default_models))]
    pub model: Vec<String>,
    /// Maximum number of streams and reservations
    #[bpaf(argument("COUNT"), fallback(20), display_fallback)]
    pub max_streams: u32,
    /// Maximum number of queued and running prefills
    #[bpaf(argument("COUNT"), fallback(64), display_fallback)]
    pub max_prefills: u32,
    /// Memory in KV-cache blocks of 16 tokens each
    #[bpaf(argument("COUNT"), fallback(2000), display_fallback)]
    pub pieces: u32,
    /// Uncached prompt tokens prefilled per second; 0 takes no time
    #[bpaf(argument("TOKENS"), fallback(8000), display_fallback)]
    pub prefill_rate: u32,
    /// Tokens of a prefill chunk; urgent prefills preempt others between chunks
    #[bpaf(argument("TOKENS"), fallback(512), display_fallback)]
    pub prefill_chunk: u32,
    /// Duration of a decode step with one stream, in microseconds
    #[bpaf(argument("US"), fallback(8000), display_fallback)]
    pub step_base_us: u32,
    /// Microseconds that each additional stream adds to a decode step
    #[bpaf(argument("US"), fallback(1000), display_fallback)]
    pub step_stream_us: u32,
    /// Bandwidth of the link to other engines, in bytes per second; 0 takes no time
    #[bpaf(argument("BYTES"), fallback(50_000_000), display_fallback)]
    pub link_rate: u64,
    /// Time to live of a prefill result, in milliseconds
    #[bpaf(argument("MS"), fallback(800), display_fallback)]
    pub kv_ttl_ms: u64,
    /// Delay from measuring the load to reporting it, in milliseconds
    #[bpaf(argument("MS"), fallback(200), display_fallback)]
    pub load_lag_ms: u64,
    /// Delay from a prefix cache change to its event, in milliseconds
    #[bpaf(argument("MS"), fallback(300), display_fallback)]
    pub cache_event_lag_ms: u64,
    /// Fraction of cache events that are lost, from 0 to 1
    #[bpaf(argument("SHARE"), fallback(0.02), display_fallback)]
    pub cache_event_gap: f64,
    /// Accept orders with an outdated fencing number
    pub ignore_fence: bool,
    /// Number of HTTP worker threads
    #[bpaf(argument("COUNT"), fallback(1), display_fallback)]
    pub workers: usize,
    /// Random seed that selects the lost cache events
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    pub seed: u64,
}

/// An engine role parsed from the command line.
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

/// Loaded if no `--model` option is given.
const DEFAULT_MODEL: &str = "base";

fn default_models(models: Vec<String>) -> Vec<String> {
    if models.is_empty() {
        vec![DEFAULT_MODEL.to_owned()]
    } else {
        models
    }
}
