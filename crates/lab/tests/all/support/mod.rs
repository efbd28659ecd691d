//! What the tests share: child processes, an HTTP client, the example of one host.

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

/// Longest wait for anything that a process should do.
const PATIENCE: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(20);

/// Waits until a condition holds.
pub(crate) async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !condition().await {
        assert!(Instant::now() < end, "waited in vain: {what}");
        tokio::time::sleep(POLL).await;
    }
}
