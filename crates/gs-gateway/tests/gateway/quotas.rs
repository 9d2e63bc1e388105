//! Quotas of workspaces, held by several entries together.

use std::time::{Duration, Instant};

use gs_control::forwarding::{CostUnit, KeyDigest, QuotaSpec, WorkspaceSpec, WorkspaceTable};
use gs_gateway::Gateway;

use super::support::{
    Deployment, RawClient, Route, Script, StubServer, plain_server, request, wait_until,
};

/// Rate and burst of the workspace, in tokens.
const QUOTA: f64 = 1_500.0;

/// Tokens of a request of these tests.
const COST: f64 = 150.0;

/// How long clients send requests.
const SENDING_TIME: Duration = Duration::from_millis(3_000);

const KEY_HEADERS: &str = "t-key: key-a\r\nconnection: close\r\n";

/// Applies a configuration in which the key `key-a` belongs to a workspace with a quota.
fn apply_quota(gateway: &Gateway, rate: f64) {
    let mut workspaces = WorkspaceTable::new();
    let workspace = WorkspaceSpec {
        name: "huka".to_owned(),
        rank: None,
        unit: CostUnit::Tokens { plain: 1 },
        quota: Some(QuotaSpec { rate, burst: rate }),
    };
    workspaces.insert(workspace, [KeyDigest::new(b"key-a")]);
    let mut table = (*gateway.table().expect("a table")).clone();
    table.version += 1;
    table.workspaces = Some(workspaces);
    gateway.apply_table(table);
}

/// Sends requests through an entry until `until`; returns how many were served and refused.
async fn send_requests(entry: &Deployment, until: Instant) -> (usize, usize) {
    let (mut served, mut refused) = (0, 0);
    while Instant::now() < until {
        let mut client = RawClient::connect(entry.address).await;
        client.send(&request(Route::Safe, "r1", KEY_HEADERS)).await;
        let answer = client.read_all().await;
        match answer.status() {
            200 => served += 1,
            429 => {
                assert!(answer.0.contains("t-retry: "), "{}", answer.0);
                refused += 1;
            }
            status => panic!("status {status}: {}", answer.0),
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    (served, refused)
}

/// Guards against a quota that each entry grants for itself, and against cost that is counted without
/// reports between the entries.
#[actix_rt::test]
async fn three_entries_together_keep_the_quota_of_a_workspace() {
    let server = StubServer::start(|_, _| Script::complete(200, "", "whole")).await;
    let listed = vec![plain_server("s0", server.address)];
    let mut entries = Vec::new();
    for name in ["entry-1", "entry-2", "entry-3"] {
        entries.push(Deployment::start_named(name, listed.clone()).await);
    }
    for entry in &entries {
        apply_quota(&entry.gateway, QUOTA);
    }
    Deployment::join(&entries).await;
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let started = Instant::now();
    let until = started + SENDING_TIME;
    let [first, second, third] = &entries[..] else {
        panic!("three entries");
    };
    let (first, second, third) = tokio::join!(
        send_requests(first, until),
        send_requests(second, until),
        send_requests(third, until),
    );
    let served = first.0 + second.0 + third.0;
    let refused = first.1 + second.1 + third.1;
    let elapsed = started.elapsed().as_secs_f64();
    let permitted = (QUOTA * elapsed + QUOTA) * 1.1 + 0.1 * 8.0 * QUOTA;
    let cost = served as f64 * COST;
    assert!(cost <= permitted, "{cost} tokens, {permitted} permitted");
    assert!(
        cost >= 0.5 * QUOTA * elapsed,
        "{cost} tokens in {elapsed} s"
    );
    assert!(refused > served, "{refused} refused, {served} served");
    assert_eq!(served, server.requests().len(), "no refused request ran");
}

/// Guards against a quota that is used up by requests that no server has run.
#[actix_rt::test]
async fn requests_that_have_not_run_cost_nothing() {
    let entry = Deployment::start(Vec::new()).await;
    apply_quota(&entry.gateway, 2.0 * COST);
    Deployment::join(std::slice::from_ref(&entry)).await;
    // An entry that starts spends nothing for a second, and its bucket is empty.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    for _ in 0..30 {
        let mut client = RawClient::connect(entry.address).await;
        client.send(&request(Route::Safe, "r1", KEY_HEADERS)).await;
        let answer = client.read_all().await;
        assert_eq!(answer.status(), 503, "{}", answer.0);
    }
}

/// Guards against memory and time for bodies of requests that are refused anyway.
#[actix_rt::test]
async fn a_refusal_comes_before_the_body() {
    let entry = Deployment::start(Vec::new()).await;
    apply_quota(&entry.gateway, 0.001);
    let mut client = RawClient::connect(entry.address).await;
    let whole = request(Route::Safe, "r1", KEY_HEADERS);
    let (head, _) = whole.split_once("body").expect("a body");
    client.send(head).await;
    let answer = client.read_until("t-retry: ").await;
    assert!(answer.starts_with("HTTP/1.1 429"), "{answer}");
    wait_until(|| entry.gateway.is_idle()).await;
}
