//! The route of a leased item, and what happens to an item without one.

use std::time::Duration;

use linnethitch_clock::sleep;
use linnethitch_job_store::ItemOutcome;
use linnethitch_registry::Route;
use slog::info;

use super::{DEFER_DURATION, ItemRun, RunEnd};
use crate::{
    callers::PROPAGATION_ALLOWANCE,
    deferred_items::DeferReason,
    item_route::{ItemRoute, RouteVerdict},
};

/// Interval at which the route of an item is looked up again while it is not known here.
const ROUTE_POLL_INTERVAL: Duration = Duration::from_millis(100);

impl ItemRun {
    /// The current route: changes of the route apply to items too. Without one, how the run ends.
    pub(super) async fn route(&self) -> Result<Route, RunEnd> {
        let mut waiting = None;
        loop {
            let table = self.shared.table();
            let (decision, end) = match RouteVerdict::of(table.as_deref(), &self.item_route()) {
                RouteVerdict::InForce(route) => return Ok(route.clone()),
                RouteVerdict::Ended => (
                    "given up, the route has ended",
                    RunEnd::Outcome(ItemOutcome::RouteRemoved),
                ),
                RouteVerdict::Unknown if !self.may_wait_for_table() => {
                    ("returned, the table may be too old", RunEnd::Return)
                }
                RouteVerdict::Unknown => {
                    if waiting.is_none() {
                        self.log_no_route("waits for a confirmed table");
                        let deferred = &self.shared.deferred_items;
                        waiting = Some(deferred.begin(DeferReason::NoRoute));
                    }
                    sleep(ROUTE_POLL_INTERVAL).await;
                    continue;
                }
            };
            self.log_no_route(decision);
            return Err(end);
        }
    }

    fn item_route(&self) -> ItemRoute<'_> {
        let confirmation_age = Duration::from_millis(self.shared.gateway.knowledge_age_ms());
        ItemRoute {
            host: &self.work.host,
            path: &self.work.spec.path,
            accepted: self.work.route.as_ref(),
            is_table_confirmed: self.leased_at.elapsed()
                >= confirmation_age + PROPAGATION_ALLOWANCE,
        }
    }

    /// Whether the item waits here until its route is known. An item whose accepting table is
    /// known is returned instead: a gateway with that table or a newer one leases it.
    fn may_wait_for_table(&self) -> bool {
        let is_in_time = self.leased_at.elapsed() < DEFER_DURATION;
        self.work.route.is_none() && is_in_time && !self.stopping.is_cancelled()
    }

    /// Logs which table has no route for the item, how old it may be, and what follows.
    fn log_no_route(&self, decision: &str) {
        self.shared.counters.items_without_route.inc();
        let version = self.shared.table().map(|table| table.version);
        let accepted = self.work.route.as_ref().map(|route| route.table_version);
        info!(self.shared.logger, "item: no route"; "item" => &self.work.spec.id,
            "job" => &self.work.item.job, "host" => &self.work.host,
            "path" => &self.work.spec.path, "version" => version, "accepted_version" => accepted,
            "knowledge_age_ms" => self.shared.gateway.knowledge_age_ms(),
            "decision" => decision);
    }
}
