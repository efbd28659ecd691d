//! What a gateway does as the coordinator of some engines' slots, and how it
//! learns who coordinates the others.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
};

use linnethitch_cluster::{GatewayNode, PlacedGateway, machine_of};
use linnethitch_protocol::{
    ids::MachineId,
    slots::{GatewayDatagram, HeldLease, SlotLoad, Verdict},
};
use linnethitch_registry::{FleetView, ZoneMap};
use linnethitch_routing::dispatch::{
    Ask, CoordinatedReplica, Due, LeaseKey, NearGateways, SlotAction,
};
use slog::info;

use super::{Slots, State};

impl Slots {
    /// Takes the engines that are known now; each is coordinated by one gateway.
    pub(crate) fn set_engines(&self, engines: Vec<CoordinatedReplica>) {
        let now_ms = self.clock.now_ms();
        let gateways = self.gateway.placed_coordinators();
        let fleet = self.gateway.fleet();
        let mut state = self.state.lock();
        let has_moved = state.assign(&gateways, &engines, &fleet, self.gateway.zones());
        state.leave_evacuated(&engines);
        let mut coordinated = engines;
        coordinated.retain(|engine| state.coordinators.get(&engine.id) == Some(&self.own));
        let mut actions = state.coordinator.set_replicas(coordinated, now_ms);
        actions.extend(state.coordinator.tick(now_ms));
        self.carry_out(&mut state, actions);
        drop(state);
        if has_moved {
            self.tell_held();
        }
    }

    /// Tells each coordinator which leases this gateway holds of it.
    pub(crate) fn tell_held(&self) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.lock();
        let mut by_coordinator: BTreeMap<MachineId, Vec<HeldLease>> = BTreeMap::new();
        let State {
            held, coordinators, ..
        } = &mut *state;
        for (number, lease) in held {
            if let Some(coordinator) = coordinators.get(&lease.replica) {
                lease.coordinator = *coordinator;
            }
            let named = by_coordinator.entry(lease.coordinator).or_default();
            named.push(HeldLease {
                replica: lease.replica.clone(),
                number: *number,
                alone: lease.alone,
            });
        }
        for (coordinator, leases) in by_coordinator {
            if coordinator == self.own {
                let actions = state.coordinator.note_held(self.own, &leases, now_ms);
                self.carry_out(&mut state, actions);
            } else {
                self.send(coordinator, &GatewayDatagram::Held { leases });
            }
        }
    }

    /// Takes a datagram of another gateway; returns loads that it told.
    pub(crate) fn take_message(&self, from: MachineId, message: GatewayDatagram) -> Vec<SlotLoad> {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.lock();
        let actions = match message {
            GatewayDatagram::Ask {
                number,
                replica,
                due_in_ms,
                rank,
                mode,
            } => {
                let ask = Ask {
                    key: LeaseKey {
                        holder: from,
                        number,
                    },
                    replica,
                    due: Due {
                        at_ms: now_ms + u64::from(due_in_ms),
                    },
                    rank,
                    mode,
                };
                state.coordinator.ask(ask, now_ms)
            }
            GatewayDatagram::Answer {
                number,
                verdict,
                loads,
            } => {
                state.silent.note_answer(from);
                state.deliver(number, verdict);
                return loads;
            }
            GatewayDatagram::End { number, outcome } => {
                let key = LeaseKey {
                    holder: from,
                    number,
                };
                let mut actions = state.coordinator.note_run(key, outcome, now_ms);
                actions.extend(state.coordinator.end(key, now_ms));
                actions
            }
            GatewayDatagram::Held { leases } => state.coordinator.note_held(from, &leases, now_ms),
            // Not about slots.
            GatewayDatagram::Suspicions(_) | GatewayDatagram::Quota(_) => Vec::new(),
        };
        self.carry_out(&mut state, actions);
        Vec::new()
    }

    /// Loads of the replicas that are coordinated here, beside one.
    pub(crate) fn own_loads_beside(&self, replica: &str) -> Vec<SlotLoad> {
        self.state.lock().coordinator.loads_beside(replica)
    }

    /// Loads of all replicas that are coordinated here.
    pub(crate) fn own_loads(&self) -> Vec<SlotLoad> {
        self.state.lock().coordinator.all_loads()
    }

    pub(super) fn carry_out(&self, state: &mut State, actions: Vec<SlotAction>) {
        for action in actions {
            match action {
                SlotAction::Answer { key, verdict, .. } if key.holder == self.own => {
                    state.deliver(key.number, verdict);
                }
                SlotAction::Answer {
                    key,
                    replica,
                    verdict,
                } => {
                    let answer = GatewayDatagram::Answer {
                        number: key.number,
                        verdict,
                        loads: state.coordinator.loads_beside(&replica),
                    };
                    self.send(key.holder, &answer);
                }
                SlotAction::Believe { replica, closed } => {
                    info!(self.logger, "replica: fails for all gateways"; "replica" => replica,
                        "closed" => closed);
                }
                SlotAction::Stop(run) => {
                    if let Some(item) = state.runs.get(&run) {
                        item.stop.cancel();
                    }
                }
                SlotAction::Start { run, replica } => {
                    let item = state.runs.get_mut(&run);
                    if let Some(start) = item.and_then(|item| item.start.take()) {
                        // Its task ends the run if it is gone.
                        let _ = start.send(replica);
                    }
                }
            }
        }
    }
}

