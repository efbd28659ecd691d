//! How many items a gateway asks for.

use linnethitch_routing::dispatch::{ItemGrowth, ItemRoom};
use rstest::rstest;

fn room(slots: u32, replicas: u32) -> ItemRoom {
    ItemRoom { slots, replicas }
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
    #[case] room: ItemRoom,
    #[case] wanted: u32,
) {
    let mut growth = ItemGrowth::default();
    growth.note_held(held_before);
    assert_eq!(growth.wanted(room, held), wanted);
}

/// The failure this is for: the gateways that asked first filled their replicas,
/// while those of others stood idle, and online requests stopped items there.
#[test]
fn a_heap_is_spread_evenly_over_the_replicas_of_all_gateways() {
    let mut heap = 20;
    let mut gateways = [(ItemGrowth::default(), 0); 10];
    while heap > 0 {
        for (growth, held) in &mut gateways {
            let wanted = growth.wanted(room(8 - *held, 1), *held);
            let given = wanted.min(heap);
            heap -= given;
            *held += given;
            growth.note_held(*held);
        }
    }
    assert!(gateways.iter().all(|(_, held)| *held == 2));
}
