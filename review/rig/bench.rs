//! What every case needs: the record, the store, the configuration and the entries.

use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::node::Node;
use crate::record::Record;
use crate::store::Store;

/// Zones of the entries, in turn.
const ZONES: [&str; 3] = ["duluth", "sault", "marquette"];

/// Host of all routes.
pub const HOST: &str = "desk.example";

/// The surroundings of the entries.
pub struct Stage {
    /// What was sent, answered and run.
    pub record: Record,
    /// The platform's store.
    pub store: Store,
    /// Temporary folder of this run.
    pub folder: PathBuf,
    /// Whether the disruption comes.
    pub is_troubled: bool,
    next_id: AtomicU64,
}

impl Stage {
    /// Opens the record and starts the store.
    pub fn open(record: &str, folder: &str, is_troubled: bool) -> std::io::Result<Self> {
        let stage = Self {
            record: Record::create(record)?,
            store: Store::start()?,
            folder: PathBuf::from(folder),
            is_troubled,
            next_id: AtomicU64::new(1),
        };
        stage.record.say(match is_troubled {
            true => "with the disruption",
            false => "without the disruption (TROUBLE=0)",
        });
        Ok(stage)
    }

    /// Writes the configuration, as the operator does.
    pub fn configure(&self, version: u64, routes: &str, services: &str) {
        let limits = "{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}";
        let text = format!(
            "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{services}],\"limits\":{limits}}}"
        );
        self.store.put("config", "main", &text);
        self.record
            .note(&format!("operator configuration {version} is acknowledged"));
    }

    /// Starts entries and waits until they are ready and know each other.
    pub fn start_entries(&self, count: u32) -> Result<Vec<Node>, String> {
        let zones = ZONES.iter().cycle();
        let nodes: Vec<Node> = (1..=count)
            .zip(zones)
            .map(|(number, zone)| Node::start(&self.folder, number, zone, self.store.address))
            .collect();
        for node in &nodes {
            self.record.note(&format!(
                "entry {} started, process {}, clients at {}",
                node.name,
                node.pid(),
                node.front
            ));
            if !node.wait_ready() {
                return Err(format!("{} is not ready", node.name));
            }
        }
        std::thread::sleep(std::time::Duration::from_secs(2));
        Ok(nodes)
    }

    /// Returns a new request id.
    pub fn new_id(&self) -> String {
        format!(
            "{:016x}",
            0x9c41_0000_0000_0000_u64 + self.next_id.fetch_add(1, Ordering::SeqCst)
        )
    }
}

/// Returns a route that is not streamed.
pub fn plain_route(
    name: &str,
    kind: &str,
    service: &str,
    timeout_ms: u32,
    target_ms: u32,
) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":{target_ms},\"priority\":2,\"service\":\"{service}\",\"max_attempts\":1}}"
    )
}

/// Returns a plain service.
pub fn plain_service(name: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false}}"
    )
}

/// Returns a streaming route.
pub fn stream_route(
    name: &str,
    service: &str,
    timeout_ms: u32,
    is_resumable: bool,
    attempts: u32,
) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\"kind\":\"streaming\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":800,\"priority\":0,\"service\":\"{service}\",\"max_attempts\":{attempts},\"sticky_sessions\":true,\"resumable\":{is_resumable},\"gap_target_ms\":300}}"
    )
}

/// Returns a service of model servers.
pub fn model_service(name: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":200,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":24,\"kv_cache_tokens\":71867,\"kv_token_bytes\":327680,\"link_mbps\":11000000.0,\"moves\":true,\"backups\":true,\"stride\":59,\"most\":12,\"handle_ttl_s\":0.5,\"stage_switch_s\":6.0,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"models\":[{{\"name\":\"m\"}}]}}}}"
    )
}
