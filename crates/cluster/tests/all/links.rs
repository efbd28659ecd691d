//! A gateway keeps links to a few control members, however many there are, and still every member
//! lists every gateway.

use std::net::Ipv4Addr;

use linnethitch_cluster::{ControlNode, GatewayNode};
use rstest::rstest;
use tempfile::TempDir;

use crate::support::{LIMIT, configuration, free_port, host, node, query, start_control, until};

/// Maximum number of links within the budget of a node: four messages a second for each link, 2 KB
/// a second in total.
const MAX_LINKS: usize = 5;

/// Control members and gateways.
struct Fleet {
    members: Vec<(ControlNode, TempDir)>,
    gateways: Vec<GatewayNode>,
}

impl Fleet {
    /// A fleet in which every control member knows every gateway.
    async fn start(first_host: u8, members: u8, gateways: u8) -> Self {
        let seeds: Vec<Ipv4Addr> = (0..members)
            .map(|number| host(first_host + number))
            .collect();
        let port = free_port(seeds[0]);
        let mut fleet = Fleet {
            members: Vec::new(),
            gateways: Vec::new(),
        };
        for seed in &seeds {
            fleet
                .members
                .push(start_control(node(*seed, &seeds, port)).await);
        }
        for number in 0..gateways {
            let own = host(first_host + members + number);
            let gateway = GatewayNode::start(&node(own, &seeds, port), format!("{own}:80"));
            gateway.set_ready(true);
            fleet.gateways.push(gateway);
        }
        let count = usize::from(gateways);
        until("every member lists every gateway", || fleet.all_list(count)).await;
        fleet
    }

    fn all_list(&self, gateways: usize) -> bool {
        let mut members = self.members.iter();
        members.all(|(control, _)| control.gateways_near(&query()).len() == gateways)
    }

    async fn put(&self, version: u64) {
        let (control, _) = self.members.last().expect("at least one member");
        let mut accepted = Err(linnethitch_cluster::Unavailable);
        while accepted.is_err() {
            accepted = control
                .put_configuration(configuration(version), Vec::new(), LIMIT)
                .await;
        }
        assert_eq!(accepted, Ok(version));
        until("every gateway has it", || {
            let mut gateways = self.gateways.iter();
            gateways.all(|gateway| {
                let fleet = gateway.fleet();
                fleet.table().map(|table| table.version) == Some(version)
            })
        })
        .await;
    }
}

/// Guards against links and messages that grow with the number of members, to six and twelve links
/// for each gateway.
#[rstest]
#[case::few(100, 3, 3)]
#[case::more(110, 6, MAX_LINKS)]
#[case::twice_as_many(130, 12, MAX_LINKS)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_gateway_keeps_a_few_links_however_many_members_there_are(
    #[case] first_host: u8,
    #[case] members: u8,
    #[case] links: usize,
) {
    let fleet = Fleet::start(first_host, members, 6).await;
    fleet.put(1).await;
    until("no gateway keeps further links", || {
        fleet
            .gateways
            .iter()
            .all(|gateway| gateway.control_links() == links)
    })
    .await;
    assert!(fleet.all_list(6));
    until("each knows all coordinators", || {
        fleet
            .gateways
            .iter()
            .all(|gateway| gateway.coordinators().len() == 6)
    })
    .await;
}

/// A gateway stops: members without a link to it learn this from others, all gateways remove it as
/// coordinator, and the remaining gateways still receive changes.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_stopping_gateway_is_removed_by_members_without_a_link_to_it() {
    let mut fleet = Fleet::start(160, 7, 5).await;
    fleet.put(1).await;
    // A planned stop is also known to members that the gateway keeps no link to.
    let stopping = fleet.gateways.pop().expect("at least one gateway");
    stopping.set_ready(false);
    stopping.stop_coordinating();
    until("no member lists it", || fleet.all_list(4)).await;
    until("no gateway lists it as coordinator", || {
        fleet
            .gateways
            .iter()
            .all(|gateway| gateway.coordinators().len() == 4)
    })
    .await;
    assert!(
        fleet
            .gateways
            .iter()
            .all(|gateway| gateway.silent_coordinators().is_empty())
    );
    fleet.put(2).await;
}
