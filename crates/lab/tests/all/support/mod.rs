//! Shared test support: child processes, an HTTP client and the one-host example.

mod caller;
mod job;
mod one_host;
mod ports;
mod process;
mod stream;

use std::time::{Duration, Instant};

pub(crate) use self::{
    caller::{Answer, Caller},
    job::{Job, Run},
    one_host::OneHost,
    process::ChildProcess,
    stream::{Stream, key_of},
};

/// Timeout of waiting for a process to reach an expected state.
const TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until a condition holds.
pub(crate) async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < end, "timed out waiting until: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
