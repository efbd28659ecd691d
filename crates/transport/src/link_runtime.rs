//! A separate thread for the links between linnethitch's processes.

use std::io;

use error_stack::{Report, ResultExt};
use linnethitch_errors::ErrorKind;
use tokio::{
    net::TcpListener,
    runtime::{Builder, Handle, Runtime},
};

/// Runs the links to other nodes on a dedicated thread, so that votes, heartbeats and lease
/// renewals are sent and answered on time even while the process is busy.
#[derive(Debug)]
pub struct LinkRuntime {
    /// `None` only during drop.
    runtime: Option<Runtime>,
    handle: Handle,
}

impl LinkRuntime {
    /// Starts the thread.
    ///
    /// # Errors
    /// `Io` when the system cannot start a thread.
    pub fn start(thread_name: &str) -> Result<Self, Report<ErrorKind>> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name(thread_name)
            .enable_all()
            .build()
            .change_context(ErrorKind::Io)
            .attach("cannot start the thread for links to other nodes")?;
        Ok(LinkRuntime {
            handle: runtime.handle().clone(),
            runtime: Some(runtime),
        })
    }

    /// The handle on which tasks of links are spawned.
    #[must_use]
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Registers a listening socket with this runtime, so that its events are handled on this
    /// thread.
    ///
    /// # Errors
    /// `Io` when the system refuses.
    pub fn register_listener(&self, socket: TcpListener) -> Result<TcpListener, Report<ErrorKind>> {
        let _entered = self.handle.enter();
        let registered: io::Result<TcpListener> = socket.into_std().and_then(TcpListener::from_std);
        registered
            .change_context(ErrorKind::Io)
            .attach("cannot register a listening socket with the thread for links")
    }
}

impl Drop for LinkRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            // A runtime must not block on its threads when it is dropped inside another runtime.
            runtime.shutdown_background();
        }
    }
}
