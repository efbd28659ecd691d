//! Compact loads store each count to within a sixteenth and never make a load newer.

use linnethitch_protocol::{
    fleet::LoadReport,
    frame::encode,
    ids::{ReplicaId, Timestamp},
    load_digest::{Level, LoadDigest, LoadLevels, ShortReplicaId},
};
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case::none(0, 0)]
#[case::exact(15, 15)]
#[case::first_step(16, 17)]
#[case::thousands(10_000, 9_728)]
#[case::largest(u32::MAX, 4_160_749_568)]
fn levels_of_known_counts(#[case] count: u32, #[case] decoded: u32) {
    assert_eq!(Level::of(count).count(), decoded);
}

proptest! {
    #[test]
    fn a_level_is_within_a_sixteenth_and_preserves_the_order(one in any::<u32>(), other in any::<u32>()) {
        let decoded = Level::of(one).count();
        prop_assert!(u64::from(decoded.abs_diff(one)) * 16 <= u64::from(one) + 16);
        prop_assert!(one > other || Level::of(one).0 <= Level::of(other).0);
    }

    #[test]
    fn a_decoded_report_approximates_the_sent_one(
        counts in prop::array::uniform7(0u32..1_000_000),
        measured_at in 1_000_000u64..1_010_000,
    ) {
        let [running_online, running_batch, waiting, waiting_batch, ..] = counts;
        let [.., queued_prefill_tokens, queued_batch_prefill_tokens, kv_used_tokens] = counts;
        let load = LoadReport {
            measured_at: Timestamp(measured_at),
            running_online,
            running_batch,
            waiting,
            waiting_batch,
            queued_prefill_tokens,
            queued_batch_prefill_tokens,
            kv_used_tokens,
            kv_capacity_tokens: 500_000,
            max_running: 64,
        };
        let newest = LoadReport { measured_at: Timestamp(1_010_000), ..load };
        let (old, new) = (ReplicaId::from("old"), ReplicaId::from("new"));
        let digest = LoadDigest::of([(&old, &load), (&new, &newest)].into_iter());
        let earlier = LoadReport { kv_capacity_tokens: 500_000, max_running: 64, ..LoadReport::default() };
        let decoded = digest.report(&digest.loads[0], &earlier);
        prop_assert_eq!(LoadLevels::of(&decoded), LoadLevels::of(&load));
        prop_assert_eq!(decoded.kv_capacity_tokens, load.kv_capacity_tokens);
        let age = 1_010_000 - measured_at;
        let max_age_ms = 255 * 32;
        prop_assert!(decoded.measured_at <= load.measured_at || age > max_age_ms);
    }
}

#[test]
fn a_compact_load_takes_twelve_bytes() {
    let load = LoadReport::default();
    let names: Vec<ReplicaId> = (0..101)
        .map(|number| ReplicaId(format!("engine-{number}")))
        .collect();
    let bytes = |count: usize| {
        let digest = LoadDigest::of(names[..count].iter().map(|name| (name, &load)));
        encode(&digest).unwrap().len()
    };
    assert_eq!(bytes(101) - bytes(1), 100 * 12);
}

#[test]
fn short_ids_of_a_large_pool_are_unique() {
    let mut short: Vec<ShortReplicaId> = (0..10_000)
        .map(|number| ShortReplicaId::from(&ReplicaId(format!("engine-{number}"))))
        .collect();
    short.sort();
    short.dedup();
    assert_eq!(short.len(), 10_000);
}
