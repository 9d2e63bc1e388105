//! Tests of the server issues that peers report.

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

/// Returns a table in which `peers` peers report an issue of server 1.
fn reported_by(peers: u16, issue: ServerIssue) -> IssueTable {
    let mut table = IssueTable::default();
    for number in 1..=peers {
        table.apply_report(start(), &peer(number), vec![(server(1, None).name, issue)]);
    }
    table
}

#[test_case(1, false; "one peer may be partitioned itself")]
#[test_case(2, true)]
fn a_server_that_several_peers_cannot_reach_is_ruled_out(peers: u16, is_ruled_out: bool) {
    let table = reported_by(peers, ServerIssue::Unreachable);
    assert_eq!(table.rules_out(&server(1, None)), is_ruled_out);
    assert!(!table.rules_out(&server(2, None)));
}

#[test_case(Some(1), true; "the intended process")]
#[test_case(Some(2), false; "a later process under the same name")]
fn a_server_at_whose_address_another_answers_is_ruled_out(
    started_at_ms: Option<u64>,
    is_ruled_out: bool,
) {
    let table = reported_by(1, ServerIssue::Misdirected(Some(1)));
    let mut listed_server = server(1, None);
    listed_server.started_at_ms = started_at_ms;
    assert_eq!(table.rules_out(&listed_server), is_ruled_out);
}

#[test]
fn a_new_report_replaces_the_previous_one() {
    let mut table = reported_by(2, ServerIssue::Unreachable);
    table.apply_report(start(), &peer(2), Vec::new());
    assert!(!table.rules_out(&server(1, None)));
}

#[test]
fn the_report_of_a_silent_peer_expires() {
    let mut table = reported_by(2, ServerIssue::Unreachable);
    table.expire_reports(start() + LIFETIME * 2, LIFETIME);
    assert!(!table.rules_out(&server(1, None)));
}

/// An entry reports only the issues that it found itself. If it forwarded those of its peers,
/// entries would keep each other's reports alive after the issue has ended.
#[test]
fn issues_reported_by_peers_are_not_forwarded() {
    let mut tracker = LoadTracker::new(LoadSettings::default());
    let report = vec![(server(1, None).name, ServerIssue::Unreachable)];
    tracker.apply_peer_issues(start(), &peer(1), report.clone());
    tracker.apply_peer_issues(start(), &peer(2), report.clone());
    assert!(tracker.is_unavailable(start(), &server(1, None)));
    assert!(tracker.own_issues(start()).is_empty());
    tracker.record_unreachable(start(), &server(1, None).name);
    assert_eq!(tracker.own_issues(start()), report);
}

#[test]
fn a_misdirected_server_is_reported_with_its_start_time() {
    let mut directory = ServerDirectory::new(DirectorySettings::default());
    directory.upsert(server(7, None));
    assert!(directory.own_issues(start()).is_empty());
    directory.record_misdirected(start(), &server(7, None).name);
    let expected = vec![(server(7, None).name, ServerIssue::Misdirected(Some(7)))];
    assert_eq!(directory.own_issues(start()), expected);
}
