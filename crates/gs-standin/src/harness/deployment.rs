//! A deployment of platform, servers and entries on loopback.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use gs_protocol::ids::{
    DataCentreName, EntryName, OperationId, OperatorName, SequenceNumber, ServerKindName,
    ServerName,
};
use gs_protocol::objects::{DrainRecord, HeadRecord, body_key, drain_key, head_key};
use gs_protocol::vm::{VmRecord, VmState, VmWorkload};
use serde::Serialize;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use uuid::Uuid;

use super::{CallerAnswer, HarnessClient, HarnessError, HarnessProcess, ProgramDirectory};
use crate::platform::VmChange;

/// The environment of a test deployment.
const ENVIRONMENT: &str = "production";

/// The key that the entries authenticate each other with.
const PEER_KEY: &str = "rig-peer-key-0123456789";

/// Time limit for a condition that a test waits for.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Numbers the settings directories of one test process.
static NEXT_DIRECTORY: AtomicU32 = AtomicU32::new(0);

/// Describes a server to start.
#[derive(Clone, Debug)]
pub enum ServerSpec<'a> {
    /// A model engine.
    Engine {
        /// `prefill` or `decode`
        role: &'a str,
        /// The model; also the name of the server kind.
        model: &'a str,
        /// Further command-line arguments.
        arguments: &'a [&'a str],
    },
    /// A plain service.
    Service {
        /// The server kind.
        kind: &'a str,
    },
}

/// A running server.
#[derive(Debug)]
pub struct ServerHandle {
    /// The server's name.
    pub name: ServerName,
    /// Its process.
    pub process: HarnessProcess,
}

/// A running entry.
#[derive(Debug)]
pub struct EntryHandle {
    /// The entry's name.
    pub name: EntryName,
    /// Its process.
    pub process: HarnessProcess,
}

/// The processes of one deployment, all killed on drop.
pub struct DeploymentHarness {
    /// Client for calls to the processes.
    pub client: HarnessClient,
    /// The platform stand-in.
    pub platform: HarnessProcess,
    /// The servers, in the order in which they were added.
    pub servers: Vec<ServerHandle>,
    /// The entries, in the order in which they were added.
    pub entries: Vec<EntryHandle>,
    programs: ProgramDirectory,
    directory: PathBuf,
    sequence: SequenceNumber,
}

