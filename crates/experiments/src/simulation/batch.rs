//! Batch items under grants, and in the fixed shares of the baselines.

use linnethitch_emulator::Time;
use linnethitch_routing::ReplicaIndex;

use super::{
    Simulation,
    agenda::Event,
    attempt::{AttemptId, Owner},
};
use crate::strategy::BatchDispatch;

/// How often a gateway looks after its batch work without a cause, in microseconds.
const PUMP_MICROS: u64 = 20_000;

/// Items of one lease.
const LEASE_ITEMS: usize = 48;

/// A gateway leases more when it has fewer items than this that have not started.
const LEASE_BELOW: usize = 32;

/// Time to lease items: a commit of the ledger and the way there and back, in microseconds.
const LEASE_MICROS: u64 = 8_000;

/// What became of a batch item.
#[derive(Clone, Copy, Debug)]
pub(super) struct ItemState {
    /// Position of its heap in the trace and of the item in it.
    pub(super) place: (usize, usize),
    /// Tokens delivered.
    pub(super) tokens: u32,
}

impl Simulation<'_> {
    pub(super) fn on_heap(&mut self, heap: usize) {
        for position in 0..self.trace.heaps[heap].items.len() {
            let item = self.items.len();
            self.items.push(ItemState {
                place: (heap, position),
                tokens: 0,
            });
            match self.strategy.batch {
                BatchDispatch::None => {}
                BatchDispatch::SharedQueue => self.shared_queue.push_back(Owner::Item(item)),
                _ => self.backlog.push_back(item),
            }
        }
        match self.strategy.batch {
            BatchDispatch::None => {}
            BatchDispatch::SharedQueue => self.serve_shared_queue(),
            BatchDispatch::Oracle(_) | BatchDispatch::Split(_) => {
                (0..self.engines.len()).for_each(|engine| self.after_step(engine));
            }
            BatchDispatch::Granted | BatchDispatch::Fixed => self.pump_all(),
        }
    }

    pub(super) fn on_pump(&mut self) {
        self.pump_all();
        self.agenda.add(self.now + PUMP_MICROS, Event::Pump);
    }

    pub(super) fn pump_all(&mut self) {
        (0..self.gateways.len()).for_each(|gateway| self.pump(gateway));
    }

    /// Lets a gateway start, yield and lease items as its capacity allows.
    pub(super) fn pump(&mut self, gateway: usize) {
        match self.strategy.batch {
            BatchDispatch::Granted => self.pump_granted(gateway),
            BatchDispatch::Fixed => self.pump_fixed(gateway),
            _ => return,
        }
        self.lease_more(gateway);
    }

    fn pump_granted(&mut self, gateway: usize) {
        let now = self.timestamp();
        let one = &mut self.gateways[gateway];
        let mut rooms = Vec::with_capacity(self.engines.len());
        for engine in 0..one.batch.len() {
            let replica = ReplicaIndex(engine as u32);
            let room = one.capacity.allowance(now, one.router.view(), replica);
            rooms.push(room.sequences as usize);
        }
        for (engine, room) in rooms.iter().enumerate() {
            let running = self.gateways[gateway].batch[engine].len();
            if self.strategy.yields && running > *room {
                self.yield_items(gateway, engine, running - room);
            }
        }
        for (engine, room) in rooms.iter().enumerate() {
            while self.gateways[gateway].batch[engine].len() < *room {
                let Some(item) = self.gateways[gateway].leased.pop_front() else {
                    return;
                };
                self.send_from_gateway(Owner::Item(item), gateway, engine);
            }
        }
    }

    fn pump_fixed(&mut self, gateway: usize) {
        let slots: u32 = self
            .engines
            .iter()
            .map(|slot| slot.core.model().max_running)
            .sum();
        let share = slots / self.gateways.len() as u32;
        while self.gateways[gateway].batch_running() < share {
            let Some(item) = self.gateways[gateway].leased.pop_front() else {
                return;
            };
            match self.choose_engine(gateway, Owner::Item(item), &[]) {
                Some(engine) => self.send_from_gateway(Owner::Item(item), gateway, engine),
                None => {
                    self.gateways[gateway].leased.push_front(item);
                    return;
                }
            }
        }
    }

    /// Cancels the runs with the fewest tokens; what was delivered is kept.
    fn yield_items(&mut self, gateway: usize, engine: usize, count: usize) {
        let mut runs = self.gateways[gateway].batch[engine].clone();
        runs.sort_by_key(|id| (self.run_tokens(*id), std::cmp::Reverse(*id)));
        for id in runs.into_iter().take(count) {
            self.outcome.yields += 1;
            self.cancel_item(id);
        }
    }

    fn run_tokens(&self, id: AttemptId) -> u32 {
        let attempt = &self.attempts[id.0];
        match attempt.owner {
            Owner::Item(item) => self.items[item].tokens - attempt.resume_tokens,
            Owner::Online(_) => 0,
        }
    }

    /// Takes an item back from its engine.
    pub(super) fn cancel_item(&mut self, id: AttemptId) {
        self.close(id);
        let now = self.timestamp();
        let attempt = &mut self.attempts[id.0];
        let (owner, gateway, engine) = (attempt.owner, attempt.gateway, attempt.engine);
        let ticket = attempt.ticket.take();
        let central = ticket.is_none();
        if let Some(ticket) = ticket {
            let one = &mut self.gateways[gateway];
            one.in_flight[engine] -= 1;
            one.router.view_mut().on_cancelled(now, ticket);
        }
        let latency = if central {
            0
        } else {
            self.latency(gateway, engine)
        };
        self.agenda.add(self.now + latency, Event::Cancel(id));
        if let Owner::Item(item) = owner {
            self.return_item(gateway, engine, id, item);
        }
    }

    /// Puts an item that did not end back to the front of the queue that it came from.
    pub(super) fn return_item(
        &mut self,
        gateway: usize,
        engine: usize,
        id: AttemptId,
        item: usize,
    ) {
        match self.strategy.batch {
            BatchDispatch::Granted | BatchDispatch::Fixed => {
                let one = &mut self.gateways[gateway];
                one.batch[engine].retain(|other| *other != id);
                one.leased.push_front(item);
            }
            BatchDispatch::SharedQueue => self.shared_queue.push_front(Owner::Item(item)),
            _ => self.backlog.push_front(item),
        }
    }

    fn lease_more(&mut self, gateway: usize) {
        let one = &mut self.gateways[gateway];
        let wanted = one.leased.len() < LEASE_BELOW && !one.lease_asked;
        if wanted && !self.backlog.is_empty() {
            one.lease_asked = true;
            self.agenda
                .add(self.now + LEASE_MICROS, Event::Lease(gateway));
        }
    }

    pub(super) fn on_lease(&mut self, gateway: usize) {
        let count = LEASE_ITEMS.min(self.backlog.len());
        let items: Vec<usize> = self.backlog.drain(..count).collect();
        let one = &mut self.gateways[gateway];
        one.lease_asked = false;
        one.leased.extend(items);
        self.pump(gateway);
    }

    pub(super) fn on_item_token(&mut self, id: AttemptId, item: usize, index: u32, at: Time) {
        self.on_any_token(id);
        self.items[item].tokens = index + 1;
        self.outcome.on_batch_second(at);
        if at >= self.settings.warm_up {
            self.outcome.batch_tokens += 1;
        }
    }

    pub(super) fn on_item_finished(&mut self, id: AttemptId) {
        if self.now >= self.settings.warm_up {
            self.outcome.batch_items += 1;
        }
        let (gateway, engine) = (self.attempts[id.0].gateway, self.attempts[id.0].engine);
        self.gateways[gateway].batch[engine].retain(|other| *other != id);
        self.finish(id);
    }
}
