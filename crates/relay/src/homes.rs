//! Where a request may be served: in the home regions of its route and its tenant.

use std::collections::BTreeSet;

use http::Response;
use linnethitch_errors::ErrorKind;
use linnethitch_job_store::{ExcludedWork, JobSpec, RouteExclusion};
use linnethitch_registry::{FleetView, Route, RouteKind, RouteTable, ZoneMap};
use linnethitch_routing::dispatch::SoftwareNeed;
use linnethitch_tenants::Tenant;
use slog::info;

use crate::{
    counters::RequestEnd,
    exchange::{Exchange, Outgoing},
    relay::Relay,
    response::{ResponseBody, error_response},
    shared::Shared,
};

/// Zones in which a request may be served; `None` if there is no restriction.
pub(crate) type HomeZones = Option<BTreeSet<String>>;

/// The zones for a route and a tenant. If both have home regions, both restrict the zones.
pub(crate) fn home_zones(
    zones: &ZoneMap,
    of_route: &[String],
    tenant: Option<&Tenant>,
) -> HomeZones {
    let of_tenant = tenant.map_or(&[][..], |tenant| &tenant.homes);
    zones.home_zones(&[of_route, of_tenant])
}

/// Whether no replica can serve a request: no zone is a home, or the service has replicas and
/// none of them, including ended ones, has ever been in a home zone.
fn has_no_home(fleet: &FleetView, service: &str, homes: &HomeZones) -> bool {
    let Some(homes) = homes else {
        return false;
    };
    let mut zones = fleet.service_zones(service).peekable();
    let is_served = zones.peek().is_some();
    homes.is_empty() || (is_served && !zones.any(|zone| homes.contains(zone)))
}

/// The weights of a route's services, 0 for services that are not eligible; `None` if none is
/// eligible.
fn weights_of(route: &Route, is_eligible: impl Fn(&str) -> bool) -> Option<Vec<u32>> {
    let backends = route.backends.iter();
    let weights = backends.map(|backend| {
        let eligible = is_eligible(&backend.service);
        if eligible { backend.weight } else { 0 }
    });
    let weights: Vec<u32> = weights.collect();
    weights.iter().any(|weight| *weight > 0).then_some(weights)
}

/// Batch routes whose items this gateway must not or cannot run, and the routes below them.
fn excluded_routes(
    table: &RouteTable,
    is_excluded: impl Fn(&Route) -> bool,
) -> Vec<RouteExclusion> {
    let batch = table.routes.iter().filter(|r| r.kind == RouteKind::Batch);
    let excluded: Vec<&Route> = batch.filter(|route| is_excluded(route)).collect();
    let is_below = |route: &&Route| {
        let mut excluded = excluded.iter();
        excluded.any(|above| {
            above.host.eq_ignore_ascii_case(&route.host)
                && route.path_prefix.starts_with(&above.path_prefix)
        })
    };
    let routes = table.routes.iter().filter(is_below);
    let routes = routes.map(|route| RouteExclusion {
        host: route.host.clone(),
        path_prefix: route.path_prefix.clone(),
        is_outside: is_excluded(route),
    });
    routes.collect()
}

impl Shared {
    /// The zones in which a request may be served, by the configuration in force now.
    pub(crate) fn homes(&self, outgoing: &Outgoing) -> HomeZones {
        let fleet = self.gateway.fleet();
        // The table may have a thousand routes, so it is searched again only if it has changed.
        let newer = fleet
            .table()
            .filter(|table| outgoing.table_version != Some(table.version));
        let of_route = newer.and_then(|table| outgoing.route(table));
        // A request whose route was removed keeps the homes it arrived with.
        let of_route = of_route.map_or(&outgoing.homes, |route| &route.homes);
        let tenant = outgoing.tenant.as_deref();
        let tenant = tenant.and_then(|name| fleet.tenants().get(name));
        let tenant = tenant.map(|tenant| tenant.as_ref());
        home_zones(self.gateway.zones(), of_route, tenant)
    }

    /// The zones in which requests of a route may be served, by the configuration in force now.
    pub(crate) fn homes_of(&self, route: &Route, tenant: Option<&str>) -> HomeZones {
        let fleet = self.gateway.fleet();
        let tenant = tenant.and_then(|name| fleet.tenants().get(name));
        let tenant = tenant.map(|tenant| tenant.as_ref());
        home_zones(self.gateway.zones(), &route.homes, tenant)
    }

    /// Selects a service of a route by weight. If homes restrict the request, only services with
    /// ready replicas in home zones take turns; if there are none, services that may have such
    /// replicas again.
    pub(crate) fn pick_service(&self, route: &Route, homes: &HomeZones) -> Option<String> {
        if let [only] = route.backends.as_slice() {
            return Some(only.service.clone());
        }
        let weights: Vec<u32> = route.backends.iter().map(|b| b.weight).collect();
        let at_home = homes.as_ref().and_then(|_| {
            let ready = weights_of(route, |service| self.has_ready_replica(service, homes));
            ready.or_else(|| weights_of(route, |service| !self.has_no_home(service, homes)))
        });
        let index = self.next_turn(&route.name, &at_home.unwrap_or(weights))?;
        Some(route.backends[index].service.clone())
    }

