//! The life cycle of orders: reserved, issued, sent, accepted, in effect, settled.

use linnethitch_config::fleet::Fleet;
use linnethitch_observability::journal::DecisionKind;
use linnethitch_protocol::ids::{FencingToken, ReplicaId, Timestamp};
use linnethitch_routing::{
    ReasonCode,
    placement::{PlannedOrder, ReplicaHealth},
};

use super::{
    Action, Reconciler,
    weight_store::{ReservationAnswer, ready_at},
    work::{IssuedOrder, OpenOrder, OrderAnswer, Phase, Work, describe, is_still_requested},
};

impl Reconciler {
    /// Handles the weight store's answer to [`Action::Reserve`].
    pub fn reserved(&mut self, now: Timestamp, replica: &ReplicaId, answer: ReservationAnswer) {
        let Some(Work::Reserving(planned)) = self.work.remove(replica) else {
            return;
        };
        let (wait_ms, reason) = match answer {
            ReservationAnswer::ReadyAfter(ready_after_ms) => {
                let at = ready_at(now, ready_after_ms);
                let outcome = format!("weights available after {ready_after_ms} ms");
                self.record_order(now, replica, ReasonCode::WeightsReserved, outcome);
                let work = Work::ToIssue { planned, at };
                self.work.insert(replica.clone(), work);
                return;
            }
            ReservationAnswer::Busy(wait_ms) => (wait_ms, ReasonCode::WeightStoreBusy),
            ReservationAnswer::NoAnswer => {
                (self.limits.retry_ms, ReasonCode::WeightStoreUnreachable)
            }
        };
        let wait_ms = wait_ms.max(self.limits.retry_ms);
        self.store.wait_until(ready_at(now, wait_ms));
        let outcome = format!("retry after {wait_ms} ms");
        self.record_order(now, replica, reason, outcome);
    }

    /// Handles the ledger's answer to [`Action::Issue`]: the order's token, or
    /// `None` if the order was not committed or that is unknown.
    pub fn issued(&mut self, now: Timestamp, replica: &ReplicaId, token: Option<FencingToken>) {
        let Some(Work::Issuing(planned)) = self.work.remove(replica) else {
            return;
        };
        let work = match token {
            Some(token) => Work::Open(OpenOrder {
                token,
                order: planned.order,
                seen_at: now,
                phase: Phase::ToSend { at: now },
            }),
            None => {
                let at = Timestamp(now.0 + self.limits.retry_ms);
                Work::ToIssue { planned, at }
            }
        };
        self.work.insert(replica.clone(), work);
    }

    /// Handles the engine's answer to [`Action::Send`].
    pub fn sent(
        &mut self,
        now: Timestamp,
        replica: &ReplicaId,
        token: FencingToken,
        answer: OrderAnswer,
    ) {
        let retry_at = Timestamp(now.0 + self.limits.retry_ms);
        let Some(open) = self.open_mut(replica, token) else {
            return;
        };
        if open.phase != Phase::Sending {
            return;
        }
        let description = describe(&open.order);
        let reason = match answer {
            OrderAnswer::Accepted => {
                open.phase = Phase::Accepted { at: now };
                ReasonCode::OrderAccepted
            }
            OrderAnswer::Fenced => {
                open.phase = Phase::Ended { at: now };
                ReasonCode::OrderFenced
            }
            OrderAnswer::Refused => {
                open.phase = Phase::Refused;
                ReasonCode::OrderRefused
            }
            OrderAnswer::NoAnswer => {
                open.phase = Phase::ToSend { at: retry_at };
                return;
            }
        };
        self.record_order(now, replica, reason, description);
        self.observed.poll_soon(replica);
    }

    /// Handles the ledger's answer to [`Action::Settle`].
    pub fn settled(&mut self, now: Timestamp, replica: &ReplicaId, token: FencingToken, ok: bool) {
        let retry_at = Timestamp(now.0 + self.limits.retry_ms);
        let Some(open) = self.open_mut(replica, token) else {
            return;
        };
        if ok {
            self.work.remove(replica);
            self.settled_tokens.insert(replica.clone(), token);
        } else {
            open.phase = Phase::Ended { at: retry_at };
        }
    }

