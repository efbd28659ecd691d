//! All gateways of two regions start at once and find the requests of the outage waiting.
//!
//! Grounds for the figures: 24 ms between the regions and 1 ms within them, as between two
//! cities of one country; 66 gateways and 56 engines of eight slots; seven requests at each
//! gateway, which is a second of an ordinary demand of 460; runs last longer than is looked at.

use std::collections::{BTreeMap, BTreeSet};

use linnethitch_protocol::{
    ids::MachineId,
    slots::{AskMode, Verdict},
};
use linnethitch_routing::dispatch::{
    Ask, Board, CoordinatedReplica, Due, LeaseKey, NearGateways, Need, PromptPart, ReplicaTraits,
    SlotAction, SlotCoordinator, WorkKind,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const ZONES: u32 = 6;
const GATEWAYS: u32 = 66;
const ENGINES: u32 = 56;
const SLOTS: u32 = 8;
const REQUESTS_PER_GATEWAY: u64 = 7;
/// Engines that a request asks for a slot before it waits.
const MOST_ASKS: usize = 4;
/// The way there and back and the coordinator's work, in microseconds.
const NEAR_US: u64 = 1_300;
const FAR_US: u64 = 25_400;

fn region(zone: u32) -> &'static str {
    if zone < ZONES / 2 { "north" } else { "south" }
}

fn zone_name(zone: u32) -> String {
    format!("zone-{zone}")
}

fn engine(number: u32) -> ReplicaTraits {
    ReplicaTraits {
        id: format!("engine-{number}"),
        service: "models".to_owned(),
        address: format!("engine-{number}:80"),
        zone: zone_name(number % ZONES),
        slots: SLOTS,
        kv_tokens: 100_000,
        ready: true,
    }
}

/// The coordinators of all engines; each is alone with its engine here.
fn coordinators() -> BTreeMap<String, SlotCoordinator> {
    let engines = (0..ENGINES).map(engine).map(|traits| {
        let mut coordinator = SlotCoordinator::default();
        let coordinated = CoordinatedReplica {
            id: traits.id.clone(),
            service: traits.service,
            slots: traits.slots,
            open: true,
            evacuated: false,
        };
        coordinator.set_replicas(vec![coordinated], 0);
        (traits.id, coordinator)
    });
    engines.collect()
}

/// The zone in which an engine's coordinator is.
fn coordinator_zone(near: &NearGateways, engine: u32) -> u32 {
    let zone = engine % ZONES;
    let found = near.coordinator_of(
        &format!("engine-{engine}"),
        &zone_name(zone),
        Some(region(zone)),
    );
    found.expect("a coordinator").0 % ZONES
}

fn verdict(coordinator: &mut SlotCoordinator, engine: &str, key: LeaseKey, now_us: u64) -> Verdict {
    let ask = Ask {
        key,
        replica: engine.to_owned(),
        due: Due { at_ms: 300 },
        rank: 0,
        mode: AskMode::Probe,
    };
    let actions = coordinator.ask(ask, now_us / 1_000);
    let mut verdicts = actions.into_iter().filter_map(|action| match action {
        SlotAction::Answer { verdict, .. } => Some(verdict),
        _ => None,
    });
    verdicts.next_back().expect("an answer")
}

#[test]
fn no_engine_is_given_more_than_its_slots_when_all_gateways_start() {
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let mut near = NearGateways::default();
    (0..GATEWAYS).for_each(|gateway| {
        let zone = gateway % ZONES;
        near.add(MachineId(gateway), &zone_name(zone), region(zone));
    });
    let mut coordinators = coordinators();
    let mut boards: Vec<Board> = (0..GATEWAYS)
        .map(|gateway| {
            let mut board = Board::new(&zone_name(gateway % ZONES));
            board.set_replicas((0..ENGINES).map(engine).collect());
            board
        })
        .collect();
    let prompt = [(1, 200), (2, 250)].map(|(id, tokens)| PromptPart { id, tokens });
    let mut given: BTreeMap<String, u32> = BTreeMap::new();
    // Microseconds, gateway, its request, engines that had no slot.
    let mut waiting: BTreeSet<(u64, u32, u64, Vec<String>)> = BTreeSet::new();
    for gateway in 0..GATEWAYS {
        waiting.extend((0..REQUESTS_PER_GATEWAY).map(|request| (0, gateway, request, Vec::new())));
    }
    while let Some((now_us, gateway, request, full)) = waiting.pop_first() {
        let board = &mut boards[gateway as usize];
        let need = Need {
            service: "models",
            prompt: &prompt,
            except: &full,
            homes: None,
        };
        let Some(chosen) = board.choose(&need, now_us / 1_000, &mut random) else {
            continue;
        };
        let number: u32 = chosen.id["engine-".len()..].parse().expect("a number");
        let is_near = region(coordinator_zone(&near, number)) == region(gateway % ZONES);
        let answer_us = if is_near { NEAR_US } else { FAR_US };
        let key = LeaseKey {
            holder: MachineId(gateway),
            number: request,
        };
        let coordinator = coordinators.get_mut(&chosen.id).expect("a coordinator");
        let is_granted = verdict(coordinator, &chosen.id, key, now_us) == Verdict::Granted;
        let is_silent = answer_us as f64 > board.answer_limit_ms(&chosen.id) * 1_000.0;
        if is_granted || is_silent {
            board.begin(&chosen, &prompt, WorkKind::Online, now_us / 1_000);
            *given.entry(chosen.id).or_default() += 1;
        } else if full.len() + 1 < MOST_ASKS {
            let full = full.into_iter().chain([chosen.id]).collect();
            waiting.insert((now_us + answer_us, gateway, request, full));
        }
    }
    let most = given.values().max().copied().unwrap_or_default();
    // All gateways prefer the same ones, so that some are full.
    assert_eq!(most, SLOTS, "requests at the fullest engine");
}
