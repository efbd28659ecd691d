//! Follows the configuration revisions that control sends, without performing I/O.
//!
//! The follower holds the newest configuration that is stored and synced. It validates an update
//! completely before it returns the new configuration for storing, and adopts that configuration
//! only after it is stored. The revision never decreases.

use std::sync::Arc;

use linnethitch_config::{
    digest::content_digest,
    fleet::{Fleet, FleetDocument, FleetError},
};
use linnethitch_protocol::{
    attach::{ConfigurationUpdate, TextEdit},
    ids::Revision,
    text_edit::apply_edits,
};

use super::shared_documents::SharedDocuments;

/// A configuration with its revision. Clones share the text and the parsed content.
#[derive(Clone, Debug)]
pub struct StoredConfiguration {
    /// The revision of the configuration.
    pub revision: Revision,
    document: Arc<FleetDocument>,
}

impl StoredConfiguration {
    /// Parses a fleet file.
    ///
    /// # Errors
    /// The first error in the file, with line and field.
    pub fn parse(revision: Revision, content: String) -> Result<Self, FleetError> {
        Ok(StoredConfiguration {
            revision,
            document: Arc::new(FleetDocument::parse(content)?),
        })
    }

    /// The text of the fleet file.
    #[must_use]
    pub fn content(&self) -> &str {
        self.document.text()
    }

    /// The digest of the text.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.document.digest()
    }

    /// The parsed content of the file.
    #[must_use]
    pub fn fleet(&self) -> &Arc<Fleet> {
        self.document.fleet()
    }
}

impl PartialEq for StoredConfiguration {
    fn eq(&self, other: &Self) -> bool {
        self.revision == other.revision && self.content() == other.content()
    }
}

/// What the caller has to do with an update.
#[derive(Clone, Debug, PartialEq)]
pub enum FollowerAction {
    /// The update is not newer than the current configuration: confirm the current revision.
    ConfirmCurrent(Revision),
    /// Store and sync the configuration, call [`Follower::on_stored`], then put it into force.
    Store(StoredConfiguration),
    /// The update cannot be used: attach again and request the full text.
    RequestFullText(UpdateFault),
}

/// Why an update cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpdateFault {
    /// The base revision of the delta is not the current one.
    OtherBase {
        /// Base revision of the delta.
        expected: Revision,
        /// Current revision of the follower.
        held: Revision,
    },
    /// The edits cannot be applied to the base text.
    EditsDoNotFit,
    /// The text does not match the digest that was sent with it.
    DigestDiffers,
    /// The update has the current revision but a different text.
    OtherContent(Revision),
    /// The text is not a valid fleet file; holds the parse error.
    Invalid(String),
}

/// The newest stored configuration and the rules for replacing it.
#[derive(Clone, Debug, Default)]
pub struct Follower {
    current: Option<StoredConfiguration>,
    shared: Option<Arc<SharedDocuments>>,
}

impl Follower {
    /// Creates a follower that starts from the configuration on disk, if there is one.
    #[must_use]
    pub fn new(current: Option<StoredConfiguration>) -> Self {
        Follower {
            current,
            shared: None,
        }
    }

    /// Creates a follower without a configuration that shares parsed documents with the other
    /// followers of the process.
    #[must_use]
    pub fn sharing(documents: Arc<SharedDocuments>) -> Self {
        Follower {
            current: None,
            shared: Some(documents),
        }
    }

    /// The current configuration, if there is one.
    #[must_use]
    pub fn current(&self) -> Option<&StoredConfiguration> {
        self.current.as_ref()
    }

    /// The current revision; 0 without a configuration.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.current
            .as_ref()
            .map_or(Revision(0), |current| current.revision)
    }

    /// The digest of the current configuration; 0 without one.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.current.as_ref().map_or(0, StoredConfiguration::digest)
    }

    /// Decides what to do with an update.
    #[must_use]
    pub fn on_update(&self, update: &ConfigurationUpdate) -> FollowerAction {
        match update {
            ConfigurationUpdate::Full {
                revision,
                content,
                digest,
            } => self.on_text(*revision, content.clone(), *digest),
            ConfigurationUpdate::Delta {
                from,
                to,
                edits,
                digest,
            } => self.on_delta(*from, *to, edits, *digest),
        }
    }

    /// Adopts a configuration that is stored and synced, unless the current one is newer.
    pub fn on_stored(&mut self, stored: StoredConfiguration) {
        if stored.revision > self.revision() {
            self.current = Some(stored);
        }
    }

    fn on_delta(
        &self,
        from: Revision,
        to: Revision,
        edits: &[TextEdit],
        digest: u64,
    ) -> FollowerAction {
        let current = self.revision();
        if to <= current {
            return FollowerAction::ConfirmCurrent(current);
        }
        let Some(base) = self.text_of(from) else {
            return FollowerAction::RequestFullText(UpdateFault::OtherBase {
                expected: from,
                held: current,
            });
        };
        let parse = || {
            let content = apply_edits(base, edits).map_err(|_| UpdateFault::EditsDoNotFit)?;
            self.parse(content, digest)
        };
        store_or_request(to, self.parse_once(digest, parse))
    }

    /// The text of a revision, if it is the current one; revision 0 is the empty text.
    fn text_of(&self, revision: Revision) -> Option<&str> {
        if revision == Revision(0) {
            return Some("");
        }
        let current = self.current.as_ref()?;
        (current.revision == revision).then_some(current.content())
    }

    fn on_text(&self, revision: Revision, content: String, digest: u64) -> FollowerAction {
        let current = self.revision();
        if revision < current {
            return FollowerAction::ConfirmCurrent(current);
        }
        if revision == current {
            return if content_digest(&content) != digest {
                FollowerAction::RequestFullText(UpdateFault::DigestDiffers)
            } else if digest == self.digest() || revision == Revision(0) {
                FollowerAction::ConfirmCurrent(current)
            } else {
                FollowerAction::RequestFullText(UpdateFault::OtherContent(revision))
            };
        }
        let parse = || self.parse(content, digest);
        store_or_request(revision, self.parse_once(digest, parse))
    }

    /// Parses a text, unless another follower of the process already has.
    fn parse_once(
        &self,
        digest: u64,
        parse: impl FnOnce() -> Result<Arc<FleetDocument>, UpdateFault>,
    ) -> Result<Arc<FleetDocument>, UpdateFault> {
        match &self.shared {
            Some(shared) => shared.get_or_parse(digest, parse),
            None => parse(),
        }
    }

    /// Validates and parses a text; unchanged parts are reused from the current document.
    fn parse(&self, content: String, digest: u64) -> Result<Arc<FleetDocument>, UpdateFault> {
        if content_digest(&content) != digest {
            return Err(UpdateFault::DigestDiffers);
        }
        let parsed = match &self.current {
            Some(current) => current.document.replaced_by(content),
            None => FleetDocument::parse(content),
        };
        parsed
            .map(Arc::new)
            .map_err(|error| UpdateFault::Invalid(error.to_string()))
    }
}

fn store_or_request(
    revision: Revision,
    parsed: Result<Arc<FleetDocument>, UpdateFault>,
) -> FollowerAction {
    match parsed {
        Ok(document) => FollowerAction::Store(StoredConfiguration { revision, document }),
        Err(fault) => FollowerAction::RequestFullText(fault),
    }
}
