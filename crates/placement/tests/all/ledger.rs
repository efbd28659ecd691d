//! The real ledger in memory, in place of the ledger of a control member.

use linnethitch_ledger::Ledger;
use linnethitch_placement::reconciler::IssuedOrder;
use linnethitch_protocol::{
    command::{ApplyOutcome, Command, CommandBody, Outcome},
    ids::{ChangeId, LogIndex, Timestamp},
};
use linnethitch_storage::MemoryPayloads;

pub(crate) struct OrderLedger {
    ledger: Ledger,
    index: LogIndex,
}

impl OrderLedger {
    pub(crate) fn new(fleet_file: &str) -> Self {
        let mut ledger = OrderLedger {
            ledger: Ledger::new(Box::new(MemoryPayloads::new())),
            index: LogIndex(0),
        };
        ledger.apply_fleet(fleet_file);
        ledger
    }

    /// Puts a fleet file in force.
    pub(crate) fn apply_fleet(&mut self, fleet_file: &str) {
        let expected = self.ledger.revision();
        let outcome = self.commit(CommandBody::ApplyConfiguration {
            change: ChangeId(format!("change-{expected}")),
            expected,
            content: fleet_file.to_owned(),
        });
        let accepted = matches!(outcome, Outcome::Configuration(ApplyOutcome::Accepted(_)));
        assert!(accepted, "{outcome:?}");
    }

    pub(crate) fn commit(&mut self, body: CommandBody) -> Outcome {
        self.index = LogIndex(self.index.0 + 1);
        let now = Timestamp(self.index.0);
        let answer = self.ledger.apply(self.index, &Command { now, body });
        let outcome = answer.and_then(|answer| self.ledger.outcome(answer));
        outcome.expect("the payloads are in memory")
    }

    pub(crate) fn open_orders(&self) -> Vec<IssuedOrder> {
        let open = self.ledger.open_orders();
        open.map(|(replica, open)| IssuedOrder {
            replica: replica.clone(),
            token: open.token,
            order: open.order.clone(),
        })
        .collect()
    }

    pub(crate) fn state(&self) -> &Ledger {
        &self.ledger
    }
}
