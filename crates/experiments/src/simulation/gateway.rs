//! State of a gateway: its router and its batch items.

use std::collections::VecDeque;

use linnethitch_config::fleet::RoutingPolicy;
use linnethitch_protocol::ids::{GatewayId, Timestamp, ZoneId};
use linnethitch_routing::{RetryBudget, Router, batch::yielding::BatchCapacity};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::attempt::AttemptId;
use crate::strategy::Strategy;

/// State of one gateway.
#[derive(Debug)]
pub(super) struct Gateway {
    pub(super) id: GatewayId,
    pub(super) zone: ZoneId,
    pub(super) router: Router,
    pub(super) random: Pcg64Mcg,
    pub(super) capacity: BatchCapacity,
    /// Batch attempts on each engine.
    pub(super) batch: Vec<Vec<AttemptId>>,
    /// Leased items that are not running; items returned by a cancelled or failed attempt
    /// come first.
    pub(super) leased: VecDeque<usize>,
    /// Whether a lease call is outstanding.
    pub(super) lease_pending: bool,
    /// Requests and items of this gateway in flight on each engine.
    pub(super) in_flight: Vec<u32>,
    /// Limits retries of online requests.
    pub(super) retry_budget: RetryBudget,
    /// Round-robin position.
    pub(super) round_robin_position: usize,
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
            retry_budget: RetryBudget::new(Timestamp(0), &policy),
            router: Router::new(zone, policy),
            random: Pcg64Mcg::seed_from_u64(seed ^ number as u64),
            capacity: BatchCapacity::new(strategy.yielding),
            batch: vec![Vec::new(); engines],
            leased: VecDeque::new(),
            lease_pending: false,
            in_flight: vec![0; engines],
            round_robin_position: number,
        }
    }

    /// Number of running batch attempts.
    pub(super) fn batch_running(&self) -> u32 {
        self.batch
            .iter()
            .map(|attempts| attempts.len() as u32)
            .sum()
    }
}
