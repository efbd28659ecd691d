//! A change that is stored in a file next to the fleet file until its outcome is known, so
//! that a run after a lost answer sends the same change again.

use std::{
    fs::{self, File},
    io::{self, Write},
    path::{Path, PathBuf},
};

use linnethitch_config::digest::key_sha256;
use serde::{Deserialize, Serialize};

use crate::exit::CommandError;

/// Suffix added to the name of the fleet file.
const SUFFIX: &str = ".change";
/// Random bytes of a change id.
const ID_BYTES: usize = 16;

/// The content of the file next to the fleet file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Stored {
    change_id: String,
    expected_revision: u64,
    /// SHA-256 of the fleet file that the change applies.
    content_sha256: String,
}

/// A change whose outcome is not known yet.
#[derive(Clone, Debug)]
pub(super) struct PendingChange {
    pub(super) change_id: String,
    pub(super) expected_revision: u64,
    file: PathBuf,
}

impl PendingChange {
    /// Loads the pending change for this content; one for other content is ignored.
    pub(super) fn find(fleet_file: &Path, content: &str) -> Result<Option<Self>, CommandError> {
        let file = change_file(fleet_file);
        let text = match fs::read_to_string(&file) {
            Ok(text) => text,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(file_error(&file, &error)),
        };
        let stored: Stored =
            serde_json::from_str(&text).map_err(|error| file_error(&file, &error))?;
        if stored.content_sha256 != key_sha256(content) {
            return Ok(None);
        }
        Ok(Some(PendingChange {
            change_id: stored.change_id,
            expected_revision: stored.expected_revision,
            file,
        }))
    }

    /// Stores a change and syncs it to the disk, which has to happen before it is sent.
    pub(super) fn store(
        fleet_file: &Path,
        content: &str,
        change_id: String,
        expected_revision: u64,
    ) -> Result<Self, CommandError> {
        let file = change_file(fleet_file);
        let stored = Stored {
            change_id: change_id.clone(),
            expected_revision,
            content_sha256: key_sha256(content),
        };
        write_synced(&file, &stored).map_err(|error| file_error(&file, &error))?;
        Ok(PendingChange {
            change_id,
            expected_revision,
            file,
        })
    }

    /// Removes the file once the outcome is known.
    pub(super) fn remove_file(&self) -> Result<(), CommandError> {
        match fs::remove_file(&self.file) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => {
                Err(file_error(&self.file, &error))
            }
            _ => Ok(()),
        }
    }
}

/// Generates a random change id.
pub(super) fn new_change_id() -> Result<String, CommandError> {
    let mut random = [0; ID_BYTES];
    getrandom::fill(&mut random)
        .map_err(|error| CommandError::failed(format!("cannot get random bytes: {error}")))?;
    Ok(format!("change_{}", hex::encode(random)))
}

fn change_file(fleet_file: &Path) -> PathBuf {
    let mut name = fleet_file.as_os_str().to_owned();
    name.push(SUFFIX);
    PathBuf::from(name)
}

/// Replaces the file atomically: after a crash it has either the old or the new content.
fn write_synced(file: &Path, stored: &Stored) -> io::Result<()> {
    let mut temporary = file.as_os_str().to_owned();
    temporary.push(".tmp");
    let mut writer = File::create(&temporary)?;
    writer.write_all(&serde_json::to_vec(stored)?)?;
    writer.sync_all()?;
    fs::rename(&temporary, file)?;
    let folder = match file.parent() {
        Some(folder) if !folder.as_os_str().is_empty() => folder,
        _ => Path::new("."),
    };
    File::open(folder)?.sync_all()
}

fn file_error(file: &Path, error: &impl ToString) -> CommandError {
    CommandError::failed(format!("{}: {}", file.display(), error.to_string()))
}
