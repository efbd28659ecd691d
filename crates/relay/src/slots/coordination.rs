//! What a gateway does as the coordinator of some engines' slots, and how it
//! learns who coordinates the others.

use std::{
    collections::{BTreeMap, HashSet},
    sync::Arc,
};

use linnethitch_cluster::{GatewayNode, PlacedGateway, machine_of};
use linnethitch_protocol::{
    ids::MachineId,
    slots::{GatewayDatagram, HeldLease, SlotLoad, Verdict},
};
use linnethitch_routing::dispatch::{
    Ask, CoordinatedReplica, Due, LeaseKey, NearGateways, SlotAction,
};
use slog::info;

use super::{Slots, State};

impl Slots {
    /// Notes an engine, and the zone where it is by now.
    pub(crate) fn put_engine(&self, engine: &str, zone: &str) {
        let region = self.gateway.zones().region_of(zone);
        let mut state = self.state.lock();
        state.coordinators.put(engine, zone, region);
        state.may_have_moved = true;
    }

    /// Forgets an engine.
    pub(crate) fn remove_engine(&self, engine: &str) {
        let mut state = self.state.lock();
        state.coordinators.remove(engine);
        state.may_have_moved = true;
    }

    /// Engines that this gateway coordinates among the gateways that control names now.
    pub(crate) fn coordinated(&self) -> Vec<String> {
        let gateways = self.gateway.placed_coordinators();
        let mut state = self.state.lock();
        state.take_gateways(gateways);
        let coordinated = state.coordinators.coordinated();
        coordinated.map(str::to_owned).collect()
    }

    /// Takes the engines that this gateway coordinates, as they are now.
    pub(crate) fn set_coordinated(&self, engines: Vec<CoordinatedReplica>) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.lock();
        let mut actions = state.coordinator.set_replicas(engines, now_ms);
        actions.extend(state.coordinator.tick(now_ms));
        self.carry_out(&mut state, actions);
        let has_moved = state.has_moved();
        drop(state);
        if has_moved {
            self.tell_held();
        }
    }

    /// Engines of which this gateway holds leases.
    pub(crate) fn held_engines(&self) -> HashSet<String> {
        let state = self.state.lock();
        let held = state.held.values();
        held.map(|held| held.replica.clone()).collect()
    }

    /// Own requests that wait for a slot of an evacuated engine wait no longer, also where
    /// its coordinator does not know yet. They find the engine evacuated before they are
    /// sent, give their place back and choose again.
    pub(crate) fn leave(&self, evacuated: &HashSet<String>) {
        let state = self.state.lock();
        for (number, held) in &state.held {
            if evacuated.contains(&held.replica) {
                state.deliver(*number, Verdict::NotHere);
            }
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
            if let Some(coordinator) = coordinators.coordinator_of(&lease.replica) {
                lease.coordinator = coordinator;
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
                let actions = state
                    .coordinator
                    .reconcile_leases(self.own, &leases, now_ms);
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
                let mut actions = state.coordinator.record_run(key, outcome, now_ms);
                actions.extend(state.coordinator.end(key, now_ms));
                actions
            }
            GatewayDatagram::Held { leases } => {
                state.coordinator.reconcile_leases(from, &leases, now_ms)
            }
            // Not about slots.
            GatewayDatagram::Suspicions(_) | GatewayDatagram::Quota(_) => Vec::new(),
        };
        self.carry_out(&mut state, actions);
        Vec::new()
    }

    /// Loads of the replicas that are coordinated here, beside one.
    pub(crate) fn own_loads_beside(&self, replica: &str) -> Vec<SlotLoad> {
        self.state.lock().coordinator.loads_of_same_service(replica)
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
                        loads: state.coordinator.loads_of_same_service(&replica),
                    };
                    self.send(key.holder, &answer);
                }
                SlotAction::ReportHealth { replica, closed } => {
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
    fn take_gateways(&mut self, gateways: Arc<Vec<PlacedGateway>>) {
        if Arc::ptr_eq(&self.gateways, &gateways) {
            return;
        }
        let mut near = NearGateways::default();
        for gateway in gateways.iter() {
            near.add(gateway.machine, &gateway.place.zone, &gateway.place.region);
        }
        self.coordinators.set_gateways(near);
        self.gateways = gateways;
        self.may_have_moved = true;
    }

    /// Whether an engine of which this gateway holds a lease has another coordinator since
    /// this was asked last.
    fn has_moved(&mut self) -> bool {
        if !std::mem::take(&mut self.may_have_moved) {
            return false;
        }
        self.held.values().any(|held| {
            let coordinator = self.coordinators.coordinator_of(&held.replica);
            coordinator.is_some_and(|coordinator| coordinator != held.coordinator)
        })
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
