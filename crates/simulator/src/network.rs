//! The virtual network: delay, loss, duplication, reordering and partitions.

use std::collections::BTreeMap;

use linnethitch_errors::{ErrorKind, Executed};
use linnethitch_protocol::{
    attach::{ControlAnswer, ControlCall, ControlMessage, PeerMessage},
    ids::{IdempotencyKey, MachineId, Revision},
};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::actors::ActorId;

/// Minimum latency of a message, in milliseconds.
const MIN_LATENCY_MS: u64 = 1;
/// Maximum latency of a message without faults, in milliseconds.
const MAX_LATENCY_MS: u64 = 3;
/// Number of regions of machines and actors.
pub(crate) const REGIONS: u32 = 3;

/// A sender or receiver of messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Address {
    /// A control machine.
    Control(MachineId),
    /// A simulated process that uses control.
    Actor(ActorId),
}

impl Address {
    /// The number of its region.
    pub(crate) fn region(self) -> u32 {
        match self {
            Address::Control(machine) => machine.0 % REGIONS,
            Address::Actor(actor) => actor.0 % REGIONS,
        }
    }
}

/// The content of a message.
#[derive(Clone, Debug)]
pub(crate) enum Packet {
    /// A message between control members.
    Peer(PeerMessage),
    /// A call of an actor to control.
    Call {
        /// The actor's number of the call, which the answer repeats.
        number: u64,
        /// The call.
        body: ControlCall,
    },
    /// The answer to a call.
    Answer {
        /// The number of the call.
        number: u64,
        /// The answer.
        body: ControlAnswer,
    },
    /// A gateway attaches.
    Attach {
        /// The gateway's number for the connection.
        connection: u64,
        /// The configuration revision that the gateway has stored.
        revision: Revision,
    },
    /// A caller's request to a gateway.
    Request(OnlineRequest),
    /// A gateway's answer to a caller.
    Reply {
        /// The number of the request.
        number: u64,
        /// The answer.
        answer: OnlineAnswer,
    },
    /// A message to an attached gateway.
    Attached {
        /// The number of the connection.
        connection: u64,
        /// The sequence number of the message on the connection; a gap means that the connection
        /// broke.
        sequence: u64,
        /// The message.
        message: ControlMessage,
    },
}

/// A caller's request with an idempotency key.
#[derive(Clone, Debug)]
pub(crate) struct OnlineRequest {
    /// The caller's number for this transmission.
    pub(crate) number: u64,
    /// The idempotency key; the same in every transmission.
    pub(crate) key: IdempotencyKey,
    /// Digest of the content.
    pub(crate) content_digest: u64,
    /// Whether the request must run at most once.
    pub(crate) at_most_once: bool,
}

/// The answer of a gateway to a request.
#[derive(Clone, Debug)]
pub(crate) enum OnlineAnswer {
    /// The request ran.
    Answered {
        /// The answer.
        body: Vec<u8>,
        /// Whether the ledger has stored the answer.
        stored: bool,
    },
    /// The request was refused.
    Refused {
        /// The reason.
        kind: ErrorKind,
        /// Whether the request ran.
        executed: Executed,
    },
}

/// A message in transit.
#[derive(Clone, Debug)]
pub(crate) struct Envelope {
    /// The sender.
    pub(crate) from: Address,
    /// The receiver.
    pub(crate) to: Address,
    /// The content.
    pub(crate) packet: Packet,
}

/// A set of connections on which messages are silently dropped.
#[derive(Clone, Debug)]
pub(crate) enum Cut {
    /// From the first address to the second.
    OneWay(Address, Address),
    /// From and to the address.
    Both(Address),
    /// From the address to all others.
    Outgoing(Address),
    /// From all others to the address.
    Incoming(Address),
    /// Between the listed control machines and the other ones.
    Split(Vec<MachineId>),
    /// Between the region and the other ones.
    Region(u32),
}

impl Cut {
    fn drops(&self, from: Address, to: Address) -> bool {
        match self {
            Cut::OneWay(one, other) => (from, to) == (*one, *other),
            Cut::Both(one) => from == *one || to == *one,
            Cut::Outgoing(one) => from == *one,
            Cut::Incoming(one) => to == *one,
            Cut::Split(part) => match (from, to) {
                (Address::Control(from), Address::Control(to)) => {
                    part.contains(&from) != part.contains(&to)
                }
                _ => false,
            },
            Cut::Region(region) => (from.region() == *region) != (to.region() == *region),
        }
    }
}

/// A temporary disturbance of all messages.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Disturbance {
    /// Share of messages that are lost, from 0 to 1.
    pub(crate) loss: f64,
    /// Share of messages between members that are duplicated, from 0 to 1.
    pub(crate) duplication: f64,
    /// Maximum additional delay, in milliseconds.
    pub(crate) delay_ms: u64,
}

/// The state of the network.
pub(crate) struct Network {
    random: Pcg64Mcg,
    /// Active cuts by the number of their fault.
    pub(crate) cuts: BTreeMap<u64, Cut>,
    /// Active disturbances by the number of their fault.
    pub(crate) disturbances: BTreeMap<u64, Disturbance>,
}

impl Network {
    /// Creates a network without faults.
    pub(crate) fn new(random: Pcg64Mcg) -> Self {
        Network {
            random,
            cuts: BTreeMap::new(),
            disturbances: BTreeMap::new(),
        }
    }

    /// Whether a cut drops messages from one address to the other.
    pub(crate) fn is_cut(&self, from: Address, to: Address) -> bool {
        self.cuts.values().any(|cut| cut.drops(from, to))
    }

    /// Returns the delays of the delivered copies of a message, in milliseconds; empty if the
    /// message is lost.
    pub(crate) fn route(&mut self, envelope: &Envelope) -> Vec<u64> {
        if self.is_cut(envelope.from, envelope.to) {
            return Vec::new();
        }
        let mut delays = Vec::with_capacity(1);
        let disturbances: Vec<Disturbance> = self.disturbances.values().copied().collect();
        for disturbance in &disturbances {
            if disturbance.loss > 0.0 && self.random.random_bool(disturbance.loss) {
                return delays;
            }
        }
        delays.push(self.delay(&disturbances));
        // Calls use connections, which deliver a message at most once.
        let may_duplicate = matches!(
            envelope.packet,
            Packet::Peer(PeerMessage::Consensus(_) | PeerMessage::Hello { .. })
        );
        for disturbance in &disturbances {
            if may_duplicate
                && disturbance.duplication > 0.0
                && self.random.random_bool(disturbance.duplication)
            {
                delays.push(self.delay(std::slice::from_ref(disturbance)));
            }
        }
        delays
    }

    fn delay(&mut self, disturbances: &[Disturbance]) -> u64 {
        let max_delay_ms = disturbances
            .iter()
            .map(|disturbance| disturbance.delay_ms)
            .max();
        let additional_ms = match max_delay_ms {
            Some(max_delay_ms) if max_delay_ms > 0 => self.random.random_range(0..=max_delay_ms),
            _ => 0,
        };
        self.random.random_range(MIN_LATENCY_MS..=MAX_LATENCY_MS) + additional_ms
    }
}
