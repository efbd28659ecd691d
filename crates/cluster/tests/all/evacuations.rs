//! Orders to evacuate a zone: stored by a quorum before they are acknowledged, and sent to gateways
//! like configurations.

use std::{net::Ipv4Addr, time::Duration};

use linnethitch_cluster::{
    ControlNode, ControlSettings, GatewayNode, NodeSettings, Unavailable, ZoneOrderOutcome,
};
use rstest::rstest;
use tempfile::TempDir;
use tokio::task::AbortHandle;

use crate::support::{LIMIT, ZONE, configuration, free_port, host, node, until};

/// Time limit for calls that nobody can answer.
const SHORT_LIMIT: Duration = Duration::from_millis(500);

/// A control member that can be stopped.
struct Member {
    control: ControlNode,
    running: AbortHandle,
    _folder: TempDir,
}

impl Member {
    async fn start(node: NodeSettings) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let settings = ControlSettings {
            node,
            data_dir: folder.path().display().to_string(),
            store_voters: 1,
        };
        let (control, running) = ControlNode::start(settings).await.expect("it starts");
        Member {
            control,
            running: tokio::spawn(running).abort_handle(),
            _folder: folder,
        }
    }

    /// Ends the member's part in the group; unsynced data is lost.
    fn end(&self) {
        self.running.abort();
    }
}

/// Three members with a first configuration in force, and the addresses for gateways.
struct Fleet {
    members: Vec<Member>,
    seeds: Vec<Ipv4Addr>,
    port: u16,
}

impl Fleet {
    async fn start(first_host: u8) -> Self {
        let seeds: Vec<Ipv4Addr> = (0..3).map(|number| host(first_host + number)).collect();
        let port = free_port(seeds[0]);
        let mut members = Vec::new();
        for address in &seeds {
            members.push(Member::start(node(*address, &seeds, port)).await);
        }
        let accepted = members[0]
            .control
            .put_configuration(configuration(1), Vec::new(), LIMIT)
            .await;
        assert_eq!(accepted, Ok(1));
        Fleet {
            members,
            seeds,
            port,
        }
    }

    fn gateway(&self, number: u8) -> GatewayNode {
        let address = host(number);
        let settings = node(address, &self.seeds, self.port);
        GatewayNode::start(&settings, format!("{address}:80"))
    }

    async fn evacuate(&self, member: usize) {
        let control = &self.members[member].control;
        let ordered = control.evacuate_zone(ZONE, LIMIT).await;
        assert!(
            matches!(ordered, Ok(ZoneOrderOutcome::Held(_))),
            "{ordered:?}"
        );
    }
}

fn knows_evacuated(gateway: &GatewayNode) -> bool {
    gateway.fleet().evacuations().contains(ZONE)
}

#[tokio::test]
async fn an_evacuation_and_its_end_reach_gateways() {
    let fleet = Fleet::start(100).await;
    let gateway = fleet.gateway(104);
    fleet.evacuate(0).await;
    until("the zone is evacuated", || knows_evacuated(&gateway)).await;
    // Each member acknowledges a repeated order with the entry that changed the zone.
    let first = fleet.members[0].control.evacuate_zone(ZONE, LIMIT).await;
    for member in &fleet.members {
        assert_eq!(member.control.evacuate_zone(ZONE, LIMIT).await, first);
    }
    let last = &fleet.members[2].control;
    let restored = last.restore_zone(ZONE, LIMIT).await;
    assert!(
        matches!(restored, Ok(ZoneOrderOutcome::Held(_))),
        "{restored:?}"
    );
    until("the zone is restored", || !knows_evacuated(&gateway)).await;
    assert_eq!(last.restore_zone(ZONE, LIMIT).await, restored);
}

#[tokio::test]
async fn a_zone_that_is_not_listed_is_unknown() {
    let fleet = Fleet::start(110).await;
    let control = &fleet.members[0].control;
    for zone in ["elsewhere", ""] {
        assert_eq!(
            control.evacuate_zone(zone, LIMIT).await,
            Ok(ZoneOrderOutcome::Unknown)
        );
        assert_eq!(
            control.restore_zone(zone, LIMIT).await,
            Ok(ZoneOrderOutcome::Unknown)
        );
    }
}

