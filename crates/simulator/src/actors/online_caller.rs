//! Online callers, which send requests with idempotency keys and resend them to other gateways.

use std::collections::BTreeMap;

use rand::{Rng, seq::IndexedRandom};

use super::{Actor, ActorId, Context, gateway::requests::idempotency_key};
use crate::{
    checker::Checker,
    network::{Address, OnlineAnswer, OnlineRequest, Packet},
};

/// Interval between two requests, in milliseconds.
const REQUEST_INTERVAL_MS: std::ops::Range<u64> = 500..6_000;
/// Timeout after which a caller resends a request, in milliseconds.
const TIMEOUT_MS: u64 = 9_000;
/// Delay before a request is resent after an answer, in milliseconds.
const RETRY_MS: u64 = 1_000;
/// Maximum number of transmissions of a request.
const MAX_SENDS: u32 = 8;
/// Share of requests that must run at most once.
const AT_MOST_ONCE_SHARE: f64 = 0.5;
/// Share of answered requests that are resent.
const RESEND_SHARE: f64 = 0.2;

struct OpenRequest {
    request: OnlineRequest,
    sends: u32,
    resend_at_ms: u64,
}

/// An online caller.
pub(crate) struct OnlineCaller {
    name: String,
    gateways: Vec<ActorId>,
    next_key: u64,
    next_number: u64,
    next_request_ms: u64,
    /// Open requests by the number of their last transmission.
    open: BTreeMap<u64, OpenRequest>,
}

impl OnlineCaller {
    /// Creates a caller with a unique name that uses the given gateways.
    pub(crate) fn new(name: String, gateways: Vec<ActorId>) -> Self {
        OnlineCaller {
            name,
            gateways,
            next_key: 0,
            next_number: 0,
            next_request_ms: 0,
            open: BTreeMap::new(),
        }
    }

    fn send(&mut self, mut open: OpenRequest, context: &mut Context) {
        let Some(gateway) = self.gateways.choose(context.random).copied() else {
            return;
        };
        self.next_number += 1;
        open.request.number = self.next_number;
        open.sends += 1;
        open.resend_at_ms = context.now_ms + TIMEOUT_MS;
        context.wake_in(TIMEOUT_MS);
        let packet = Packet::Request(open.request.clone());
        self.open.insert(self.next_number, open);
        context.send(Address::Actor(gateway), packet);
    }

    fn send_new(&mut self, context: &mut Context) {
        self.next_key += 1;
        let request = OnlineRequest {
            number: 0,
            key: idempotency_key(&self.name, self.next_key),
            content_digest: self.next_key,
            at_most_once: context.random.random_bool(AT_MOST_ONCE_SHARE),
        };
        let open = OpenRequest {
            request,
            sends: 0,
            resend_at_ms: 0,
        };
        self.send(open, context);
    }
}

impl Actor for OnlineCaller {
    fn wake(&mut self, context: &mut Context) {
        let due: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, open)| open.resend_at_ms <= context.now_ms)
            .map(|(number, _)| *number)
            .collect();
        for number in due {
            if let Some(open) = self.open.remove(&number)
                && open.sends < MAX_SENDS
                && !context.recovering
            {
                self.send(open, context);
            }
        }
        if context.now_ms >= self.next_request_ms && !context.recovering {
            let delay_ms = context.random.random_range(REQUEST_INTERVAL_MS);
            self.next_request_ms = context.now_ms + delay_ms;
            context.wake_in(delay_ms);
            self.send_new(context);
        }
    }

    fn receive(&mut self, _from: Address, packet: Packet, context: &mut Context) {
        let Packet::Reply { number, answer } = packet else {
            return;
        };
        let Some(mut open) = self.open.remove(&number) else {
            return;
        };
        let resend = match answer {
            OnlineAnswer::Answered { body, stored } => {
                let key = &open.request.key;
                context.checker.on_request_answered(key, &body, stored);
                context.random.random_bool(RESEND_SHARE)
            }
            OnlineAnswer::Refused { kind, .. } => kind.answer().retryable,
        };
        if resend && open.sends < MAX_SENDS && !context.recovering {
            open.resend_at_ms = context.now_ms + RETRY_MS;
            self.open.insert(number, open);
            context.wake_in(RETRY_MS);
        }
    }

    fn open_work(&self, _checker: &Checker) -> Option<String> {
        let open = !self.open.is_empty();
        open.then(|| format!("{} waits for an answer", self.name))
    }
}
