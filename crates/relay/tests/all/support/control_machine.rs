//! A runtime for control, so that control can be ended at once with all its tasks.

use tokio::runtime::{Builder, Runtime};

/// Separate threads for a control member.
pub(super) struct ControlMachine(Option<Runtime>);

impl ControlMachine {
    pub(super) fn start() -> Self {
        let mut runtime = Builder::new_multi_thread();
        let runtime = runtime.worker_threads(1).enable_all().build();
        ControlMachine(Some(runtime.expect("a thread")))
    }

    pub(super) fn runtime(&self) -> &Runtime {
        self.0.as_ref().expect("the runtime is running")
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
