//! Links between nodes that fall silent without a word, while new ones work: what
//! is in force must reach every node all the same.
//!
//! Nodes reach each other at their own port, so that a proxy at a peer's address
//! and that port stands between the two.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use linnethitch_clock::testing::suspend_for;
use linnethitch_cluster::{ControlNode, GatewayNode, NodeSettings, Unavailable, ZoneOrderOutcome};
use linnethitch_fault_proxy::{Mode, Network, Proxy, Way};
use rstest::rstest;
use tempfile::TempDir;
use tokio::time::sleep;

use crate::support::{
    LIMIT, ZONE, configuration, free_port, host, node, question, start_control, until,
};

/// Long enough for a member that is cut off to find that it hears no leader.
const CUT_FOR: Duration = Duration::from_millis(2_500);

/// Puts a version in force, which may take a while after a start.
async fn put(control: &ControlNode, version: u64) {
    let held = control
        .put_configuration(configuration(version), Vec::new(), LIMIT)
        .await;
    assert_eq!(held, Ok(version));
}

fn version(gateway: &GatewayNode) -> u64 {
    let fleet = gateway.fleet();
    fleet.table().map_or(0, |table| table.version)
}

fn socket(address: Ipv4Addr, port: u16) -> SocketAddr {
    (address, port).into()
}

/// A control member and a gateway with a proxy between them.
struct Pair {
    control: ControlNode,
    gateway: GatewayNode,
    proxy: Proxy,
    _network: Network,
    _folder: TempDir,
}

impl Pair {
    async fn start(first_host: u8) -> Self {
        let (seed, own) = (host(first_host), host(first_host + 1));
        let control_port = free_port(seed);
        let (control, folder) = start_control(node(seed, &[seed], control_port)).await;
        let network = Network::start().expect("threads");
        let proxy = network
            .streams(socket(seed, 0), socket(seed, control_port))
            .expect("a port");
        let settings = node(own, &[seed], proxy.address.port());
        let gateway = GatewayNode::start(&settings, format!("{own}:80"));
        gateway.set_ready(true);
        Pair {
            control,
            gateway,
            proxy,
            _network: network,
            _folder: folder,
        }
    }

    fn is_listed(&self) -> bool {
        !self.control.gateways_near(&question()).is_empty()
    }
}

/// Control lists a gateway that it hears; one whose messages are lost is listed
/// again once it has opened a new link.
#[rstest]
#[case::neither_way(Way::Both, 20)]
#[case::nothing_reaches_control(Way::ToTarget, 22)]
#[case::nothing_reaches_the_gateway(Way::FromTarget, 24)]
#[tokio::test]
async fn a_gateway_and_control_find_each_other_after_their_link_fell_silent(
    #[case] way: Way,
    #[case] first_host: u8,
) {
    let pair = Pair::start(first_host).await;
    put(&pair.control, 1).await;
    until("the first version", || version(&pair.gateway) == 1).await;
    until("it is listed", || pair.is_listed()).await;
    pair.proxy.silence_open(way);
    if way != Way::FromTarget {
        until("it is not listed", || !pair.is_listed()).await;
    }
    put(&pair.control, 2).await;
    until("the second version", || version(&pair.gateway) == 2).await;
    until("it is listed again", || pair.is_listed()).await;
}

/// What a gateway was told before its machine was suspended is that old when it wakes
/// up, and its link is opened anew.
#[tokio::test]
async fn a_gateway_whose_machine_was_suspended_knows_how_old_its_news_are() {
    let pair = Pair::start(90).await;
    put(&pair.control, 1).await;
    until("the first version", || version(&pair.gateway) == 1).await;
    pair.proxy.silence_open(Way::Both);
    put(&pair.control, 2).await;
    suspend_for(Duration::from_secs(60));
    assert!(pair.gateway.control_silent_ms() >= 60_000);
    until("the second version", || version(&pair.gateway) == 2).await;
}

/// Whoever waits for news after a suspension has them then.
#[tokio::test]
async fn a_gateway_whose_machine_was_suspended_waits_for_news_of_what_is_in_force() {
    let pair = Pair::start(94).await;
    put(&pair.control, 1).await;
    until("the first version", || version(&pair.gateway) == 1).await;
    pair.gateway.wait_for_update_after_pause().await;
    pair.proxy.silence_open(Way::Both);
    let evacuated = pair.control.evacuate_zone(ZONE, LIMIT).await;
    assert!(
        matches!(evacuated, Ok(ZoneOrderOutcome::Held(_))),
        "{evacuated:?}"
    );
    suspend_for(Duration::from_secs(60));
    pair.gateway.wait_for_update_after_pause().await;
    assert!(pair.gateway.fleet().evacuations().contains(ZONE));
}

