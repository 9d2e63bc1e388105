//! Tests of which servers are usable through changes and outages of the registry.

use std::time::Duration;

use gs_control::forwarding::{DirectorySettings, ListedServer, ServerDirectory, ServerStage};
use proptest::prelude::*;
use test_case::test_case;

use super::support::{milliseconds, server, start};

fn usable(directory: &ServerDirectory, now: std::time::Instant) -> Vec<String> {
    let service = "notes".into();
    let servers = directory.usable_servers(now, &service, None);
    servers
        .map(|listed_server| listed_server.name.to_string())
        .collect()
}

fn directory_of(servers: Vec<ListedServer>) -> ServerDirectory {
    let mut directory = ServerDirectory::new(DirectorySettings::default());
    directory.apply_list(start(), servers);
    directory
}

#[test]
fn a_leaving_server_is_not_usable() {
    let mut directory = directory_of(vec![server(1, None), server(2, None)]);
    let leaving = ListedServer {
        is_leaving: true,
        ..server(1, None)
    };
    directory.upsert(leaving);
    assert_eq!(usable(&directory, start()), ["server-2"]);
}

#[test]
fn a_removed_server_is_not_usable_while_the_registry_answers() {
    let mut directory = directory_of(vec![server(1, None)]);
    directory.remove(start(), &"server-1".into());
    assert!(usable(&directory, start()).is_empty());
}

#[test_case(1_900, true; "within the grace period")]
#[test_case(2_100, false; "after the grace period")]
fn a_server_missing_after_an_outage_is_usable_during_the_grace_period(after: u64, is_usable: bool) {
    let now = start();
    let mut directory = directory_of(vec![server(1, None)]);
    directory.mark_registry_unreachable();
    assert!(directory.mark_registry_reachable(now));
    directory.apply_list(now, Vec::new());
    let later = now + milliseconds(after);
    directory.remove_missing(later);
    assert_eq!(!usable(&directory, later).is_empty(), is_usable);
}

#[test]
fn a_server_that_registers_again_remains_usable() {
    let now = start();
    let mut directory = directory_of(vec![server(1, None)]);
    directory.mark_registry_unreachable();
    directory.mark_registry_reachable(now);
    directory.apply_list(now, Vec::new());
    directory.upsert(server(1, None));
    let later = now + Duration::from_secs(5);
    assert!(directory.remove_missing(later).is_empty());
    assert_eq!(usable(&directory, later), ["server-1"]);
}

#[test_case(server(1, None), false; "the same process")]
#[test_case(ListedServer { started_at_ms: Some(99), ..server(1, None) }, true; "a later process of the same name")]
fn a_misdirected_server_is_usable_again_after_a_restart(
    listed_server: ListedServer,
    is_usable: bool,
) {
    let now = start();
    let mut directory = directory_of(vec![server(1, None)]);
    directory.record_misdirected(now, &"server-1".into());
    directory.upsert(listed_server);
    assert_eq!(!usable(&directory, now).is_empty(), is_usable);
}

#[test]
fn only_servers_of_the_requested_stage_are_returned() {
    let stages = [Some(ServerStage::Decode), Some(ServerStage::Prefill)];
    let servers = stages
        .iter()
        .zip(1..)
        .map(|(stage, number)| server(number, *stage));
    let directory = directory_of(servers.collect());
    let service = "notes".into();
    let decode = directory.usable_servers(start(), &service, Some(ServerStage::Decode));
    assert_eq!(decode.count(), 1);
    assert!(usable(&directory, start()).is_empty());
}

#[derive(Clone, Debug)]
enum Step {
    Upsert(u16, bool),
    Remove(u16),
    RegistryUnreachable,
    RegistryAnswered,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1..4u16, any::<bool>()).prop_map(|(server, leaving)| Step::Upsert(server, leaving)),
        3 => (1..4u16).prop_map(Step::Remove),
        1 => Just(Step::RegistryUnreachable),
        2 => Just(Step::RegistryAnswered),
        3 => (0..3_000u64).prop_map(Step::Wait),
    ]
}

