//! Polls the load reports and the cache events of engines.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::Addr;
use gs_control::dispatch::{DispatchEvent, ServerObservation};
use gs_document::document::EnvironmentDocument;
use gs_document::settings::EntrySettings;
use gs_protocol::ids::ServerName;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::ServerDirectory;
use super::directory::ServerRecord;
use crate::control::{ControlActor, ControlMessage};
use crate::engine::{ClientPool, EngineClient, EngineFailure};

/// One-way network delay to a data centre that the settings do not name.
const DEFAULT_DELAY: Duration = Duration::from_millis(5);

/// A running poll of one engine.
struct EnginePoll {
    record: ServerRecord,
    task: JoinHandle<()>,
}

/// Polls of all engines in the directory.
pub struct ServerPolls {
    settings: Arc<EntrySettings>,
    client: EngineClient,
    polls: BTreeMap<ServerName, EnginePoll>,
}

impl ServerPolls {
    /// Creates a set without polls.
    pub fn new(settings: Arc<EntrySettings>) -> Self {
        let pool = Rc::new(ClientPool::new(settings.timeouts.connect));
        Self {
            settings,
            client: EngineClient::new(pool),
            polls: BTreeMap::new(),
        }
    }

    /// Starts polls of new engines and stops those of engines that were removed or changed.
    pub fn update(
        &mut self,
        directory: &ServerDirectory,
        document: &EnvironmentDocument,
        control: &Addr<ControlActor>,
    ) {
        let expected: BTreeMap<_, _> = directory
            .engines(document)
            .map(|record| (record.endpoint.name.clone(), record.clone()))
            .collect();
        self.polls.retain(|name, poll| {
            let keep = expected.get(name) == Some(&poll.record);
            if !keep {
                poll.task.abort();
            }
            keep
        });
        for (name, record) in expected {
            if !self.polls.contains_key(&name) {
                let poll = self.start(record, control.clone());
                self.polls.insert(name, poll);
            }
        }
    }

    fn start(&self, record: ServerRecord, control: Addr<ControlActor>) -> EnginePoll {
        let settings = Arc::clone(&self.settings);
        let client = self.client.clone();
        let target = record.clone();
        let task = actix_rt::spawn(async move {
            let loads = poll_load(&settings, &client, &target, &control);
            let caches = poll_cache(&settings, &client, &target, &control);
            futures_util::future::join(loads, caches).await;
        });
        EnginePoll { record, task }
    }
}

async fn poll_load(
    settings: &EntrySettings,
    client: &EngineClient,
    record: &ServerRecord,
    control: &Addr<ControlActor>,
) {
    let name = &record.endpoint.name;
    let delay = settings
        .delay_to(&record.data_centre)
        .unwrap_or(DEFAULT_DELAY);
    loop {
        let message = match client
            .load(record.endpoint.address, settings.timeouts.reserve)
            .await
        {
            Ok(report) => {
                let leaving = report
                    .leaving
                    .then(|| DispatchEvent::ServerLeaving(name.clone()));
                let observation = ServerObservation {
                    kind: record.kind.clone(),
                    data_centre: record.data_centre.clone(),
                    delay,
                    report,
                };
                control.do_send(ControlMessage::Dispatch(DispatchEvent::LoadReported(
                    observation,
                )));
                leaving.map(ControlMessage::Dispatch)
            }
            Err(error) => {
                log::warn!(target: "servers", server = name.as_str(); "Load poll failed: {error}.");
                let event = match error {
                    EngineFailure::Unreachable => DispatchEvent::ServerDown(name.clone()),
                    _ => DispatchEvent::ServerLost(name.clone()),
                };
                Some(ControlMessage::Dispatch(event))
            }
        };
        if let Some(message) = message {
            control.do_send(message);
        }
        sleep(settings.intervals.load_poll).await;
    }
}

async fn poll_cache(
    settings: &EntrySettings,
    client: &EngineClient,
    record: &ServerRecord,
    control: &Addr<ControlActor>,
) {
    let mut after = 0;
    let mut boot = None;
    loop {
        sleep(settings.intervals.cache_poll).await;
        let address = record.endpoint.address;
        let Ok(events) = client
            .cache_events(address, after, settings.timeouts.reserve)
            .await
        else {
            continue;
        };
        let restarted = boot.is_some_and(|boot| boot != events.boot);
        after = if restarted { 0 } else { events.last };
        boot = Some(events.boot);
        let server = record.endpoint.name.clone();
        control.do_send(ControlMessage::Dispatch(DispatchEvent::CacheChanged {
            server,
            events,
        }));
    }
}
