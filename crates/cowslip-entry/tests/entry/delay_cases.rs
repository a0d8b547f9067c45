//! Scheduling delay of the process.

use cowslip_entry::ProcessDelay;

use crate::fixtures::at;

/// Guards against a delay that is dropped before the failure that it explains is logged, and against one that
/// seems to explain failures long after it.
#[test]
fn a_delay_is_remembered_for_a_second_and_not_for_long() {
    let mut delay = ProcessDelay::default();
    delay.record_delay(700, at(1_900));
    delay.record_delay(20, at(2_100));
    assert_eq!(delay.longest_ms(at(2_900)), 700);
    assert_eq!(delay.longest_ms(at(3_000)), 20);
    assert_eq!(delay.longest_ms(at(5_000)), 0);
}
