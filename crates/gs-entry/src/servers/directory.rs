//! Which backend servers there are.

use std::collections::{BTreeMap, BTreeSet};

use gs_control::dispatch::DispatchEvent;
use gs_document::document::{EnvironmentDocument, ServerProtocol};
use gs_document::settings::EntrySettings;
use gs_protocol::ids::{DataCentreName, ServerKindName, ServerName};
use gs_protocol::vm::{VmRecord, VmState, VmWorkload};

use crate::control::ServerEndpoint;

/// One backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerRecord {
    /// Where it is reached.
    pub endpoint: ServerEndpoint,
    /// Its kind.
    pub kind: ServerKindName,
    /// Where it stands.
    pub data_centre: DataCentreName,
    /// Whether it is leaving.
    pub state: VmState,
}

/// The backend servers that settings and the VM list name.
#[derive(Debug, Default)]
pub struct ServerDirectory {
    records: BTreeMap<ServerName, ServerRecord>,
    drained: BTreeSet<ServerName>,
}

impl ServerDirectory {
    /// The servers that the settings name.
    pub fn new(settings: &EntrySettings) -> Self {
        let records = settings
            .vm_records()
            .iter()
            .filter_map(read_server)
            .collect();
        Self {
            records,
            drained: BTreeSet::new(),
        }
    }

    /// Takes over a newer VM list; returns what changed for the dispatch slice.
    pub fn apply(&mut self, vms: &[VmRecord], settings: &EntrySettings) -> Vec<DispatchEvent> {
        let configured = settings.vm_records();
        let listed = configured.iter().chain(vms);
        let fresh: BTreeMap<_, _> = listed.filter_map(read_server).collect();
        let mut events = Vec::new();
        for name in self
            .records
            .keys()
            .filter(|name| !fresh.contains_key(*name))
        {
            events.push(DispatchEvent::ServerLost(name.clone()));
        }
        self.records = fresh;
        events.extend(self.leaving().into_iter().map(DispatchEvent::ServerLeaving));
        events
    }

    /// Where a server is reached.
    pub fn endpoint(&self, name: &ServerName) -> Option<ServerEndpoint> {
        self.records.get(name).map(|record| record.endpoint.clone())
    }

    /// Takes over which servers operators have taken out of use.
    pub fn set_drained(&mut self, drained: BTreeSet<ServerName>) {
        self.drained = drained;
    }

    /// The servers that take no new work.
    pub fn leaving(&self) -> Vec<ServerName> {
        let leaving = self
            .records
            .values()
            .filter(|record| self.is_leaving(record));
        leaving.map(|record| record.endpoint.name.clone()).collect()
    }

    /// The servers of a kind that take new work.
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

    /// The servers that are engines.
    pub fn engines(&self, document: &EnvironmentDocument) -> impl Iterator<Item = &ServerRecord> {
        let is_engine = |record: &&ServerRecord| {
            let kind = document.server_kinds.get(&record.kind);
            kind.is_some_and(|kind| kind.protocol == ServerProtocol::Engine)
        };
        self.records.values().filter(is_engine)
    }
}

fn read_server(vm: &VmRecord) -> Option<(ServerName, ServerRecord)> {
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
