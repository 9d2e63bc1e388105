//! A whole deployment on loopback.

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
use gs_protocol::vm::{VmDuty, VmRecord, VmState};
use serde::Serialize;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use uuid::Uuid;

use super::{CallerAnswer, HarnessClient, HarnessError, HarnessProcess, ProgramDirectory};
use crate::platform::VmChange;

/// The environment of a rig.
const ENVIRONMENT: &str = "production";

/// The secret of a rig's entries.
const PEER_KEY: &str = "rig-peer-key-0123456789";

/// How long a test waits for something to happen.
const PATIENCE: Duration = Duration::from_secs(60);

/// Between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Numbers the folders of one test process.
static NEXT_FOLDER: AtomicU32 = AtomicU32::new(0);

/// What kind of server to start.
#[derive(Clone, Debug)]
pub enum ServerSpec<'a> {
    /// An engine with a role, a model and further arguments.
    Engine {
        /// `prefill` or `decode`
        role: &'a str,
        /// The model, which is the server kind's name too.
        model: &'a str,
        /// Further arguments.
        arguments: &'a [&'a str],
    },
    /// A plain service of a kind.
    Service {
        /// The server kind.
        kind: &'a str,
    },
}

/// A running server.
#[derive(Debug)]
pub struct ServerHandle {
    /// The server.
    pub name: ServerName,
    /// Its process.
    pub process: HarnessProcess,
}

/// A running entry.
#[derive(Debug)]
pub struct EntryHandle {
    /// The entry.
    pub name: EntryName,
    /// Its process.
    pub process: HarnessProcess,
}

/// The processes of one deployment. All are ended when this is dropped.
pub struct DeploymentHarness {
    /// Calls the processes.
    pub client: HarnessClient,
    /// The platform's service.
    pub platform: HarnessProcess,
    /// The servers.
    pub servers: Vec<ServerHandle>,
    /// The entries.
    pub entries: Vec<EntryHandle>,
    programs: ProgramDirectory,
    folder: PathBuf,
    sequence: SequenceNumber,
}

impl DeploymentHarness {
    /// Starts the platform alone.
    pub fn start(programs: ProgramDirectory, platform: &[&str]) -> Result<Self, HarnessError> {
        let mut arguments = vec!["platform", "--vm-lag-ms", "0"];
        arguments.extend_from_slice(platform);
        let platform = HarnessProcess::start(&programs, "gs-standin", &arguments)?;
        let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("gs-rig-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(HarnessError::system("making a folder"))?;
        Ok(Self {
            client: HarnessClient::default(),
            platform,
            servers: Vec::new(),
            entries: Vec::new(),
            programs,
            folder,
            sequence: SequenceNumber::default(),
        })
    }

    /// Starts a server and lists it.
    pub async fn add_server(
        &mut self,
        name: &str,
        data_centre: &str,
        shape: &ServerSpec<'_>,
    ) -> Result<(), HarnessError> {
        let (arguments, kind) = match shape {
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
        let duty = VmDuty::Server {
            name: name.clone(),
            kind,
        };
        self.publish_vm(duty, process.address, data_centre, VmState::Live)
            .await?;
        self.servers.push(ServerHandle { name, process });
        Ok(())
    }

    /// Starts an entry and lists it. `changes` are merged over the rig's settings.
    pub async fn add_entry(
        &mut self,
        name: &str,
        data_centre: &str,
        changes: &Value,
    ) -> Result<(), HarnessError> {
        let process = self.start_entry(name, data_centre, changes)?;
        let name = EntryName::from(name);
        if let Some(peer_address) = process.peer_address {
            let duty = VmDuty::Entry {
                name: name.clone(),
                peer_address,
            };
            self.publish_vm(duty, process.address, data_centre, VmState::Live)
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
        let path = self.folder.join(format!("{name}.jsonc"));
        std::fs::write(&path, settings.to_string())
            .map_err(HarnessError::system("writing settings"))?;
        let path = path.display().to_string();
        HarnessProcess::start(&self.programs, "gs-entry", &["--settings", &path])
    }

    /// Adds or changes a record of the VM list.
    pub async fn publish_vm(
        &self,
        duty: VmDuty,
        address: SocketAddr,
        data_centre: &str,
        state: VmState,
    ) -> Result<(), HarnessError> {
        let data_centre = DataCentreName::from(data_centre);
        let change = VmChange::Set(VmRecord {
            duty,
            address,
            data_centre,
            state,
        });
        self.client
            .post(self.platform.address, "/control/vms", &change)
            .await?;
        Ok(())
    }

    /// Writes a document into the platform as its next head, as an operator's promotion does.
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

    /// Writes a head over whatever is there, which no honest operator does.
    pub async fn rewrite_head(&self, head: &HeadRecord) -> Result<(), HarnessError> {
        self.write_object(&head_key(ENVIRONMENT), to_bytes("head", head)?)
            .await
    }

    /// Takes a server out of use, as an operator does.
    pub async fn drain_server(&self, server: &str) -> Result<(), HarnessError> {
        let record = DrainRecord {
            operator: OperatorName::from("rig"),
            at_ms: now_ms(),
        };
        let key = drain_key(ENVIRONMENT, &ServerName::from(server));
        self.write_object(&key, to_bytes("drain", &record)?).await
    }

    /// Puts a drained server back into use, as an operator does.
    pub async fn end_drain(&self, server: &str) -> Result<(), HarnessError> {
        let path = format!(
            "/objects/{}",
            drain_key(ENVIRONMENT, &ServerName::from(server))
        );
        let address = self.platform.address;
        let found = self
            .client
            .call(address, "GET", &path, &[], Bytes::new())
            .await?;
        let Some(version) = found.header("etag") else {
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

    /// The document that is in force now, by the platform's head.
    pub async fn read_head(&self) -> Result<HeadRecord, HarnessError> {
        let path = format!("/objects/{}", head_key(ENVIRONMENT));
        self.client.get(self.platform.address, &path).await
    }

    /// Writes an object, whatever its version is.
    async fn write_object(&self, key: &str, value: Bytes) -> Result<(), HarnessError> {
        let path = format!("/objects/{key}");
        let address = self.platform.address;
        let found = self
            .client
            .call(address, "GET", &path, &[], Bytes::new())
            .await?;
        let condition = match found.header("etag") {
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
            let what = format!("readiness of {}", entry.name);
            self.wait_for(&what, async || {
                let call = self
                    .client
                    .call(address, "GET", "/ready", &[], Bytes::new());
                call.await.is_ok_and(|answer| answer.status == 200)
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until something holds.
    pub async fn wait_for(
        &self,
        what: &str,
        holds: impl AsyncFn() -> bool,
    ) -> Result<(), HarnessError> {
        let deadline = Instant::now() + PATIENCE;
        while !holds().await {
            if Instant::now() > deadline {
                return Err(HarnessError::NotInTime {
                    what: what.to_owned(),
                });
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
        Ok(())
    }
}

impl Drop for DeploymentHarness {
    fn drop(&mut self) {
        // The folder only holds settings.
        let _ = std::fs::remove_dir_all(&self.folder);
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

/// The JSON of a record.
fn to_bytes(path: &str, record: &impl Serialize) -> Result<Bytes, HarnessError> {
    let bytes = serde_json::to_vec(record).map_err(|error| HarnessError::Call {
        path: path.to_owned(),
        detail: error.to_string(),
    })?;
    Ok(bytes.into())
}

/// Milliseconds since 1970.
fn now_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Replaces the fields of an object by those of another, objects within objects alike.
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
