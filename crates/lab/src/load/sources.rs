//! Starts requests, service calls and batch jobs when they are due.

use std::{
    future::Future,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::task::JoinSet;

use super::{
    Arguments, Driver,
    arrivals::Arrivals,
    batch,
    client::Failed,
    online,
    prompts::{PromptMix, Prompts},
    service,
    tally::{Kind, Observation, Served},
};

/// Failure code of a request that was still running at the end of the drain time.
pub(super) const UNANSWERED: &str = "unanswered";

/// Starts online requests when they are due and waits for all of them.
pub(super) async fn online(driver: Driver, arguments: Arguments, started: Instant) {
    let mix = PromptMix {
        long_percent: arguments.long_percent,
        whole_percent: arguments.whole_percent,
    };
    let mut prompts = Prompts::new(mix, arguments.seed);
    let arrivals = Arrivals::new(arguments.arrivals, arguments.rate, arguments.seed);
    let window = Window::new(started, &arguments);
    window
        .run(arrivals, |due| {
            let prompt = prompts.next();
            let kind = prompt.kind();
            let driver = driver.clone();
            async move {
                let served = window
                    .with_timeout(online::send(&driver, &prompt, due))
                    .await;
                driver.observe(kind, served).await;
            }
        })
        .await;
}

/// Starts service calls when they are due and waits for all of them.
pub(super) async fn service(driver: Driver, arguments: Arguments, started: Instant) {
    let Some(service) = &arguments.service else {
        return;
    };
    let service: Arc<str> = Arc::from(service.as_str());
    let seed = arguments.seed.wrapping_add(1);
    let arrivals = Arrivals::new(arguments.arrivals, arguments.service_rate, seed);
    let window = Window::new(started, &arguments);
    let mut number = 0;
    window
        .run(arrivals, |due| {
            number += 1;
            let driver = driver.clone();
            let service = Arc::clone(&service);
            async move {
                let call = service::send(&driver, &service, number, due);
                let served = window.with_timeout(call).await;
                driver.observe(Kind::Service, served).await;
            }
        })
        .await;
}

/// Starts batch jobs at fixed intervals and waits for all of them.
pub(super) async fn batch(driver: Driver, arguments: Arguments, started: Instant) {
    if arguments.batch_items == 0 {
        return;
    }
    let interval = Duration::from_secs_f64(arguments.batch_interval.max(0.0));
    let timeout = Duration::from_secs_f64(arguments.batch_timeout.max(0.0));
    let mut jobs = JoinSet::new();
    for number in 0..arguments.batch_jobs {
        tokio::time::sleep_until((started + interval * number).into()).await;
        let plan = batch::JobPlan {
            seed: arguments.seed,
            number,
            items: arguments.batch_items,
            timeout,
        };
        jobs.spawn(batch::run_job(driver.clone(), plan));
    }
    while jobs.join_next().await.is_some() {}
}

/// The time in which requests start, and the time in which the last ones may still end.
#[derive(Clone, Copy)]
struct Window {
    started: Instant,
    length: Duration,
    /// How long requests may still run after the window.
    drain: Duration,
}

impl Window {
    fn new(started: Instant, arguments: &Arguments) -> Window {
        Window {
            started,
            length: Duration::from_secs_f64(arguments.seconds.max(0.0)),
            drain: Duration::from_secs_f64(arguments.drain.max(0.0)),
        }
    }

    /// Starts a request at each arrival and waits for all of them.
    async fn run<F>(self, arrivals: Arrivals, mut request: impl FnMut(Instant) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let mut requests = JoinSet::new();
        for due in arrivals.take_while(|due| *due < self.length) {
            let due = self.started + due;
            tokio::time::sleep_until(due.into()).await;
            requests.spawn(request(due));
            while requests.try_join_next().is_some() {}
        }
        while requests.join_next().await.is_some() {}
    }

    /// Cancels a request that is still running at the end of the drain time; it counts as
    /// unanswered.
    async fn with_timeout(
        self,
        request: impl Future<Output = Result<Served, Failed>>,
    ) -> Result<Served, Failed> {
        let end = self.started + self.length + self.drain;
        tokio::time::timeout_at(end.into(), request)
            .await
            .unwrap_or_else(|_| Err(Failed::connection(UNANSWERED)))
    }
}

impl Driver {
    /// Reports the result of a request.
    async fn observe(&self, kind: Kind, served: Result<Served, Failed>) {
        let observation = match served {
            Ok(served) => Observation::Served(kind, served),
            Err(failed) => Observation::Failed(kind, failed),
        };
        // The receiver is dropped only after all senders.
        let _ = self.observations.send(observation).await;
    }
}
