//! Strategies for arbitrary consensus messages.

use linnethitch_protocol::{
    consensus::{
        Append, AppendResponse, ConsensusBody, ConsensusMessage, Entry, EntryPayload, Membership,
        MembershipChange, SnapshotChunk, SnapshotMeta, SnapshotResponse,
    },
    ids::{LogIndex, MemberId, Term},
};
use proptest::prelude::*;

use crate::cluster::{member, member_on};

/// Small numbers, which match the state of a small cluster, and extreme ones.
fn number() -> impl Strategy<Value = u64> {
    prop_oneof![
        8 => 0..12_u64,
        1 => any::<u64>(),
        1 => Just(u64::MAX),
    ]
}

fn term() -> impl Strategy<Value = Term> {
    number().prop_map(Term)
}

fn index() -> impl Strategy<Value = LogIndex> {
    number().prop_map(LogIndex)
}

fn member_id() -> impl Strategy<Value = MemberId> {
    prop_oneof![
        6 => (1..5_u32).prop_map(member),
        1 => (1..5_u32, any::<u64>()).prop_map(|(machine, disk)| member_on(machine, disk)),
    ]
}

fn bytes() -> impl Strategy<Value = Vec<u8>> {
    prop::collection::vec(any::<u8>(), 0..40)
}

fn membership() -> impl Strategy<Value = Membership> {
    let members = || prop::collection::vec(member_id(), 0..4);
    (members(), members()).prop_map(|(voters, learners)| Membership { voters, learners })
}

fn change() -> impl Strategy<Value = MembershipChange> {
    prop_oneof![
        member_id().prop_map(MembershipChange::AddLearner),
        member_id().prop_map(MembershipChange::PromoteLearner),
        member_id().prop_map(MembershipChange::Remove),
    ]
}

fn payload() -> impl Strategy<Value = EntryPayload> {
    prop_oneof![
        Just(EntryPayload::Empty),
        bytes().prop_map(EntryPayload::Command),
        (change(), membership())
            .prop_map(|(change, result)| { EntryPayload::Membership(change, result) }),
    ]
}

fn entry() -> impl Strategy<Value = Entry> {
    (term(), index(), payload()).prop_map(|(term, index, payload)| Entry {
        term,
        index,
        payload,
    })
}

fn snapshot_meta() -> impl Strategy<Value = SnapshotMeta> {
    (index(), term(), membership()).prop_map(|(index, term, membership)| SnapshotMeta {
        index,
        term,
        membership,
    })
}

/// Consecutive entries of one term after an index, as a leader would send them.
fn following(previous: LogIndex, term: Term, payloads: Vec<EntryPayload>) -> Vec<Entry> {
    let numbered = payloads.into_iter().zip(1_u64..);
    numbered
        .map(|(payload, offset)| Entry {
            term,
            index: LogIndex(previous.0.wrapping_add(offset)),
            payload,
        })
        .collect()
}

fn append() -> impl Strategy<Value = ConsensusBody> {
    let arbitrary = prop::collection::vec(entry(), 0..4);
    let payloads = prop::collection::vec(payload(), 0..4);
    let entries = (any::<bool>(), arbitrary, payloads);
    (index(), term(), entries, index(), number()).prop_map(
        |(previous_index, previous_term, (plausible, arbitrary, payloads), commit, round)| {
            let entries = if plausible {
                following(previous_index, previous_term, payloads)
            } else {
                arbitrary
            };
            ConsensusBody::Append(Append {
                previous_index,
                previous_term,
                entries,
                commit,
                round,
            })
        },
    )
}

fn snapshot_chunk() -> impl Strategy<Value = ConsensusBody> {
    (snapshot_meta(), number(), bytes(), any::<bool>(), number()).prop_map(
        |(meta, offset, data, last, round)| {
            ConsensusBody::SnapshotChunk(SnapshotChunk {
                meta,
                offset,
                data,
                last,
                round,
            })
        },
    )
}

fn snapshot_response() -> impl Strategy<Value = ConsensusBody> {
    (index(), number(), any::<bool>(), number()).prop_map(
        |(index, next_offset, installed, round)| {
            ConsensusBody::SnapshotResponse(SnapshotResponse {
                index,
                next_offset,
                installed,
                round,
            })
        },
    )
}

fn vote_request() -> impl Strategy<Value = ConsensusBody> {
    (index(), term(), any::<bool>()).prop_map(|(last_index, last_term, leadership_transfer)| {
        ConsensusBody::VoteRequest {
            last_index,
            last_term,
            leadership_transfer,
        }
    })
}

fn body() -> impl Strategy<Value = ConsensusBody> {
    prop_oneof![
        (index(), term()).prop_map(|(last_index, last_term)| ConsensusBody::PreVoteRequest {
            last_index,
            last_term
        }),
        any::<bool>().prop_map(|granted| ConsensusBody::PreVoteResponse { granted }),
        vote_request(),
        any::<bool>().prop_map(|granted| ConsensusBody::VoteResponse { granted }),
        append(),
        (any::<bool>(), index(), number()).prop_map(|(accepted, matched, round)| {
            ConsensusBody::AppendResponse(AppendResponse {
                accepted,
                matched,
                round,
            })
        }),
        snapshot_chunk(),
        snapshot_response(),
        Just(ConsensusBody::TransferLeadership),
    ]
}

/// Any message, as a faulty or hostile peer may send it.
pub(crate) fn message() -> impl Strategy<Value = ConsensusMessage> {
    (member_id(), member_id(), term(), body()).prop_map(|(from, to, term, body)| ConsensusMessage {
        from,
        to,
        term,
        body,
    })
}
