//! Memory that is allocated, counted by the allocator itself.

use peak_alloc::PeakAlloc;

#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

/// Bytes allocated now.
pub(crate) fn allocated_bytes() -> u64 {
    ALLOCATOR.current_usage() as u64
}

/// Begins a new search for the peak; see [`peak_bytes`].
pub(crate) fn reset_peak() {
    ALLOCATOR.reset_peak_usage();
}

/// The most bytes allocated at once since [`reset_peak`].
pub(crate) fn peak_bytes() -> u64 {
    ALLOCATOR.peak_usage() as u64
}
