//! Configuration changes that are sent to gateways of another region over one narrow link,
//! which all of them share. Time is virtual, and bytes queue for the link.

use linnethitch_group::StateMachine;
use linnethitch_protocol::ids::{LogIndex, MachineId};
use linnethitch_registry::{
    Declared, FleetView, Place, Registry, RegistryCommand, Route, notification_rank,
};
use rkyv::rancor;
use rstest::rstest;

use crate::support::{route, table};

/// Bandwidth between the regions in each direction, in bytes per millisecond: 60 Mbit/s.
const LINK_BYTES_PER_MS: usize = 7_500;
/// One-way latency between the regions, in milliseconds.
const FAR_MS: u64 = 12;
/// One-way latency within a region, in milliseconds.
const NEAR_MS: u64 = 1;
/// Delay per rank before a member sends a change itself, in milliseconds, unless the node
/// acknowledges the change earlier.
const DELAY_PER_RANK_MS: u64 = 300;
/// Maximum time until a version is applied everywhere, in milliseconds.
const APPLIED_MS: u64 = 3_000;
/// Percentage of the link's bandwidth that requests use.
const TRAFFIC_SHARE: usize = 50;

fn place(far: bool, zone: usize) -> Place {
    let region = if far { "far" } else { "near" };
    Place {
        zone: format!("{region}-{zone}"),
        region: region.to_owned(),
    }
}

struct Gateway {
    machine: MachineId,
    place: Place,
    view: FleetView,
    /// The index of the gateway that each member knows.
    known: Vec<LogIndex>,
    /// Updates in transit, with their times of arrival.
    updates: Vec<(u64, linnethitch_registry::FleetUpdate)>,
    /// Acknowledgements in transit: time of arrival, member, index.
    acknowledgements: Vec<(u64, usize, LogIndex)>,
    /// Since when each member delays a change.
    delayed_since: Vec<Option<u64>>,
}

struct Model {
    now_ms: u64,
    members: Vec<(MachineId, Place)>,
    /// Members that send nothing.
    silent: Vec<usize>,
    gateways: Vec<Gateway>,
    registry: Registry,
    /// Bytes queued for the link to the far region, and bytes sent to it in total.
    queued_bytes: usize,
    sent_bytes: usize,
}

impl Model {
    fn new(near_members: usize, far_members: usize) -> Self {
        let near = (0..near_members).map(|number| place(false, number));
        let far = (0..far_members).map(|number| place(true, number));
        let members: Vec<_> = near.chain(far).collect();
        let gateways = (0..66_u32).map(|number| Gateway {
            machine: MachineId(1_000 + number),
            place: place(number % 2 == 1, number as usize / 2 % 3),
            view: FleetView::default(),
            known: vec![LogIndex(0); members.len()],
            updates: Vec::new(),
            acknowledgements: Vec::new(),
            delayed_since: vec![None; members.len()],
        });
        Model {
            now_ms: 0,
            gateways: gateways.collect(),
            members: (1..).map(MachineId).zip(members).collect(),
            silent: Vec::new(),
            registry: Registry::default(),
            queued_bytes: 0,
            sent_bytes: 0,
        }
    }

    fn put(&mut self, version: u64, routes: Vec<Route>) {
        let command = RegistryCommand::PutConfiguration {
            table: table(version, routes),
            declared: Box::new(Declared {
                tenants: None,
                document: Vec::new(),
            }),
        };
        let stored = command.to_stored().expect("it encodes");
        let index = LogIndex(version);
        self.registry.apply(index, &stored).expect("it applies");
        // The log crosses the link to the far members as well.
        let far = self.members.iter().filter(|(_, at)| at.region == "far");
        self.queued_bytes += far.count() * stored.len();
    }

