//! Stores the configuration in force on disk.

use std::{path::Path, sync::Arc};

use error_stack::{Report, ResultExt};
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::ids::Revision;
use linnethitch_storage::{FileSystem, RealFileSystem, RevisionFile};

use crate::configuration::follower::StoredConfiguration;

/// File name in the data folder.
const FILE_NAME: &str = "configuration";
/// Size of the revision that precedes the text.
const REVISION_BYTES: usize = size_of::<u64>();

/// The file with the newest configuration.
pub struct ConfigurationStore {
    file: RevisionFile,
}

impl ConfigurationStore {
    /// Opens the store in a data folder without reading the file.
    ///
    /// # Errors
    /// `Io`.
    pub fn open(data_dir: &Path) -> Result<Self, Report<ErrorKind>> {
        let file_system = RealFileSystem::new(data_dir)?;
        Ok(ConfigurationStore::with_file_system(Arc::new(file_system)))
    }

    /// Creates a store in a file system, such as the simulator's virtual disk.
    #[must_use]
    pub fn with_file_system(file_system: Arc<dyn FileSystem>) -> Self {
        ConfigurationStore {
            file: RevisionFile::new(file_system, FILE_NAME),
        }
    }

    /// Loads the configuration that was stored last, if any. Blocks.
    ///
    /// # Errors
    /// `Corrupted` or `InvalidConfiguration` when the file is damaged, `Io`.
    pub fn load(&self) -> Result<Option<StoredConfiguration>, Report<ErrorKind>> {
        self.file.load()?.map(|bytes| decode(&bytes)).transpose()
    }

    /// Stores and syncs a configuration. Blocks.
    ///
    /// # Errors
    /// `StorageFull`, `Io`.
    pub fn store(&self, configuration: &StoredConfiguration) -> Result<(), Report<ErrorKind>> {
        let mut bytes = Vec::with_capacity(REVISION_BYTES + configuration.content().len());
        bytes.extend_from_slice(&configuration.revision.0.to_le_bytes());
        bytes.extend_from_slice(configuration.content().as_bytes());
        self.file.store(&bytes)
    }
}

fn decode(bytes: &[u8]) -> Result<StoredConfiguration, Report<ErrorKind>> {
    let (revision, content) = bytes.split_first_chunk::<REVISION_BYTES>().ok_or_else(|| {
        Report::new(ErrorKind::Corrupted).attach("the stored configuration is too short")
    })?;
    let content = String::from_utf8(content.to_vec()).change_context(ErrorKind::Corrupted)?;
    let revision = Revision(u64::from_le_bytes(*revision));
    StoredConfiguration::parse(revision, content).change_context(ErrorKind::InvalidConfiguration)
}
