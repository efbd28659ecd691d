//! The configuration: revisions, changes and the differences between revisions.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use linnethitch_config::{
    digest::content_digest,
    fleet::{Fleet, FleetDocument},
};
use linnethitch_protocol::{
    attach::{ConfigurationUpdate, TextEdit},
    command::{ApplyOutcome, Outcome},
    ids::{ChangeId, Revision, Timestamp},
    text_edit::line_edits,
};
use rkyv::{Archive, Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{
    limits::{
        KEPT_CHANGES, KEPT_DELTAS, MAX_CHANGES, MAX_DELTA_BYTES, MAX_INVALID_MESSAGE_BYTES,
        MAX_NAME_BYTES,
    },
    refusal::{Applied, ready, refuse},
};

/// The remembered end of a change.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) struct ChangeRecord {
    /// SHA-256 of the content.
    pub(crate) content: [u8; 32],
    /// What was answered, and is answered to every resend.
    pub(crate) outcome: ApplyOutcome,
    /// When it was decided.
    pub(crate) at: Timestamp,
}

/// The difference from one revision to the next.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) struct Delta {
    /// The revision that results.
    pub(crate) to: Revision,
    /// Edits of the text of the revision before.
    pub(crate) edits: Vec<TextEdit>,
    /// Digest of the resulting text.
    pub(crate) digest: u64,
}

impl Delta {
    fn bytes(&self) -> usize {
        self.edits.iter().map(|edit| edit.inserted.len() + 32).sum()
    }
}

/// Answers kept by change id, oldest first.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Changes {
    /// By id.
    pub(crate) records: BTreeMap<ChangeId, ChangeRecord>,
    /// In order of their decision.
    pub(crate) order: VecDeque<ChangeId>,
}

/// The replicated part of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ConfigurationState {
    /// The revision in force; 0 when none was ever applied.
    pub(crate) revision: Revision,
    /// The operator's file.
    pub(crate) content: Arc<str>,
    /// Kept differences, oldest first, without gap up to `revision`.
    pub(crate) deltas: VecDeque<Arc<Delta>>,
    /// Kept answers.
    pub(crate) changes: Arc<Changes>,
}

fn content_hash(content: &str) -> [u8; 32] {
    Sha256::digest(content.as_bytes()).into()
}

/// Cuts a message to its allowed length, at a character's boundary.
fn shortened(mut message: String) -> String {
    let mut end = message.len().min(MAX_INVALID_MESSAGE_BYTES);
    while !message.is_char_boundary(end) {
        end -= 1;
    }
    message.truncate(end);
    message
}

/// The configuration with what is derived from it.
#[derive(Debug, Default)]
pub(crate) struct Configuration {
    /// The replicated part.
    pub(crate) state: ConfigurationState,
    /// The content, parsed; `None` while there is none.
    document: Option<FleetDocument>,
    /// Weight of each tenant that has one above the default.
    weights: BTreeMap<String, u32>,
}

impl Configuration {
    /// Takes a restored state over.
    pub(crate) fn from_state(state: ConfigurationState) -> Self {
        let mut configuration = Configuration::default();
        if state.revision > Revision(0) {
            configuration.set_document(configuration.parse(&state.content).ok());
        }
        configuration.state = state;
        configuration
    }

    /// Parses a text; what stands in the one in force too is not parsed again.
    fn parse(&self, content: &str) -> Result<FleetDocument, String> {
        let text = content.to_owned();
        let parsed = match &self.document {
            Some(document) => document.replaced_by(text),
            None => FleetDocument::parse(text),
        };
        parsed.map_err(|error| shortened(error.to_string()))
    }

    /// The content, parsed; `None` while there is none.
    pub(crate) fn fleet(&self) -> Option<&Arc<Fleet>> {
        self.document.as_ref().map(FleetDocument::fleet)
    }

    fn set_document(&mut self, document: Option<FleetDocument>) {
        let fleet = document.as_ref().map(FleetDocument::fleet);
        self.weights = fleet
            .iter()
            .flat_map(|fleet| &fleet.tenants)
            .filter(|tenant| tenant.weight != 1)
            .map(|tenant| (tenant.name.clone(), tenant.weight))
            .collect();
        self.document = document;
    }

    /// A tenant's share relative to others, at least 1.
    pub(crate) fn weight(&self, tenant: &str) -> u32 {
        self.weights.get(tenant).copied().unwrap_or(1).max(1)
    }

    /// How long results stay readable, in milliseconds.
    pub(crate) fn retention_ms(&self) -> u64 {
        u64::from(self.batch().retention_hours) * 3_600_000
    }

    /// The rules of batch work in force.
    pub(crate) fn batch(&self) -> linnethitch_config::fleet::BatchPolicy {
        self.fleet()
            .map(|fleet| fleet.batch.clone())
            .unwrap_or_default()
    }

    /// Whether a model, or an adapter of one (`model:adapter`), takes batch items.
    pub(crate) fn takes_batch(&self, model: &str) -> ModelUse {
        let (name, adapter) = match model.split_once(':') {
            Some((name, adapter)) => (name, Some(adapter)),
            None => (model, None),
        };
        let mut pools = self.fleet().into_iter().flat_map(|fleet| &fleet.models);
        let Some(pool) = pools.find(|pool| pool.name == name) else {
            return ModelUse::Unknown;
        };
        let known = |adapter| pool.adapters.iter().any(|known| known.name == adapter);
        match (adapter.is_none_or(known), pool.batch) {
            (false, _) => ModelUse::Unknown,
            (true, true) => ModelUse::Batch,
            (true, false) => ModelUse::OnlineOnly,
        }
    }

