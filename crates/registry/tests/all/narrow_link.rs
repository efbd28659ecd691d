//! Changes of the configuration on their way to gateways of another region, through one
//! narrow link that all of them share. Virtual time: bytes that wait for the link.

use linnethitch_group::StateMachine;
use linnethitch_protocol::ids::{LogIndex, MachineId};
use linnethitch_registry::{
    Declared, FleetView, Place, Registry, RegistryCommand, Route, notification_rank,
};
use rkyv::rancor;
use rstest::rstest;

use crate::support::{route, table};

/// Bytes a millisecond between the regions each way: 60 Mbit/s.
const LINK_BYTES_PER_MS: usize = 7_500;
/// One way between the regions, in milliseconds.
const FAR_MS: u64 = 12;
/// Within a region, in milliseconds.
const NEAR_MS: u64 = 1;
/// How long each further member waits for a sign that the node knows, in milliseconds.
const WITHHELD_MS: u64 = 300;
/// A version must be obeyed so long after it was put in force, in milliseconds.
const APPLIED_MS: u64 = 3_000;
/// Share of the link that requests take, in hundredths.
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
    /// What each member knows that it knows.
    known: Vec<LogIndex>,
    /// What is on its way: when it arrives, from which member, told up to.
    coming: Vec<(u64, linnethitch_registry::FleetUpdate)>,
    /// Signs on their way back: when they arrive, at which member, up to.
    signs: Vec<(u64, usize, LogIndex)>,
    /// Since when a member withholds a change.
    withheld_since: Vec<Option<u64>>,
}

struct Model {
    now_ms: u64,
    members: Vec<(MachineId, Place)>,
    /// Members that say nothing.
    silent: Vec<usize>,
    gateways: Vec<Gateway>,
    registry: Registry,
    /// Bytes that wait for the link to the far region, and those that went.
    waiting: usize,
    crossed: usize,
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
            coming: Vec::new(),
            signs: Vec::new(),
            withheld_since: vec![None; members.len()],
        });
        Model {
            now_ms: 0,
            gateways: gateways.collect(),
            members: (1..).map(MachineId).zip(members).collect(),
            silent: Vec::new(),
            registry: Registry::default(),
            waiting: 0,
            crossed: 0,
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
        self.waiting += far.count() * stored.len();
    }

    fn tell(&mut self, gateway: usize, member: usize) {
        let held = &mut self.gateways[gateway];
        let newest = self.registry.changed_at();
        if held.known[member] >= newest || self.silent.contains(&member) {
            held.withheld_since[member] = None;
            return;
        }
        let (machine, at) = &self.members[member];
        let members = self.members.iter().map(|(machine, at)| (*machine, at));
        let rank = notification_rank(held.machine, &held.place, *machine, members);
        let since = *held.withheld_since[member].get_or_insert(self.now_ms);
        if self.now_ms < since + WITHHELD_MS * rank as u64 {
            return;
        }
        let update = self.registry.update_since(held.known[member]);
        let bytes = rkyv::to_bytes::<rancor::Error>(&update).expect("it encodes");
        held.known[member] = newest;
        let crosses = at.region != held.place.region;
        let mut arrives = self.now_ms + NEAR_MS;
        if crosses && held.place.region == "far" {
            self.waiting += bytes.len();
            self.crossed += bytes.len();
            let free = LINK_BYTES_PER_MS * (100 - TRAFFIC_SHARE) / 100;
            arrives += FAR_MS + (self.waiting / free) as u64;
        } else if crosses {
            arrives += FAR_MS;
        }
        held.coming.push((arrives, update));
    }

    fn arrive(&mut self, gateway: usize) {
        let now_ms = self.now_ms;
        let held = &mut self.gateways[gateway];
        let due = held.coming.extract_if(.., |(at, _)| *at <= now_ms);
        for (_, update) in due {
            held.view.apply(update);
            for (member, (_, at)) in self.members.iter().enumerate() {
                let way = if at.region == held.place.region {
                    NEAR_MS
                } else {
                    FAR_MS
                };
                held.signs
                    .push((now_ms + way, member, held.view.up_to_index()));
            }
        }
        let due = held.signs.extract_if(.., |(at, _, _)| *at <= now_ms);
        for (_, member, up_to_index) in due {
            if held.known[member] < up_to_index {
                held.known[member] = up_to_index;
                held.withheld_since[member] = None;
            }
        }
    }

    fn step(&mut self) {
        self.now_ms += 1;
        let free = LINK_BYTES_PER_MS * (100 - TRAFFIC_SHARE) / 100;
        self.waiting = self.waiting.saturating_sub(free);
        for gateway in 0..self.gateways.len() {
            self.arrive(gateway);
            for member in 0..self.members.len() {
                self.tell(gateway, member);
            }
        }
    }

    fn oldest_version(&self) -> u64 {
        let gateways = self.gateways.iter();
        let versions = gateways.map(|at| at.view.table().map_or(0, |table| table.version));
        versions.min().unwrap_or(0)
    }

    /// Steps until every gateway obeys a version; how long that took, in milliseconds.
    fn until_obeyed(&mut self, version: u64) -> u64 {
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

/// 1,164 routes are added to 36, then five changes follow in a row, one each second.
#[rstest]
#[case::all_members_tell(&[], 0)]
#[case::a_far_member_is_frozen(&[3], 0)]
#[case::the_far_members_are_cut_off_from_the_leader(&[3, 4], 20_000_000)]
fn every_gateway_obeys_a_version_in_time_through_a_narrow_link(
    #[case] silent: &[usize],
    #[case] most_crossed_bytes: usize,
) {
    let mut model = Model::new(3, 2);
    model.put(1, routes(36));
    model.until_obeyed(1);
    model.silent = silent.to_vec();
    model.put(2, routes(1_200));
    let mut taken = vec![model.until_obeyed(2)];
    for version in 3..=7 {
        let mut changed = routes(1_200);
        changed[version as usize].target_ms += version;
        model.put(version, changed);
        taken.push(model.until_obeyed(version));
        let next = model.now_ms + 1_000_u64.saturating_sub(*taken.last().expect("one"));
        while model.now_ms < next {
            model.step();
        }
    }
    assert!(taken.iter().all(|taken| *taken <= APPLIED_MS), "{taken:?}");
    assert!(
        model.crossed <= most_crossed_bytes,
        "{} bytes",
        model.crossed
    );
}

/// While a member of its region tells it, a gateway is told by no other one.
#[test]
fn a_change_crosses_the_link_for_no_gateway() {
    let mut model = Model::new(3, 2);
    model.put(1, routes(36));
    model.until_obeyed(1);
    assert_eq!(model.crossed, 0);
}