proptest! {
    /// A server that is leaving, or was removed for longer than the grace period, is never usable.
    #[test]
    fn leaving_and_removed_servers_are_not_usable(steps in prop::collection::vec(step(), 1..60)) {
        let mut now = start();
        let mut directory = ServerDirectory::new(DirectorySettings::default());
        let mut listed: std::collections::BTreeMap<u16, Option<bool>> = Default::default();
        let mut removed: std::collections::BTreeMap<u16, std::time::Instant> = Default::default();
        let mut is_unreachable = false;
        let mut recovered_at = None;
        for step in steps {
            match step {
                Step::Upsert(number, is_leaving) => {
                    directory.upsert(ListedServer { is_leaving, ..server(number, None) });
                    listed.insert(number, Some(is_leaving));
                    removed.remove(&number);
                }
                Step::Remove(number) => {
                    directory.remove(now, &server(number, None).name);
                    listed.insert(number, None);
                    removed.entry(number).or_insert(now);
                }
                Step::RegistryUnreachable => { directory.mark_registry_unreachable(); is_unreachable = true; }
                Step::RegistryAnswered => {
                    directory.mark_registry_reachable(now);
                    if std::mem::take(&mut is_unreachable) { recovered_at = Some(now); }
                }
                Step::Wait(time) => now += milliseconds(time),
            }
            directory.remove_missing(now);
            let usable_names = usable(&directory, now);
            for (number, state) in &listed {
                let name = server(*number, None).name.to_string();
                match state {
                    Some(true) => prop_assert!(!usable_names.contains(&name)),
                    Some(false) => prop_assert!(usable_names.contains(&name)),
                    None => {
                        let has_expired = now >= removed[number] + Duration::from_secs(2);
                        let was_reachable = !is_unreachable
                            && recovered_at.is_none_or(|at| at + Duration::from_secs(2) <= removed[number]);
                        prop_assert!(!(has_expired || was_reachable) || !usable_names.contains(&name));
                    }
                }
            }
        }
    }
}

fn at_address(number: u16, port: u16, started_at_ms: Option<u64>) -> ListedServer {
    let mut listed_server = server(number, None);
    listed_server.address.set_port(port);
    listed_server.started_at_ms = started_at_ms;
    listed_server
}

/// A crashed server remains listed for some seconds, alongside the one that has started at its
/// address.
#[test_case(Some(100), Some(200), &[2]; "the later start owns the address")]
#[test_case(Some(200), Some(100), &[1]; "in either order")]
#[test_case(None, None, &[1, 2]; "unknown start times supersede nothing")]
fn only_the_latest_server_at_an_address_is_usable(
    first: Option<u64>,
    second: Option<u64>,
    expected: &[u16],
) {
    let mut directory = ServerDirectory::new(DirectorySettings::default());
    directory.apply_list(start(), vec![at_address(1, 4_500, first)]);
    directory.upsert(at_address(2, 4_500, second));
    let names = |numbers: &[u16]| -> Vec<String> {
        let names = numbers
            .iter()
            .map(|number| server(*number, None).name.to_string());
        names.collect()
    };
    assert_eq!(usable(&directory, start()), names(expected));
    directory.remove(start(), &server(2, None).name);
    assert_eq!(
        usable(&directory, start()),
        names(&[1]),
        "the remaining server at the address is usable"
    );
}

/// Where a server was last seen before the registry came back from a copy that lists it as ready.
#[derive(Clone, Copy, Debug)]
enum LastNews {
    Leaving,
    Removed,
    StartedAgain,
}

