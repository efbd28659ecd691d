//! Gateways attached to a control machine, and the messages sent to them.

use linnethitch_control::member::{Member, MemberNotice, MemberTime};
use linnethitch_protocol::{attach::ControlMessage, ids::Revision};

use super::{ControlMachine, WorkResult};
use crate::{
    actors::ActorId,
    network::{Address, Packet},
};

/// Interval at which a member sends its freshness to gateways, in milliseconds.
const FRESHNESS_INTERVAL_MS: u64 = 400;

/// An attached gateway.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttachedGateway {
    connection: u64,
    next_sequence: u64,
    /// The newest configuration revision that the gateway reported or was sent.
    revision: Revision,
}

impl ControlMachine {
    /// Attaches a gateway and sends the configuration updates that it lacks.
    pub(super) fn attach(
        &mut self,
        member: &Member,
        actor: ActorId,
        connection: u64,
        revision: Revision,
        result: &mut WorkResult,
    ) {
        let attached = AttachedGateway {
            connection,
            next_sequence: 0,
            revision,
        };
        self.attached.insert(actor, attached);
        self.send_configuration(member, actor, result);
    }

    /// Sends the freshness of this member to attached gateways.
    pub(super) fn send_freshness(
        &mut self,
        member: &Member,
        time: MemberTime,
        result: &mut WorkResult,
    ) {
        let due = time.monotonic_ms >= self.freshness_sent_ms + FRESHNESS_INTERVAL_MS;
        if !due || self.attached.is_empty() {
            return;
        }
        self.freshness_sent_ms = time.monotonic_ms;
        let confirmed_at = member.view().confirmed_at;
        let message = ControlMessage::Freshness {
            confirmed_at,
            now: time.wall,
            revision: member.ledger().revision(),
            pending: member.ledger().pending_items(),
        };
        self.send_to_all(&message, result);
    }

    pub(super) fn notify_gateways(
        &mut self,
        member: &Member,
        notice: &MemberNotice,
        result: &mut WorkResult,
    ) {
        let actors: Vec<ActorId> = self.attached.keys().copied().collect();
        match notice {
            MemberNotice::Configuration(_) | MemberNotice::SnapshotInstalled(_) => {
                for actor in actors {
                    self.send_configuration(member, actor, result);
                }
            }
            MemberNotice::JobCancelled(job) => {
                self.send_to_all(&ControlMessage::CancelJobs(vec![job.clone()]), result);
            }
            _ => {}
        }
    }

    /// Sends the configuration updates that a gateway lacks: deltas if the history reaches back
    /// far enough, otherwise the full text.
    fn send_configuration(&mut self, member: &Member, actor: ActorId, result: &mut WorkResult) {
        let newest = member.ledger().revision();
        let Some(attached) = self.attached.get_mut(&actor) else {
            return;
        };
        let sent_revision = attached.revision;
        if newest <= sent_revision {
            return;
        }
        attached.revision = newest;
        let updates = member
            .ledger()
            .configuration_updates_since(sent_revision)
            .unwrap_or_else(|| vec![member.ledger().configuration_full()]);
        for update in updates {
            self.send_to_gateway(actor, ControlMessage::Configuration(update), result);
        }
    }

    fn send_to_all(&mut self, message: &ControlMessage, result: &mut WorkResult) {
        let actors: Vec<ActorId> = self.attached.keys().copied().collect();
        for actor in actors {
            self.send_to_gateway(actor, message.clone(), result);
        }
    }

    /// Sends a message to an attached gateway.
    fn send_to_gateway(
        &mut self,
        actor: ActorId,
        message: ControlMessage,
        result: &mut WorkResult,
    ) {
        let Some(attached) = self.attached.get_mut(&actor) else {
            return;
        };
        let packet = Packet::Attached {
            connection: attached.connection,
            sequence: attached.next_sequence,
            message,
        };
        attached.next_sequence += 1;
        self.send(Address::Actor(actor), packet, result);
    }
}
