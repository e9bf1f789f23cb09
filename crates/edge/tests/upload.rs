//! The memory for the bodies of requests.

use edge::Memory;
use edge::Reservation;

// Guards against reservations that are lost or that exceed the limit together.
#[test]
fn reservations_share_the_memory_and_return_it() {
    let memory = Memory::new(100);
    let mut first = Reservation::new(&memory);
    let mut second = Reservation::new(&memory);
    assert!(first.extend_to(60) && first.extend_to(10));
    assert!(!second.extend_to(41));
    assert!(second.extend_to(40));
    assert!(!first.extend_to(61));
    assert!(!first.extend_to(usize::MAX));
    assert_eq!(memory.used(), 100);
    drop(first);
    assert!(second.extend_to(100));
    drop(second);
    assert_eq!(memory.used(), 0);
}
