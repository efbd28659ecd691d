//! Collects observations and prints the progress of the run.

use std::time::{Duration, Instant};

use tokio::{sync::mpsc, time::MissedTickBehavior};

use super::tally::{Kind, Observation, Tally};

/// Time between two lines of progress.
const INTERVAL: Duration = Duration::from_secs(1);
const MICROS_PER_MILLI: f64 = 1_000.0;

/// Adds up observations until all senders are dropped.
pub(super) async fn collect(
    mut observations: mpsc::Receiver<Observation>,
    started: Instant,
    quiet: bool,
) -> Tally {
    let mut tally = Tally::default();
    let mut ticks = tokio::time::interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    ticks.tick().await;
    loop {
        tokio::select! {
            observation = observations.recv() => match observation {
                Some(observation) => tally.add(observation),
                None => return tally,
            },
            _ = ticks.tick(), if !quiet => print_progress(&tally, started),
        }
    }
}

fn print_progress(tally: &Tally, started: Instant) {
    let counts = tally.counts();
    let elapsed = started.elapsed().as_secs();
    let first = tally.kinds.get(&Kind::Short).map_or(0.0, |short| {
        short.first.value_at_quantile(0.99) as f64 / MICROS_PER_MILLI
    });
    eprintln!(
        "{elapsed:>4} s  served {:>7}  failed {:>5}  wrong {:>3}  jobs {:>3}  \
         p99 to first token {first:.1} ms",
        counts.served,
        counts.failed,
        counts.wrong,
        tally.jobs.len(),
    );
}
