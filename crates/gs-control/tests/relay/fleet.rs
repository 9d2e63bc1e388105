//! A fleet whose entries exchange reports in steps, with lost datagrams and ended entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gs_control::forwarding::{RegistryVersion, WaitingCounts};
use gs_control::relay::{
    ArrivalQueue, EntryLoad, EntryPresence, EntryReport, RelayMember, RelayQueue, RelayTopology,
    TopologySettings,
};
use gs_protocol::ids::{EntryName, Incarnation};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// How a datagram is handled by its receiver.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Hop {
    Direct,
    Local,
    BetweenRelays,
    Relayed,
}

struct Datagram {
    to: SocketAddr,
    hop: Hop,
    reports: Vec<EntryReport>,
}

struct FleetEntry {
    member: RelayMember,
    topology: RelayTopology,
    departures: RelayQueue,
    arrivals: ArrivalQueue,
    /// Number of entries from which this one thinks that reports are relayed.
    max_direct_entries: usize,
    /// Version and load of the newest report of each other entry.
    latest: BTreeMap<EntryName, (u64, u32)>,
    number: u64,
    load: u32,
    has_ended: bool,
}

pub struct RelayFleet {
    entries: Vec<FleetEntry>,
    by_address: BTreeMap<SocketAddr, usize>,
    datagrams: Vec<Datagram>,
    random: Pcg64Mcg,
    loss: f64,
    now: Instant,
    crossings: u64,
    /// Datagrams from relays to their data centres.
    relayed: u64,
    round: u64,
}

/// Returns the members of a fleet with data centres of the given sizes.
pub fn members(sizes: &[usize]) -> Vec<RelayMember> {
    let mut members = Vec::new();
    for (data_centre, size) in sizes.iter().enumerate() {
        for number in 0..*size {
            let port = u16::try_from(1_000 + members.len()).expect("a port");
            members.push(RelayMember {
                name: EntryName::new(format!("entry-{data_centre}-{number}")),
                data_centre: format!("dc-{data_centre}").as_str().into(),
                peer_address: SocketAddr::from(([127, 0, 0, 1], port)),
                is_alive: true,
                link_rate: None,
            });
        }
    }
    members
}

