//! Orders to engines: once for each engine, by whoever has claimed it, and never after a doubt.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use gs_control::forwarding::{ListedServer, StageChange};
use gs_gateway::{OrderDesk, run_stages};
use test_case::test_case;

use super::support::{
    Deployment, Route, Script, StubServer, decode_entry, header, prefill_entry, wait_until,
};

/// How a claim goes.
#[derive(Clone, Copy)]
enum Claim {
    Granted,
    Taken,
    /// No answer came: it may have been granted.
    Unanswered,
    /// Granted to an entry that was paused meanwhile.
    GrantedLate,
}

type Claims = Rc<RefCell<Vec<StageChange>>>;

struct StubDesk {
    claim: Claim,
    claims: Claims,
}

impl OrderDesk for StubDesk {
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

/// Eight prefill engines before one decode engine, of which most are to change.
async fn play(claim: Claim) -> (StubServer, Claims, Rc<Deployment>) {
    let engine = StubServer::start(|number, request| match request.split(' ').nth(1) {
        Some("/stage") => Script::whole(202, "", ""),
        _ if header(request, "t-stage").as_deref() == Some("prefill") => {
            Script::whole(200, "", &format!("handle h{number}"))
        }
        _ => Script::Pieces(
            vec![
                Script::chunked_head(),
                Script::chunk("id: 0\ndata: event 0\n\n"),
                "0\r\n\r\n".to_owned(),
            ],
            Duration::from_millis(1),
        ),
    })
    .await;
    let mut entries: Vec<ListedServer> = (0..PREFILLS)
        .map(|number| prefill_entry(&format!("p{number}"), engine.address))
        .collect();
    entries.push(decode_entry("d0", engine.address));
    let deployment = Rc::new(Deployment::start(entries).await);
    let claims = Claims::default();
    let desk = StubDesk {
        claim,
        claims: Rc::clone(&claims),
    };
    actix_rt::spawn(run_stages(Rc::clone(&deployment.gateway), desk));
    for number in 0..4 {
        let answer = deployment.ask(Route::Stream, &format!("r{number}")).await;
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
    let (engine, claims, _deployment) = play(Claim::Granted).await;
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
        "one prefill engine stays: {orders:?}"
    );
    assert!(orders[0].ends_with("Decode entry-1 41"), "{orders:?}");
    assert_eq!(claims.borrow().len(), orders.len());
}

#[test_case(Claim::Taken; "another entry has it")]
#[test_case(Claim::Unanswered; "the claim may have been granted")]
#[test_case(Claim::GrantedLate; "the decision is old")]
#[actix_rt::test]
async fn no_engine_is_ordered_without_a_timely_claim(claim: Claim) {
    let (engine, claims, _deployment) = play(claim).await;
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
    assert_eq!(servers.len(), count, "no server is claimed twice");
}

/// Each claim that fails leaves a server that this entry does not order any more, so an outage of the store must
/// not use them all up.
#[actix_rt::test]
async fn claims_pause_after_one_that_failed() {
    let (_engine, claims, _deployment) = play(Claim::Unanswered).await;
    wait_until(|| !claims.borrow().is_empty()).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(claims.borrow().len(), 1);
}
