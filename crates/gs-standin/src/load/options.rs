//! The command lines of the load tool.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

/// What to drive and measure.
#[derive(Bpaf, Clone, Debug)]
pub enum LoadCommand {
    /// Open-loop arrivals of several classes of callers
    #[bpaf(command("mix"), footer(MIX_EXAMPLES))]
    Mix(#[bpaf(external(mix_options))] MixOptions),
    /// Time to first token through an entry and straight from the engines, in pairs
    #[bpaf(command("overhead"), footer(OVERHEAD_EXAMPLES))]
    Overhead(#[bpaf(external(overhead_options))] OverheadOptions),
    /// Tokens a second of many long streams
    #[bpaf(command("streams"), footer(STREAMS_EXAMPLES))]
    Streams(#[bpaf(external(streams_options))] StreamsOptions),
}

const MIX_EXAMPLES: &str = "Examples:
 gs-standin load mix --entry 127.0.0.1:8080 --token secret --model base --rate 20
 gs-standin load mix --entries-from 127.0.0.1:8080 --mix mix.jsonc --seconds 60 --json";

const OVERHEAD_EXAMPLES: &str = "Example:
 gs-standin load overhead --entry 127.0.0.1:8080 --token secret --prefill 127.0.0.1:9001 \
--decode 127.0.0.1:9002";

const STREAMS_EXAMPLES: &str = "Example:
 gs-standin load streams --entry 127.0.0.1:8080 --token secret --count 64 --tokens 20000";

/// An open-loop run. Without a mix, the flags describe one class.
#[derive(Bpaf, Clone, Debug)]
pub struct MixOptions {
    /// An entry's address; may be given again
    #[bpaf(argument("ADDRESS"), many)]
    pub entry: Vec<SocketAddr>,
    /// Where to ask for the list of entries
    #[bpaf(argument("ADDRESS"))]
    pub entries_from: Option<SocketAddr>,
    /// A file with classes, floods and service calls, in JSON with comments
    #[bpaf(argument("FILE"))]
    pub mix: Option<PathBuf>,
    /// Seconds of arrivals
    #[bpaf(argument("S"), fallback(10.0), display_fallback)]
    pub seconds: f64,
    /// Seconds that requests may go on after the last arrival
    #[bpaf(argument("S"), fallback(30.0), display_fallback)]
    pub drain_seconds: f64,
    /// Seed of arrivals, prompts and choices
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Client threads
    #[bpaf(argument("COUNT"), fallback(2), display_fallback)]
    pub threads: usize,
    /// Bearer token of the one class
    #[bpaf(argument("TOKEN"), fallback(String::new()))]
    pub token: String,
    /// Model of the one class
    #[bpaf(argument("MODEL"), fallback(String::from("base")), display_fallback)]
    pub model: String,
    /// Arrivals a second of the one class
    #[bpaf(argument("COUNT"), fallback(10.0), display_fallback)]
    pub rate: f64,
    /// Prompt tokens of the one class
    #[bpaf(argument("TOKENS"), fallback(256), display_fallback)]
    pub prompt_tokens: u32,
    /// Output tokens of the one class
    #[bpaf(argument("TOKENS"), fallback(32), display_fallback)]
    pub output_tokens: u32,
    /// Target of the one class for the first token
    #[bpaf(argument("MS"), fallback(500), display_fallback)]
    pub first_token_ms: u64,
    /// Target of the one class between tokens
    #[bpaf(argument("MS"), fallback(30), display_fallback)]
    pub between_tokens_ms: u64,
    /// An engine to ask for wasted prefill; may be given again
    #[bpaf(argument("ADDRESS"), many)]
    pub engine: Vec<SocketAddr>,
    /// A plain service to ask for what ran; may be given again
    #[bpaf(argument("ADDRESS"), many)]
    pub service: Vec<SocketAddr>,
    /// Print JSON
    pub json: bool,
}

/// A paired measurement of the entry's added time.
#[derive(Bpaf, Clone, Debug)]
pub struct OverheadOptions {
    /// The entry
    #[bpaf(argument("ADDRESS"))]
    pub entry: SocketAddr,
    /// A prefill engine like the entry's, but unknown to it: entries cancel what no entry owns
    #[bpaf(argument("ADDRESS"))]
    pub prefill: SocketAddr,
    /// A decode engine like the entry's, but unknown to it
    #[bpaf(argument("ADDRESS"))]
    pub decode: SocketAddr,
    /// Bearer token
    #[bpaf(argument("TOKEN"), fallback(String::new()))]
    pub token: String,
    /// Model
    #[bpaf(argument("MODEL"), fallback(String::from("base")), display_fallback)]
    pub model: String,
    /// Pairs of requests that are measured
    #[bpaf(argument("COUNT"), fallback(2000), display_fallback)]
    pub pairs: u32,
    /// Pairs that run at a time
    #[bpaf(argument("COUNT"), fallback(1), display_fallback)]
    pub concurrency: u32,
    /// Prompt tokens
    #[bpaf(argument("TOKENS"), fallback(64), display_fallback)]
    pub prompt_tokens: u32,
    /// Output tokens
    #[bpaf(argument("TOKENS"), fallback(4), display_fallback)]
    pub output_tokens: u32,
    /// Seed of the prompts
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Print JSON
    pub json: bool,
}

/// A measurement of token throughput.
#[derive(Bpaf, Clone, Debug)]
pub struct StreamsOptions {
    /// The entry; may be left out if a prefill and a decode engine are given
    #[bpaf(argument("ADDRESS"))]
    pub entry: Option<SocketAddr>,
    /// A prefill engine that no entry knows, to leave the entry out
    #[bpaf(argument("ADDRESS"))]
    pub prefill: Option<SocketAddr>,
    /// A decode engine that no entry knows, to leave the entry out
    #[bpaf(argument("ADDRESS"))]
    pub decode: Option<SocketAddr>,
    /// Bearer token
    #[bpaf(argument("TOKEN"), fallback(String::new()))]
    pub token: String,
    /// Model
    #[bpaf(argument("MODEL"), fallback(String::from("base")), display_fallback)]
    pub model: String,
    /// Streams at a time
    #[bpaf(argument("COUNT"), fallback(64), display_fallback)]
    pub count: u32,
    /// Output tokens of each stream
    #[bpaf(argument("TOKENS"), fallback(20_000), display_fallback)]
    pub tokens: u32,
    /// Prompt tokens of each stream
    #[bpaf(argument("TOKENS"), fallback(16), display_fallback)]
    pub prompt_tokens: u32,
    /// Client threads
    #[bpaf(argument("COUNT"), fallback(4), display_fallback)]
    pub threads: usize,
    /// Seed of the prompts
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Print JSON
    pub json: bool,
}
