//! What control runs on, so that it can end at once with all that it has under way.

use tokio::runtime::{Builder, Runtime};

/// Threads of their own for a control member.
pub(super) struct ControlMachine(Option<Runtime>);

impl ControlMachine {
    pub(super) fn start() -> Self {
        let mut runtime = Builder::new_multi_thread();
        let runtime = runtime.worker_threads(1).enable_all().build();
        ControlMachine(Some(runtime.expect("a thread")))
    }

    pub(super) fn runtime(&self) -> &Runtime {
        self.0.as_ref().expect("it runs")
    }

    pub(super) fn end(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for ControlMachine {
    fn drop(&mut self) {
        self.end();
    }
}
