//! Gateways that are attached to a control machine, and what they are told.

use linnethitch_control::member::{Member, MemberNotice, MemberTime};
use linnethitch_protocol::{attach::ControlMessage, ids::Revision};

use super::{ControlMachine, WorkResult};
use crate::{
    actors::ActorId,
    network::{Address, Packet},
};

/// How often a member tells gateways how fresh it is, in milliseconds.
const FRESHNESS_INTERVAL_MS: u64 = 400;

/// A gateway that is attached here.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttachedGateway {
    connection: u64,
    next_sequence: u64,
    /// The revision that it has or was sent.
    revision: Revision,
}

impl ControlMachine {
    /// Takes a gateway in and sends what it lacks.
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

    /// Tells attached gateways how fresh this member is.
    pub(super) fn tell_freshness(
        &mut self,
        member: &Member,
        time: MemberTime,
        result: &mut WorkResult,
    ) {
        let due = time.monotonic_ms >= self.freshness_told_ms + FRESHNESS_INTERVAL_MS;
        if !due || self.attached.is_empty() {
            return;
        }
        self.freshness_told_ms = time.monotonic_ms;
        let confirmed_at = member.view().confirmed_at;
        let message = ControlMessage::Freshness {
            confirmed_at,
            now: time.wall,
            revision: member.ledger().revision(),
            pending: member.ledger().pending_items(),
        };
        self.tell_all(&message, result);
    }

    pub(super) fn tell_gateways(
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
                self.tell_all(&ControlMessage::CancelJobs(vec![job.clone()]), result);
            }
            _ => {}
        }
    }

    /// Sends what a gateway lacks, as deltas where the history reaches back far enough.
    fn send_configuration(&mut self, member: &Member, actor: ActorId, result: &mut WorkResult) {
        let newest = member.ledger().revision();
        let Some(attached) = self.attached.get_mut(&actor) else {
            return;
        };
        let known = attached.revision;
        if newest <= known {
            return;
        }
        attached.revision = newest;
        let updates = member
            .ledger()
            .configuration_updates_since(known)
            .unwrap_or_else(|| vec![member.ledger().configuration_full()]);
        for update in updates {
            self.tell(actor, ControlMessage::Configuration(update), result);
        }
    }

    fn tell_all(&mut self, message: &ControlMessage, result: &mut WorkResult) {
        let actors: Vec<ActorId> = self.attached.keys().copied().collect();
        for actor in actors {
            self.tell(actor, message.clone(), result);
        }
    }

    /// Sends to an attached gateway.
    fn tell(&mut self, actor: ActorId, message: ControlMessage, result: &mut WorkResult) {
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
