//! Tests of the projected memory of streams and of the expected lengths of answers.

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
#[test_case(&[(100, 50)], 150; "one stream")]
#[test_case(&[(100, 50), (100, 50)], 300; "equal streams grow together")]
#[test_case(&[(1_000, 10), (100, 500)], 1_120; "the long stream grows after the short one has ended")]
#[test_case(&[(100, 10), (100, 500)], 600; "the peak is at the end of the long stream")]
fn the_peak_is_the_maximum_over_the_ends_of_streams(pairs: &[(u32, u32)], expected: u64) {
    assert_eq!(projected_peak(&mut shapes(pairs)), expected);
}

proptest! {
    /// The projection equals a simulation that grows the streams token by token.
    #[test]
    fn the_peak_equals_a_simulation_by_tokens(pairs in prop::collection::vec((0..500u32, 1..60u32), 1..8)) {
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

    /// An additional stream never lowers the peak.
    #[test]
    fn an_additional_stream_never_lowers_the_peak(
        pairs in prop::collection::vec((0..500u32, 0..60u32), 0..8),
        additional in (0..500u32, 0..60u32),
    ) {
        let before = projected_peak(&mut shapes(&pairs));
        let mut combined = shapes(&pairs);
        combined.extend(shapes(&[additional]));
        prop_assert!(projected_peak(&mut combined) >= before.max(u64::from(additional.0)));
    }
}

#[test]
fn a_hint_is_combined_with_the_average_length() {
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