    /// Adopts open orders of the ledger that are not known yet: orders of earlier
    /// leaders, and own orders whose commit was not answered.
    pub(super) fn adopt(&mut self, now: Timestamp, open: &[IssuedOrder]) {
        for issued in open {
            if !self.is_unknown(issued) {
                continue;
            }
            let phase = if issued.token.term < self.term {
                Phase::Inherited
            } else {
                Phase::ToSend { at: now }
            };
            let order = OpenOrder {
                token: issued.token,
                order: issued.order.clone(),
                seen_at: now,
                phase,
            };
            self.work.insert(issued.replica.clone(), Work::Open(order));
            self.compare_order(now, &issued.replica);
        }
    }

    /// Whether an open order of the ledger is not known yet. The view of the ledger
    /// may be older than the answers to own proposals.
    fn is_unknown(&self, issued: &IssuedOrder) -> bool {
        let settled = self.settled_tokens.get(&issued.replica);
        if settled.is_some_and(|settled| issued.token <= *settled) {
            return false;
        }
        match self.work.get(&issued.replica) {
            None | Some(Work::Reserving(_) | Work::ToIssue { .. }) => true,
            Some(Work::Issuing(_)) => false,
            Some(Work::Open(open)) => issued.token > open.token,
        }
    }

    /// Compares the state of a polled engine with its order: the order may be in
    /// effect, may not have arrived, or may be lost by a restart.
    pub(super) fn compare_order(&mut self, now: Timestamp, replica: &ReplicaId) {
        let Some(engine) = self.observed.engine(replica) else {
            return;
        };
        let Some(Work::Open(open)) = self.work.get_mut(replica) else {
            return;
        };
        if matches!(open.phase, Phase::Ended { .. } | Phase::Settling) {
            return;
        }
        if let Some(reason) = open.outcome(engine) {
            open.phase = Phase::Ended { at: now };
            let outcome = describe(&open.order);
            return self.record_order(now, replica, reason, outcome);
        }
        let has_it = engine.fence == open.token;
        match open.phase {
            Phase::Inherited if has_it => open.phase = Phase::Accepted { at: now },
            Phase::Accepted { .. } if !has_it => open.phase = Phase::ToSend { at: now },
            _ => {}
        }
    }

    /// Advances all unfinished work.
    pub(super) fn advance_work(&mut self, now: Timestamp, fleet: &Fleet) -> Vec<Action> {
        let mut actions = Vec::new();
        let replicas: Vec<ReplicaId> = self.work.keys().cloned().collect();
        for replica in replicas {
            let Some(work) = self.work.remove(&replica) else {
                continue;
            };
            let next = match work {
                Work::ToIssue { planned, at } if at <= now => {
                    self.issue(now, planned, fleet, &mut actions)
                }
                Work::Open(open) => self.advance_open(now, &replica, open, fleet, &mut actions),
                Work::Reserving(_) | Work::ToIssue { .. } | Work::Issuing(_) => Some(work),
            };
            if let Some(next) = next {
                self.work.insert(replica, next);
            }
        }
        actions
    }

    /// Issues an order, unless it is outdated.
    fn issue(
        &mut self,
        now: Timestamp,
        planned: PlannedOrder,
        fleet: &Fleet,
        actions: &mut Vec<Action>,
    ) -> Option<Work> {
        let health = self.observed.health(now, &planned.replica);
        if health == Some(ReplicaHealth::Unreachable) {
            return Some(Work::ToIssue { planned, at: now });
        }
        let answers = health == Some(ReplicaHealth::Responding);
        if !answers || !is_still_requested(&planned.order, fleet) {
            let reason = if answers {
                ReasonCode::OrderOutdated
            } else {
                ReasonCode::ReplicaGone
            };
            self.record_order(now, &planned.replica, reason, describe(&planned.order));
            return None;
        }
        actions.push(self.issue_action(&planned));
        Some(Work::Issuing(planned))
    }

