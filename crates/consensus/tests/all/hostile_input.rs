//! Bytes and messages from faulty or hostile peers.

use linnethitch_protocol::{
    attach::{ControlMessage, GatewayMessage, PeerMessage},
    command::Command,
    consensus::{ConsensusBody, ConsensusMessage, EntryPayload},
    format::Format,
    frame::{self, FrameKind, HEADER_BYTES, MAX_PAYLOAD_BYTES},
};
use proptest::{
    prelude::*,
    test_runner::{Config, TestRng, TestRunner},
};
use rstest::rstest;

use crate::{cluster::Cluster, messages};

const RUNS: u32 = 1_000;
/// Runs that simulate a cluster, which take longer.
const CLUSTER_RUNS: u32 = 300;
/// Maximum bytes of a decoded value in memory for each byte received.
const MAX_EXPANSION: usize = 16;

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let algorithm = config.rng_algorithm;
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(algorithm))
}

/// Changes to a valid frame.
#[derive(Clone, Debug)]
enum Mutation {
    Set(prop::sample::Index, u8),
    Truncate(prop::sample::Index),
    Insert(prop::sample::Index, u8),
    Repeat(prop::sample::Index, u8),
}

fn mutation() -> impl Strategy<Value = Mutation> {
    prop_oneof![
        6 => (any::<prop::sample::Index>(), any::<u8>()).prop_map(|(at, byte)| {
            Mutation::Set(at, byte)
        }),
        1 => any::<prop::sample::Index>().prop_map(Mutation::Truncate),
        1 => (any::<prop::sample::Index>(), any::<u8>()).prop_map(|(at, byte)| {
            Mutation::Insert(at, byte)
        }),
        1 => (any::<prop::sample::Index>(), any::<u8>()).prop_map(|(at, count)| {
            Mutation::Repeat(at, count)
        }),
    ]
}

fn mutate(bytes: &mut Vec<u8>, mutation: &Mutation) {
    if bytes.is_empty() {
        return;
    }
    match mutation {
        Mutation::Set(at, byte) => {
            let at = at.index(bytes.len());
            bytes[at] = *byte;
        }
        Mutation::Truncate(at) => bytes.truncate(at.index(bytes.len())),
        Mutation::Insert(at, byte) => bytes.insert(at.index(bytes.len()), *byte),
        Mutation::Repeat(at, count) => {
            let tail = bytes[at.index(bytes.len())..].to_vec();
            for _ in 0..*count % 8 {
                bytes.extend_from_slice(&tail);
            }
        }
    }
}

/// Bytes that a decoded message takes in memory.
fn decoded_bytes(message: &ConsensusMessage) -> usize {
    let inner = match &message.body {
        ConsensusBody::Append(append) => append
            .entries
            .iter()
            .map(|entry| {
                let payload = match &entry.payload {
                    EntryPayload::Command(command) => command.len(),
                    EntryPayload::Membership(_, result) => {
                        (result.voters.len() + result.learners.len()) * 16
                    }
                    EntryPayload::Empty => 0,
                };
                payload + size_of_val(entry)
            })
            .sum(),
        ConsensusBody::SnapshotChunk(chunk) => {
            let membership = &chunk.meta.membership;
            let members = membership.voters.len() + membership.learners.len();
            chunk.data.len() + members * 16
        }
        _ => 0,
    };
    inner + size_of_val(message)
}

/// Decodes the bytes as every kind of message; none may panic.
fn decode_as_everything(bytes: &[u8]) {
    let _ = frame::decode::<PeerMessage>(bytes);
    let _ = frame::decode::<GatewayMessage>(bytes);
    let _ = frame::decode::<ControlMessage>(bytes);
    let _ = frame::decode::<Command>(bytes);
    if let Ok(message) = frame::decode::<ConsensusMessage>(bytes) {
        let limit = bytes.len() * MAX_EXPANSION + size_of::<ConsensusMessage>();
        assert!(decoded_bytes(&message) <= limit, "{message:?}");
    }
}

#[test]
fn encoded_messages_decode_to_the_same_message() {
    let outcome = runner(RUNS).run(&messages::message(), |message| {
        let bytes =
            frame::write_frame(FrameKind::Peer, Format::NEWEST, &message).expect("it is small");
        let (header, payload) = bytes.split_first_chunk::<HEADER_BYTES>().expect("a header");
        let header = frame::read_header(header).expect("it is valid");
        prop_assert_eq!(header.length, payload.len());
        let decoded: ConsensusMessage = frame::read_payload(&header, payload).expect("it is valid");
        prop_assert_eq!(decoded, message);
        Ok(())
    });
    outcome.unwrap_or_else(|failure| panic!("{failure}"));
}

#[test]
fn random_bytes_are_refused_or_decoded() {
    let bytes = prop::collection::vec(any::<u8>(), 0..400);
    let outcome = runner(RUNS).run(&bytes, |bytes| {
        decode_as_everything(&bytes);
        if let Some(header) = bytes.first_chunk::<HEADER_BYTES>()
            && let Ok(header) = frame::read_header(header)
        {
            prop_assert!(header.length <= MAX_PAYLOAD_BYTES);
        }
        Ok(())
    });
    outcome.unwrap_or_else(|failure| panic!("{failure}"));
}

#[test]
fn mutated_messages_are_refused_or_decoded() {
    let mutations = prop::collection::vec(mutation(), 1..5);
    let outcome = runner(RUNS).run(&(messages::message(), mutations), |(message, mutations)| {
        let mut bytes = frame::encode(&message).expect("it is small").to_vec();
        for mutation in &mutations {
            mutate(&mut bytes, mutation);
        }
        decode_as_everything(&bytes);
        Ok(())
    });
    outcome.unwrap_or_else(|failure| panic!("{failure}"));
}

#[test]
fn a_mutated_frame_is_detected_by_its_checksum() {
    let outcome = runner(RUNS).run(
        &(messages::message(), any::<prop::sample::Index>()),
        |case| {
            let (message, at) = case;
            let mut bytes =
                frame::write_frame(FrameKind::Peer, Format::NEWEST, &message).expect("it is small");
            let at = HEADER_BYTES + at.index(bytes.len() - HEADER_BYTES);
            bytes[at] ^= 1;
            let (header, payload) = bytes.split_first_chunk::<HEADER_BYTES>().expect("a header");
            let header = frame::read_header(header).expect("the header is untouched");
            prop_assert!(frame::read_payload::<ConsensusMessage>(&header, payload).is_err());
            Ok(())
        },
    );
    outcome.unwrap_or_else(|failure| panic!("{failure}"));
}

/// For any messages in any state, the node neither panics nor requests writes that do
/// not fit its log.
#[rstest]
#[case::before_an_election(false)]
#[case::with_a_leader(true)]
fn arbitrary_messages_do_no_harm(#[case] elected: bool) {
    let received = prop::collection::vec((messages::message(), 0..40_u32), 1..60);
    let outcome = runner(CLUSTER_RUNS).run(&received, |received| {
        let mut cluster = Cluster::new(3);
        if elected {
            let leader = cluster.elect();
            cluster.propose(leader, "known");
            cluster.settle();
        }
        for (message, ticks) in received {
            cluster.deliver(message);
            for machine in 1..=3 {
                for _ in 0..ticks / 4 {
                    cluster.tick(crate::cluster::member(machine));
                }
            }
            for _ in 0..ticks {
                cluster.deliver_next();
            }
        }
        Ok(())
    });
    outcome.unwrap_or_else(|failure| panic!("{failure}"));
}
