//! Where reports are sent, and what this entry passes on if it is a relay.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gs_control::relay::{
    ArrivalQueue, EntryReport, RelayMember, RelayQueue, RelayTopology, TopologySettings,
};
use gs_protocol::ids::EntryName;

use crate::datagram::DatagramKind;
use crate::gateway::Gateway;
use crate::peers::{ReportSocket, report_interval};

/// Time for which a relay collects reports before it passes them on.
const RELAY_DELAY: Duration = Duration::from_millis(15);

/// How long a decision where to send reports is kept.
const TOPOLOGY_LIFETIME: Duration = Duration::from_millis(250);

/// Silence, in regular intervals, after which another entry of the data centre takes over as relay.
const MAX_RELAY_SILENCE: f64 = 2.2;

/// Where reports are sent, and the reports to pass on.
#[derive(Debug, Default)]
pub(crate) struct RelayState {
    /// The last decision where to send reports, and when it was made.
    topology: Option<(Instant, Rc<RelayTopology>)>,
    /// Number of such decisions.
    round: u64,
    /// Reports of the own data centre for others.
    departures: RelayQueue,
    /// Reports of other data centres for the own one.
    arrivals: ArrivalQueue,
}

impl Gateway {
    /// Returns where reports are sent.
    pub(crate) fn topology(&self) -> Rc<RelayTopology> {
        let now = Instant::now();
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let previous = state.relays.topology.take();
        if let Some((decided_at, topology)) = &previous
            && now.saturating_duration_since(*decided_at) < TOPOLOGY_LIFETIME
        {
            let topology = Rc::clone(topology);
            state.relays.topology = previous;
            return topology;
        }
        let own = &self.settings.own;
        let direct_count = previous
            .as_ref()
            .map_or(0, |(_, topology)| topology.direct.len());
        let max_silence = report_interval(direct_count).mul_f64(MAX_RELAY_SILENCE);
        let others = state
            .membership
            .relay_members(now, &own.data_centre, max_silence);
        let own = RelayMember {
            name: own.identity.entry.clone(),
            data_centre: own.data_centre.clone(),
            peer_address: own.peer_address,
            is_alive: true,
        };
        let relays = &mut state.relays;
        relays.round += 1;
        let settings = TopologySettings::default();
        let topology = Rc::new(RelayTopology::new(&own, &others, relays.round, &settings));
        let was_relay = previous.is_some_and(|(_, previous)| !previous.foreign_relays.is_empty());
        let is_relay = !topology.foreign_relays.is_empty();
        if was_relay != is_relay {
            log::info!(target: "peers", is_relay, local = topology.local.len(), foreign_relays = topology.foreign_relays.len(); "duty as a relay changed");
        }
        relays.topology = Some((now, Rc::clone(&topology)));
        relays
            .departures
            .set_presence_interval(topology.presence_interval);
        let known: BTreeSet<&EntryName> = others.iter().map(|other| &other.name).collect();
        relays
            .departures
            .retain(|entry| known.contains(entry) || *entry == own.name);
        state.registry.retain_peers(|entry| known.contains(entry));
        topology
    }

    /// Queues a report of this entry's data centre for other data centres, if this entry is a relay.
    pub(crate) fn relay_report(&self, report: EntryReport) {
        if self.topology().foreign_relays.is_empty() {
            return;
        }
        let mut state = self.state.borrow_mut();
        if state.relays.departures.push(Instant::now(), report) {
            self.relay_changed.notify_one();
        }
    }

    /// Queues a report of another data centre for this entry's own one.
    pub(crate) fn relay_arrival(&self, report: EntryReport) {
        self.state.borrow_mut().relays.arrivals.push(report);
        self.relay_changed.notify_one();
    }

    /// Removes a report from the queue that another relay has passed on to this data centre.
    pub(crate) fn forget_arrival(&self, report: &EntryReport) {
        self.state
            .borrow_mut()
            .relays
            .arrivals
            .remove_passed(report);
    }

    /// Whether an entry runs in the data centre of this one.
    pub(crate) fn is_local(&self, entry: &EntryName) -> bool {
        let state = self.state.borrow();
        let member = state.membership.member(entry);
        member.is_some_and(|member| member.peer.data_centre == self.settings.own.data_centre)
    }
}

/// Passes on what this entry has queued as a relay, until the process ends.
pub(crate) async fn send_relayed(gateway: Rc<Gateway>, socket: Rc<ReportSocket>) {
    loop {
        gateway.relay_changed.notified().await;
        tokio::time::sleep(RELAY_DELAY).await;
        let topology = gateway.topology();
        let (departures, arrivals) = {
            let relays = &mut gateway.state.borrow_mut().relays;
            (
                relays.departures.take_all(Instant::now()),
                relays.arrivals.take_all(),
            )
        };
        let kind = DatagramKind::BetweenRelays;
        socket
            .send(kind, &departures, &topology.foreign_relays)
            .await;
        socket
            .send(DatagramKind::Relayed, &arrivals, &topology.local)
            .await;
    }
}
