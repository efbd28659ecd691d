//! The gateways of `dev`.

use std::{net::SocketAddr, path::Path};

use error_stack::Report;
use linnethitch_config::{
    fleet::{Fleet, Zone},
    settings::{DEFAULT_JOURNAL_MAX_BYTES, GatewayLimits, GatewaySettings, LogSettings},
};
use linnethitch_errors::ErrorKind;
use linnethitch_gateway::{
    options::{FixedFleet, GatewayOptions},
    process::{GatewayHandle, GatewayProcess},
};
use slog::{Logger, o};

use super::{Arguments, back_ends::BackEnds};

/// A gateway and its name.
struct Named {
    name: String,
    handle: GatewayHandle,
}

/// All gateways, the first on the address of the command line.
pub(super) struct Gateways {
    gateways: Vec<Named>,
}

impl Gateways {
    pub(super) async fn start(
        arguments: &Arguments,
        fleet: &Fleet,
        text: &str,
        cluster_key: &Path,
        back_ends: &BackEnds,
        logger: Logger,
    ) -> Result<Gateways, Report<ErrorKind>> {
        let mut gateways = Vec::new();
        for zone in &fleet.zones {
            for number in 1..=arguments.gateways {
                let name = format!("gateway-{}-{number}", zone.name);
                let listen = if gateways.is_empty() {
                    arguments.gateway_address
                } else {
                    SocketAddr::from(([127, 0, 0, 1], 0))
                };
                let settings = settings(arguments, fleet, zone, &name, listen, cluster_key);
                let options = GatewayOptions {
                    fixed: Some(FixedFleet {
                        content: text.to_owned(),
                        replicas: back_ends.replicas(),
                    }),
                    ..GatewayOptions::default()
                };
                let logger = logger.new(o!("gateway" => name.clone()));
                let handle = GatewayProcess::start_with(settings, options, logger).await?;
                gateways.push(Named { name, handle });
            }
        }
        Ok(Gateways { gateways })
    }

    /// Names and addresses.
    pub(super) fn addresses(&self) -> impl Iterator<Item = (&str, SocketAddr)> {
        self.gateways
            .iter()
            .map(|gateway| (gateway.name.as_str(), gateway.handle.address()))
    }

    /// Where the first one listens.
    pub(super) fn first(&self) -> SocketAddr {
        self.gateways[0].handle.address()
    }

    /// Stops all at once, each when its requests are finished.
    pub(super) async fn stop(self) {
        let stops = self
            .gateways
            .into_iter()
            .map(|gateway| gateway.handle.stop());
        futures_util::future::join_all(stops).await;
    }
}

fn settings(
    arguments: &Arguments,
    fleet: &Fleet,
    zone: &Zone,
    name: &str,
    listen: SocketAddr,
    cluster_key: &Path,
) -> GatewaySettings {
    GatewaySettings {
        gateway_id: name.to_owned(),
        zone: zone.name.clone(),
        region: zone.region.clone(),
        listen_address: listen,
        control_addresses: Vec::new(),
        cluster: fleet.name.clone(),
        cluster_key_file: cluster_key.to_owned(),
        data_dir: arguments.data_dir.join(name),
        log: LogSettings::default(),
        journal_max_bytes: DEFAULT_JOURNAL_MAX_BYTES,
        limits: GatewayLimits::default(),
    }
}
