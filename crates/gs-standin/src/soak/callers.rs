//! Callers that send one request after the other.

use std::rc::Rc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::completion::CompletionCall;
use super::keyed::KeyedCall;
use super::shared::SoakShared;

/// Between two requests of a caller, in milliseconds.
const THINK_MS: std::ops::Range<u64> = 10..200;

/// Shares of completions and of non-idempotent calls, in percent; the others are idempotent calls.
const COMPLETION_PERCENT: u32 = 65;
const CHARGE_PERCENT: u32 = 25;

/// Sends requests until the soak ends.
pub async fn run_caller(shared: Rc<SoakShared>, seed: u64, number: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed.wrapping_mul(1_000_003).wrapping_add(number));
    let label = format!("caller {number}");
    while !shared.ended.get() {
        let pause = Duration::from_millis(random.gen_range(THINK_MS));
        tokio::time::sleep(pause).await;
        let drawn = random.gen_range(0..100);
        if drawn < COMPLETION_PERCENT {
            complete(&shared, &mut random, &label).await;
        } else if drawn < COMPLETION_PERCENT + CHARGE_PERCENT {
            let call = KeyedCall::draw_charge(&mut random);
            call.run(&shared, &mut random).await;
        } else {
            let call = KeyedCall::draw_ticket(&mut random);
            call.run(&shared, &mut random).await;
        }
    }
}

async fn complete(shared: &SoakShared, random: &mut Pcg64Mcg, label: &str) {
    let call = CompletionCall::draw(random, label);
    let target = shared.board.borrow().draw(random, None);
    let Some(target) = target else { return };
    let end = call.send(shared, target).await;
    shared
        .journal
        .borrow_mut()
        .count_request(call.kind(), end.label());
}