#[test_case(LastNews::Leaving)]
#[test_case(LastNews::Removed)]
#[test_case(LastNews::StartedAgain)]
fn an_older_copy_of_the_registry_does_not_bring_a_server_back(news: LastNews) {
    let now = start();
    let old_record = server(1, None);
    let mut directory = directory_of(vec![old_record.clone(), server(2, None)]);
    match news {
        LastNews::Leaving => directory.upsert(ListedServer {
            is_leaving: true,
            ..old_record.clone()
        }),
        LastNews::Removed => directory.remove(now, &old_record.name),
        LastNews::StartedAgain => directory.upsert(at_address(1, 4_700, Some(50))),
    }
    directory.mark_registry_restored(now);
    directory.apply_list(now, vec![old_record, server(2, None)]);
    let current = directory.get(&"server-1".into());
    assert!(current.is_none_or(|current| current.address.port() != 4_001 || current.is_leaving));
    let expected: &[&str] = match news {
        LastNews::Leaving | LastNews::Removed => &["server-2"],
        // The new start may register again within the grace period.
        LastNews::StartedAgain => &["server-1", "server-2"],
    };
    assert_eq!(usable(&directory, now), expected);
    directory.remove_missing(now + Duration::from_secs(3));
    assert_eq!(
        usable(&directory, now + Duration::from_secs(3)),
        ["server-2"]
    );
}

#[test]
fn a_server_still_listed_long_after_a_restore_is_used() {
    let now = start();
    let mut directory = directory_of(vec![server(1, None)]);
    directory.remove(now, &"server-1".into());
    directory.mark_registry_restored(now);
    directory.apply_list(now, vec![server(1, None)]);
    assert!(usable(&directory, now).is_empty());
    let later = now + DirectorySettings::default().outdated_hold;
    directory.remove_missing(later);
    assert_eq!(usable(&directory, later), ["server-1"]);
}

#[test]
fn a_server_that_registers_after_a_restore_is_used_at_once() {
    let now = start();
    let mut directory = directory_of(vec![server(1, None)]);
    directory.remove(now, &"server-1".into());
    directory.mark_registry_restored(now);
    directory.apply_list(now, vec![server(1, None)]);
    directory.upsert(server(1, None));
    assert_eq!(usable(&directory, now), ["server-1"]);
}

#[test]
fn a_server_missing_in_a_copy_is_usable_until_it_registers_again() {
    let now = start();
    let mut directory = directory_of(vec![server(1, None)]);
    directory.mark_registry_restored(now);
    directory.apply_list(now, Vec::new());
    assert_eq!(usable(&directory, now), ["server-1"]);
}

/// What is heard of a server after it has said that it is leaving.
#[derive(Clone, Copy, Debug)]
enum LaterNews {
    List,
    Record,
    RemovedAndListed,
    Restored,
}

#[test_case(LaterNews::List)]
#[test_case(LaterNews::Record)]
#[test_case(LaterNews::RemovedAndListed)]
#[test_case(LaterNews::Restored)]
fn nothing_but_a_later_start_brings_back_a_server_that_says_it_is_leaving(news: LaterNews) {
    let now = start();
    let record = server(1, None);
    let mut directory = directory_of(vec![record.clone(), server(2, None)]);
    assert!(directory.record_leaving(&record.name, record.started_at_ms));
    assert!(
        !directory.record_leaving(&record.name, record.started_at_ms),
        "no news"
    );
    assert_eq!(usable(&directory, now), ["server-2"]);
    match news {
        LaterNews::List => directory.apply_list(now, vec![record.clone(), server(2, None)]),
        LaterNews::Record => directory.upsert(record.clone()),
        LaterNews::RemovedAndListed => {
            directory.remove(now, &record.name);
            directory.upsert(record.clone());
        }
        LaterNews::Restored => {
            directory.mark_registry_restored(now);
            directory.apply_list(now, vec![record.clone(), server(2, None)]);
            directory.remove_missing(now + Duration::from_secs(60));
        }
    }
    assert_eq!(usable(&directory, now), ["server-2"]);
    directory.upsert(ListedServer {
        started_at_ms: Some(99),
        ..record
    });
    assert_eq!(usable(&directory, now), ["server-1", "server-2"]);
}

#[test]
fn an_answer_of_an_earlier_start_says_nothing_of_the_current_one() {
    let mut directory = directory_of(vec![server(1, None)]);
    directory.upsert(at_address(1, 4_001, Some(50)));
    assert!(!directory.record_leaving(&"server-1".into(), Some(1)));
    assert_eq!(usable(&directory, start()), ["server-1"]);
}