/// It stands still once more before control has spoken, longer than it would have waited:
/// what it then waits for is news of after that.
#[tokio::test]
async fn a_gateway_that_stands_still_again_while_it_waits_for_news_waits_for_later_news() {
    let pair = Pair::start(98).await;
    put(&pair.control, 1).await;
    until("the first version", || version(&pair.gateway) == 1).await;
    pair.proxy.set(Mode::Silent(Way::Both));
    suspend_for(Duration::from_secs(60));
    let gateway = pair.gateway.clone();
    let waiting = tokio::spawn(async move {
        gateway.wait_for_update_after_pause().await;
        gateway.fleet().evacuations().contains(ZONE)
    });
    // It waits by now: everything here runs in one thread.
    tokio::task::yield_now().await;
    let evacuated = pair.control.evacuate_zone(ZONE, LIMIT).await;
    assert!(
        matches!(evacuated, Ok(ZoneOrderOutcome::Held(_))),
        "{evacuated:?}"
    );
    assert!(!waiting.is_finished());
    pair.proxy.set(Mode::Pass);
    suspend_for(Duration::from_secs(60));
    let knows = tokio::time::timeout(LIMIT, waiting).await;
    assert!(knows.expect("in time").expect("no panic"));
}

/// It does not wait for long where control does not speak to it.
#[tokio::test]
async fn a_gateway_that_wakes_up_cut_off_goes_on_by_what_it_knows() {
    let pair = Pair::start(96).await;
    put(&pair.control, 1).await;
    until("the first version", || version(&pair.gateway) == 1).await;
    pair.proxy.set(Mode::Silent(Way::Both));
    suspend_for(Duration::from_secs(60));
    let waited = tokio::time::timeout(LIMIT, pair.gateway.wait_for_update_after_pause());
    waited.await.expect("in time");
    assert_eq!(version(&pair.gateway), 1);
}

/// Three control members, each with a port of its own, and proxies between them.
struct Members {
    control: Vec<(ControlNode, TempDir)>,
    /// Proxies of the links from and to the last member.
    around_last: Vec<Proxy>,
    network: Network,
    addresses: Vec<Ipv4Addr>,
    ports: Vec<u16>,
}

impl Members {
    async fn start(first_host: u8) -> Self {
        let addresses: Vec<Ipv4Addr> = (0..3).map(|number| host(first_host + number)).collect();
        let ports: Vec<u16> = addresses
            .iter()
            .map(|address| free_port(*address))
            .collect();
        let mut members = Members {
            control: Vec::new(),
            around_last: Vec::new(),
            network: Network::start().expect("threads"),
            addresses,
            ports,
        };
        members.join();
        for (address, port) in members.addresses.iter().zip(&members.ports) {
            let settings = node(*address, &members.addresses, *port);
            members.control.push(start_control(settings).await);
        }
        members
    }

    /// A proxy for each ordered pair: at the target's address, on the caller's port.
    fn join(&mut self) {
        let last = self.addresses.len() - 1;
        for from in 0..=last {
            for to in (0..=last).filter(|to| *to != from) {
                let listen = socket(self.addresses[to], self.ports[from]);
                let target = socket(self.addresses[to], self.ports[to]);
                let proxy = self.network.streams(listen, target).expect("a free port");
                if from == last || to == last {
                    self.around_last.push(proxy);
                }
            }
        }
    }

    /// A gateway that reaches only the last member.
    fn gateway_of_last(&self, number: u8) -> GatewayNode {
        let last = self.addresses.len() - 1;
        let at = self.addresses[last];
        let target = socket(at, self.ports[last]);
        let proxy = self.network.streams(socket(at, 0), target).expect("a port");
        gateway_of(host(number), at, proxy.address.port())
    }

    /// Cuts the last member off from the others: what is open stays silent.
    fn cut_last_off(&self) {
        for proxy in &self.around_last {
            proxy.set(Mode::Silent(Way::Both));
        }
    }

    fn join_last_again(&self) {
        for proxy in &self.around_last {
            proxy.set(Mode::Pass);
        }
    }
}

/// A gateway that reaches one control member only.
fn gateway_of(own: Ipv4Addr, control: Ipv4Addr, port: u16) -> GatewayNode {
    GatewayNode::start(&node(own, &[control], port), format!("{own}:80"))
}

/// The version of the first table that a gateway takes.
async fn first_version(gateway: &GatewayNode) -> u64 {
    let mut fleet = gateway.follow();
    let known = fleet.wait_for(|fleet| fleet.table().is_some());
    let known = tokio::time::timeout(LIMIT, known).await;
    let fleet = known.expect("in time").expect("the gateway runs").clone();
    fleet.table().map_or(0, |table| table.version)
}

