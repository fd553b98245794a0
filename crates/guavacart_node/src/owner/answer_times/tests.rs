use guavacart_types::Span;

use super::AnswerTimes;

/// Guards against an owner that takes its own congested link for silent executors.
#[test]
fn answers_are_waited_for_longer_while_all_of_them_take_long() {
    let times = AnswerTimes::default();
    (0..1_000).for_each(|_| times.record(Span::millis(3)));
    assert_eq!(times.timeout(), Span::millis(350));
    (0..100).for_each(|_| times.record(Span::millis(700)));
    assert!(
        times.timeout() >= Span::millis(2_000),
        "{:?}",
        times.timeout()
    );
    (0..100).for_each(|_| times.record(Span::millis(9_000)));
    assert_eq!(times.timeout(), Span::millis(4_000));
    (0..1_000).for_each(|_| times.record(Span::millis(3)));
    assert_eq!(times.timeout(), Span::millis(350));
}