    /// Carries [`linnethitch_protocol::command::CommandBody::ApplyConfiguration`] out.
    pub(crate) fn apply(
        &mut self,
        now: Timestamp,
        change: &ChangeId,
        expected: Revision,
        content: &str,
    ) -> Applied {
        if change.as_str().is_empty() || change.as_str().len() > MAX_NAME_BYTES {
            return refuse(
                linnethitch_errors::ErrorKind::InvalidValue,
                "the change id is empty or too long",
            );
        }
        let hash = content_hash(content);
        if let Some(record) = self.state.changes.records.get(change) {
            let same = record.content == hash;
            let outcome = if same {
                record.outcome.clone()
            } else {
                ApplyOutcome::ChangeIdReused
            };
            return ready(Outcome::Configuration(outcome));
        }
        let outcome = self.decide(expected, content);
        self.remember(
            change,
            ChangeRecord {
                content: hash,
                outcome: outcome.clone(),
                at: now,
            },
        );
        ready(Outcome::Configuration(outcome))
    }

    fn decide(&mut self, expected: Revision, content: &str) -> ApplyOutcome {
        if expected != self.state.revision {
            return ApplyOutcome::Conflict(self.state.revision);
        }
        match self.parse(content) {
            Ok(document) => ApplyOutcome::Accepted(self.accept(content, document)),
            Err(message) => ApplyOutcome::Invalid(message),
        }
    }

    fn accept(&mut self, content: &str, document: FleetDocument) -> Revision {
        let state = &mut self.state;
        let to = Revision(state.revision.0 + 1);
        state.deltas.push_back(Arc::new(Delta {
            to,
            edits: line_edits(&state.content, content),
            digest: document.digest(),
        }));
        let mut bytes: usize = state.deltas.iter().map(|delta| delta.bytes()).sum();
        while state.deltas.len() > KEPT_DELTAS || bytes > MAX_DELTA_BYTES {
            let Some(oldest) = state.deltas.pop_front() else {
                break;
            };
            bytes -= oldest.bytes();
        }
        state.revision = to;
        state.content = Arc::from(content);
        self.set_document(Some(document));
        to
    }

    fn remember(&mut self, change: &ChangeId, record: ChangeRecord) {
        let changes = Arc::make_mut(&mut self.state.changes);
        changes.records.insert(change.clone(), record);
        changes.order.push_back(change.clone());
        if changes.order.len() > MAX_CHANGES {
            drop_oldest(changes);
        }
    }

    /// Whether an answer is due to be dropped.
    pub(crate) fn has_expired_change(&self, now: Timestamp) -> bool {
        let changes = &self.state.changes;
        let oldest = changes.order.front().and_then(|id| changes.records.get(id));
        changes.order.len() > KEPT_CHANGES
            && oldest.is_some_and(|record| record.at.0 + self.retention_ms() <= now.0)
    }

    /// Drops answers past their retention, up to `steps`; returns how many.
    pub(crate) fn expire_changes(&mut self, now: Timestamp, steps: usize) -> usize {
        let mut dropped = 0;
        while dropped < steps && self.has_expired_change(now) {
            drop_oldest(Arc::make_mut(&mut self.state.changes));
            dropped += 1;
        }
        dropped
    }

    /// The revision that a change became, if it was accepted.
    pub(crate) fn accepted_change(&self, change: &ChangeId) -> Option<Revision> {
        match self.state.changes.records.get(change)?.outcome {
            ApplyOutcome::Accepted(revision) => Some(revision),
            _ => None,
        }
    }

    /// The steps from a revision to the one in force; `None` when it is too old or unknown.
    pub(crate) fn updates_since(&self, from: Revision) -> Option<Vec<ConfigurationUpdate>> {
        let state = &self.state;
        let missing = state.revision.0.checked_sub(from.0)? as usize;
        let first = state.deltas.len().checked_sub(missing)?;
        let updates = state
            .deltas
            .range(first..)
            .map(|delta| ConfigurationUpdate::Delta {
                from: Revision(delta.to.0 - 1),
                to: delta.to,
                edits: delta.edits.clone(),
                digest: delta.digest,
            });
        Some(updates.collect())
    }

    /// The configuration in force as a whole.
    pub(crate) fn full_update(&self) -> ConfigurationUpdate {
        ConfigurationUpdate::Full {
            revision: self.state.revision,
            content: self.state.content.to_string(),
            digest: match &self.document {
                Some(document) => document.digest(),
                None => content_digest(&self.state.content),
            },
        }
    }
}

/// What a configuration says of a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ModelUse {
    /// Not in the configuration.
    Unknown,
    /// Takes online requests only.
    OnlineOnly,
    /// Takes batch items too.
    Batch,
}

fn drop_oldest(changes: &mut Changes) {
    if let Some(oldest) = changes.order.pop_front() {
        changes.records.remove(&oldest);
    }
}
