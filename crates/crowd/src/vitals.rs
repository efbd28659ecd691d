//! Memory and descriptors of a process, as the system tells them.

use std::{
    fs,
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    thread,
    time::Duration,
};

/// Interval between two counts of the open descriptors.
const COUNT_INTERVAL: Duration = Duration::from_millis(10);

/// The process's largest resident memory so far, in bytes; `None` if the process has ended.
#[must_use]
pub fn peak_memory(process: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes * 1024)
}

/// Number of descriptors that the process has open; 0 if it has ended.
#[must_use]
pub fn open_descriptors(process: u32) -> usize {
    fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}

/// Counts a process's descriptors while something is done; returns the largest count.
pub fn most_descriptors(process: u32, work: impl FnOnce()) -> usize {
    let is_over = AtomicBool::new(false);
    let most = AtomicUsize::new(0);
    thread::scope(|scope| {
        scope.spawn(|| {
            while !is_over.load(Ordering::Relaxed) {
                most.fetch_max(open_descriptors(process), Ordering::Relaxed);
                thread::sleep(COUNT_INTERVAL);
            }
        });
        let _over = SetOnDrop(&is_over);
        work();
    });
    most.into_inner()
}

/// Sets a flag when the work is over, also when it panics.
struct SetOnDrop<'a>(&'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}
