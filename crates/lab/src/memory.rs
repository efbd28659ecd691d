//! Allocated memory, as counted by the allocator.

use peak_alloc::PeakAlloc;

#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

/// Bytes allocated now.
pub(crate) fn allocated_bytes() -> u64 {
    ALLOCATOR.current_usage() as u64
}

/// Resets the peak that [`peak_bytes`] returns.
pub(crate) fn reset_peak() {
    ALLOCATOR.reset_peak_usage();
}

/// Maximum number of bytes allocated at one time since [`reset_peak`].
pub(crate) fn peak_bytes() -> u64 {
    ALLOCATOR.peak_usage() as u64
}
