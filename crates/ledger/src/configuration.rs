//! The configuration: revisions, changes and deltas between revisions.

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
        MAX_DELTA_BYTES, MAX_INVALID_MESSAGE_BYTES, MAX_NAME_BYTES, MAX_STORED_CHANGES,
        MAX_STORED_DELTAS, MIN_STORED_CHANGES,
    },
    refusal::{Applied, ready, refuse},
};

/// The recorded outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) struct ChangeRecord {
    /// SHA-256 of the content.
    pub(crate) content: [u8; 32],
    /// The outcome that is also returned for every resend.
    pub(crate) outcome: ApplyOutcome,
    /// When the change was decided.
    pub(crate) at: Timestamp,
}

/// The delta from one revision to the next.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) struct Delta {
    /// The resulting revision.
    pub(crate) to: Revision,
    /// Edits of the previous revision's text.
    pub(crate) edits: Vec<TextEdit>,
    /// Digest of the resulting text.
    pub(crate) digest: u64,
}

impl Delta {
    fn bytes(&self) -> usize {
        self.edits.iter().map(|edit| edit.inserted.len() + 32).sum()
    }
}

/// Recorded outcomes of changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Changes {
    /// Records by change id.
    pub(crate) records: BTreeMap<ChangeId, ChangeRecord>,
    /// Change ids in the order of decision.
    pub(crate) order: VecDeque<ChangeId>,
}

/// The replicated part of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ConfigurationState {
    /// The current revision; 0 if none was applied yet.
    pub(crate) revision: Revision,
    /// The text of the operator's file.
    pub(crate) content: Arc<str>,
    /// Stored deltas up to `revision`, oldest first, without gaps.
    pub(crate) deltas: VecDeque<Arc<Delta>>,
    /// Recorded outcomes.
    pub(crate) changes: Arc<Changes>,
}

fn content_hash(content: &str) -> [u8; 32] {
    Sha256::digest(content.as_bytes()).into()
}

/// Truncates a message to [`MAX_INVALID_MESSAGE_BYTES`], at a character boundary.
fn truncated(mut message: String) -> String {
    let mut end = message.len().min(MAX_INVALID_MESSAGE_BYTES);
    while !message.is_char_boundary(end) {
        end -= 1;
    }
    message.truncate(end);
    message
}

/// The configuration with derived data.
#[derive(Debug, Default)]
pub(crate) struct Configuration {
    /// The replicated part.
    pub(crate) state: ConfigurationState,
    /// The parsed content; `None` before the first revision.
    document: Option<FleetDocument>,
    /// Weights of tenants that differ from the default of 1.
    weights: BTreeMap<String, u32>,
}

impl Configuration {
    /// The configuration of a restored state.
    pub(crate) fn from_state(state: ConfigurationState) -> Self {
        let mut configuration = Configuration::default();
        if state.revision > Revision(0) {
            configuration.set_document(configuration.parse(&state.content).ok());
        }
        configuration.state = state;
        configuration
    }

    /// Parses a text. Sections that are unchanged from the current text are not parsed again.
    fn parse(&self, content: &str) -> Result<FleetDocument, String> {
        let text = content.to_owned();
        let parsed = match &self.document {
            Some(document) => document.replaced_by(text),
            None => FleetDocument::parse(text),
        };
        parsed.map_err(|error| truncated(error.to_string()))
    }

    /// The parsed content; `None` before the first revision.
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

    /// A tenant's weight for fair queueing, at least 1.
    pub(crate) fn weight(&self, tenant: &str) -> u32 {
        self.weights.get(tenant).copied().unwrap_or(1).max(1)
    }

    /// Time for which files, results and answers are retained, in milliseconds.
    pub(crate) fn retention_ms(&self) -> u64 {
        u64::from(self.batch().retention_hours) * 3_600_000
    }

    /// The current batch policy.
    pub(crate) fn batch(&self) -> linnethitch_config::fleet::BatchPolicy {
        self.fleet()
            .map(|fleet| fleet.batch.clone())
            .unwrap_or_default()
    }

    /// Whether a model or an adapter (`model:adapter`) accepts batch items.
    pub(crate) fn batch_use(&self, model: &str) -> ModelUse {
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

    /// Applies [`linnethitch_protocol::command::CommandBody::ApplyConfiguration`].
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
        self.record_change(
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
        while state.deltas.len() > MAX_STORED_DELTAS || bytes > MAX_DELTA_BYTES {
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

    fn record_change(&mut self, change: &ChangeId, record: ChangeRecord) {
        let changes = Arc::make_mut(&mut self.state.changes);
        changes.records.insert(change.clone(), record);
        changes.order.push_back(change.clone());
        if changes.order.len() > MAX_STORED_CHANGES {
            drop_oldest(changes);
        }
    }

    /// Whether the oldest recorded outcome is due to be dropped.
    pub(crate) fn has_expired_change(&self, now: Timestamp) -> bool {
        let changes = &self.state.changes;
        let oldest = changes.order.front().and_then(|id| changes.records.get(id));
        changes.order.len() > MIN_STORED_CHANGES
            && oldest.is_some_and(|record| record.at.0 + self.retention_ms() <= now.0)
    }

    /// Drops up to `steps` outcomes past their retention time; returns their number.
    pub(crate) fn expire_changes(&mut self, now: Timestamp, steps: usize) -> usize {
        let mut dropped = 0;
        while dropped < steps && self.has_expired_change(now) {
            drop_oldest(Arc::make_mut(&mut self.state.changes));
            dropped += 1;
        }
        dropped
    }

    /// The revision that resulted from a change, if the change was accepted.
    pub(crate) fn accepted_change(&self, change: &ChangeId) -> Option<Revision> {
        match self.state.changes.records.get(change)?.outcome {
            ApplyOutcome::Accepted(revision) => Some(revision),
            _ => None,
        }
    }

    /// The deltas from a revision to the current one; `None` if `from` is too old or unknown.
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

    /// The complete current configuration.
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

/// Use of a model according to the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ModelUse {
    /// The model is not in the configuration.
    Unknown,
    /// The model accepts online requests only.
    OnlineOnly,
    /// The model also accepts batch items.
    Batch,
}

fn drop_oldest(changes: &mut Changes) {
    if let Some(oldest) = changes.order.pop_front() {
        changes.records.remove(&oldest);
    }
}
