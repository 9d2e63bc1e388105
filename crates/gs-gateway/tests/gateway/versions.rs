//! Streams of a service whose servers run two software versions.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use gs_control::forwarding::{ListedServer, OriginDigest, RecordUpdate, SoftwareRecord};
use gs_gateway::{OriginRecords, run_origin_records};
use gs_protocol::ids::{EntryName, ServiceName};

use super::support::{
    Deployment, RawAnswer, RawClient, Route, StubServer, decode_server, events, request, wait_until,
};

/// Number of streams that are broken and taken up in a test.
const STREAMS: usize = 8;

/// Starts an engine that breaks off new streams after two events and completes those that it resumes.
async fn engine() -> StubServer {
    StubServer::start(|_, text| match text.contains("t-after: ") {
        true => events(2..4, true),
        false => events(0..2, false),
    })
    .await
}

fn of_software(software: &str, server: ListedServer) -> ListedServer {
    ListedServer {
        software: software.into(),
        ..server
    }
}

/// Two engines of different versions.
struct MixedEngines {
    old: StubServer,
    new: StubServer,
}

impl MixedEngines {
    async fn start() -> Self {
        Self {
            old: engine().await,
            new: engine().await,
        }
    }

    fn listed(&self) -> Vec<ListedServer> {
        vec![
            of_software("v1", decode_server("old", self.old.address)),
            of_software("v2", decode_server("new", self.new.address)),
        ]
    }

    /// Returns the requests that both engines have received for a stream, by its ID; those of the old one first.
    fn requests(&self, id: &str) -> [usize; 2] {
        let is_of = |text: &&String| text.contains(&format!("t-id: {id}-"));
        [&self.old, &self.new].map(|engine| engine.requests().iter().filter(is_of).count())
    }
}

async fn send(entry: &Deployment, id: &str, headers: &str) -> RawAnswer {
    let headers = format!("connection: close\r\n{headers}");
    let mut client = RawClient::connect(entry.address).await;
    client.send(&request(Route::Resumable, id, &headers)).await;
    client.read_all().await
}

/// Takes a stream up after its second event, as its client would.
async fn take_up(entry: &Deployment, id: &str) -> RawAnswer {
    let headers = format!("t-after: 1\r\nt-resumes: {id}-1\r\n");
    send(entry, &format!("{id}-2"), &headers).await
}

#[actix_rt::test]
async fn a_stream_is_not_resumed_at_another_software_version() {
    let engines = MixedEngines::start().await;
    let entry = Deployment::start(engines.listed()).await;
    for number in 0..STREAMS {
        let id = format!("r{number}");
        send(&entry, &format!("{id}-1"), "").await;
        let [old, new] = engines.requests(&id);
        assert!(old == 0 || new == 0, "{id} ran at both versions");
    }
}

/// Begins streams, which break off, and takes them up at another entry.
async fn take_up_all(first: &Deployment, second: &Deployment, engines: &MixedEngines) {
    let mut resumed = 0;
    for number in 0..STREAMS {
        let id = format!("r{number}");
        let broken = send(first, &format!("{id}-1"), "").await;
        assert!(broken.body().contains("event 1"), "{broken:?}");
        assert!(!broken.has_last_chunk(), "{broken:?}");
        let answer = take_up(second, &id).await;
        let [old, new] = engines.requests(&id);
        assert!(old == 0 || new == 0, "{id} ran at both versions");
        resumed += usize::from(answer.has_last_chunk() && answer.status() == 200);
    }
    assert_eq!(resumed, STREAMS, "each version has an engine");
}

#[actix_rt::test]
async fn a_stream_that_its_client_takes_up_goes_on_at_the_version_that_began_it() {
    let engines = MixedEngines::start().await;
    let entry = Deployment::start(engines.listed()).await;
    take_up_all(&entry, &entry, &engines).await;
}

#[actix_rt::test]
async fn another_entry_knows_the_version_that_began_a_stream() {
    let engines = MixedEngines::start().await;
    let entries = [
        Deployment::start_named("entry-1", engines.listed()).await,
        Deployment::start_named("entry-2", engines.listed()).await,
    ];
    Deployment::join(&entries).await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    take_up_all(&entries[0], &entries[1], &engines).await;
}