/// What the member was told before holds at the gateway; what is put in force while
/// the member is cut off reaches it through this member only.
#[tokio::test]
async fn a_control_member_catches_up_after_its_links_fell_silent() {
    let members = Members::start(30).await;
    let (first, _) = &members.control[0];
    put(first, 1).await;
    let gateway = members.gateway_of_last(39);
    until("the first version", || version(&gateway) == 1).await;
    members.cut_last_off();
    put(first, 2).await;
    members.join_last_again();
    until("the second version", || version(&gateway) == 2).await;
}

/// A control member that is cut off does not know what is in force. A gateway that
/// starts then and reaches no other one takes nothing, and what is in force later.
#[tokio::test]
async fn a_gateway_that_starts_beside_a_member_cut_off_takes_nothing_old() {
    let members = Members::start(40).await;
    let (first, _) = &members.control[0];
    let (last, _) = &members.control[2];
    put(first, 1).await;
    assert!(last.document(LIMIT).await.is_ok());
    members.cut_last_off();
    put(first, 2).await;
    // It cannot be sure any more, and says so.
    assert_eq!(last.document(CUT_FOR).await, Err(Unavailable));
    let gateway = members.gateway_of_last(49);
    let first_taken = first_version(&gateway);
    let joined_again = async {
        sleep(CUT_FOR).await;
        members.join_last_again();
    };
    let (taken, ()) = tokio::join!(first_taken, joined_again);
    assert_eq!(taken, 2);
}

/// A member that is cut off believes that an evacuation is held which was taken back. It
/// acknowledges no repeat of it, and once it is joined again an order is given upon what
/// is in force then.
#[tokio::test]
async fn a_member_cut_off_acknowledges_no_evacuation_that_was_taken_back() {
    let members = Members::start(180).await;
    let (first, _) = &members.control[0];
    let (last, _) = &members.control[2];
    put(first, 1).await;
    let held = last.evacuate_zone(ZONE, LIMIT).await;
    assert!(matches!(held, Ok(ZoneOrderOutcome::Held(_))), "{held:?}");
    members.cut_last_off();
    let restored = first.restore_zone(ZONE, LIMIT).await;
    assert!(
        matches!(restored, Ok(ZoneOrderOutcome::Held(_))),
        "{restored:?}"
    );
    assert_eq!(last.evacuate_zone(ZONE, CUT_FOR).await, Err(Unavailable));
    members.join_last_again();
    let again = last.evacuate_zone(ZONE, LIMIT).await;
    assert!(matches!(again, Ok(ZoneOrderOutcome::Held(_))), "{again:?}");
    assert_ne!(again, held);
}

/// A control member with an empty disk learns all that was ever in force, in order.
/// A gateway that starts beside it takes the last of it only.
#[tokio::test]
async fn a_gateway_that_starts_beside_a_member_that_catches_up_takes_nothing_old() {
    const VERSIONS: u64 = 60;
    const DOCUMENT_BYTES: usize = 300 * 1024;
    let (seed, joining) = (host(50), host(51));
    let port = free_port(seed);
    let (control, _folder) = start_control(node(seed, &[seed], port)).await;
    for version in 1..=VERSIONS {
        let document = vec![0; DOCUMENT_BYTES];
        let held = control
            .put_configuration(configuration(version), document, LIMIT)
            .await;
        assert_eq!(held, Ok(version));
    }
    let settings = NodeSettings {
        bootstrap: false,
        ..node(joining, &[seed], port)
    };
    let network = Network::start().expect("threads");
    let target = socket(joining, port);
    let proxy = network.streams(socket(joining, 0), target).expect("a port");
    let gateway = gateway_of(host(52), joining, proxy.address.port());
    let (_joined, _its_folder) = start_control(settings).await;
    assert_eq!(first_version(&gateway).await, VERSIONS);
}

/// All control machines that a gateway knows are gone for good and others have taken
/// their place, as its settings say by now.
#[tokio::test]
async fn a_gateway_finds_control_by_seeds_that_were_changed_while_it_ran() {
    const NEWEST: u64 = 9;
    let (old, new) = (host(60), host(61));
    let port = free_port(old);
    let (first, _folder) = start_control(node(old, &[old], port)).await;
    put(&first, 1).await;
    let network = Network::start().expect("threads");
    let proxy = network
        .streams(socket(old, 0), socket(old, port))
        .expect("a port");
    let own_port = proxy.address.port();
    let settings = node(host(62), &[old], own_port);
    let gateway = GatewayNode::start(&settings, format!("{}:80", host(62)));
    until("the first version", || version(&gateway) == 1).await;
    proxy.set(Mode::Silent(Way::Both));
    let (second, _other_folder) = start_control(node(new, &[new], own_port)).await;
    // Its log is longer than that of those whose place it takes.
    for version in 2..=NEWEST {
        put(&second, version).await;
    }
    settings.seeds.set(vec![new]);
    until("the newest version", || version(&gateway) == NEWEST).await;
}