    /// Items that must not be leased to this gateway: it is outside their home regions, which
    /// their bodies must not leave, or its table may be too old to have their routes.
    pub(crate) fn excluded_work(&self) -> ExcludedWork {
        let fleet = self.gateway.fleet();
        let is_outside = |homes: &[String]| {
            let zones = self.gateway.zones().home_zones(&[homes]);
            zones.is_some_and(|zones| !zones.contains(&self.zone))
        };
        let tenants = fleet.tenants().iter();
        let tenants = tenants.filter(|tenant| is_outside(&tenant.homes));
        let tenants: Vec<String> = tenants.map(|tenant| tenant.name.clone()).collect();
        let is_batch = |route: &Route| route.kind == RouteKind::Batch;
        let is_excluded = |route: &Route| {
            is_outside(&route.homes) || is_batch(route) && self.runs_elsewhere(&fleet, route)
        };
        let mut batch = fleet
            .table()
            .into_iter()
            .flat_map(|table| &table.routes)
            .filter(|route| is_batch(route));
        ExcludedWork {
            is_bound_by_homes: !tenants.is_empty() || batch.any(|r| is_outside(&r.homes)),
            routes: fleet
                .table()
                .map_or_else(Vec::new, |table| excluded_routes(table, is_excluded)),
            tenants,
            table_version: Some(fleet.table().map_or(0, |table| table.version)),
        }
    }

    /// Whether the items of a route can run at other gateways only, which coordinate all its engines
    /// in its home regions.
    fn runs_elsewhere(&self, fleet: &FleetView, route: &Route) -> bool {
        let mut services = route.backends.iter().map(|backend| &backend.service);
        let is_here = |service: &String| {
            let (engines, _) = self.coordinated_by_software(service, &SoftwareNeed::Any);
            !engines.is_empty()
        };
        if services.clone().any(is_here) {
            return false;
        }
        let homes = self.gateway.zones().home_zones(&[&route.homes]);
        let is_home = |zone: &String| homes.as_ref().is_none_or(|homes| homes.contains(zone));
        services.any(|service| {
            let live = fleet.live_replicas().map(|record| &record.reported);
            let mut of_service = live.filter(|replica| replica.service == *service);
            of_service.any(|replica| is_home(&replica.zone))
        })
    }

    /// Whether no replica of a service can ever serve a request in its homes, so that waiting
    /// does not help.
    pub(crate) fn has_no_home(&self, service: &str, homes: &HomeZones) -> bool {
        has_no_home(&self.gateway.fleet(), service, homes)
    }

    /// Whether a replica is outside a request's homes. A replica whose zone is unknown belongs to
    /// no region.
    pub(crate) fn is_outside_homes(&self, outgoing: &Outgoing, replica: &str) -> bool {
        let Some(homes) = self.homes(outgoing) else {
            return false;
        };
        let fleet = self.gateway.fleet();
        let zone = fleet.zone_of_incarnation(replica);
        !zone.is_some_and(|zone| homes.contains(zone))
    }

    /// Counts and logs a send that was stopped because the homes changed after the replica was
    /// chosen.
    pub(crate) fn not_sent_outside_homes(&self, outgoing: &Outgoing, replica: &str) -> Exchange {
        self.counters.outside_homes_sends.inc();
        let version = self.table().map(|table| table.version);
        info!(self.logger, "request: not sent, replica outside its home regions";
            "request" => outgoing.id(), "replica" => replica, "version" => version);
        Exchange::OutsideHomes
    }

    /// Refuses a request that must not be served by any replica of its service. Clients do not
    /// retry this response by themselves.
    pub(crate) fn refuse_outside_homes(
        &self,
        request: &str,
        route: &Route,
        tenant: Option<&str>,
    ) -> Response<ResponseBody> {
        let fleet = self.gateway.fleet();
        let of_tenant = tenant.and_then(|name| fleet.tenants().get(name));
        let of_tenant = of_tenant.map(|tenant| tenant.homes.join(","));
        info!(self.logger, "request: refused, no replica in its home regions"; "request" => request,
            "route" => &route.name, "tenant" => tenant, "homes" => route.homes.join(","),
            "tenant_homes" => of_tenant, "version" => fleet.table().map(|table| table.version));
        self.counters
            .request_ended(&route.name, RequestEnd::OutsideHomes);
        error_response(ErrorKind::OutsideHomes, None)
    }
}

/// All regions share one job store, so jobs whose homes exclude any region cannot be stored.
impl Relay {
    /// Whether jobs of a route and a tenant may be stored, by the configuration in force now.
    #[must_use]
    pub fn may_store_jobs(&self, route: &Route, tenant: Option<&str>) -> bool {
        self.shared.homes_of(route, tenant).is_none()
    }

    /// The first route of a job or its items that forbids storing the job, by the configuration
    /// in force now.
    #[must_use]
    pub fn unstorable_route(&self, job: &JobSpec, tenant: Option<&str>) -> Option<Route> {
        let table = self.shared.table()?;
        let items = job.items.iter().map(|item| item.path.as_str());
        let mut paths: Vec<&str> = items.chain([job.path.as_str()]).collect();
        paths.sort_unstable();
        paths.dedup();
        let routes = paths.iter().filter_map(|path| table.find(&job.host, path));
        let mut bound = routes.filter(|route| !self.may_store_jobs(route, tenant));
        bound.next().cloned()
    }

    /// Refuses a job that cannot be stored within its home regions.
    #[must_use]
    pub fn refuse_job(
        &self,
        job: &str,
        route: &Route,
        tenant: Option<&str>,
    ) -> Response<ResponseBody> {
        self.shared.refuse_outside_homes(job, route, tenant)
    }
}
