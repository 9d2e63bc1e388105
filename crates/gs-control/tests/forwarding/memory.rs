//! Projecting the memory of streams.

use gs_control::forwarding::{LengthEstimate, StreamShape, projected_peak};
use proptest::prelude::*;
use test_case::test_case;

fn shapes(pairs: &[(u32, u32)]) -> Vec<StreamShape> {
    pairs
        .iter()
        .map(|(held, left)| StreamShape {
            held_tokens: *held,
            remaining_tokens: *left,
        })
        .collect()
}

#[test_case(&[], 0; "none")]
#[test_case(&[(100, 50)], 150; "one grows to its end")]
#[test_case(&[(100, 50), (100, 50)], 300; "alike ones grow together")]
#[test_case(&[(1_000, 10), (100, 500)], 1_120; "the long one grows after the other has gone")]
#[test_case(&[(100, 10), (100, 500)], 600; "the long one needs most at its end")]
fn the_peak_is_the_most_at_any_end(pairs: &[(u32, u32)], expected: u64) {
    assert_eq!(projected_peak(&mut shapes(pairs)), expected);
}

proptest! {
    /// The projection agrees with growing the streams token by token.
    #[test]
    fn the_peak_agrees_with_single_steps(pairs in prop::collection::vec((0..500u32, 1..60u32), 1..8)) {
        let mut running: Vec<(u64, u32)> =
            pairs.iter().map(|(held, left)| (u64::from(*held), *left)).collect();
        let mut peak = 0;
        while !running.is_empty() {
            for stream in &mut running {
                stream.0 += 1;
                stream.1 -= 1;
            }
            peak = peak.max(running.iter().map(|stream| stream.0).sum::<u64>());
            running.retain(|stream| stream.1 > 0);
        }
        prop_assert_eq!(projected_peak(&mut shapes(&pairs)), peak);
    }

    /// A further stream never lowers the peak.
    #[test]
    fn a_further_stream_needs_room(
        pairs in prop::collection::vec((0..500u32, 0..60u32), 0..8),
        further in (0..500u32, 0..60u32),
    ) {
        let before = projected_peak(&mut shapes(&pairs));
        let mut with = shapes(&pairs);
        with.extend(shapes(&[further]));
        prop_assert!(projected_peak(&mut with) >= before.max(u64::from(further.0)));
    }
}

#[test]
fn a_hint_that_is_far_off_is_pulled_to_the_mean() {
    let mut estimate = LengthEstimate::default();
    assert!((7_999..=8_000).contains(&estimate.expected_tokens(Some(8_000), 9_000)));
    for _ in 0..50 {
        estimate.record_answer(2_000);
    }
    let expected = estimate.expected_tokens(Some(8_000), 9_000);
    assert!((3_900..=4_100).contains(&expected), "{expected}");
    assert_eq!(estimate.expected_tokens(Some(1 << 60), 3_000), 3_000);
    assert!((1_900..=2_100).contains(&estimate.expected_tokens(None, 9_000)));
}