impl DeploymentHarness {
    /// Starts the platform only. `platform` holds further command-line arguments for it.
    pub fn start(programs: ProgramDirectory, platform: &[&str]) -> Result<Self, HarnessError> {
        let mut arguments = vec!["platform", "--vm-lag-ms", "0"];
        arguments.extend_from_slice(platform);
        let platform = HarnessProcess::start(&programs, "gs-standin", &arguments)?;
        let number = NEXT_DIRECTORY.fetch_add(1, Ordering::Relaxed);
        let directory =
            std::env::temp_dir().join(format!("gs-rig-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&directory)
            .map_err(HarnessError::system("creating a directory"))?;
        Ok(Self {
            client: HarnessClient::default(),
            platform,
            servers: Vec::new(),
            entries: Vec::new(),
            programs,
            directory,
            sequence: SequenceNumber::default(),
        })
    }

    /// Starts a server and adds it to the VM list.
    pub async fn add_server(
        &mut self,
        name: &str,
        data_centre: &str,
        spec: &ServerSpec<'_>,
    ) -> Result<(), HarnessError> {
        let (arguments, kind) = match spec {
            ServerSpec::Engine {
                role,
                model,
                arguments,
            } => {
                let fixed = ["engine", "--name", name, "--role", role, "--model", model];
                ([&fixed, *arguments].concat(), *model)
            }
            ServerSpec::Service { kind } => (vec!["service", "--name", name], *kind),
        };
        let process = HarnessProcess::start(&self.programs, "gs-standin", &arguments)?;
        let name = ServerName::from(name);
        let kind = ServerKindName::from(kind);
        let workload = VmWorkload::Server {
            name: name.clone(),
            kind,
        };
        self.publish_vm(workload, process.address, data_centre, VmState::Live)
            .await?;
        self.servers.push(ServerHandle { name, process });
        Ok(())
    }

    /// Starts an entry and adds it to the VM list. `changes` are merged into the default settings.
    pub async fn add_entry(
        &mut self,
        name: &str,
        data_centre: &str,
        changes: &Value,
    ) -> Result<(), HarnessError> {
        let process = self.start_entry(name, data_centre, changes)?;
        let name = EntryName::from(name);
        if let Some(peer_address) = process.peer_address {
            let workload = VmWorkload::Entry {
                name: name.clone(),
                peer_address,
            };
            self.publish_vm(workload, process.address, data_centre, VmState::Live)
                .await?;
        }
        self.entries.push(EntryHandle { name, process });
        Ok(())
    }

    fn start_entry(
        &self,
        name: &str,
        data_centre: &str,
        changes: &Value,
    ) -> Result<HarnessProcess, HarnessError> {
        let mut settings = json!({
            "name": name,
            "dataCentre": data_centre,
            "environment": ENVIRONMENT,
            "listen": "127.0.0.1:0",
            "peerListen": "127.0.0.1:0",
            "platform": self.platform.address,
            "peerKey": PEER_KEY,
            "seed": 1,
            "intervals": { "vmPollMs": 200, "headPollMs": 200 },
        });
        merge(&mut settings, changes);
        let path = self.directory.join(format!("{name}.jsonc"));
        std::fs::write(&path, settings.to_string())
            .map_err(HarnessError::system("writing settings"))?;
        let path = path.display().to_string();
        HarnessProcess::start(&self.programs, "gs-entry", &["--settings", &path])
    }

    /// Adds or replaces a record of the VM list.
    pub async fn publish_vm(
        &self,
        workload: VmWorkload,
        address: SocketAddr,
        data_centre: &str,
        state: VmState,
    ) -> Result<(), HarnessError> {
        let data_centre = DataCentreName::from(data_centre);
        let change = VmChange::Set(VmRecord {
            workload,
            address,
            data_centre,
            state,
        });
        self.client
            .post(self.platform.address, "/control/vms", &change)
            .await?;
        Ok(())
    }

    /// Stores a document and makes it the next head, with the records that an operator's promotion
    /// writes.
    pub async fn promote_document(&mut self, document: &Value) -> Result<HeadRecord, HarnessError> {
        let body = Bytes::from(document.to_string());
        let digest = format!("sha256:{:x}", Sha256::digest(&body));
        self.write_object(&body_key(&digest), body).await?;
        self.sequence = self.sequence.next();
        let head = HeadRecord {
            sequence: self.sequence,
            digest,
            previous: None,
            accepted_at_ms: now_ms(),
            operator: OperatorName::from("rig"),
            operation: OperationId(Uuid::now_v7()),
            roll_back: false,
        };
        self.rewrite_head(&head).await?;
        Ok(head)
    }

    /// Overwrites the head without the checks of a promotion, to simulate a tampered head.
    pub async fn rewrite_head(&self, head: &HeadRecord) -> Result<(), HarnessError> {
        self.write_object(&head_key(ENVIRONMENT), encode_json("head", head)?)
            .await
    }

    /// Drains a server by writing the record that an operator's drain writes.
    pub async fn drain_server(&self, server: &str) -> Result<(), HarnessError> {
        let record = DrainRecord {
            operator: OperatorName::from("rig"),
            drained_at_ms: now_ms(),
        };
        let key = drain_key(ENVIRONMENT, &ServerName::from(server));
        self.write_object(&key, encode_json("drain", &record)?)
            .await
    }

    /// Ends the drain of a server by deleting its record; does nothing if there is none.
    pub async fn end_drain(&self, server: &str) -> Result<(), HarnessError> {
        let path = format!(
            "/objects/{}",
            drain_key(ENVIRONMENT, &ServerName::from(server))
        );
        let address = self.platform.address;
        let current = self
            .client
            .call(address, "GET", &path, &[], Bytes::new())
            .await?;
        let Some(version) = current.header("etag") else {
            return Ok(());
        };
        let headers = [("if-match", version)];
        let answer = self
            .client
            .call(address, "DELETE", &path, &headers, Bytes::new())
            .await?;
        expect_success(&path, &answer)
    }

    /// Removes a record from the VM list.
    pub async fn remove_vm(&self, address: SocketAddr) -> Result<(), HarnessError> {
        let change = VmChange::Remove(address);
        self.client
            .post(self.platform.address, "/control/vms", &change)
            .await?;
        Ok(())
    }

    /// Reads the head record, which names the document in force.
    pub async fn read_head(&self) -> Result<HeadRecord, HarnessError> {
        let path = format!("/objects/{}", head_key(ENVIRONMENT));
        self.client.get(self.platform.address, &path).await
    }

    /// Writes an object, overwriting any existing version.
    async fn write_object(&self, key: &str, value: Bytes) -> Result<(), HarnessError> {
        let path = format!("/objects/{key}");
        let address = self.platform.address;
        let current = self
            .client
            .call(address, "GET", &path, &[], Bytes::new())
            .await?;
        let condition = match current.header("etag") {
            Some(version) => ("if-match", version.to_owned()),
            None => ("if-none-match", "*".to_owned()),
        };
        let headers = [(condition.0, condition.1.as_str())];
        let answer = self
            .client
            .call(address, "PUT", &path, &headers, value)
            .await?;
        expect_success(&path, &answer)
    }

    /// Waits until every entry answers `GET /ready` with 200.
    pub async fn wait_ready(&self) -> Result<(), HarnessError> {
        for entry in &self.entries {
            let address = entry.process.address;
            let condition = format!("readiness of {}", entry.name);
            self.wait_for(&condition, async || {
                let call = self
                    .client
                    .call(address, "GET", "/ready", &[], Bytes::new());
                call.await.is_ok_and(|answer| answer.status == 200)
            })
            .await?;
        }
        Ok(())
    }

    /// Polls a condition until it holds, for at most `CONDITION_TIMEOUT`. `condition` names it in
    /// the error.
    pub async fn wait_for(
        &self,
        condition: &str,
        holds: impl AsyncFn() -> bool,
    ) -> Result<(), HarnessError> {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        while !holds().await {
            if Instant::now() > deadline {
                return Err(HarnessError::Timeout {
                    condition: condition.to_owned(),
                });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }
}

impl Drop for DeploymentHarness {
    fn drop(&mut self) {
        // The directory holds only settings, so a failed removal loses nothing.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn expect_success(path: &str, answer: &CallerAnswer) -> Result<(), HarnessError> {
    if (200..300).contains(&answer.status) {
        return Ok(());
    }
    Err(HarnessError::Call {
        path: path.to_owned(),
        detail: format!("status {}", answer.status),
    })
}

/// Encodes a record as JSON. `path` names the record in an error.
fn encode_json(path: &str, record: &impl Serialize) -> Result<Bytes, HarnessError> {
    let bytes = serde_json::to_vec(record).map_err(|error| HarnessError::Call {
        path: path.to_owned(),
        detail: error.to_string(),
    })?;
    Ok(bytes.into())
}

/// Milliseconds since 1970.
fn now_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Merges the fields of `changes` into `target`, recursively for nested objects.
fn merge(target: &mut Value, changes: &Value) {
    match (target, changes) {
        (Value::Object(target), Value::Object(changes)) => {
            for (name, change) in changes {
                merge(target.entry(name).or_insert(Value::Null), change);
            }
        }
        (target, change) => *target = change.clone(),
    }
}
