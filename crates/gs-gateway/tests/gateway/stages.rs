//! Orders that change engines' stages: at most one per engine, sent only by the entry that holds the claim,
//! and never if the result of the claim is unknown or late.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use gs_control::forwarding::{ListedServer, StageChange};
use gs_gateway::{ClaimStore, run_stage_balancer};
use test_case::test_case;

use super::support::{
    Deployment, Route, Script, StubServer, decode_server, header, prefill_server, wait_until,
};

/// Result of a claim.
#[derive(Clone, Copy)]
enum Claim {
    Granted,
    Taken,
    /// The store did not answer; the claim may have been granted.
    Unanswered,
    /// Granted, but only after the decision has become too old, as for an entry that was paused meanwhile.
    GrantedLate,
}

type Claims = Rc<RefCell<Vec<StageChange>>>;

struct StubClaims {
    claim: Claim,
    claims: Claims,
}

impl ClaimStore for StubClaims {
    type Error = &'static str;

    async fn claim(&self, order: &StageChange) -> Result<Option<u64>, &'static str> {
        self.claims.borrow_mut().push(order.clone());
        match self.claim {
            Claim::Granted => Ok(Some(41)),
            Claim::Taken => Ok(None),
            Claim::Unanswered => Err("no answer"),
            Claim::GrantedLate => {
                tokio::time::sleep(Duration::from_millis(1_100)).await;
                Ok(Some(41))
            }
        }
    }
}

const PREFILLS: usize = 8;

/// Starts the balancer with eight prefill engines and one decode engine, so that most engines have to change.
async fn start_balancer(claim: Claim) -> (StubServer, Claims, Rc<Deployment>) {
    let engine = StubServer::start(|number, request| match request.split(' ').nth(1) {
        Some("/stage") => Script::complete(202, "", ""),
        _ if header(request, "t-stage").as_deref() == Some("prefill") => {
            Script::complete(200, "", &format!("handle h{number}"))
        }
        _ => Script::Chunks(
            vec![
                Script::chunked_head(),
                Script::chunk("id: 0\ndata: event 0\n\n"),
                "0\r\n\r\n".to_owned(),
            ],
            Duration::from_millis(1),
        ),
    })
    .await;
    let mut listed: Vec<ListedServer> = (0..PREFILLS)
        .map(|number| prefill_server(&format!("p{number}"), engine.address))
        .collect();
    listed.push(decode_server("d0", engine.address));
    let deployment = Rc::new(Deployment::start(listed).await);
    let claims = Claims::default();
    let claim_store = StubClaims {
        claim,
        claims: Rc::clone(&claims),
    };
    actix_rt::spawn(run_stage_balancer(
        Rc::clone(&deployment.gateway),
        claim_store,
    ));
    for number in 0..4 {
        let answer = deployment
            .send_request(Route::Stream, &format!("r{number}"))
            .await;
        assert_eq!(answer.status(), 200, "{answer:?}");
    }
    (engine, claims, deployment)
}

fn orders(engine: &StubServer) -> Vec<String> {
    let requests = engine.requests();
    let orders = requests
        .iter()
        .filter(|text| text.starts_with("POST /stage "));
    orders
        .filter_map(|text| {
            Some(format!(
                "{} {}",
                header(text, "t-server")?,
                header(text, "t-order")?
            ))
        })
        .collect()
}

#[actix_rt::test]
async fn each_engine_is_ordered_once() {
    let (engine, claims, _deployment) = start_balancer(Claim::Granted).await;
    wait_until(|| !orders(&engine).is_empty()).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let orders = orders(&engine);
    let mut servers: Vec<&str> = orders
        .iter()
        .filter_map(|text| text.split(' ').next())
        .collect();
    servers.sort_unstable();
    servers.dedup();
    assert_eq!(
        servers.len(),
        orders.len(),
        "an engine was ordered twice: {orders:?}"
    );
    assert!(
        orders.len() < PREFILLS,
        "one prefill engine must remain: {orders:?}"
    );
    assert!(orders[0].ends_with("Decode entry-1 41"), "{orders:?}");
    assert_eq!(claims.borrow().len(), orders.len());
}

#[test_case(Claim::Taken; "claimed by another entry")]
#[test_case(Claim::Unanswered; "the claim may have been granted")]
#[test_case(Claim::GrantedLate; "the decision is too old")]
#[actix_rt::test]
async fn no_engine_is_ordered_without_a_timely_claim(claim: Claim) {
    let (engine, claims, _deployment) = start_balancer(claim).await;
    wait_until(|| !claims.borrow().is_empty()).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(orders(&engine), Vec::<String>::new());
    let mut servers: Vec<String> = claims
        .borrow()
        .iter()
        .map(|order| order.server.to_string())
        .collect();
    servers.sort_unstable();
    let count = servers.len();
    servers.dedup();
    assert_eq!(servers.len(), count, "a server was claimed twice");
}

/// A server whose claim failed is not ordered again by this entry. Without the pause, an outage of the store
/// would use up all servers.
#[actix_rt::test]
async fn claims_pause_after_a_failed_claim() {
    let (_engine, claims, _deployment) = start_balancer(Claim::Unanswered).await;
    wait_until(|| !claims.borrow().is_empty()).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(claims.borrow().len(), 1);
}
