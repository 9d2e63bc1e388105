//! The known backend servers.

use std::collections::{BTreeMap, BTreeSet};

use gs_control::dispatch::DispatchEvent;
use gs_document::document::{EnvironmentDocument, ServerProtocol};
use gs_document::settings::EntrySettings;
use gs_protocol::ids::{DataCentreName, ServerKindName, ServerName};
use gs_protocol::vm::{VmRecord, VmState, VmWorkload};

use crate::control::ServerEndpoint;

/// A backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerRecord {
    /// Name and address.
    pub endpoint: ServerEndpoint,
    /// Server kind.
    pub kind: ServerKindName,
    /// Data centre of its VM.
    pub data_centre: DataCentreName,
    /// State of its VM.
    pub state: VmState,
}

/// The backend servers in the settings and the platform's VM list.
#[derive(Debug, Default)]
pub struct ServerDirectory {
    records: BTreeMap<ServerName, ServerRecord>,
    drained: BTreeSet<ServerName>,
}

impl ServerDirectory {
    /// Creates a directory of the servers in the settings.
    pub fn new(settings: &EntrySettings) -> Self {
        let records = settings
            .vm_records()
            .iter()
            .filter_map(to_server_record)
            .collect();
        Self {
            records,
            drained: BTreeSet::new(),
        }
    }

    /// Replaces the servers by those of the settings and a newer VM list. Returns events for the
    /// dispatch slice: servers that disappeared and all that are leaving.
    pub fn apply(&mut self, vms: &[VmRecord], settings: &EntrySettings) -> Vec<DispatchEvent> {
        let configured = settings.vm_records();
        let listed = configured.iter().chain(vms);
        let updated: BTreeMap<_, _> = listed.filter_map(to_server_record).collect();
        let mut events = Vec::new();
        for name in self
            .records
            .keys()
            .filter(|name| !updated.contains_key(*name))
        {
            events.push(DispatchEvent::ServerLost(name.clone()));
        }
        self.records = updated;
        events.extend(self.leaving().into_iter().map(DispatchEvent::ServerLeaving));
        events
    }

    /// Name and address of a server, if it is listed.
    pub fn endpoint(&self, name: &ServerName) -> Option<ServerEndpoint> {
        self.records.get(name).map(|record| record.endpoint.clone())
    }

    /// Replaces the set of servers that operators drain.
    pub fn set_drained(&mut self, drained: BTreeSet<ServerName>) {
        self.drained = drained;
    }

    /// Names of the servers that accept no new work.
    pub fn leaving(&self) -> Vec<ServerName> {
        let leaving = self
            .records
            .values()
            .filter(|record| self.is_leaving(record));
        leaving.map(|record| record.endpoint.name.clone()).collect()
    }

    /// Servers of a kind that accept new work.
    pub fn usable(&self, kind: &ServerKindName) -> Vec<ServerEndpoint> {
        self.records
            .values()
            .filter(|record| record.kind == *kind && !self.is_leaving(record))
            .map(|record| record.endpoint.clone())
            .collect()
    }

    fn is_leaving(&self, record: &ServerRecord) -> bool {
        record.state == VmState::Leaving || self.drained.contains(&record.endpoint.name)
    }

    /// Servers whose kind uses the engine protocol.
    pub fn engines(&self, document: &EnvironmentDocument) -> impl Iterator<Item = &ServerRecord> {
        let is_engine = |record: &&ServerRecord| {
            let kind = document.server_kinds.get(&record.kind);
            kind.is_some_and(|kind| kind.protocol == ServerProtocol::Engine)
        };
        self.records.values().filter(is_engine)
    }
}

fn to_server_record(vm: &VmRecord) -> Option<(ServerName, ServerRecord)> {
    let VmWorkload::Server { name, kind } = &vm.workload else {
        return None;
    };
    let endpoint = ServerEndpoint {
        name: name.clone(),
        address: vm.address,
    };
    let record = ServerRecord {
        endpoint,
        kind: kind.clone(),
        data_centre: vm.data_centre.clone(),
        state: vm.state,
    };
    Some((name.clone(), record))
}
