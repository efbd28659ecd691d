//! A thread of their own for the links between linnethitch's processes.

use std::io;

use error_stack::{Report, ResultExt};
use linnethitch_errors::ErrorKind;
use tokio::{
    net::TcpListener,
    runtime::{Builder, Handle, Runtime},
};

/// Runs the links to other nodes on one thread, where nothing else runs: votes, heartbeats and
/// renewals of leases are sent and answered on time while the rest of the process is busy.
#[derive(Debug)]
pub struct LinkRuntime {
    /// `None` only while it is dropped.
    runtime: Option<Runtime>,
    handle: Handle,
}

impl LinkRuntime {
    /// Starts the thread.
    ///
    /// # Errors
    /// `Io` when the system gives no thread.
    pub fn start(thread_name: &str) -> Result<Self, Report<ErrorKind>> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name(thread_name)
            .enable_all()
            .build()
            .change_context(ErrorKind::Io)
            .attach("cannot start the thread of the links to other nodes")?;
        Ok(LinkRuntime {
            handle: runtime.handle().clone(),
            runtime: Some(runtime),
        })
    }

    /// Where tasks of links are started.
    #[must_use]
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Moves a bound socket here, so that this thread is told of what arrives at it.
    ///
    /// # Errors
    /// `Io` when the system refuses.
    pub fn register_listener(&self, socket: TcpListener) -> Result<TcpListener, Report<ErrorKind>> {
        let _entered = self.handle.enter();
        let moved: io::Result<TcpListener> = socket.into_std().and_then(TcpListener::from_std);
        moved
            .change_context(ErrorKind::Io)
            .attach("cannot move a listening socket to the thread of the links")
    }
}

impl Drop for LinkRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            // Waiting for the thread is not allowed inside another runtime.
            runtime.shutdown_background();
        }
    }
}
