//! A gateway's connection to a control member, and the updates received on it.

use std::time::Duration;

use linnethitch_gateway::control::members::FreshnessWatch;
use linnethitch_ledger::Ledger;
use linnethitch_protocol::{
    attach::{ControlMessage, PendingItems},
    ids::{JobId, Revision},
};
use linnethitch_storage::VirtualDisk;
use rand::seq::IndexedRandom;

use super::follower::{StoredConfiguration, UpdateResult};
use crate::{
    actors::Context,
    checker::{Checker, Invariant},
    network::{Address, Packet},
};

/// An update from control for the batch execution of the gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum BatchUpdate {
    /// The pending items in the ledger.
    Pending(Vec<PendingItems>),
    /// Jobs whose items must stop.
    Cancelled(Vec<JobId>),
    /// No update.
    Nothing,
}

/// The member that a gateway is attached to.
struct Connection {
    member: Address,
    next_sequence: u64,
    watch: FreshnessWatch,
}

/// Follows the configuration over a connection to one member at a time.
pub(super) struct Attachment {
    name: String,
    configuration: StoredConfiguration,
    connection: Option<Connection>,
    /// Number of the newest connection.
    number: u64,
    /// Whether to request the full configuration text with the next connection.
    needs_full_text: bool,
    /// The highest revision that has been in force at this gateway.
    highest_revision: Revision,
}

impl Attachment {
    /// Creates an attachment without a connection and with a blank disk.
    pub(super) fn new(name: String, disk_seed: u64) -> Self {
        Attachment {
            name,
            configuration: StoredConfiguration::open(VirtualDisk::new(disk_seed)),
            connection: None,
            number: 0,
            needs_full_text: false,
            highest_revision: Revision(0),
        }
    }

    /// Attaches to a random member if the current one lags or is silent, or if there is none.
    pub(super) fn check(&mut self, context: &mut Context) {
        let now = Duration::from_millis(context.now_ms);
        let connection = self.connection.as_ref();
        if connection.is_none_or(|connection| connection.watch.is_stale(now)) {
            self.attach(context);
        }
    }

    /// Attaches to a random member and reports the stored revision.
    fn attach(&mut self, context: &mut Context) {
        let Some(machine) = context.machines.choose(context.random).copied() else {
            return;
        };
        let member = Address::Control(machine);
        let revision = match std::mem::take(&mut self.needs_full_text) {
            true => Revision(0),
            false => self.configuration.revision(),
        };
        self.connection = Some(Connection {
            member,
            next_sequence: 0,
            watch: FreshnessWatch::new(Duration::from_millis(context.now_ms)),
        });
        self.number += 1;
        let packet = Packet::Attach {
            connection: self.number,
            revision,
        };
        context.send(member, packet);
    }

    /// Handles a message from the member; a gap in the sequence means that the connection broke.
    pub(super) fn receive(
        &mut self,
        from: Address,
        number: u64,
        sequence: u64,
        message: ControlMessage,
        context: &mut Context,
    ) -> BatchUpdate {
        let connection = self.connection.as_mut();
        let current =
            connection.filter(|connection| connection.member == from && number == self.number);
        let Some(connection) = current else {
            return BatchUpdate::Nothing;
        };
        if connection.next_sequence != sequence {
            self.attach(context);
            return BatchUpdate::Nothing;
        }
        connection.next_sequence += 1;
        match message {
            ControlMessage::Configuration(update) => {
                let result = self.configuration.on_update(&update);
                self.on_update_result(result, context);
                BatchUpdate::Nothing
            }
            ControlMessage::Freshness {
                confirmed_at,
                now,
                pending,
                ..
            } => {
                let age = Duration::from_millis(now.0.saturating_sub(confirmed_at.0));
                let local_now = Duration::from_millis(context.now_ms);
                connection.watch.on_stamp(local_now, age);
                BatchUpdate::Pending(pending)
            }
            ControlMessage::CancelJobs(jobs) => BatchUpdate::Cancelled(jobs),
            _ => BatchUpdate::Nothing,
        }
    }

    fn on_update_result(&mut self, result: UpdateResult, context: &mut Context) {
        match result {
            UpdateResult::InForce(revision) => self.record_revision(revision, context.checker),
            UpdateResult::Unchanged => {}
            UpdateResult::NeedsFullText => {
                self.needs_full_text = true;
                self.attach(context);
            }
        }
    }

    fn record_revision(&mut self, revision: Revision, checker: &mut Checker) {
        let highest_revision = self.highest_revision;
        checker.require(revision >= highest_revision, Invariant::NeverBack, || {
            format!(
                "gateway {} went back from {highest_revision} to {revision}",
                self.name
            )
        });
        self.highest_revision = revision;
    }

    /// Restarts the process, or the machine, from the disk.
    pub(super) fn restart(&mut self, machine_stops: bool, checker: &mut Checker) {
        self.configuration.restart(machine_stops);
        self.connection = None;
        self.record_revision(self.configuration.revision(), checker);
    }

    /// Describes the missing configuration until the newest revision is in force, if any.
    pub(super) fn open_work(&self, checker: &Checker) -> Option<String> {
        let current = self.configuration.revision();
        let newest = checker.newest_revision();
        (current < newest)
            .then(|| format!("gateway {} has revision {current}, not {newest}", self.name))
    }

    /// Compares the configuration text in force with that of control.
    pub(super) fn check_after_recovery(&self, ledger: &Ledger, checker: &mut Checker) {
        let same = ledger.revision() != self.configuration.revision()
            || *ledger.configuration_text() == *self.configuration.content();
        checker.require(same, Invariant::EqualStates, || {
            format!("gateway {} has another text for its revision", self.name)
        });
    }
}
