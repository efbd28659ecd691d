//! The gateways that keep the record of a stream besides the one that serves it.
//!
//! They follow from the stream's id by rendezvous hashing, so that a gateway that never saw the
//! stream knows whom to ask. Two of them, outside the zone of the serving gateway, keep the record
//! over the loss of that gateway and of one zone.

use std::{cmp::Reverse, collections::HashMap};

use linnethitch_protocol::ids::MachineId;

use crate::dispatch::rendezvous_hash;

/// Gateways that keep a record besides the serving one.
const HOLDERS: usize = 2;
/// Gateways outside any one zone that are asked for a record: the holders, and one more for a
/// gateway that one side lists and the other does not.
const ASKED_OUTSIDE_A_ZONE: usize = HOLDERS + 1;
/// Maximum number of gateways that are asked for a record.
const MAX_ASKED: usize = 8;

/// Other gateways than `own` with their zones, by their weight for a stream.
fn ranked<'a>(
    stream: &str,
    own: MachineId,
    gateways: impl Iterator<Item = (MachineId, &'a str)>,
) -> Vec<(MachineId, &'a str)> {
    let others = gateways.filter(|(machine, _)| *machine != own);
    let mut others: Vec<(MachineId, &str)> = others.collect();
    others.sort_by_cached_key(|(machine, _)| {
        Reverse((rendezvous_hash(u64::from(machine.0), stream), *machine))
    });
    others
}

/// The gateways that keep the record of a stream that `own` serves in a zone. Gateways of the same
/// zone only if there are too few others.
#[must_use]
pub fn record_holders<'a>(
    stream: &str,
    (own, own_zone): (MachineId, &str),
    gateways: impl Iterator<Item = (MachineId, &'a str)>,
) -> Vec<MachineId> {
    let ranked = ranked(stream, own, gateways);
    let (far, near): (Vec<_>, Vec<_>) = ranked.into_iter().partition(|(_, zone)| *zone != own_zone);
    let holders = far.into_iter().chain(near).map(|(machine, _)| machine);
    holders.take(HOLDERS).collect()
}

/// The gateways that may have the record of a stream, whichever gateway served it.
#[must_use]
pub fn record_candidates<'a>(
    stream: &str,
    own: MachineId,
    gateways: impl Iterator<Item = (MachineId, &'a str)>,
) -> Vec<MachineId> {
    let mut asked = Vec::new();
    let mut by_zone: HashMap<&str, usize> = HashMap::new();
    for (machine, zone) in ranked(stream, own, gateways) {
        let most_in_a_zone = by_zone.values().max().copied().unwrap_or(0);
        let is_enough = asked.len() - most_in_a_zone >= ASKED_OUTSIDE_A_ZONE;
        if is_enough || asked.len() >= MAX_ASKED {
            break;
        }
        asked.push(machine);
        *by_zone.entry(zone).or_default() += 1;
    }
    asked
}
