//! A gateway: its decisions and its batch work.

use std::collections::VecDeque;

use linnethitch_config::fleet::RoutingPolicy;
use linnethitch_protocol::ids::{GatewayId, Timestamp, ZoneId};
use linnethitch_routing::{RetryBudget, Router, batch::yielding::BatchCapacity};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::attempt::AttemptId;
use crate::strategy::Strategy;

/// One gateway's state.
#[derive(Debug)]
pub(super) struct Gateway {
    pub(super) id: GatewayId,
    pub(super) zone: ZoneId,
    pub(super) router: Router,
    pub(super) random: Pcg64Mcg,
    pub(super) capacity: BatchCapacity,
    /// Batch attempts on each engine.
    pub(super) batch: Vec<Vec<AttemptId>>,
    /// Items leased and not started, those with tokens first.
    pub(super) leased: VecDeque<usize>,
    /// Whether leased items are on their way.
    pub(super) lease_asked: bool,
    /// Requests of this gateway on each engine.
    pub(super) in_flight: Vec<u32>,
    /// Bounds what it sends again.
    pub(super) budget: RetryBudget,
    /// Position of round robin.
    pub(super) turn: usize,
}

impl Gateway {
    pub(super) fn new(
        number: usize,
        zone: ZoneId,
        policy: RoutingPolicy,
        strategy: &Strategy,
        engines: usize,
        seed: u64,
    ) -> Gateway {
        Gateway {
            id: GatewayId(format!("gateway-{number:03}")),
            zone: zone.clone(),
            budget: RetryBudget::new(Timestamp(0), &policy),
            router: Router::new(zone, policy),
            random: Pcg64Mcg::seed_from_u64(seed ^ number as u64),
            capacity: BatchCapacity::new(strategy.yielding),
            batch: vec![Vec::new(); engines],
            leased: VecDeque::new(),
            lease_asked: false,
            in_flight: vec![0; engines],
            turn: number,
        }
    }

    /// Batch attempts under way.
    pub(super) fn batch_running(&self) -> u32 {
        self.batch.iter().map(|runs| runs.len() as u32).sum()
    }
}