impl RelayFleet {
    pub fn new(sizes: &[usize], seed: u64) -> Self {
        let entries: Vec<FleetEntry> = members(sizes)
            .into_iter()
            .map(|member| FleetEntry {
                member,
                topology: RelayTopology::default(),
                departures: RelayQueue::default(),
                arrivals: ArrivalQueue::default(),
                max_direct_entries: 2,
                latest: BTreeMap::new(),
                number: 0,
                load: 0,
                has_ended: false,
            })
            .collect();
        let addresses = entries.iter().map(|entry| entry.member.peer_address);
        let by_address = addresses.zip(0..).collect();
        let mut fleet = Self {
            entries,
            by_address,
            datagrams: Vec::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            loss: 0.0,
            now: Instant::now(),
            crossings: 0,
            relayed: 0,
            round: 0,
        };
        fleet.decide_topologies();
        fleet
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn set_loss(&mut self, loss: f64) {
        self.loss = loss;
    }

    pub fn advance(&mut self, time: Duration) {
        self.now += time;
    }

    pub fn crossings(&self) -> u64 {
        self.crossings
    }

    pub fn relayed_datagrams(&self) -> u64 {
        self.relayed
    }

    /// Lets an entry send its reports to all others, as one that knows of fewer entries does.
    pub fn send_to_all(&mut self, entry: usize) {
        self.entries[entry].max_direct_entries = usize::MAX;
        self.decide_topologies();
    }

    /// Returns the relays of a data centre.
    pub fn relays(&self, data_centre: usize) -> Vec<usize> {
        let prefix = format!("entry-{data_centre}-");
        let relays = self.entries.iter().enumerate().filter(|(_, entry)| {
            entry.member.name.as_str().starts_with(&prefix)
                && !entry.topology.foreign_relays.is_empty()
        });
        relays.map(|(index, _)| index).collect()
    }

    pub fn end(&mut self, entry: usize) {
        self.entries[entry].has_ended = true;
    }

    /// Lets each entry consider alive only the others of its data centre that have not ended.
    pub fn forget_other_data_centres(&mut self) {
        self.decide_topologies_by(|entry, other| entry.data_centre == other.data_centre);
    }

    /// Lets all entries notice which others have ended.
    pub fn notice_ends(&mut self) {
        for entry in &mut self.entries {
            entry.member.is_alive = !entry.has_ended;
        }
        self.decide_topologies();
    }

    /// Reports a load of an entry that is new.
    pub fn report_all(&mut self, entry: usize) {
        self.entries[entry].load += 1;
        self.repeat_report(entry);
    }

    /// Reports the load of an entry again.
    pub fn repeat_report(&mut self, entry: usize) {
        let sender = &mut self.entries[entry];
        if sender.has_ended {
            return;
        }
        sender.number += 1;
        let report = report(&sender.member, sender.number, sender.load);
        let direct = sender.topology.direct.clone();
        let mut hop = Hop::Direct;
        if sender.topology.is_relayed {
            hop = Hop::Local;
            if !sender.topology.foreign_relays.is_empty() {
                sender.departures.push(self.now, report.clone());
            }
        }
        self.send(entry, &direct, hop, &[report]);
    }

    /// Delivers datagrams and passes reports on until nothing is on the way.
    pub fn settle(&mut self) {
        loop {
            for datagram in std::mem::take(&mut self.datagrams) {
                self.deliver(&datagram);
            }
            for index in 0..self.entries.len() {
                let entry = &mut self.entries[index];
                let departures = entry.departures.take(self.now, usize::MAX);
                let arrivals = entry.arrivals.take(usize::MAX);
                let topology = entry.topology.clone();
                if entry.has_ended {
                    continue;
                }
                if !departures.is_empty() {
                    let relays = &topology.foreign_relays;
                    self.send(index, relays, Hop::BetweenRelays, &departures);
                }
                if !arrivals.is_empty() {
                    self.relayed += topology.local.len() as u64;
                    self.send(index, &topology.local, Hop::Relayed, &arrivals);
                }
            }
            if self.datagrams.is_empty() {
                return;
            }
        }
    }

    /// Returns the pairs of a receiver and an entry whose newest report it does not know.
    pub fn missing_reports(&self) -> Vec<(EntryName, EntryName)> {
        let alive: Vec<&FleetEntry> = self
            .entries
            .iter()
            .filter(|entry| !entry.has_ended)
            .collect();
        let mut missing = Vec::new();
        for receiver in &alive {
            for entry in &alive {
                let name = &entry.member.name;
                let known = receiver.latest.get(name).map(|(_, load)| *load);
                if *name != receiver.member.name && known != Some(entry.load) {
                    missing.push((receiver.member.name.clone(), name.clone()));
                }
            }
        }
        missing
    }

    fn decide_topologies(&mut self) {
        self.decide_topologies_by(|_, _| true);
    }

    /// Decides where all entries send reports. `is_known` returns whether an entry knows that
    /// another that can be a relay is alive.
    fn decide_topologies_by(&mut self, is_known: impl Fn(&RelayMember, &RelayMember) -> bool) {
        self.round += 1;
        let members: Vec<RelayMember> = self
            .entries
            .iter()
            .map(|entry| entry.member.clone())
            .collect();
        for entry in &mut self.entries {
            let settings = TopologySettings {
                max_direct_entries: entry.max_direct_entries,
                ..TopologySettings::default()
            };
            let others: Vec<RelayMember> = members
                .iter()
                .filter(|member| member.name != entry.member.name)
                .map(|member| RelayMember {
                    is_alive: member.is_alive && is_known(&entry.member, member),
                    ..member.clone()
                })
                .collect();
            entry.topology = RelayTopology::new(&entry.member, &others, self.round, &settings);
            let interval = entry.topology.presence_interval;
            entry.departures.set_presence_interval(interval);
        }
    }

    fn send(&mut self, from: usize, to: &[SocketAddr], hop: Hop, reports: &[EntryReport]) {
        for address in to {
            let receiver = self.by_address[address];
            let [from, receiver] = [from, receiver].map(|index| &self.entries[index].member);
            if from.data_centre != receiver.data_centre {
                self.crossings += reports.len() as u64;
            }
            if !self.random.gen_bool(self.loss) {
                self.datagrams.push(Datagram {
                    to: *address,
                    hop,
                    reports: reports.to_vec(),
                });
            }
        }
    }

    fn deliver(&mut self, datagram: &Datagram) {
        let index = self.by_address[&datagram.to];
        let entry = &mut self.entries[index];
        if entry.has_ended {
            return;
        }
        for report in &datagram.reports {
            if datagram.hop == Hop::Relayed {
                entry.arrivals.remove_passed(report);
            }
            let known = entry.latest.get(&report.entry).map(|(number, _)| *number);
            if report.entry == entry.member.name
                || known.is_some_and(|known| known >= report.number)
            {
                continue;
            }
            let load = report.load.waiting.on_time;
            let name = report.entry.clone();
            entry.latest.insert(name, (report.number, load));
            match datagram.hop {
                Hop::Local if !entry.topology.foreign_relays.is_empty() => {
                    entry.departures.push(self.now, report.clone());
                }
                Hop::BetweenRelays => entry.arrivals.push(report.clone()),
                Hop::Direct | Hop::Local | Hop::Relayed => {}
            }
        }
    }
}

/// Returns a regular report of an entry with a number of waiting streams.
pub fn report(member: &RelayMember, number: u64, load: u32) -> EntryReport {
    EntryReport {
        entry: member.name.clone(),
        incarnation: Incarnation(1),
        number,
        presence: Some(EntryPresence {
            data_centre: member.data_centre.clone(),
            address: member.peer_address,
            peer_address: member.peer_address,
            is_leaving: false,
            routes_version: 1,
            servers_version: RegistryVersion::default(),
            ended_outages: 0,
            link_rate: 0,
            is_isolated: false,
            forward_address: None,
        }),
        load: EntryLoad {
            waiting: WaitingCounts {
                on_time: load,
                ..WaitingCounts::default()
            },
            ..EntryLoad::default()
        },
    }
}
