//! Orders to engines, fenced by tokens.

use std::collections::BTreeMap;

use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    command::{EngineOrder, Outcome},
    ids::{FencingToken, ReplicaId, Term, Timestamp},
};
use rkyv::{Archive, Deserialize, Serialize};

use crate::{
    limits::MAX_OPEN_ORDERS,
    refusal::{Applied, ready, refuse},
};

/// An order that is not settled yet.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct OpenOrder {
    /// The order's fencing token; higher than the token of every earlier order.
    pub token: FencingToken,
    /// What the engine has to do.
    pub order: EngineOrder,
    /// When the order was issued.
    pub issued_at: Timestamp,
}

/// The newest token and the open orders.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Orders {
    /// The newest token.
    pub(crate) last_token: FencingToken,
    /// The open order of each replica.
    pub(crate) open: BTreeMap<ReplicaId, OpenOrder>,
}

impl Orders {
    pub(crate) fn issue(
        &mut self,
        now: Timestamp,
        replica: &ReplicaId,
        order: &EngineOrder,
        term: Term,
    ) -> Applied {
        if term < self.last_token.term {
            let message = format!(
                "stale order: term {term} is older than term {} of the newest order",
                self.last_token.term
            );
            return refuse(ErrorKind::InvalidState, message);
        }
        if self.open.len() >= MAX_OPEN_ORDERS && !self.open.contains_key(replica) {
            return refuse(ErrorKind::Overloaded, "too many orders are open");
        }
        self.last_token = FencingToken {
            term,
            sequence: self.last_token.sequence + 1,
        };
        let open = OpenOrder {
            token: self.last_token,
            order: order.clone(),
            issued_at: now,
        };
        self.open.insert(replica.clone(), open);
        ready(Outcome::Order(self.last_token))
    }

    pub(crate) fn settle(&mut self, replica: &ReplicaId, token: FencingToken) -> Applied {
        if self
            .open
            .get(replica)
            .is_some_and(|order| order.token == token)
        {
            self.open.remove(replica);
        }
        ready(Outcome::Done)
    }
}
