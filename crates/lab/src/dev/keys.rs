//! The key files of a data folder.

use std::{
    fs::{self, File, OpenOptions},
    io::Write,
    os::unix::fs::OpenOptionsExt,
    path::{Path, PathBuf},
};

use error_stack::{Report, ResultExt};
use linnethitch_errors::ErrorKind;

const KEY_BYTES: usize = 32;
/// Readable and writable only by the owner.
const FILE_MODE: u32 = 0o600;

/// Paths of the key files.
pub(super) struct KeyFiles {
    /// Proves membership of the cluster; generated once.
    pub(super) cluster: PathBuf,
    /// The operators' bearer key, for `linnethitch … --key-file`.
    pub(super) operator: PathBuf,
    /// The tenant's bearer key, for `linnethitch batch … --key-file`.
    pub(super) tenant: PathBuf,
}

impl KeyFiles {
    /// Creates the data folder and its key files; an existing cluster key is not replaced.
    ///
    /// # Errors
    /// `Io` with the folder or file that cannot be written.
    pub(super) fn prepare(
        data_dir: &Path,
        operator_key: &str,
        tenant_key: &str,
    ) -> Result<KeyFiles, Report<ErrorKind>> {
        fs::create_dir_all(data_dir)
            .change_context(ErrorKind::Io)
            .attach_with(|| format!("cannot create the folder {}", data_dir.display()))?;
        let files = KeyFiles {
            cluster: data_dir.join("cluster.key"),
            operator: data_dir.join("operator.key"),
            tenant: data_dir.join("tenant.key"),
        };
        if !files.cluster.exists() {
            let mut key = [0; KEY_BYTES];
            getrandom::fill(&mut key).change_context(ErrorKind::Io)?;
            write_key(&files.cluster, &hex::encode(key))?;
        }
        write_key(&files.operator, operator_key)?;
        write_key(&files.tenant, tenant_key)?;
        sync_folder(data_dir)
            .change_context(ErrorKind::Io)
            .attach_with(|| format!("cannot sync {}", data_dir.display()))?;
        Ok(files)
    }
}

fn write_key(file: &Path, key: &str) -> Result<(), Report<ErrorKind>> {
    replace(file, key)
        .change_context(ErrorKind::Io)
        .attach_with(|| format!("cannot write {}", file.display()))
}

fn replace(file: &Path, key: &str) -> std::io::Result<()> {
    let draft = file.with_extension("draft");
    let mut output = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .mode(FILE_MODE)
        .open(&draft)?;
    output.write_all(key.as_bytes())?;
    output.sync_all()?;
    fs::rename(&draft, file)
}

fn sync_folder(folder: &Path) -> std::io::Result<()> {
    File::open(folder)?.sync_all()
}
