use super::{Clock, Fence};
use guavacart_types::{Span, Timestamp};

const LONG: Span = Span::secs(3_600);

#[test]
fn a_permit_holds_while_nothing_changes() {
    let fence = Fence::default();
    fence.raise(4);
    let clock = Clock::start();
    assert!(fence.permit(clock, clock.now() + LONG).holds());
}

#[test]
fn a_permit_ends_with_its_generation() {
    let fence = Fence::default();
    let clock = Clock::start();
    let permit = fence.permit(clock, clock.now() + LONG);
    fence.raise(5);
    assert!(!permit.holds());
    assert!(fence.permit(clock, clock.now() + LONG).holds());
}

#[test]
fn a_permit_ends_with_the_right_to_act() {
    let clock = Clock::start();
    assert!(!Fence::default().permit(clock, Timestamp(0)).holds());
}
