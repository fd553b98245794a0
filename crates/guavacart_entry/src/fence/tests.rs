use super::{Clock, Fence};
use guavacart_types::{Span, Timestamp};

const ONE_HOUR: Span = Span::secs(3_600);

#[test]
fn a_permit_is_valid_while_the_generation_is_unchanged() {
    let fence = Fence::default();
    fence.set_generation(4);
    let clock = Clock::start();
    assert!(fence.permit(clock, clock.now() + ONE_HOUR).is_valid());
}

#[test]
fn a_permit_becomes_invalid_when_the_generation_changes() {
    let fence = Fence::default();
    let clock = Clock::start();
    let permit = fence.permit(clock, clock.now() + ONE_HOUR);
    fence.set_generation(5);
    assert!(!permit.is_valid());
    assert!(fence.permit(clock, clock.now() + ONE_HOUR).is_valid());
}

#[test]
fn a_permit_expires_with_the_right_to_act() {
    let clock = Clock::start();
    assert!(!Fence::default().permit(clock, Timestamp(0)).is_valid());
}