impl State {
    /// Own requests that wait for a slot of an evacuated replica wait no longer, also where
    /// its coordinator does not know yet. They find the replica evacuated before they are
    /// sent, give their place back and choose again.
    fn leave_evacuated(&self, engines: &[CoordinatedReplica]) {
        let evacuated: HashSet<&str> = engines
            .iter()
            .filter(|engine| engine.evacuated)
            .map(|engine| engine.id.as_str())
            .collect();
        for (number, held) in &self.held {
            if evacuated.contains(held.replica.as_str()) {
                self.deliver(*number, Verdict::NotHere);
            }
        }
    }

    /// Finds the coordinator of each engine, if gateways or engines are others
    /// than before; true when an engine has another coordinator now.
    fn assign(
        &mut self,
        gateways: &Arc<Vec<PlacedGateway>>,
        engines: &[CoordinatedReplica],
        fleet: &FleetView,
        zones: &ZoneMap,
    ) -> bool {
        let zone_of = |engine: &CoordinatedReplica| fleet.zone_of_start(&engine.id);
        let is_known = |engine: &CoordinatedReplica| {
            let zone = self.engine_zones.get(&engine.id).map(String::as_str);
            zone.is_some() && zone == zone_of(engine)
        };
        let is_same = Arc::ptr_eq(&self.gateways, gateways)
            && self.engine_zones.len() == engines.len()
            && engines.iter().all(is_known);
        if is_same {
            return false;
        }
        let mut near = NearGateways::default();
        for gateway in gateways.iter() {
            near.add(gateway.machine, &gateway.place.zone, &gateway.place.region);
        }
        let assigned = engines.iter().filter_map(|engine| {
            let zone = zone_of(engine).unwrap_or_default();
            let coordinator = near.coordinator_of(&engine.id, zone, zones.region_of(zone))?;
            Some((engine.id.clone(), coordinator))
        });
        let coordinators: HashMap<String, MachineId> = assigned.collect();
        let has_moved = self.coordinators != coordinators;
        self.coordinators = coordinators;
        let placed = engines.iter().filter_map(|engine| {
            let zone = zone_of(engine)?;
            Some((engine.id.clone(), zone.to_owned()))
        });
        self.engine_zones = placed.collect();
        self.gateways = Arc::clone(gateways);
        has_moved
    }
}

/// Takes the datagrams of other gateways; returns when there are none to come.
pub(crate) async fn receive_messages(
    gateway: GatewayNode,
    mut take: impl FnMut(MachineId, GatewayDatagram),
) {
    let Some(datagrams) = gateway.datagrams() else {
        return;
    };
    while let Ok((from, message)) = datagrams.receive().await {
        take(machine_of(*from.ip()), message);
    }
}
