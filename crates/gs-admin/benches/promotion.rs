//! Time of a promotion, beside the time of one read of the platform's service.

#[allow(dead_code)]
#[path = "../tests/processes/support.rs"]
mod support;

use std::time::{Duration, Instant};

use actix_web::http::Method;
use gs_platform::Platform;
use gs_protocol::objects::head_key;

use support::{ALICE, Admin, Bench, document, ticket};

const ROUNDS: u64 = 300;

struct Measured {
    reads: Vec<Duration>,
    tries: Vec<Duration>,
    promotions: Vec<Duration>,
}

fn main() {
    actix_rt::System::new().block_on(async {
        let bench = Bench::start();
        let admin = bench.start_admin();
        let mut measured = measure(&bench, &admin).await;
        println!("{ROUNDS} rounds       median_us    p99_us");
        print_row("platform read", &mut measured.reads);
        print_row("try", &mut measured.tries);
        print_row("promotion", &mut measured.promotions);
        let metrics = admin.send(Method::GET, "/metrics", "", Vec::new()).await;
        let metrics = String::from_utf8(metrics.body).expect("text");
        for line in metrics
            .lines()
            .filter(|line| line.contains("operation_calls"))
        {
            println!("{line}");
        }
    });
}

async fn measure(bench: &Bench, admin: &Admin) -> Measured {
    let platform = bench.platform();
    let mut measured = Measured {
        reads: Vec::new(),
        tries: Vec::new(),
        promotions: Vec::new(),
    };
    for round in 0..ROUNDS {
        let tried = document(&format!("caller-{round}"));
        let (even, odd) = (u128::from(round) * 2 + 2, u128::from(round) * 2 + 3);
        let started = Instant::now();
        platform.read(&head_key("trial")).await.expect("read");
        measured.reads.push(started.elapsed());
        let started = Instant::now();
        let answer = admin.try_document(ALICE, ticket(even, round), &tried).await;
        measured.tries.push(started.elapsed());
        answer.accepted();
        let started = Instant::now();
        let answer = admin.promote(ALICE, ticket(odd, round), &tried).await;
        measured.promotions.push(started.elapsed());
        answer.accepted();
        // Stays under the service's rates.
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    measured
}

fn print_row(name: &str, times: &mut [Duration]) {
    times.sort_unstable();
    let at = |percent: usize| times[times.len() * percent / 100].as_micros();
    println!("{name:16} {:>12} {:>9}", at(50), at(99));
}
