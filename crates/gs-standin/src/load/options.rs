//! Command-line options of the load generator.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

/// The commands of the load generator.
#[derive(Bpaf, Clone, Debug)]
pub enum LoadCommand {
    /// Open-loop arrivals of several classes of callers
    #[bpaf(command("mix"), footer(MIX_EXAMPLES))]
    Mix(#[bpaf(external(mix_options))] MixOptions),
    /// Time to first token through an entry and directly from the engines, in pairs
    #[bpaf(command("overhead"), footer(OVERHEAD_EXAMPLES))]
    Overhead(#[bpaf(external(overhead_options))] OverheadOptions),
    /// Tokens per second of many long streams
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

/// Options of an open-loop run. Without a mix file, the options describe a single class.
#[derive(Bpaf, Clone, Debug)]
pub struct MixOptions {
    /// Address of an entry; may be repeated
    #[bpaf(argument("ADDRESS"), many)]
    pub entry: Vec<SocketAddr>,
    /// Address of an entry that returns the list of entries
    #[bpaf(argument("ADDRESS"))]
    pub entries_from: Option<SocketAddr>,
    /// A file with classes, floods and service calls, in JSON with comments
    #[bpaf(argument("FILE"))]
    pub mix: Option<PathBuf>,
    /// Seconds over which requests arrive
    #[bpaf(argument("S"), fallback(10.0), display_fallback)]
    pub seconds: f64,
    /// Seconds for which requests may continue after the last arrival
    #[bpaf(argument("S"), fallback(30.0), display_fallback)]
    pub drain_seconds: f64,
    /// Seed of arrivals, prompts and choices
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Client threads
    #[bpaf(argument("COUNT"), fallback(2), display_fallback)]
    pub threads: usize,
    /// Bearer token of the single class
    #[bpaf(argument("TOKEN"), fallback(String::new()))]
    pub token: String,
    /// Model of the single class
    #[bpaf(argument("MODEL"), fallback(String::from("base")), display_fallback)]
    pub model: String,
    /// Arrivals per second of the single class
    #[bpaf(argument("COUNT"), fallback(10.0), display_fallback)]
    pub rate: f64,
    /// Prompt tokens of the single class
    #[bpaf(argument("TOKENS"), fallback(256), display_fallback)]
    pub prompt_tokens: u32,
    /// Output tokens of the single class
    #[bpaf(argument("TOKENS"), fallback(32), display_fallback)]
    pub output_tokens: u32,
    /// Target of the single class for the time to first token
    #[bpaf(argument("MS"), fallback(500), display_fallback)]
    pub first_token_ms: u64,
    /// Target of the single class for the time between tokens
    #[bpaf(argument("MS"), fallback(30), display_fallback)]
    pub between_tokens_ms: u64,
    /// Address of an engine from which wasted prefill is read; may be repeated
    #[bpaf(argument("ADDRESS"), many)]
    pub engine: Vec<SocketAddr>,
    /// Address of a plain service from which runs are read; may be repeated
    #[bpaf(argument("ADDRESS"), many)]
    pub service: Vec<SocketAddr>,
    /// Print JSON
    pub json: bool,
}

/// Options of a paired measurement of the time that an entry adds.
#[derive(Bpaf, Clone, Debug)]
pub struct OverheadOptions {
    /// Address of the entry
    #[bpaf(argument("ADDRESS"))]
    pub entry: SocketAddr,
    /// Prefill engine like the entry's, but unknown to it: entries cancel unowned requests
    #[bpaf(argument("ADDRESS"))]
    pub prefill: SocketAddr,
    /// Decode engine like the entry's, but unknown to it
    #[bpaf(argument("ADDRESS"))]
    pub decode: SocketAddr,
    /// Bearer token
    #[bpaf(argument("TOKEN"), fallback(String::new()))]
    pub token: String,
    /// Model
    #[bpaf(argument("MODEL"), fallback(String::from("base")), display_fallback)]
    pub model: String,
    /// Number of measured pairs of requests
    #[bpaf(argument("COUNT"), fallback(2000), display_fallback)]
    pub pairs: u32,
    /// Number of concurrent pairs
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

/// Options of a measurement of token throughput.
#[derive(Bpaf, Clone, Debug)]
pub struct StreamsOptions {
    /// Address of the entry; optional if a prefill and a decode engine are given
    #[bpaf(argument("ADDRESS"))]
    pub entry: Option<SocketAddr>,
    /// Address of a prefill engine that no entry knows, to measure without an entry
    #[bpaf(argument("ADDRESS"))]
    pub prefill: Option<SocketAddr>,
    /// Address of a decode engine that no entry knows, to measure without an entry
    #[bpaf(argument("ADDRESS"))]
    pub decode: Option<SocketAddr>,
    /// Bearer token
    #[bpaf(argument("TOKEN"), fallback(String::new()))]
    pub token: String,
    /// Model
    #[bpaf(argument("MODEL"), fallback(String::from("base")), display_fallback)]
    pub model: String,
    /// Number of concurrent streams
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
