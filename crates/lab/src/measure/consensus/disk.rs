//! Measures the disk's own rate of small synced appends.

use std::{
    fs::File,
    io::Write,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use error_stack::{Report, ResultExt};
use linnethitch_errors::ErrorKind;

/// Size of one append, in bytes.
const APPEND_BYTES: usize = 512;

/// Synced appends per second over several files, each written by its own thread.
///
/// # Errors
/// `Io` when a file cannot be written.
pub(super) fn syncs_per_second(
    folder: &Path,
    files: u32,
    duration: Duration,
) -> Result<f64, Report<ErrorKind>> {
    let writers: Vec<_> = (0..files)
        .map(|number| {
            let path = folder.join(format!("raw-{number}"));
            thread::spawn(move || append_and_sync(&path, duration))
        })
        .collect();
    let mut syncs = 0;
    for writer in writers {
        let written = writer
            .join()
            .map_err(|_| Report::new(ErrorKind::Internal))?;
        syncs += written.change_context(ErrorKind::Io)?;
    }
    Ok(f64::from(syncs) / duration.as_secs_f64())
}

fn append_and_sync(path: &Path, duration: Duration) -> std::io::Result<u32> {
    let mut file = File::create(path)?;
    let started = Instant::now();
    let mut syncs = 0;
    while started.elapsed() < duration {
        file.write_all(&[0; APPEND_BYTES])?;
        file.sync_data()?;
        syncs += 1;
    }
    std::fs::remove_file(path)?;
    Ok(syncs)
}
