//! The core in real time: calls in, their ends out.

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

/// How often a call to a hung replica looks whether it goes on.
const HANG_POLL: Duration = Duration::from_millis(20);

/// The replica of one server.
pub(super) struct ApplicationService {
    pub(super) name: String,
    pub(super) service: String,
    clock: CompressedClock,
    pub(super) inner: Mutex<Inner>,
    wake: Notify,
    dead: watch::Sender<bool>,
}

/// What the lock guards.
pub(super) struct Inner {
    pub(super) core: ApplicationCore,
    calls: HashMap<CallId, oneshot::Sender<()>>,
    pub(super) executions: Executions,
    pub(super) started: u64,
    completed: Vec<Completed>,
}

/// A call in progress; dropped when its caller is gone.
pub(super) struct Call<'a> {
    service: &'a ApplicationService,
    id: CallId,
    /// Whether it was answered; an error when the replica died.
    pub(super) done: oneshot::Receiver<()>,
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

    /// Advances the core whenever it has something to do.
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

    /// Waits until a fault has killed the replica.
    pub(super) async fn died(&self) {
        // The sender lives in `self`, so waiting can not fail.
        let _ = self.dead.subscribe().wait_for(|dead| *dead).await;
    }

    /// Waits until a killed replica has been brought back.
    pub(super) async fn revived(&self) {
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

    /// Returns once the replica does not hang.
    pub(super) async fn while_hung(&self) {
        while self.inner.lock().core.faults().hung {
            sleep(HANG_POLL).await;
        }
    }

    /// Takes a call on; its content is counted too.
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
        let (sender, done) = oneshot::channel();
        inner.calls.insert(id, sender);
        drop(inner);
        self.wake.notify_one();
        Ok(Call {
            service: self,
            id,
            done,
        })
    }

    /// The newest readable load report, its time since the Unix epoch.
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
                // The caller may just have gone.
                let _ = sender.send(());
            }
        }
        self.completed = completed;
    }
}
