//! Measures the duration of `try` and of a promotion, compared with one read from the platform's service.

#[allow(dead_code)]
#[path = "../tests/processes/support.rs"]
mod support;

use std::time::{Duration, Instant};

use actix_web::http::Method;
use gs_platform::Platform;
use gs_protocol::objects::head_key;

use support::{ALICE, AdminProcess, PlatformFixture, document, operation_key};

/// Number of measurements of each call.
const ROUNDS: u64 = 300;

/// The durations of all rounds.
struct Durations {
    reads: Vec<Duration>,
    tries: Vec<Duration>,
    promotions: Vec<Duration>,
}

fn main() {
    actix_rt::System::new().block_on(async {
        let fixture = PlatformFixture::start();
        let admin = fixture.start_admin();
        let mut durations = measure(&fixture, &admin).await;
        println!("{ROUNDS} rounds       median_us    p99_us");
        print_row("platform read", &mut durations.reads);
        print_row("try", &mut durations.tries);
        print_row("promotion", &mut durations.promotions);
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

async fn measure(fixture: &PlatformFixture, admin: &AdminProcess) -> Durations {
    let platform = fixture.platform();
    let mut durations = Durations {
        reads: Vec::new(),
        tries: Vec::new(),
        promotions: Vec::new(),
    };
    for round in 0..ROUNDS {
        let tried = document(&format!("caller-{round}"));
        let (even, odd) = (u128::from(round) * 2 + 2, u128::from(round) * 2 + 3);
        let started = Instant::now();
        platform.read(&head_key("trial")).await.expect("read");
        durations.reads.push(started.elapsed());
        let started = Instant::now();
        let answer = admin
            .try_document(ALICE, operation_key(even, round), &tried)
            .await;
        durations.tries.push(started.elapsed());
        answer.accepted();
        let started = Instant::now();
        let answer = admin
            .promote(ALICE, operation_key(odd, round), &tried)
            .await;
        durations.promotions.push(started.elapsed());
        answer.accepted();
        // Keeps the rate of calls below the limits of the platform's service.
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    durations
}

/// Prints the median and the 99th percentile.
fn print_row(name: &str, times: &mut [Duration]) {
    times.sort_unstable();
    let percentile = |percent: usize| times[times.len() * percent / 100].as_micros();
    println!("{name:16} {:>12} {:>9}", percentile(50), percentile(99));
}
