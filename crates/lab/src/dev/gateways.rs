//! The gateways of `dev`.

use std::{net::SocketAddr, path::Path};

use error_stack::Report;
use linnethitch_config::{
    fleet::{Fleet, Zone},
    settings::{DEFAULT_JOURNAL_MAX_BYTES, GatewayLimits, GatewaySettings, LogSettings},
};
use linnethitch_errors::ErrorKind;
use linnethitch_gateway::process::{GatewayHandle, GatewayProcess};
use slog::{Logger, o};

use super::{Arguments, deployment::key_hash};

/// A gateway and its name.
struct NamedGateway {
    name: String,
    handle: GatewayHandle,
}

/// Settings that all gateways share.
pub(super) struct GatewayPlan<'a> {
    pub(super) arguments: &'a Arguments,
    pub(super) fleet: &'a Fleet,
    pub(super) cluster_key: &'a Path,
    /// Attach addresses of the control members.
    pub(super) control_addresses: Vec<SocketAddr>,
    pub(super) logger: Logger,
}

/// All gateways; the first has the address given on the command line.
pub(super) struct Gateways {
    gateways: Vec<NamedGateway>,
}

impl Gateways {
    /// Starts the gateways of every zone, attached to the control members.
    pub(super) async fn start(plan: GatewayPlan<'_>) -> Result<Gateways, Report<ErrorKind>> {
        let mut gateways = Vec::new();
        for zone in &plan.fleet.zones {
            for number in 1..=plan.arguments.gateways {
                let name = format!("gateway-{}-{number}", zone.name);
                let listen = match gateways.is_empty() {
                    true => plan.arguments.gateway_address,
                    false => SocketAddr::from(([127, 0, 0, 1], 0)),
                };
                let settings = plan.settings(zone, &name, listen);
                let logger = plan.logger.new(o!("gateway" => name.clone()));
                let handle = GatewayProcess::start(settings, logger).await?;
                gateways.push(NamedGateway { name, handle });
            }
        }
        Ok(Gateways { gateways })
    }

    /// Names and addresses of all gateways.
    pub(super) fn addresses(&self) -> impl Iterator<Item = (&str, SocketAddr)> {
        self.gateways
            .iter()
            .map(|gateway| (gateway.name.as_str(), gateway.handle.address()))
    }

    /// Address of the first gateway.
    pub(super) fn first(&self) -> SocketAddr {
        self.gateways[0].handle.address()
    }

    /// Stops all gateways concurrently, each after its requests are finished.
    pub(super) async fn stop(self) {
        let stops = self
            .gateways
            .into_iter()
            .map(|gateway| gateway.handle.stop());
        futures_util::future::join_all(stops).await;
    }
}

impl GatewayPlan<'_> {
    fn settings(&self, zone: &Zone, name: &str, listen: SocketAddr) -> GatewaySettings {
        GatewaySettings {
            gateway_id: name.to_owned(),
            zone: zone.name.clone(),
            region: zone.region.clone(),
            listen_address: listen,
            control_addresses: self.control_addresses.clone(),
            cluster: self.fleet.name.clone(),
            cluster_key_file: self.cluster_key.to_owned(),
            data_dir: self.arguments.data_dir.join(name),
            log: LogSettings::default(),
            journal_max_bytes: DEFAULT_JOURNAL_MAX_BYTES,
            operator_key_sha256: Some(key_hash(&self.arguments.operator_key)),
            limits: GatewayLimits::default(),
        }
    }
}
