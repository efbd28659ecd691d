//! How many items a gateway asks for.

use linnethitch_routing::dispatch::{ItemCapacity, ItemRampUp};
use rstest::rstest;

fn room(slots: u32, replicas: u32) -> ItemCapacity {
    ItemCapacity { slots, replicas }
}

/// Items held after the last call and now, the room, and what is asked for.
#[rstest]
#[case::one_at_each_replica(0, 0, room(24, 3), 3)]
#[case::no_more_than_there_is_room(0, 0, room(2, 3), 2)]
#[case::those_that_ended_are_replaced(10, 6, room(8, 3), 7)]
#[case::more_are_held_than_before(4, 9, room(8, 3), 3)]
#[case::no_room(10, 6, room(0, 0), 0)]
fn a_heap_spreads_and_what_ends_is_replaced(
    #[case] held_before: u32,
    #[case] held: u32,
    #[case] room: ItemCapacity,
    #[case] items_to_request: u32,
) {
    let mut growth = ItemRampUp::default();
    growth.note_running(held_before);
    assert_eq!(growth.items_to_request(room, held), items_to_request);
}

/// The failure this is for: the gateways that asked first filled their replicas,
/// while those of others stood idle, and online requests stopped items there.
#[test]
fn a_heap_is_spread_evenly_over_the_replicas_of_all_gateways() {
    let mut heap = 20;
    let mut gateways = [(ItemRampUp::default(), 0); 10];
    while heap > 0 {
        for (growth, held) in &mut gateways {
            let items_to_request = growth.items_to_request(room(8 - *held, 1), *held);
            let given = items_to_request.min(heap);
            heap -= given;
            *held += given;
            growth.note_running(*held);
        }
    }
    assert!(gateways.iter().all(|(_, held)| *held == 2));
}
