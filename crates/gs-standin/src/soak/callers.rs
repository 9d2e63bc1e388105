//! Closed-loop callers: each sends its next request once the previous one has ended.

use std::rc::Rc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::completion::CompletionCall;
use super::context::SoakContext;
use super::keyed::KeyedCall;

/// Pause between two requests of a caller, in milliseconds.
const THINK_MS: std::ops::Range<u64> = 10..200;

/// Shares of completions and of non-idempotent calls, in percent; the remaining requests are
/// idempotent calls.
const COMPLETION_PERCENT: u32 = 65;
const CHARGE_PERCENT: u32 = 25;

/// Sends requests until the soak ends.
pub async fn run_caller(context: Rc<SoakContext>, seed: u64, number: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed.wrapping_mul(1_000_003).wrapping_add(number));
    let label = format!("caller {number}");
    while !context.stopped.get() {
        let pause = Duration::from_millis(random.gen_range(THINK_MS));
        tokio::time::sleep(pause).await;
        let kind_percent = random.gen_range(0..100);
        if kind_percent < COMPLETION_PERCENT {
            complete(&context, &mut random, &label).await;
        } else if kind_percent < COMPLETION_PERCENT + CHARGE_PERCENT {
            let call = KeyedCall::draw_charge(&mut random);
            call.run(&context, &mut random).await;
        } else {
            let call = KeyedCall::draw_ticket(&mut random);
            call.run(&context, &mut random).await;
        }
    }
}

async fn complete(context: &SoakContext, random: &mut Pcg64Mcg, label: &str) {
    let call = CompletionCall::draw(random, label);
    let target = context.fleet.borrow().choose_entry(random, None);
    let Some(target) = target else { return };
    let outcome = call.send(context, target).await;
    context
        .journal
        .borrow_mut()
        .count_request(call.kind(), outcome.label());
}
