//! Processor time and memory as the operating system counts them.

use std::{fs, io, path::Path, time::Duration};

/// Clock ticks of `/proc/PID/stat` in a second; fixed on Linux.
const TICKS_PER_SECOND: f64 = 100.0;
/// Fields of `/proc/PID/stat` between the program's name and the user time.
const FIELDS_BEFORE_USER_TIME: usize = 11;
const KIBI: u64 = 1024;

/// What a process has used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessUsage {
    /// Processor time of all its threads, ended ones included.
    pub cpu: Duration,
    /// Memory resident now, in bytes.
    pub resident_bytes: u64,
    /// The most that was resident, in bytes.
    pub peak_bytes: u64,
}

impl ProcessUsage {
    /// Reads what a process has used so far.
    ///
    /// # Errors
    /// There is no such process.
    pub fn of(process: u32) -> io::Result<Self> {
        let folder = Path::new("/proc").join(process.to_string());
        let status = fs::read_to_string(folder.join("status"))?;
        let stat = fs::read_to_string(folder.join("stat"))?;
        Ok(ProcessUsage {
            cpu: cpu_of_stat(&stat).ok_or_else(malformed)?,
            resident_bytes: kibibytes_of(&status, "VmRSS:").ok_or_else(malformed)?,
            peak_bytes: kibibytes_of(&status, "VmHWM:").ok_or_else(malformed)?,
        })
    }
}

/// Processor time of the calling thread.
///
/// # Errors
/// The system does not tell it.
pub fn thread_cpu() -> io::Result<Duration> {
    scheduled_time(Path::new("/proc/thread-self/schedstat"))
}

/// Processor time of this process's running threads whose name begins so.
///
/// # Errors
/// The system does not tell it.
pub fn cpu_of_threads(name: &str) -> io::Result<Duration> {
    let mut sum = Duration::ZERO;
    for entry in fs::read_dir("/proc/self/task")? {
        let folder = entry?.path();
        // A thread may end between the listing and the reading.
        let Ok(found) = fs::read_to_string(folder.join("comm")) else {
            continue;
        };
        if found.trim_end().starts_with(name) {
            sum += scheduled_time(&folder.join("schedstat")).unwrap_or_default();
        }
    }
    Ok(sum)
}

fn scheduled_time(path: &Path) -> io::Result<Duration> {
    let text = fs::read_to_string(path)?;
    let nanoseconds = text
        .split_whitespace()
        .next()
        .and_then(|field| field.parse().ok());
    nanoseconds.map(Duration::from_nanos).ok_or_else(malformed)
}

/// User and system time; the program's name may hold spaces and brackets.
fn cpu_of_stat(stat: &str) -> Option<Duration> {
    let (_, after_name) = stat.rsplit_once(')')?;
    let mut fields = after_name.split_whitespace().skip(FIELDS_BEFORE_USER_TIME);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(Duration::from_secs_f64(
        (user + system) as f64 / TICKS_PER_SECOND,
    ))
}

fn kibibytes_of(status: &str, field: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with(field))?;
    let count: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(count * KIBI)
}

fn malformed() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "unexpected form")
}