    fn send(&mut self, gateway: usize, member: usize) {
        let target = &mut self.gateways[gateway];
        let newest = self.registry.changed_at();
        if target.known[member] >= newest || self.silent.contains(&member) {
            target.delayed_since[member] = None;
            return;
        }
        let (machine, at) = &self.members[member];
        let members = self.members.iter().map(|(machine, at)| (*machine, at));
        let rank = notification_rank(target.machine, &target.place, *machine, members);
        let since = *target.delayed_since[member].get_or_insert(self.now_ms);
        if self.now_ms < since + DELAY_PER_RANK_MS * rank as u64 {
            return;
        }
        let update = self.registry.update_since(target.known[member]);
        let bytes = rkyv::to_bytes::<rancor::Error>(&update).expect("it encodes");
        target.known[member] = newest;
        let crosses = at.region != target.place.region;
        let mut arrives = self.now_ms + NEAR_MS;
        if crosses && target.place.region == "far" {
            self.queued_bytes += bytes.len();
            self.sent_bytes += bytes.len();
            let free = LINK_BYTES_PER_MS * (100 - TRAFFIC_SHARE) / 100;
            arrives += FAR_MS + (self.queued_bytes / free) as u64;
        } else if crosses {
            arrives += FAR_MS;
        }
        target.updates.push((arrives, update));
    }

    fn deliver(&mut self, gateway: usize) {
        let now_ms = self.now_ms;
        let target = &mut self.gateways[gateway];
        let due = target.updates.extract_if(.., |(at, _)| *at <= now_ms);
        for (_, update) in due {
            target.view.apply(update);
            for (member, (_, at)) in self.members.iter().enumerate() {
                let way = if at.region == target.place.region {
                    NEAR_MS
                } else {
                    FAR_MS
                };
                target
                    .acknowledgements
                    .push((now_ms + way, member, target.view.up_to_index()));
            }
        }
        let due = target
            .acknowledgements
            .extract_if(.., |(at, _, _)| *at <= now_ms);
        for (_, member, up_to_index) in due {
            if target.known[member] < up_to_index {
                target.known[member] = up_to_index;
                target.delayed_since[member] = None;
            }
        }
    }

    fn step(&mut self) {
        self.now_ms += 1;
        let free = LINK_BYTES_PER_MS * (100 - TRAFFIC_SHARE) / 100;
        self.queued_bytes = self.queued_bytes.saturating_sub(free);
        for gateway in 0..self.gateways.len() {
            self.deliver(gateway);
            for member in 0..self.members.len() {
                self.send(gateway, member);
            }
        }
    }

    fn oldest_version(&self) -> u64 {
        let gateways = self.gateways.iter();
        let versions = gateways.map(|at| at.view.table().map_or(0, |table| table.version));
        versions.min().unwrap_or(0)
    }

    /// Steps until every gateway applies a version; returns the time in milliseconds.
    fn until_applied(&mut self, version: u64) -> u64 {
        let began = self.now_ms;
        while self.oldest_version() < version && self.now_ms < began + 20_000 {
            self.step();
        }
        self.now_ms - began
    }
}

fn routes(count: usize) -> Vec<Route> {
    let numbers = 0..count;
    numbers
        .map(|number| {
            route(
                &format!("route-{number}"),
                &format!("/a/{number}/"),
                "rates",
            )
        })
        .collect()
}

/// 1,164 routes are added to 36, then five changes follow, one per second.
#[rstest]
#[case::all_members_send(&[], 0)]
#[case::a_far_member_is_frozen(&[3], 0)]
#[case::the_far_members_are_cut_off_from_the_leader(&[3, 4], 20_000_000)]
fn every_gateway_applies_a_version_in_time_over_a_narrow_link(
    #[case] silent: &[usize],
    #[case] max_sent_bytes: usize,
) {
    let mut model = Model::new(3, 2);
    model.put(1, routes(36));
    model.until_applied(1);
    model.silent = silent.to_vec();
    model.put(2, routes(1_200));
    let mut taken = vec![model.until_applied(2)];
    for version in 3..=7 {
        let mut changed = routes(1_200);
        changed[version as usize].target_ms += version;
        model.put(version, changed);
        taken.push(model.until_applied(version));
        let next = model.now_ms + 1_000_u64.saturating_sub(*taken.last().expect("one"));
        while model.now_ms < next {
            model.step();
        }
    }
    assert!(taken.iter().all(|taken| *taken <= APPLIED_MS), "{taken:?}");
    assert!(
        model.sent_bytes <= max_sent_bytes,
        "{} bytes",
        model.sent_bytes
    );
}

/// A gateway gets updates from no other member while a member of its region sends them.
#[test]
fn no_update_for_a_gateway_crosses_the_link() {
    let mut model = Model::new(3, 2);
    model.put(1, routes(36));
    model.until_applied(1);
    assert_eq!(model.sent_bytes, 0);
}
