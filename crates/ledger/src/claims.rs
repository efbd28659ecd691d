//! Idempotency keys of online requests and their claims.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    command::{ClaimOutcome, NewClaim, Outcome},
    frame,
    ids::{GatewayId, IdempotencyKey, SessionEpoch, TenantId, Timestamp},
    query::{ClaimRecord, StoredAnswer},
};
use linnethitch_storage::StorageResult;
use rkyv::{Archive, Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{
    answer::Answer,
    ledger::Ledger,
    limits::{MAX_ANSWER_BYTES, MAX_CLAIMS, MAX_CLAIMS_PER_SESSION, MAX_NAME_BYTES},
    refusal::{Applied, Rejection, ready, refuse},
    stored_bytes::Piece,
    timers::{TimerKey, after},
};

/// Hash of a tenant and an idempotency key: the first 16 bytes of a SHA-256 digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize)]
#[rkyv(derive(PartialEq, Eq, PartialOrd, Ord))]
pub(crate) struct ClaimKey(pub(crate) [u8; 16]);

impl ClaimKey {
    /// Hashes a tenant and its key. The hash includes the tenant's length, so that different
    /// pairs with the same concatenation differ.
    pub(crate) fn new(tenant: &TenantId, key: &IdempotencyKey) -> Self {
        let mut hasher = Sha256::new();
        hasher.update((tenant.as_str().len() as u64).to_le_bytes());
        hasher.update(tenant.as_str().as_bytes());
        hasher.update(key.as_str().as_bytes());
        let hash: [u8; 32] = hasher.finalize().into();
        let mut short = [0; 16];
        short.copy_from_slice(&hash[..16]);
        ClaimKey(short)
    }
}

/// The attempt that holds a claim.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) struct ClaimHolder {
    /// The gateway.
    pub(crate) gateway: GatewayId,
    /// The gateway's session.
    pub(crate) session: SessionEpoch,
    /// The gateway's number of the attempt.
    pub(crate) attempt: u64,
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) enum ClaimState {
    /// The request may be running.
    Running(Box<ClaimHolder>),
    /// The encoded [`StoredAnswer`] that is returned to every resent request.
    Answered(Piece),
    /// The request may have run, but its outcome cannot be determined.
    OutcomeUnknown,
}

/// A claim of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) struct Claim {
    /// Digest of the caller's request.
    pub(crate) content_digest: u64,
    /// Whether the request must run at most once.
    pub(crate) at_most_once: bool,
    /// When the claim is dropped.
    pub(crate) expires_at: Timestamp,
    /// The state.
    pub(crate) state: ClaimState,
}

/// Number of shards, selected by the key's first byte. While a snapshot holds the claims, a
/// change copies only the affected shard.
const SHARDS: usize = 256;

/// All claims.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Claims {
    shards: Vec<Arc<BTreeMap<ClaimKey, Claim>>>,
    len: usize,
}

impl Default for Claims {
    fn default() -> Self {
        Claims {
            shards: vec![Arc::default(); SHARDS],
            len: 0,
        }
    }
}

impl Claims {
    fn shard(key: &ClaimKey) -> usize {
        usize::from(key.0[0])
    }

    /// Number of claims.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// The claim of a key.
    pub(crate) fn get(&self, key: &ClaimKey) -> Option<&Claim> {
        self.shards[Self::shard(key)].get(key)
    }

    /// The claim of a key, mutable.
    pub(crate) fn get_mut(&mut self, key: &ClaimKey) -> Option<&mut Claim> {
        Arc::make_mut(&mut self.shards[Self::shard(key)]).get_mut(key)
    }

    /// Adds or replaces a claim.
    pub(crate) fn insert(&mut self, key: ClaimKey, claim: Claim) {
        let shard = Arc::make_mut(&mut self.shards[Self::shard(&key)]);
        if shard.insert(key, claim).is_none() {
            self.len += 1;
        }
    }

    /// Removes a claim.
    pub(crate) fn remove(&mut self, key: &ClaimKey) -> Option<Claim> {
        let removed = Arc::make_mut(&mut self.shards[Self::shard(key)]).remove(key);
        self.len -= usize::from(removed.is_some());
        removed
    }

    /// All claims in key order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ClaimKey, &Claim)> {
        self.shards.iter().flat_map(|shard| shard.iter())
    }

    /// The shards in key order.
    pub(crate) fn into_shards(self) -> std::vec::IntoIter<Arc<BTreeMap<ClaimKey, Claim>>> {
        self.shards.into_iter()
    }

    /// All claims in key order, mutable.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (&ClaimKey, &mut Claim)> {
        let shards = self.shards.iter_mut();
        shards.flat_map(|shard| Arc::make_mut(shard).iter_mut())
    }
}

