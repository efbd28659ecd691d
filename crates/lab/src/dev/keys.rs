//! The cluster key of a data folder.

use std::{
    fs::{self, File, OpenOptions},
    io::Write,
    os::unix::fs::OpenOptionsExt,
    path::{Path, PathBuf},
};

use error_stack::{Report, ResultExt};
use linnethitch_errors::ErrorKind;

const FILE_NAME: &str = "cluster.key";
const KEY_BYTES: usize = 32;
/// Readable by the owner alone.
const FILE_MODE: u32 = 0o600;

/// Makes the data folder and its cluster key unless they exist; the key's file.
pub(super) fn prepare(data_dir: &Path) -> Result<PathBuf, Report<ErrorKind>> {
    fs::create_dir_all(data_dir)
        .change_context(ErrorKind::Io)
        .attach_with(|| format!("can not make the folder {}", data_dir.display()))?;
    let file = data_dir.join(FILE_NAME);
    if !file.exists() {
        write_key(data_dir, &file)
            .change_context(ErrorKind::Io)
            .attach_with(|| format!("can not write {}", file.display()))?;
    }
    Ok(file)
}

fn write_key(data_dir: &Path, file: &Path) -> std::io::Result<()> {
    let mut key = [0; KEY_BYTES];
    getrandom::fill(&mut key).map_err(std::io::Error::other)?;
    let draft = file.with_extension("draft");
    let mut output = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .mode(FILE_MODE)
        .open(&draft)?;
    output.write_all(hex::encode(key).as_bytes())?;
    output.sync_all()?;
    fs::rename(&draft, file)?;
    File::open(data_dir)?.sync_all()
}
