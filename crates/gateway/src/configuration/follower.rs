//! Follows the configuration revisions that control sends, without any input or output.
//!
//! The follower holds the newest configuration that is stored and synced. An
//! update is checked as a whole; only then is it given out to be stored, and
//! only once it is stored does it count. It never steps back.

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

/// A configuration with its revision. Clones share the text and what it says.
#[derive(Clone, Debug)]
pub struct StoredConfiguration {
    /// Its revision.
    pub revision: Revision,
    document: Arc<FleetDocument>,
}

impl StoredConfiguration {
    /// Parses an operator's file.
    ///
    /// # Errors
    /// The first fault of the file, with line and field.
    pub fn parse(revision: Revision, content: String) -> Result<Self, FleetError> {
        Ok(StoredConfiguration {
            revision,
            document: Arc::new(FleetDocument::parse(content)?),
        })
    }

    /// The operator's file.
    #[must_use]
    pub fn content(&self) -> &str {
        self.document.text()
    }

    /// Digest of the file.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.document.digest()
    }

    /// What the file says.
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

/// What is to be done with an update.
#[derive(Clone, Debug, PartialEq)]
pub enum FollowerAction {
    /// It is older than what is held, or the same: nothing changes. Confirm what is held.
    ConfirmCurrent(Revision),
    /// Store and sync it, put it in force, then call [`Follower::on_stored`].
    Store(StoredConfiguration),
    /// It does not fit what is held: attach anew, asking for the whole text.
    RequestFullText(UpdateFault),
}

/// Why an update cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpdateFault {
    /// The delta builds on another revision.
    OtherBase {
        /// The revision that it builds on.
        expected: Revision,
        /// The revision that is held.
        held: Revision,
    },
    /// The edits do not fit the text.
    EditsDoNotFit,
    /// The text does not have the digest that was sent with it.
    DigestDiffers,
    /// Another text under the revision that is held.
    OtherContent(Revision),
    /// The text is not a valid fleet file; the message says why.
    Invalid(String),
}

/// The newest stored configuration and the rules for replacing it.
#[derive(Clone, Debug, Default)]
pub struct Follower {
    held: Option<StoredConfiguration>,
    shared: Option<Arc<SharedDocuments>>,
}

impl Follower {
    /// A follower that holds what was stored before the process started.
    #[must_use]
    pub fn new(held: Option<StoredConfiguration>) -> Self {
        Follower { held, shared: None }
    }

    /// A follower that holds nothing and shares documents with others of its process.
    #[must_use]
    pub fn sharing(documents: Arc<SharedDocuments>) -> Self {
        Follower {
            held: None,
            shared: Some(documents),
        }
    }

    /// What is held, if anything.
    #[must_use]
    pub fn current(&self) -> Option<&StoredConfiguration> {
        self.held.as_ref()
    }

    /// The revision held; 0 when none is.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.held.as_ref().map_or(Revision(0), |held| held.revision)
    }

    /// The digest held; 0 when none is.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.held.as_ref().map_or(0, StoredConfiguration::digest)
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

    /// The configuration is stored and synced: from now on it is held.
    pub fn on_stored(&mut self, stored: StoredConfiguration) {
        if stored.revision > self.revision() {
            self.held = Some(stored);
        }
    }

    fn on_delta(
        &self,
        from: Revision,
        to: Revision,
        edits: &[TextEdit],
        digest: u64,
    ) -> FollowerAction {
        let held = self.revision();
        if to <= held {
            return FollowerAction::ConfirmCurrent(held);
        }
        let Some(base) = self.text_of(from) else {
            return FollowerAction::RequestFullText(UpdateFault::OtherBase {
                expected: from,
                held,
            });
        };
        let read = || {
            let content = apply_edits(base, edits).map_err(|_| UpdateFault::EditsDoNotFit)?;
            self.read(content, digest)
        };
        store_or_ask(to, self.read_once(digest, read))
    }

    /// The text of a revision, if it is held; revision 0 is the empty text.
    fn text_of(&self, revision: Revision) -> Option<&str> {
        if revision == Revision(0) {
            return Some("");
        }
        let held = self.held.as_ref()?;
        (held.revision == revision).then_some(held.content())
    }

    fn on_text(&self, revision: Revision, content: String, digest: u64) -> FollowerAction {
        let held = self.revision();
        if revision < held {
            return FollowerAction::ConfirmCurrent(held);
        }
        if revision == held {
            return if content_digest(&content) != digest {
                FollowerAction::RequestFullText(UpdateFault::DigestDiffers)
            } else if digest == self.digest() || revision == Revision(0) {
                FollowerAction::ConfirmCurrent(held)
            } else {
                FollowerAction::RequestFullText(UpdateFault::OtherContent(revision))
            };
        }
        let read = || self.read(content, digest);
        store_or_ask(revision, self.read_once(digest, read))
    }

    /// Reads a text, unless another follower of the process has done so.
    fn read_once(
        &self,
        digest: u64,
        read: impl FnOnce() -> Result<Arc<FleetDocument>, UpdateFault>,
    ) -> Result<Arc<FleetDocument>, UpdateFault> {
        match &self.shared {
            Some(shared) => shared.get_or_parse(digest, read),
            None => read(),
        }
    }

    /// Checks and parses a text; what did not change is taken over from the one held.
    fn read(&self, content: String, digest: u64) -> Result<Arc<FleetDocument>, UpdateFault> {
        if content_digest(&content) != digest {
            return Err(UpdateFault::DigestDiffers);
        }
        let read = match &self.held {
            Some(held) => held.document.replaced_by(content),
            None => FleetDocument::parse(content),
        };
        read.map(Arc::new)
            .map_err(|error| UpdateFault::Invalid(error.to_string()))
    }
}

fn store_or_ask(
    revision: Revision,
    read: Result<Arc<FleetDocument>, UpdateFault>,
) -> FollowerAction {
    match read {
        Ok(document) => FollowerAction::Store(StoredConfiguration { revision, document }),
        Err(fault) => FollowerAction::RequestFullText(fault),
    }
}