impl Ledger {
    pub(crate) fn claim_request(&mut self, new: &NewClaim) -> Applied {
        let names = [new.tenant.as_str(), new.key.as_str()];
        if new.key.as_str().is_empty() || names.iter().any(|name| name.len() > MAX_NAME_BYTES) {
            return refuse(
                ErrorKind::InvalidValue,
                "the idempotency key is empty or a name is too long",
            );
        }
        let key = ClaimKey::new(&new.tenant, &new.key);
        if let Some(claim) = self.state.claims.get(&key) {
            return self.answer_claim(claim, new);
        }
        let has_capacity = self.state.claims.len() < MAX_CLAIMS;
        let Some(session) = self.sessions.running(&new.gateway, new.session) else {
            return refuse(ErrorKind::InvalidState, "the session has ended");
        };
        if !has_capacity || session.claims.len() >= MAX_CLAIMS_PER_SESSION {
            return refuse(
                ErrorKind::Overloaded,
                "too many idempotency keys are stored",
            );
        }
        session.claims.insert(key);
        let expires_at = after(self.state.now, self.configuration.retention_ms());
        self.timers.add(expires_at, TimerKey::Claim(key));
        let holder = ClaimHolder {
            gateway: new.gateway.clone(),
            session: new.session,
            attempt: new.attempt,
        };
        self.state.claims.insert(
            key,
            Claim {
                content_digest: new.content_digest,
                at_most_once: new.at_most_once,
                expires_at,
                state: ClaimState::Running(Box::new(holder)),
            },
        );
        ready(Outcome::Claim(ClaimOutcome::Granted))
    }

    fn answer_claim(&self, claim: &Claim, new: &NewClaim) -> Applied {
        if claim.content_digest != new.content_digest {
            return ready(Outcome::Claim(ClaimOutcome::ContentDiffers));
        }
        let outcome = match &claim.state {
            ClaimState::Running(holder) => {
                let is_resend = holder.gateway == new.gateway
                    && holder.session == new.session
                    && holder.attempt == new.attempt;
                if is_resend {
                    ClaimOutcome::Granted
                } else {
                    ClaimOutcome::InProgress
                }
            }
            ClaimState::Answered(piece) => return Ok(Answer::stored(*piece)),
            ClaimState::OutcomeUnknown => ClaimOutcome::OutcomeUnknown,
        };
        ready(Outcome::Claim(outcome))
    }

    pub(crate) fn read_answer(&self, piece: &Piece) -> StorageResult<StoredAnswer> {
        let encoded = self.payloads.read(&piece.payload)?;
        frame::decode(&encoded)
    }

    pub(crate) fn finish_claim(
        &mut self,
        key: ClaimKey,
        holder: &ClaimHolder,
        answer: Option<&StoredAnswer>,
    ) -> Applied {
        if answer.is_some_and(|answer| answer.body.len() > MAX_ANSWER_BYTES) {
            return refuse(ErrorKind::BodyTooLarge, "the answer is too large to store");
        }
        let Some(claim) = self.state.claims.get(&key) else {
            // Without an answer, this is a resend of the command that freed the key.
            return match answer {
                None => ready(Outcome::Done),
                Some(_) => refuse(
                    ErrorKind::InvalidState,
                    "the idempotency key is not claimed",
                ),
            };
        };
        match &claim.state {
            ClaimState::Running(current) if **current == *holder => {}
            ClaimState::Answered(_) => return ready(Outcome::Done),
            ClaimState::Running(_) => {
                return refuse(
                    ErrorKind::InvalidState,
                    "another attempt holds the idempotency key",
                );
            }
            ClaimState::OutcomeUnknown => {
                return refuse(
                    ErrorKind::OutcomeUnknown,
                    "the session of the attempt ended before its answer",
                );
            }
        }
        if let Some(session) = self.sessions.running(&holder.gateway, holder.session) {
            session.claims.remove(&key);
        }
        match answer {
            Some(answer) => self.store_answer(key, answer),
            None => {
                self.drop_claim(key);
                ready(Outcome::Done)
            }
        }
    }

    fn store_answer(&mut self, key: ClaimKey, answer: &StoredAnswer) -> Applied {
        let encoded = frame::encode(answer)?;
        let payload = self.payloads.append(&encoded)?;
        let expires_at = after(self.state.now, self.configuration.retention_ms());
        if let Some(claim) = self.state.claims.get_mut(&key) {
            claim.state = ClaimState::Answered(Piece {
                end: encoded.len() as u64,
                checksum: xxhash_rust::xxh3::xxh3_64(&encoded),
                payload,
            });
            self.timers
                .reset(&mut claim.expires_at, expires_at, TimerKey::Claim(key));
        }
        ready(Outcome::Done)
    }

    /// Removes a claim and releases the payload of its answer.
    pub(crate) fn drop_claim(&mut self, key: ClaimKey) {
        let Some(claim) = self.state.claims.remove(&key) else {
            return;
        };
        self.timers.remove(claim.expires_at, TimerKey::Claim(key));
        if let ClaimState::Answered(piece) = claim.state {
            self.payloads.release(&piece.payload);
        }
    }

    /// Settles the running claims of an ended session: at-most-once requests get an unknown
    /// outcome, the keys of other requests become free.
    pub(crate) fn settle_claims(&mut self, keys: BTreeSet<ClaimKey>) {
        for key in keys {
            let Some(claim) = self.state.claims.get_mut(&key) else {
                continue;
            };
            if claim.at_most_once && !self.overrides.skip_claim_fencing {
                claim.state = ClaimState::OutcomeUnknown;
            } else {
                self.drop_claim(key);
            }
        }
    }

    /// The record of a key's claim, as reported to callers.
    pub(crate) fn claim_record(
        &self,
        tenant: &TenantId,
        key: &IdempotencyKey,
    ) -> Result<Option<ClaimRecord>, Rejection> {
        let Some(claim) = self.state.claims.get(&ClaimKey::new(tenant, key)) else {
            return Ok(None);
        };
        Ok(Some(match &claim.state {
            ClaimState::Running(_) => ClaimRecord::Running,
            ClaimState::Answered(piece) => ClaimRecord::Answered(self.read_answer(piece)?),
            ClaimState::OutcomeUnknown => ClaimRecord::OutcomeUnknown,
        }))
    }
}
