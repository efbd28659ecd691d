//! Batch items under capacity grants, and under the fixed shares of the baselines.

use linnethitch_emulator::Time;
use linnethitch_routing::ReplicaIndex;

use super::{
    Simulation,
    attempt::{AttemptId, Owner},
    event_queue::Event,
};
use crate::strategy::BatchDispatch;

/// Interval at which gateways schedule batch items when no event triggers it, in microseconds.
const BATCH_TICK_MICROS: u64 = 20_000;

/// Maximum items per lease call.
const MAX_LEASE_ITEMS: usize = 48;

/// A gateway leases more items when it has fewer leased items than this that are not started.
const LEASE_THRESHOLD: usize = 32;

/// Time to lease items, in microseconds: a ledger commit and the network round trip.
const LEASE_LATENCY_MICROS: u64 = 8_000;

/// State of a batch item.
#[derive(Clone, Copy, Debug)]
pub(super) struct ItemState {
    /// Index of the job in the trace and of the item in the job.
    pub(super) trace_position: (usize, usize),
    /// Tokens delivered.
    pub(super) tokens: u32,
}

impl Simulation<'_> {
    pub(super) fn on_batch_job(&mut self, job: usize) {
        for position in 0..self.trace.jobs[job].items.len() {
            let item = self.items.len();
            self.items.push(ItemState {
                trace_position: (job, position),
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
            BatchDispatch::Granted | BatchDispatch::Fixed => self.schedule_batch_on_all(),
        }
    }

    pub(super) fn on_batch_tick(&mut self) {
        self.schedule_batch_on_all();
        self.event_queue
            .add(self.now + BATCH_TICK_MICROS, Event::BatchTick);
    }

    pub(super) fn schedule_batch_on_all(&mut self) {
        (0..self.gateways.len()).for_each(|gateway| self.schedule_batch(gateway));
    }

    /// Makes a gateway yield, start and lease items according to its capacity.
    pub(super) fn schedule_batch(&mut self, gateway: usize) {
        match self.strategy.batch {
            BatchDispatch::Granted => self.schedule_granted(gateway),
            BatchDispatch::Fixed => self.schedule_fixed_share(gateway),
            _ => return,
        }
        self.lease_more(gateway);
    }

    fn schedule_granted(&mut self, gateway: usize) {
        let now = self.timestamp();
        let gateway_state = &mut self.gateways[gateway];
        let mut allowances = Vec::with_capacity(self.engines.len());
        for engine in 0..gateway_state.batch.len() {
            let replica = ReplicaIndex(engine as u32);
            let allowance =
                gateway_state
                    .capacity
                    .allowance(now, gateway_state.router.view(), replica);
            allowances.push(allowance.sequences as usize);
        }
        for (engine, allowance) in allowances.iter().enumerate() {
            let running = self.gateways[gateway].batch[engine].len();
            if self.strategy.yields && running > *allowance {
                self.yield_items(gateway, engine, running - allowance);
            }
        }
        for (engine, allowance) in allowances.iter().enumerate() {
            while self.gateways[gateway].batch[engine].len() < *allowance {
                let Some(item) = self.gateways[gateway].leased.pop_front() else {
                    return;
                };
                self.send_from_gateway(Owner::Item(item), gateway, engine);
            }
        }
    }

    fn schedule_fixed_share(&mut self, gateway: usize) {
        let total_slots: u32 = self
            .engines
            .iter()
            .map(|simulated| simulated.core.model().max_running)
            .sum();
        let share = total_slots / self.gateways.len() as u32;
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

    /// Cancels the attempts with the fewest tokens. Delivered tokens are retained for the
    /// next attempt.
    fn yield_items(&mut self, gateway: usize, engine: usize, count: usize) {
        let mut attempts = self.gateways[gateway].batch[engine].clone();
        attempts.sort_by_key(|id| (self.attempt_tokens(*id), std::cmp::Reverse(*id)));
        for id in attempts.into_iter().take(count) {
            self.outcome.yields += 1;
            self.cancel_item(id);
        }
    }

    fn attempt_tokens(&self, id: AttemptId) -> u32 {
        let attempt = &self.attempts[id.0];
        match attempt.owner {
            Owner::Item(item) => self.items[item].tokens - attempt.resume_tokens,
            Owner::Online(_) => 0,
        }
    }

    /// Cancels an item on its engine and puts it back in its queue.
    pub(super) fn cancel_item(&mut self, id: AttemptId) {
        self.end_attempt(id);
        let now = self.timestamp();
        let attempt = &mut self.attempts[id.0];
        let (owner, gateway, engine) = (attempt.owner, attempt.gateway, attempt.engine);
        let ticket = attempt.ticket.take();
        let central = ticket.is_none();
        if let Some(ticket) = ticket {
            let gateway_state = &mut self.gateways[gateway];
            gateway_state.in_flight[engine] -= 1;
            gateway_state.router.view_mut().on_cancelled(now, ticket);
        }
        let latency = if central {
            0
        } else {
            self.latency(gateway, engine)
        };
        self.event_queue.add(self.now + latency, Event::Cancel(id));
        if let Owner::Item(item) = owner {
            self.return_item(gateway, engine, id, item);
        }
    }

    /// Puts an unfinished item at the front of the queue from which it was taken.
    pub(super) fn return_item(
        &mut self,
        gateway: usize,
        engine: usize,
        id: AttemptId,
        item: usize,
    ) {
        match self.strategy.batch {
            BatchDispatch::Granted | BatchDispatch::Fixed => {
                let gateway_state = &mut self.gateways[gateway];
                gateway_state.batch[engine].retain(|other| *other != id);
                gateway_state.leased.push_front(item);
            }
            BatchDispatch::SharedQueue => self.shared_queue.push_front(Owner::Item(item)),
            _ => self.backlog.push_front(item),
        }
    }

    fn lease_more(&mut self, gateway: usize) {
        let gateway_state = &mut self.gateways[gateway];
        let lease_needed =
            gateway_state.leased.len() < LEASE_THRESHOLD && !gateway_state.lease_pending;
        if lease_needed && !self.backlog.is_empty() {
            gateway_state.lease_pending = true;
            self.event_queue
                .add(self.now + LEASE_LATENCY_MICROS, Event::Lease(gateway));
        }
    }

    pub(super) fn on_lease(&mut self, gateway: usize) {
        let count = MAX_LEASE_ITEMS.min(self.backlog.len());
        let items: Vec<usize> = self.backlog.drain(..count).collect();
        let gateway_state = &mut self.gateways[gateway];
        gateway_state.lease_pending = false;
        gateway_state.leased.extend(items);
        self.schedule_batch(gateway);
    }

    pub(super) fn on_item_token(&mut self, id: AttemptId, item: usize, index: u32, at: Time) {
        self.on_any_token(id);
        self.items[item].tokens = index + 1;
        self.outcome.record_batch_token(at);
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
        self.finish_attempt(id);
    }
}
