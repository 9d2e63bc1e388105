//! What peers tell of servers in trouble.

use std::time::Duration;

use gs_control::forwarding::{
    DirectorySettings, IssueTable, LoadSettings, LoadTracker, ServerDirectory, ServerIssue,
};
use gs_protocol::ids::EntryName;
use test_case::test_case;

use super::support::{server, start};

const LIFETIME: Duration = Duration::from_secs(3);

fn peer(number: u16) -> EntryName {
    EntryName::new(format!("entry-{number}"))
}

fn told(peers: u16, trouble: ServerIssue) -> IssueTable {
    let mut book = IssueTable::default();
    for number in 1..=peers {
        book.apply_report(
            start(),
            &peer(number),
            vec![(server(1, None).name, trouble)],
        );
    }
    book
}

#[test_case(1, false; "one peer may be cut off itself")]
#[test_case(2, true)]
fn a_server_that_peers_cannot_reach_is_avoided(peers: u16, is_unavailable: bool) {
    let book = told(peers, ServerIssue::Unreachable);
    assert_eq!(book.rules_out(&server(1, None)), is_unavailable);
    assert!(!book.rules_out(&server(2, None)));
}

#[test_case(Some(1), true; "the start that was meant")]
#[test_case(Some(2), false; "a later start under the same name")]
fn a_server_whose_address_has_another_is_avoided(started_at_ms: Option<u64>, is_unavailable: bool) {
    let book = told(1, ServerIssue::Misdirected(Some(1)));
    let mut entry = server(1, None);
    entry.started_at_ms = started_at_ms;
    assert_eq!(book.rules_out(&entry), is_unavailable);
}

#[test]
fn a_peer_that_reaches_the_server_again_says_so() {
    let mut book = told(2, ServerIssue::Unreachable);
    book.apply_report(start(), &peer(2), Vec::new());
    assert!(!book.rules_out(&server(1, None)));
}

#[test]
fn a_silent_peers_report_is_forgotten() {
    let mut book = told(2, ServerIssue::Unreachable);
    book.expire_reports(start() + LIFETIME * 2, LIFETIME);
    assert!(!book.rules_out(&server(1, None)));
}

/// Reports are of what an entry has met itself, so that they end when it does.
#[test]
fn what_peers_told_is_not_told_on() {
    let mut book = LoadTracker::new(LoadSettings::default());
    let report = vec![(server(1, None).name, ServerIssue::Unreachable)];
    book.apply_peer_issues(start(), &peer(1), report.clone());
    book.apply_peer_issues(start(), &peer(2), report.clone());
    assert!(book.is_unavailable(start(), &server(1, None)));
    assert!(book.own_issues(start()).is_empty());
    book.record_unreachable(start(), &server(1, None).name);
    assert_eq!(book.own_issues(start()), report);
}

#[test]
fn a_misdirected_server_is_told_with_its_start() {
    let mut directory = ServerDirectory::new(DirectorySettings::default());
    directory.upsert(server(7, None));
    assert!(directory.own_issues(start()).is_empty());
    directory.record_misdirected(start(), &server(7, None).name);
    let expected = vec![(server(7, None).name, ServerIssue::Misdirected(Some(7)))];
    assert_eq!(directory.own_issues(start()), expected);
}
