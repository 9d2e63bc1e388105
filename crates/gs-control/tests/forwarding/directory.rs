//! The servers that may get work, through changes and outages of the registry.

use std::time::Duration;

use gs_control::forwarding::{DirectorySettings, ServerDirectory, ServerEntry, ServerStage};
use proptest::prelude::*;
use test_case::test_case;

use super::support::{milliseconds, server, start};

fn usable(directory: &ServerDirectory, now: std::time::Instant) -> Vec<String> {
    let service = "notes".into();
    let entries = directory.usable_servers(now, &service, None);
    entries.map(|entry| entry.name.to_string()).collect()
}

fn directory_of(entries: Vec<ServerEntry>) -> ServerDirectory {
    let mut directory = ServerDirectory::new(DirectorySettings::default());
    directory.apply_list(start(), entries);
    directory
}

#[test]
fn a_leaving_server_gets_nothing_new() {
    let mut directory = directory_of(vec![server(1, None), server(2, None)]);
    let leaving = ServerEntry {
        is_leaving: true,
        ..server(1, None)
    };
    directory.upsert(leaving);
    assert_eq!(usable(&directory, start()), ["server-2"]);
}

#[test]
fn a_removed_server_is_gone_at_once_while_the_registry_answers() {
    let mut directory = directory_of(vec![server(1, None)]);
    directory.remove(start(), &"server-1".into());
    assert!(usable(&directory, start()).is_empty());
}

#[test_case(1_900, true; "within the grace")]
#[test_case(2_100, false; "after the grace")]
fn a_server_that_is_missing_after_an_outage_may_come_back(after: u64, is_usable: bool) {
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
fn a_server_that_came_back_stays() {
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
#[test_case(ServerEntry { started_at_ms: Some(99), ..server(1, None) }, true; "a later process of the same name")]
fn a_misdirected_server_is_used_again_when_it_is_another_process(
    entry: ServerEntry,
    is_usable: bool,
) {
    let now = start();
    let mut directory = directory_of(vec![server(1, None)]);
    directory.record_misdirected(now, &"server-1".into());
    directory.upsert(entry);
    assert_eq!(!usable(&directory, now).is_empty(), is_usable);
}

#[test]
fn stages_are_kept_apart() {
    let stages = [Some(ServerStage::Decode), Some(ServerStage::Prefill)];
    let entries = stages
        .iter()
        .zip(1..)
        .map(|(stage, number)| server(number, *stage));
    let directory = directory_of(entries.collect());
    let service = "notes".into();
    let decode = directory.usable_servers(start(), &service, Some(ServerStage::Decode));
    assert_eq!(decode.count(), 1);
    assert!(usable(&directory, start()).is_empty());
}

#[derive(Clone, Debug)]
enum Step {
    Put(u16, bool),
    Remove(u16),
    Lost,
    Answered,
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1..4u16, any::<bool>()).prop_map(|(server, leaving)| Step::Put(server, leaving)),
        3 => (1..4u16).prop_map(Step::Remove),
        1 => Just(Step::Lost),
        2 => Just(Step::Answered),
        3 => (0..3_000u64).prop_map(Step::Pass),
    ]
}

proptest! {
    /// A server that was said to leave, or was removed for longer than the grace, is never usable.
    #[test]
    fn what_has_left_gets_nothing(steps in prop::collection::vec(step(), 1..60)) {
        let mut now = start();
        let mut directory = ServerDirectory::new(DirectorySettings::default());
        let mut said: std::collections::BTreeMap<u16, Option<bool>> = Default::default();
        let mut removed: std::collections::BTreeMap<u16, std::time::Instant> = Default::default();
        let mut is_lost = false;
        let mut returned = None;
        for step in steps {
            match step {
                Step::Put(number, is_leaving) => {
                    directory.upsert(ServerEntry { is_leaving, ..server(number, None) });
                    said.insert(number, Some(is_leaving));
                    removed.remove(&number);
                }
                Step::Remove(number) => {
                    directory.remove(now, &server(number, None).name);
                    said.insert(number, None);
                    removed.entry(number).or_insert(now);
                }
                Step::Lost => { directory.mark_registry_unreachable(); is_lost = true; }
                Step::Answered => {
                    directory.mark_registry_reachable(now);
                    if std::mem::take(&mut is_lost) { returned = Some(now); }
                }
                Step::Pass(time) => now += milliseconds(time),
            }
            directory.remove_missing(now);
            let used = usable(&directory, now);
            for (number, state) in &said {
                let name = server(*number, None).name.to_string();
                match state {
                    Some(true) => prop_assert!(!used.contains(&name)),
                    Some(false) => prop_assert!(used.contains(&name)),
                    None => {
                        let is_over = now >= removed[number] + Duration::from_secs(2);
                        let was_calm = !is_lost
                            && returned.is_none_or(|at| at + Duration::from_secs(2) <= removed[number]);
                        prop_assert!(!(is_over || was_calm) || !used.contains(&name));
                    }
                }
            }
        }
    }
}

fn at_address(number: u16, port: u16, started_at_ms: Option<u64>) -> ServerEntry {
    let mut entry = server(number, None);
    entry.address.set_port(port);
    entry.started_at_ms = started_at_ms;
    entry
}

/// A server that crashed is named for some seconds yet, beside the one that has started at its address.
#[test_case(Some(100), Some(200), &[2]; "the later start has the address")]
#[test_case(Some(200), Some(100), &[1]; "whatever their order")]
#[test_case(None, None, &[1, 2]; "starts that are not known tell nothing")]
fn the_later_start_at_an_address_is_used(
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
        "named alone, it is used"
    );
}
