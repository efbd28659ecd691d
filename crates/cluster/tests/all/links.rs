//! A gateway keeps links to a few members of control however many there are, and every member
//! names every gateway all the same.

use std::net::Ipv4Addr;

use linnethitch_cluster::{ControlNode, GatewayNode};
use rstest::rstest;
use tempfile::TempDir;

use crate::support::{LIMIT, configuration, free_port, host, node, question, start_control, until};

/// Links that the budget of a node bears: four messages a second each, 2 KB a second in all.
const MOST_LINKS: usize = 5;

/// Members of control and gateways.
struct Fleet {
    members: Vec<(ControlNode, TempDir)>,
    gateways: Vec<GatewayNode>,
}

impl Fleet {
    /// A fleet of which every member of control knows every gateway.
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
        members.all(|(control, _)| control.gateways_near(&question()).len() == gateways)
    }

    async fn put(&self, version: u64) {
        let (control, _) = self.members.last().expect("one is left");
        let mut held = Err(linnethitch_cluster::Unavailable);
        while held.is_err() {
            held = control
                .put_configuration(configuration(version), Vec::new(), LIMIT)
                .await;
        }
        assert_eq!(held, Ok(version));
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

/// Before, links and messages grew with the members: six and twelve for each gateway.
#[rstest]
#[case::few(100, 3, 3)]
#[case::more(110, 6, MOST_LINKS)]
#[case::twice_as_many(130, 12, MOST_LINKS)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_gateway_keeps_a_few_links_however_many_members_there_are(
    #[case] first_host: u8,
    #[case] members: u8,
    #[case] links: usize,
) {
    let fleet = Fleet::start(first_host, members, 6).await;
    fleet.put(1).await;
    until("no link is kept beyond the few", || {
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

/// Members end one after the other: gateways turn to those that are left, and are named and
/// told changes by them.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn gateways_turn_to_other_members_when_theirs_say_that_one_stops() {
    let mut fleet = Fleet::start(160, 7, 5).await;
    fleet.put(1).await;
    // A planned stop is known at members that the gateway keeps no link to.
    let stopping = fleet.gateways.pop().expect("one is there");
    stopping.set_ready(false);
    stopping.stop_coordinating();
    until("no member lists it", || fleet.all_list(4)).await;
    until("no gateway counts on it", || {
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