/// Each order is given to a member right after the opposite order was given to another. Whatever
/// the member knows by then, the last acknowledged order must be in force.
#[tokio::test]
async fn the_last_acknowledged_order_is_in_force_whichever_member_received_it() {
    let fleet = Fleet::start(120).await;
    let gateway = fleet.gateway(124);
    for round in 0..30 {
        let (one, other) = (round % 3, (round + 1) % 3);
        fleet.evacuate(one).await;
        let restored = fleet.members[other].control.restore_zone(ZONE, LIMIT).await;
        assert!(
            matches!(restored, Ok(ZoneOrderOutcome::Held(_))),
            "{restored:?}"
        );
    }
    fleet.evacuate(0).await;
    until("the zone is evacuated", || knows_evacuated(&gateway)).await;
}

/// Two simultaneous operators: both orders are acknowledged, and all gateways agree on the result.
#[tokio::test]
async fn orders_of_two_operators_at_once_are_both_acknowledged() {
    let fleet = Fleet::start(130).await;
    let gateways = [fleet.gateway(134), fleet.gateway(135)];
    let evacuate = fleet.members[1].control.evacuate_zone(ZONE, LIMIT);
    let restore = fleet.members[2].control.restore_zone(ZONE, LIMIT);
    let (evacuated, restored) = tokio::join!(evacuate, restore);
    assert!(
        matches!(evacuated, Ok(ZoneOrderOutcome::Held(_))),
        "{evacuated:?}"
    );
    assert!(
        matches!(restored, Ok(ZoneOrderOutcome::Held(_))),
        "{restored:?}"
    );
    let accepted = fleet.members[0]
        .control
        .put_configuration(configuration(2), Vec::new(), LIMIT)
        .await;
    assert_eq!(accepted, Ok(2));
    until("both gateways have the second version", || {
        let versions = gateways
            .iter()
            .map(|gateway| gateway.fleet().table().map(|t| t.version));
        versions.into_iter().all(|version| version == Some(2))
    })
    .await;
    assert_eq!(knows_evacuated(&gateways[0]), knows_evacuated(&gateways[1]));
}

/// Whichever member ends, including the leader: a gateway that starts afterwards learns of the
/// evacuation, and a repeated order is acknowledged with the same entry.
#[rstest]
#[tokio::test]
async fn an_acknowledged_evacuation_outlives_a_member(#[values(0, 1, 2)] ended: usize) {
    let fleet = Fleet::start(140 + 10 * ended as u8).await;
    let accepted = fleet.members[0].control.evacuate_zone(ZONE, LIMIT).await;
    assert!(
        matches!(accepted, Ok(ZoneOrderOutcome::Held(_))),
        "{accepted:?}"
    );
    fleet.members[ended].end();
    let gateway = fleet.gateway(144 + 10 * ended as u8);
    until("the zone is evacuated", || knows_evacuated(&gateway)).await;
    let other = &fleet.members[(ended + 1) % 3].control;
    assert_eq!(other.evacuate_zone(ZONE, LIMIT).await, accepted);
    let restored = other.restore_zone(ZONE, LIMIT).await;
    assert!(
        matches!(restored, Ok(ZoneOrderOutcome::Held(_))),
        "{restored:?}"
    );
    until("the zone is restored", || !knows_evacuated(&gateway)).await;
}

/// Without a quorum the order is neither acknowledged nor permanently refused.
#[tokio::test]
async fn a_member_without_a_quorum_is_unavailable() {
    let fleet = Fleet::start(170).await;
    fleet.members[1].end();
    fleet.members[2].end();
    let control = &fleet.members[0].control;
    assert_eq!(
        control.evacuate_zone(ZONE, SHORT_LIMIT).await,
        Err(Unavailable)
    );
}
