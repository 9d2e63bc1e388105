//! Tests of the load tool against a minimal entry that answers correctly or with a given fault.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::{App, HttpResponse, HttpServer, web};
use gs_protocol::caller::CompletionRequest;
use gs_protocol::ids::RequestId;
use gs_protocol::prefix::derive_seed;
use gs_protocol::refusal::{ProblemBody, RefusalReason, RequestOutcome};
use gs_standin::engine::token_text;
use gs_standin::load::{
    ClassMix, FloodSpan, LoadMix, ServiceMethod, ServiceMix, SharedPrefix, TokenRange, TokenSpread,
    mix_options, plan_arrivals, run_mix,
};
use serde_json::{Value, json};
use support::{parse, start};
use test_case::test_case;

fn class() -> ClassMix {
    ClassMix {
        name: "lookups".to_owned(),
        rank: "urgent".to_owned(),
        token: "secret".to_owned(),
        model: "base".to_owned(),
        rate_per_s: 40.0,
        prompt_tokens: TokenRange {
            min: 20,
            max: 200,
            spread: TokenSpread::Log,
        },
        output_tokens: TokenRange::exactly(8),
        shared_prefix: SharedPrefix {
            share: 0.5,
            tokens: 16,
            variants: 2,
        },
        first_token_ms: 60_000,
        between_tokens_ms: 60_000,
        cancel_share: 0.0,
        floods: Vec::new(),
    }
}

/// Completes a prompt, or fails as `behaviour` names: refused, wrong, cut or broken.
async fn complete(
    behaviour: web::Data<String>,
    body: web::Json<CompletionRequest>,
) -> HttpResponse {
    if behaviour.as_str() == "refused" {
        let problem = ProblemBody::new(
            RequestId::generate(),
            RefusalReason::TooLate,
            RequestOutcome::NotRun,
            "the target cannot be met",
        );
        return HttpResponse::ServiceUnavailable().json(problem);
    }
    let seed = derive_seed(&body.prompt) ^ u64::from(behaviour.as_str() == "wrong");
    let mut text = String::new();
    for index in 0..body.max_tokens.expect("tokens") {
        let choice = json!({ "index": 0, "text": token_text(seed, index) });
        text += &format!("data: {}\n\n", json!({ "choices": [choice] }));
    }
    match behaviour.as_str() {
        "cut" => {}
        "broken" => text += "event: error\ndata: {\"reason\":\"server-failed\"}\n\n",
        _ => text += "data: [DONE]\n\n",
    }
    HttpResponse::Ok().body(text)
}

async fn echo(body: web::Json<Value>) -> HttpResponse {
    HttpResponse::Ok().json(json!({ "path": "/", "echo": *body }))
}

fn start_entry(behaviour: &str) -> SocketAddr {
    let behaviour = web::Data::new(behaviour.to_owned());
    start(async move || {
        let server = HttpServer::new(move || {
            App::new()
                .app_data(behaviour.clone())
                .route("/v1/completions", web::post().to(complete))
                .route("/services/desk", web::post().to(echo))
        });
        let server = server.workers(1).bind(("127.0.0.1", 0)).expect("bind");
        let address = server.addrs()[0];
        (address, async { server.run().await.map_err(|_| ()) })
    })
}

#[test_case("whole")]
#[test_case("wrong")]
#[test_case("cut")]
#[test_case("broken")]
#[test_case("refused")]
fn answers_are_classified(behaviour: &str) {
    let entry = start_entry(behaviour).to_string();
    let options = parse(mix_options(), &["--entry", &entry, "--seconds", "1"]);
    let service = ServiceMix {
        name: "desk".to_owned(),
        token: "secret".to_owned(),
        method: ServiceMethod::Post,
        path: "/services/desk".to_owned(),
        rate_per_s: 10.0,
        keyed: true,
        tries: 2,
        answer_ms: 60_000,
        floods: Vec::new(),
    };
    let mut class = class();
    class.floods.push(FloodSpan {
        from_s: 0.0,
        to_s: 5.0,
        factor: 1.0,
    });
    let mix = LoadMix {
        classes: vec![class],
        services: vec![service],
    };
    let report = run_mix(&options, mix).expect("report");
    let class = &report.classes[0];
    assert!(class.sent > 0);
    assert_eq!(class.ended(behaviour), class.sent, "{report}");
    assert_eq!(class.good > 0, behaviour == "whole");
    let flood = class.flood.expect("flood");
    assert_eq!((flood.sent, flood.good), (class.sent, class.good));
    assert_eq!(flood.goodput_per_s, class.goodput_per_s);
    assert_eq!(
        class.refused.contains_key("too-late"),
        behaviour == "refused"
    );
    assert_eq!(report.services[0].done, report.services[0].sent);
}

#[test]
fn arrivals_depend_on_seed_and_floods() {
    let mut flooded = class();
    flooded.floods.push(FloodSpan {
        from_s: 10.0,
        to_s: 20.0,
        factor: 5.0,
    });
    let mix = LoadMix {
        classes: vec![flooded],
        services: Vec::new(),
    };
    let length = Duration::from_secs(40);
    let arrivals = plan_arrivals(&mix, 7, length);
    assert_eq!(arrivals, plan_arrivals(&mix, 7, length));
    assert_ne!(arrivals, plan_arrivals(&mix, 8, length));
    assert!(arrivals.is_sorted_by_key(|arrival| arrival.at));
    let flood = Duration::from_secs(10)..Duration::from_secs(20);
    let inside = arrivals
        .iter()
        .filter(|arrival| flood.contains(&arrival.at));
    let (inside, total) = (inside.count(), arrivals.len());
    // Expected: 2000 arrivals in the flood and 1200 outside it, with standard deviations of about
    // 45 and 35.
    assert!((1800..2200).contains(&inside), "{inside}");
    assert!(
        (1050..1350).contains(&(total - inside)),
        "{}",
        total - inside
    );
}