#[actix_rt::test]
async fn a_stream_of_unknown_origin_is_refused_while_versions_differ() {
    let engines = MixedEngines::start().await;
    let entry = Deployment::start(engines.listed()).await;
    let answer = take_up(&entry, "r1").await;
    assert_eq!(answer.status(), 503, "{answer:?}");
    assert!(answer.0.contains("t-retry: "), "{answer:?}");
    assert_eq!(engines.requests("r1"), [0, 0]);
}

#[actix_rt::test]
async fn a_stream_of_unknown_origin_goes_on_if_all_servers_have_one_version() {
    let engines = MixedEngines::start().await;
    let mut listed = engines.listed();
    listed[1].software = "v1".into();
    let entry = Deployment::start(listed).await;
    let answer = take_up(&entry, "r1").await;
    assert!(answer.has_last_chunk(), "{answer:?}");
}

/// Records that outlive entries.
#[derive(Clone, Default)]
struct SharedRecords {
    software: Rc<RefCell<BTreeMap<ServiceName, SoftwareRecord>>>,
    streams: Rc<RefCell<BTreeMap<EntryName, OriginDigest>>>,
}

/// The records as one entry uses them.
struct EntryRecords(SharedRecords, EntryName);

impl OriginRecords for EntryRecords {
    type Error = Infallible;

    async fn write_record(&self, update: &RecordUpdate) -> Result<Option<u64>, Infallible> {
        let mut software = self.0.software.borrow_mut();
        let known = software.entry(update.service.clone()).or_default();
        if known.revision != update.record.revision {
            return Ok(None);
        }
        known.revision += 1;
        known.versions = update.record.versions.clone();
        Ok(Some(known.revision))
    }

    async fn write_streams(&self, streams: &OriginDigest) -> Result<(), Infallible> {
        let mut kept = self.0.streams.borrow_mut();
        kept.insert(self.1.clone(), streams.clone());
        Ok(())
    }

    async fn read_streams(&self) -> Result<Vec<(EntryName, OriginDigest)>, Infallible> {
        Ok(self.0.streams.borrow().clone().into_iter().collect())
    }
}

impl SharedRecords {
    /// Starts an entry that uses the records.
    async fn start_entry(&self, name: &str, listed: Vec<ListedServer>) -> Deployment {
        let entry = Deployment::start_named(name, listed).await;
        let known = self.software.borrow().clone();
        entry.gateway.replace_software_records(known);
        let records = EntryRecords(self.clone(), name.into());
        actix_rt::spawn(run_origin_records(Rc::clone(&entry.gateway), records));
        entry
    }
}

/// The servers of the old version leave while no entry runs.
#[actix_rt::test]
async fn streams_are_not_joined_by_entries_that_have_all_restarted() {
    let engines = MixedEngines::start().await;
    let records = SharedRecords::default();
    let entry = records.start_entry("entry-1", engines.listed()).await;
    for number in 0..STREAMS {
        send(&entry, &format!("r{number}-1"), "").await;
    }
    let is_recorded = || {
        let versions = records.software.borrow();
        let streams = records.streams.borrow();
        let kept = streams.values().flatten().map(|(_, _, ids)| ids.len());
        versions.len() == 1 && kept.sum::<usize>() == STREAMS
    };
    wait_until(is_recorded).await;
    let of_old = |number: &usize| engines.requests(&format!("r{number}"))[0] > 0;
    let began_old = (0..STREAMS).filter(of_old).count();
    // A restarted entry that begins a stream of its own does not lose the others.
    let between = records.start_entry("entry-1", engines.listed()).await;
    send(&between, "another-1", "").await;
    let is_kept = || {
        let streams = records.streams.borrow();
        let kept = streams.values().flatten().map(|(_, _, ids)| ids.len());
        kept.sum::<usize>() == STREAMS + 1
    };
    wait_until(is_kept).await;
    let mut left = engines.listed();
    left.remove(0);
    let restarted = records.start_entry("entry-1", left).await;
    let mut resumed = 0;
    for number in 0..STREAMS {
        let answer = take_up(&restarted, &format!("r{number}")).await;
        resumed += usize::from(answer.has_last_chunk() && answer.status() == 200);
        let [old, new] = engines.requests(&format!("r{number}"));
        assert!(old == 0 || new == 0, "r{number} ran at both versions");
    }
    assert_eq!(resumed, STREAMS - began_old);
    assert_eq!(take_up(&restarted, "unknown").await.status(), 503);
}
