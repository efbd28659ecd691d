//! How often the disk syncs one small write after the other.

use std::{
    fs::{self, File},
    io::Write,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use error_stack::{Report, ResultExt};
use linnethitch_errors::ErrorKind;
use serde::Serialize;

/// Bytes of one write.
const WRITE_BYTES: usize = 256;

/// Syncs a second.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Syncs {
    /// By one writer.
    pub(super) one_writer: f64,
    /// By each of as many writers as there are members, all at once.
    pub(super) each_of_all_writers: f64,
}

/// Measures the disk under a folder.
pub(super) fn measure(
    folder: &Path,
    members: u32,
    time: Duration,
) -> Result<Syncs, Report<ErrorKind>> {
    fs::create_dir_all(folder).change_context(ErrorKind::Io)?;
    let one_writer = rate(&folder.join("syncs"), time)?;
    let rates: Result<Vec<f64>, Report<ErrorKind>> = thread::scope(|scope| {
        let writers: Vec<_> = (0..members)
            .map(|number| {
                let path = folder.join(format!("syncs-{number}"));
                scope.spawn(move || rate(&path, time))
            })
            .collect();
        let ended = writers.into_iter().map(|writer| {
            let rate = writer.join();
            rate.unwrap_or_else(|_| Err(Report::new(ErrorKind::Internal)))
        });
        ended.collect()
    });
    Ok(Syncs {
        one_writer,
        each_of_all_writers: rates?.iter().sum::<f64>() / f64::from(members.max(1)),
    })
}

fn rate(path: &Path, time: Duration) -> Result<f64, Report<ErrorKind>> {
    let mut file = File::create(path).change_context(ErrorKind::Io)?;
    let started = Instant::now();
    let mut syncs = 0_u64;
    while started.elapsed() < time {
        file.write_all(&[0; WRITE_BYTES])
            .and_then(|()| file.sync_data())
            .change_context(ErrorKind::Io)?;
        syncs += 1;
    }
    let rate = syncs as f64 / started.elapsed().as_secs_f64();
    fs::remove_file(path).change_context(ErrorKind::Io)?;
    Ok(rate)
}
