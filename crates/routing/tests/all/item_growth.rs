//! How many items a gateway requests.

use linnethitch_routing::dispatch::{ItemCapacity, ItemRampUp};
use rstest::rstest;

fn capacity(slots: u32, replicas: u32) -> ItemCapacity {
    ItemCapacity { slots, replicas }
}

/// Items running after the last call and now, the capacity, and the number of items to request.
#[rstest]
#[case::one_at_each_replica(0, 0, capacity(24, 3), 3)]
#[case::limited_by_free_slots(0, 0, capacity(2, 3), 2)]
#[case::ended_items_are_replaced(10, 6, capacity(8, 3), 7)]
#[case::more_running_than_before(4, 9, capacity(8, 3), 3)]
#[case::no_capacity(10, 6, capacity(0, 0), 0)]
fn requests_ramp_up_and_ended_items_are_replaced(
    #[case] running_before: u32,
    #[case] running: u32,
    #[case] capacity: ItemCapacity,
    #[case] items_to_request: u32,
) {
    let mut ramp_up = ItemRampUp::default();
    ramp_up.note_running(running_before);
    assert_eq!(
        ramp_up.items_to_request(capacity, running),
        items_to_request
    );
}

/// Guards against an uneven spread: the gateways that asked first filled their replicas while those
/// of others were idle, and online requests stopped items there.
#[test]
fn pending_items_spread_evenly_over_the_replicas_of_all_gateways() {
    let mut pending = 20;
    let mut gateways = [(ItemRampUp::default(), 0); 10];
    while pending > 0 {
        for (ramp_up, running) in &mut gateways {
            let items_to_request = ramp_up.items_to_request(capacity(8 - *running, 1), *running);
            let granted = items_to_request.min(pending);
            pending -= granted;
            *running += granted;
            ramp_up.note_running(*running);
        }
    }
    assert!(gateways.iter().all(|(_, running)| *running == 2));
}