    pub(super) fn issue_action(&self, planned: &PlannedOrder) -> Action {
        Action::Issue {
            replica: planned.replica.clone(),
            order: planned.order.clone(),
            term: self.term,
        }
    }

    fn advance_open(
        &mut self,
        now: Timestamp,
        replica: &ReplicaId,
        mut open: OpenOrder,
        fleet: &Fleet,
        actions: &mut Vec<Action>,
    ) -> Option<Work> {
        self.abandon_if_due(now, replica, &mut open);
        match open.phase {
            Phase::Inherited if self.observed.engine(replica).is_some() => {
                return self.take_over(now, replica, open, fleet, actions);
            }
            Phase::ToSend { at } if at <= now => self.send(replica, &mut open, actions),
            Phase::Ended { at } if at <= now => {
                open.phase = Phase::Settling;
                actions.push(Action::Settle {
                    replica: replica.clone(),
                    token: open.token,
                });
            }
            _ => {}
        }
        Some(Work::Open(open))
    }

    fn send(&self, replica: &ReplicaId, open: &mut OpenOrder, actions: &mut Vec<Action>) {
        let Some(address) = self.observed.address(replica) else {
            return;
        };
        open.phase = Phase::Sending;
        actions.push(Action::Send {
            order: IssuedOrder {
                replica: replica.clone(),
                token: open.token,
                order: open.order.clone(),
            },
            address: address.to_owned(),
        });
    }

    /// Takes over an earlier leader's order that the engine does not have. That
    /// leader may still send the order and has to be fenced off, so the order is
    /// issued again in this term, or ends if it is outdated.
    fn take_over(
        &mut self,
        now: Timestamp,
        replica: &ReplicaId,
        mut open: OpenOrder,
        fleet: &Fleet,
        actions: &mut Vec<Action>,
    ) -> Option<Work> {
        let outcome = describe(&open.order);
        if !is_still_requested(&open.order, fleet) {
            open.phase = Phase::Ended { at: now };
            self.record_order(now, replica, ReasonCode::OrderOutdated, outcome);
            return Some(Work::Open(open));
        }
        self.record_order(now, replica, ReasonCode::OrderTakenOver, outcome);
        let planned = PlannedOrder {
            replica: replica.clone(),
            order: open.order,
            reason: ReasonCode::OrderTakenOver,
        };
        actions.push(self.issue_action(&planned));
        Some(Work::Issuing(planned))
    }

    /// Ends an order whose engine is dead or removed, or that timed out.
    fn abandon_if_due(&mut self, now: Timestamp, replica: &ReplicaId, open: &mut OpenOrder) {
        let limits = &self.limits;
        let age_ms = |since: Timestamp| now.0.saturating_sub(since.0);
        let timed_out = match open.phase {
            Phase::Ended { .. } | Phase::Settling => return,
            Phase::Accepted { at } => age_ms(at) >= limits.effect_timeout_ms,
            Phase::Inherited | Phase::ToSend { .. } | Phase::Sending | Phase::Refused => {
                age_ms(open.seen_at) >= limits.accept_timeout_ms
            }
        };
        let dead = self.observed.health(now, replica) == Some(ReplicaHealth::Dead);
        let reason = if dead || self.observed.is_unlisted(replica) {
            ReasonCode::ReplicaGone
        } else if timed_out {
            ReasonCode::OrderTimedOut
        } else {
            return;
        };
        open.phase = Phase::Ended { at: now };
        self.record_order(now, replica, reason, describe(&open.order));
    }

    fn open_mut(&mut self, replica: &ReplicaId, token: FencingToken) -> Option<&mut OpenOrder> {
        match self.work.get_mut(replica) {
            Some(Work::Open(open)) if open.token == token => Some(open),
            _ => None,
        }
    }

    fn record_order(
        &mut self,
        now: Timestamp,
        replica: &ReplicaId,
        reason: ReasonCode,
        outcome: String,
    ) {
        self.record(now, DecisionKind::Order, replica, reason, outcome);
    }
}
