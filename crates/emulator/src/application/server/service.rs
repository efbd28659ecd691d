//! Runs the application core in real time and reports completed calls to their handlers.

use std::{collections::HashMap, sync::Arc, time::Duration};

use http::HeaderMap;
use linnethitch_protocol::fleet::LoadReport;
use parking_lot::Mutex;
use tokio::{
    sync::{Notify, oneshot, watch},
    time::{sleep, sleep_until},
};

use super::{
    ApplicationSettings,
    routes::{IDEMPOTENCY_HEADER, REQUEST_HEADER},
};
use crate::{
    application::core::{ApplicationCore, ApplicationRefusal, CallId, Completed},
    clock::CompressedClock,
    engine::Fault,
    executions::Executions,
    http::header_text,
};

/// Interval at which a call to a hung replica checks for recovery.
const HANG_POLL: Duration = Duration::from_millis(20);

/// The core of a replica and its open calls.
pub(super) struct ApplicationService {
    pub(super) name: String,
    pub(super) service: String,
    clock: CompressedClock,
    pub(super) inner: Mutex<Inner>,
    wake: Notify,
    dead: watch::Sender<bool>,
}

/// The state behind the lock.
pub(super) struct Inner {
    pub(super) core: ApplicationCore,
    calls: HashMap<CallId, oneshot::Sender<()>>,
    pub(super) executions: Executions,
    pub(super) started: u64,
    completed: Vec<Completed>,
}

/// A call in progress; dropping it, as when the caller disconnects, cancels the call.
pub(super) struct Call<'a> {
    service: &'a ApplicationService,
    id: CallId,
    /// Resolves when the call completes; an error if the replica died.
    pub(super) completion: oneshot::Receiver<()>,
}

impl Drop for Call<'_> {
    fn drop(&mut self) {
        let mut inner = self.service.inner.lock();
        if inner.calls.remove(&self.id).is_some() {
            inner.core.cancel(self.id);
        }
    }
}

impl ApplicationService {
    pub(super) fn new(settings: &ApplicationSettings) -> ApplicationService {
        ApplicationService {
            name: settings.name.clone(),
            service: settings.service.clone(),
            clock: CompressedClock::start(settings.time_compression),
            inner: Mutex::new(Inner {
                core: ApplicationCore::new(settings.model.clone(), settings.seed),
                calls: HashMap::new(),
                executions: Executions::default(),
                started: 0,
                completed: Vec::new(),
            }),
            wake: Notify::new(),
            dead: watch::Sender::new(false),
        }
    }

    /// Advances the core whenever its next event is due.
    pub(super) async fn drive(self: Arc<Self>) {
        loop {
            let next = {
                let mut inner = self.inner.lock();
                inner.advance(&self.clock);
                inner.core.next_event_at()
            };
            match next {
                None => self.wake.notified().await,
                Some(at) => {
                    tokio::select! {
                        () = sleep_until(self.clock.instant(at).into()) => {}
                        () = self.wake.notified() => {}
                    }
                }
            }
        }
    }

    /// Waits until the replica is dead.
    pub(super) async fn died(&self) {
        // `self` owns the sender, so waiting can not fail.
        let _ = self.dead.subscribe().wait_for(|dead| *dead).await;
    }

    /// Waits until the replica is not dead.
    pub(super) async fn recovered(&self) {
        let _ = self.dead.subscribe().wait_for(|dead| !*dead).await;
    }

    pub(super) fn inject(&self, fault: Fault) {
        let mut inner = self.inner.lock();
        inner.core.inject(self.clock.now(), fault);
        let dead = inner.core.faults().dead;
        if dead {
            inner.calls.clear();
        }
        drop(inner);
        self.dead.send_replace(dead);
        self.wake.notify_one();
    }

    /// Waits while the replica is hung.
    pub(super) async fn wait_while_hung(&self) {
        while self.inner.lock().core.faults().hung {
            sleep(HANG_POLL).await;
        }
    }

    /// Submits a call and counts its start under its request id, its idempotency key and its
    /// content.
    pub(super) fn submit(
        &self,
        headers: &HeaderMap,
        content: &str,
    ) -> Result<Call<'_>, ApplicationRefusal> {
        let mut inner = self.inner.lock();
        inner.advance(&self.clock);
        let id = CallId(inner.started + 1);
        inner.core.submit(self.clock.now(), id)?;
        inner.started += 1;
        for name in [REQUEST_HEADER, IDEMPOTENCY_HEADER] {
            if let Some(key) = header_text(headers, name) {
                inner.executions.record(key);
            }
        }
        inner.executions.record(content);
        let (sender, completion) = oneshot::channel();
        inner.calls.insert(id, sender);
        drop(inner);
        self.wake.notify_one();
        Ok(Call {
            service: self,
            id,
            completion,
        })
    }

    /// The newest readable load report, with its time since the Unix epoch.
    pub(super) fn load_report(&self) -> LoadReport {
        let mut report = self.inner.lock().core.load_report(self.clock.now());
        report.measured_at = self.clock.timestamp(report.measured_at);
        report
    }
}

impl Inner {
    fn advance(&mut self, clock: &CompressedClock) {
        let mut completed = std::mem::take(&mut self.completed);
        self.core.advance(clock.now(), &mut completed);
        for call in completed.drain(..) {
            if let Some(sender) = self.calls.remove(&call.id) {
                // The caller may have disconnected meanwhile.
                let _ = sender.send(());
            }
        }
        self.completed = completed;
    }
}
