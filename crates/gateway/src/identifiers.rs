//! Random identifiers of files and jobs.

use linnethitch_protocol::ids::{FileId, JobId};

const RANDOM_BYTES: usize = 12;

fn random_hex() -> String {
    let bytes: [u8; RANDOM_BYTES] = rand::random();
    hex::encode(bytes)
}

/// Creates a random file id.
pub(crate) fn new_file_id() -> FileId {
    FileId(format!("file-{}", random_hex()))
}

/// Creates a random job id.
pub(crate) fn new_job_id() -> JobId {
    JobId(format!("batch_{}", random_hex()))
}
