//! Processor time and memory use as reported by `/proc`.

use std::{fs, io, path::Path, time::Duration};

/// Clock ticks per second in `/proc/PID/stat`; fixed on Linux.
const TICKS_PER_SECOND: f64 = 100.0;
/// Number of fields of `/proc/PID/stat` between the program name and the user time.
const FIELDS_BEFORE_USER_TIME: usize = 11;
const KIBI: u64 = 1024;

/// Resources used by a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessUsage {
    /// Processor time of all threads, including threads that have ended.
    pub cpu: Duration,
    /// Current resident memory, in bytes.
    pub resident_bytes: u64,
    /// Peak resident memory, in bytes.
    pub peak_bytes: u64,
}

impl ProcessUsage {
    /// Reads the resources that a process has used so far.
    ///
    /// # Errors
    /// When the process does not exist or `/proc` has an unexpected format.
    pub fn of(process: u32) -> io::Result<Self> {
        let folder = Path::new("/proc").join(process.to_string());
        let status = fs::read_to_string(folder.join("status"))?;
        let stat = fs::read_to_string(folder.join("stat"))?;
        Ok(ProcessUsage {
            cpu: parse_stat_cpu(&stat).ok_or_else(unexpected_format)?,
            resident_bytes: parse_kibibytes(&status, "VmRSS:").ok_or_else(unexpected_format)?,
            peak_bytes: parse_kibibytes(&status, "VmHWM:").ok_or_else(unexpected_format)?,
        })
    }
}

/// Processor time of the calling thread.
///
/// # Errors
/// When `/proc` cannot be read or has an unexpected format.
pub fn thread_cpu() -> io::Result<Duration> {
    read_scheduled_time(Path::new("/proc/thread-self/schedstat"))
}

/// Processor time of the running threads of this process whose names start with `name_prefix`.
///
/// # Errors
/// When `/proc` cannot be read.
pub fn cpu_of_threads(name_prefix: &str) -> io::Result<Duration> {
    let mut sum = Duration::ZERO;
    for entry in fs::read_dir("/proc/self/task")? {
        let folder = entry?.path();
        // A thread may end after the directory is listed and before its files are read.
        let Ok(thread_name) = fs::read_to_string(folder.join("comm")) else {
            continue;
        };
        if thread_name.trim_end().starts_with(name_prefix) {
            sum += read_scheduled_time(&folder.join("schedstat")).unwrap_or_default();
        }
    }
    Ok(sum)
}

fn read_scheduled_time(path: &Path) -> io::Result<Duration> {
    let text = fs::read_to_string(path)?;
    let nanoseconds = text
        .split_whitespace()
        .next()
        .and_then(|field| field.parse().ok());
    nanoseconds
        .map(Duration::from_nanos)
        .ok_or_else(unexpected_format)
}

/// User plus system time. Searches for the last `)` because the program name may contain
/// spaces and brackets.
fn parse_stat_cpu(stat: &str) -> Option<Duration> {
    let (_, after_name) = stat.rsplit_once(')')?;
    let mut fields = after_name.split_whitespace().skip(FIELDS_BEFORE_USER_TIME);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(Duration::from_secs_f64(
        (user + system) as f64 / TICKS_PER_SECOND,
    ))
}

fn parse_kibibytes(status: &str, field: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with(field))?;
    let count: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(count * KIBI)
}

fn unexpected_format() -> io::Error {
    io::Error::new(
        io::ErrorKind::InvalidData,
        "unexpected format of a file in /proc",
    )
}
