//! Coordination of engine slots: granting those of the engines that this gateway coordinates, and
//! tracking the coordinators of the others.

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
    /// Adds an engine or updates its zone.
    pub(crate) fn add_engine(&self, engine: &str, zone: &str) {
        let region = self.gateway.zones().region_of(zone);
        let mut state = self.state.lock();
        state.coordinators.put(engine, zone, region);
        state.coordinators_may_have_changed = true;
    }

    /// Removes an engine.
    pub(crate) fn remove_engine(&self, engine: &str) {
        let mut state = self.state.lock();
        state.coordinators.remove(engine);
        state.coordinators_may_have_changed = true;
    }

    /// Engines that this gateway coordinates, given the gateways that control lists now.
    pub(crate) fn coordinated(&self) -> Vec<String> {
        let gateways = self.gateway.placed_coordinators();
        let mut state = self.state.lock();
        state.take_gateways(gateways);
        let coordinated = state.coordinators.coordinated();
        coordinated.map(str::to_owned).collect()
    }

    /// Replaces the engines that this gateway coordinates by their current state.
    pub(crate) fn set_coordinated(&self, engines: Vec<CoordinatedReplica>) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.lock();
        let mut actions = state.coordinator.set_replicas(engines, now_ms);
        actions.extend(state.coordinator.tick(now_ms));
        self.apply_actions(&mut state, actions);
        let has_coordinator_changed = state.has_coordinator_changed();
        drop(state);
        if has_coordinator_changed {
            self.report_held_leases();
        }
    }

    /// Engines for which this gateway holds leases.
    pub(crate) fn leased_engines(&self) -> HashSet<String> {
        let state = self.state.lock();
        let held = state.held.values();
        held.map(|held| held.replica.clone()).collect()
    }

    /// Stops own requests from waiting for slots of evacuated engines, even where the coordinator
    /// does not know of the evacuation yet. The requests find the engine evacuated before they
    /// are sent, release their slot and choose again.
    pub(crate) fn cancel_waits(&self, evacuated: &HashSet<String>) {
        let state = self.state.lock();
        for (number, held) in &state.held {
            if evacuated.contains(&held.replica) {
                state.deliver(*number, Verdict::NotCoordinator);
            }
        }
    }

    /// Reports to each coordinator the leases that this gateway holds from it.
    pub(crate) fn report_held_leases(&self) {
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
                exclusive: lease.exclusive,
            });
        }
        for (coordinator, leases) in by_coordinator {
            if coordinator == self.own {
                let actions = state
                    .coordinator
                    .reconcile_leases(self.own, &leases, now_ms);
                self.apply_actions(&mut state, actions);
            } else {
                self.send(coordinator, &GatewayDatagram::Held { leases });
            }
        }
    }

    /// Handles a datagram of another gateway; returns the loads reported in it.
    pub(crate) fn handle_message(
        &self,
        from: MachineId,
        message: GatewayDatagram,
    ) -> Vec<SlotLoad> {
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
            // Handled elsewhere.
            GatewayDatagram::Suspicions(_)
            | GatewayDatagram::Quota(_)
            | GatewayDatagram::StreamBegan(_)
            | GatewayDatagram::FindStream { .. }
            | GatewayDatagram::StreamFound { .. } => Vec::new(),
        };
        self.apply_actions(&mut state, actions);
        Vec::new()
    }

    /// Loads of the replicas coordinated here that serve the same service as the given one.
    pub(crate) fn loads_of_same_service(&self, replica: &str) -> Vec<SlotLoad> {
        self.state.lock().coordinator.loads_of_same_service(replica)
    }

    /// Loads of all replicas coordinated here.
    pub(crate) fn own_loads(&self) -> Vec<SlotLoad> {
        self.state.lock().coordinator.all_loads()
    }

    pub(super) fn apply_actions(&self, state: &mut State, actions: Vec<SlotAction>) {
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
                    info!(self.logger, "replica: ejection changed for all gateways";
                        "replica" => replica, "closed" => closed);
                }
                SlotAction::Stop(run) => {
                    if let Some(item) = state.runs.get(&run) {
                        item.stop.cancel();
                    }
                }
                SlotAction::Start { run, replica } => {
                    let item = state.runs.get_mut(&run);
                    if let Some(start) = item.and_then(|item| item.start.take()) {
                        // A run whose task has ended is released by the drop of its slot.
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
        self.coordinators_may_have_changed = true;
    }

    /// Whether the coordinator of any held lease has changed since the last call.
    fn has_coordinator_changed(&mut self) -> bool {
        if !std::mem::take(&mut self.coordinators_may_have_changed) {
            return false;
        }
        self.held.values().any(|held| {
            let coordinator = self.coordinators.coordinator_of(&held.replica);
            coordinator.is_some_and(|coordinator| coordinator != held.coordinator)
        })
    }
}

/// Receives the datagrams of other gateways until the channel is closed.
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
