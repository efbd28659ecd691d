//! Slots of replicas: granted to online requests immediately, and to items from the remaining
//! capacity.

use std::collections::{BTreeMap, BTreeSet};

use linnethitch_protocol::{
    ids::MachineId,
    slots::{AskMode, HeldLease, Verdict},
};
use linnethitch_routing::dispatch::{
    Ask, CoordinatedReplica, Due, ItemCapacity, LeaseKey, ReplicaTable, ReplicaTraits,
    RequestNeeds, RunNumber, SlotAction, SlotCoordinator, SoftwareNeed, WaitingItem,
    coordinator_of,
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

/// A new coordinator starts no items before this time.
const SETTLED_MS: u64 = 1_000;
const SERVICE: &str = "models";

fn engine(id: &str, slots: u32) -> CoordinatedReplica {
    CoordinatedReplica {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        slots,
        open: true,
        evacuated: false,
    }
}

/// Coordinates replicas r0, r1 … from time 0.
fn coordinator(replicas: u32, slots: u32) -> SlotCoordinator {
    let mut coordinator = SlotCoordinator::default();
    let list = (0..replicas).map(|number| engine(&format!("r{number}"), slots));
    assert!(coordinator.set_replicas(list.collect(), 0).is_empty());
    coordinator
}

fn key(holder: u32, number: u64) -> LeaseKey {
    LeaseKey {
        holder: MachineId(holder),
        number,
    }
}

fn ask(number: u64, replica: &str, due_ms: u64, mode: AskMode) -> Ask {
    Ask {
        key: key(1, number),
        replica: replica.to_owned(),
        due: Due { at_ms: due_ms },
        rank: 0,
        mode,
    }
}

fn answer(number: u64, replica: &str, verdict: Verdict) -> SlotAction {
    SlotAction::Answer {
        key: key(1, number),
        replica: replica.to_owned(),
        verdict,
    }
}

fn item(run: u64, due_ms: u64) -> WaitingItem {
    WaitingItem {
        run: RunNumber(run),
        service: SERVICE.to_owned(),
        due: Due { at_ms: due_ms },
        avoid: Vec::new(),
        except: Vec::new(),
    }
}

fn start(run: u64, replica: &str) -> SlotAction {
    SlotAction::Start {
        run: RunNumber(run),
        replica: replica.to_owned(),
    }
}

/// Fills a replica's slots with items 1, 2 …, due one second after the other.
fn with_items(slots: u32) -> SlotCoordinator {
    let mut coordinator = coordinator(1, slots);
    for run in 1..=u64::from(slots) {
        let due_ms = SETTLED_MS + 10_000 + run * 1_000;
        let actions = coordinator.enqueue_item(item(run, due_ms), SETTLED_MS);
        assert_eq!(actions, [start(run, "r0")]);
    }
    coordinator
}

/// An online request never waits behind batch work.
#[test]
fn an_online_request_preempts_the_item_due_last() {
    let mut coordinator = with_items(2);
    let actions = coordinator.ask(ask(1, "r0", 2_000, AskMode::Probe), SETTLED_MS);
    let expected = [
        SlotAction::Stop(RunNumber(2)),
        answer(1, "r0", Verdict::Granted),
    ];
    assert_eq!(actions, expected);
}

/// An item that was already late when it started stops first; one that started in time does not
/// become late because time passed while it ran.
#[test]
fn items_that_started_late_stop_first() {
    let mut coordinator = coordinator(1, 3);
    for (run, due_ms) in [(1, 9_000), (2, SETTLED_MS - 1), (3, SETTLED_MS + 10)] {
        coordinator.enqueue_item(item(run, due_ms), SETTLED_MS);
    }
    let later_ms = SETTLED_MS + 5_000;
    let mut stopped = Vec::new();
    for number in 1..=3 {
        let request = ask(number, "r0", later_ms + 300, AskMode::Probe);
        stopped.extend(
            coordinator
                .ask(request, later_ms)
                .into_iter()
                .filter(|action| matches!(action, SlotAction::Stop(_))),
        );
    }
    assert_eq!(
        stopped,
        [2, 1, 3].map(|run| SlotAction::Stop(RunNumber(run)))
    );
}

/// The answer while online requests have every slot.
#[rstest]
#[case::probe(AskMode::Probe, Verdict::Full)]
#[case::wait(AskMode::Wait, Verdict::Queued)]
#[case::force(AskMode::Force, Verdict::Granted)]
fn answers_of_a_full_replica(#[case] mode: AskMode, #[case] verdict: Verdict) {
    let mut coordinator = coordinator(1, 1);
    coordinator.ask(ask(1, "r0", 300, AskMode::Probe), 0);
    let actions = coordinator.ask(ask(2, "r0", 300, mode), 0);
    assert_eq!(actions, [answer(2, "r0", verdict)]);
}

/// Guards against the stop of an item although another replica has a free slot. Cases: running
/// items and the answer to a request for a free slot.
#[rstest]
#[case::a_slot_is_free(1, Verdict::Granted)]
#[case::items_have_all_slots(2, Verdict::Full)]
fn a_request_for_a_free_slot_stops_no_item(#[case] items: u64, #[case] verdict: Verdict) {
    let mut coordinator = coordinator(1, 2);
    for run in 1..=items {
        coordinator.enqueue_item(item(run, 20_000), SETTLED_MS);
    }
    let actions = coordinator.ask(ask(1, "r0", 2_000, AskMode::FreeOnly), SETTLED_MS);
    assert_eq!(actions, [answer(1, "r0", verdict)]);
}

/// Waiting items and the remaining capacity at three replicas with two slots each, one of which an
/// online request has.
#[rstest]
#[case::none(0, 5, 3)]
#[case::one(1, 4, 3)]
#[case::three(3, 2, 2)]
#[case::all(5, 0, 0)]
fn item_capacity_counts_slots_and_replicas(
    #[case] items: u64,
    #[case] slots: u32,
    #[case] replicas: u32,
) {
    let mut coordinator = coordinator(3, 2);
    coordinator.ask(ask(1, "r0", 2_000, AskMode::FreeOnly), SETTLED_MS);
    for run in 1..=items {
        coordinator.enqueue_item(item(run, 20_000), SETTLED_MS);
    }
    let capacity = coordinator.item_capacity(SERVICE, SETTLED_MS);
    assert_eq!(capacity, ItemCapacity { slots, replicas });
}

#[test]
fn requests_on_time_come_before_late_ones() {
    let mut coordinator = coordinator(1, 1);
    coordinator.ask(ask(1, "r0", 300, AskMode::Probe), 0);
    for (number, due_ms) in [(2, 50), (3, 900), (4, 400)] {
        coordinator.ask(ask(number, "r0", due_ms, AskMode::Wait), 0);
    }
    let mut order = Vec::new();
    for ended in [1, 4, 3] {
        let actions = coordinator.end(key(1, ended), 100);
        order.extend(actions);
    }
    let expected = [4, 3, 2].map(|number| answer(number, "r0", Verdict::Granted));
    assert_eq!(order, expected);
}

#[test]
fn a_request_that_leaves_the_queue_is_not_granted() {
    let mut coordinator = coordinator(1, 1);
    coordinator.ask(ask(1, "r0", 300, AskMode::Probe), 0);
    coordinator.ask(ask(2, "r0", 300, AskMode::Wait), 0);
    assert!(coordinator.end(key(1, 2), 10).is_empty());
    assert!(coordinator.end(key(1, 1), 20).is_empty());
}

#[test]
fn an_item_starts_on_a_released_slot() {
    let mut coordinator = coordinator(1, 1);
    coordinator.ask(ask(1, "r0", 300, AskMode::Probe), 0);
    assert!(
        coordinator
            .enqueue_item(item(1, 9_000), SETTLED_MS)
            .is_empty()
    );
    let actions = coordinator.end(key(1, 1), 5_000);
    assert_eq!(actions, [start(1, "r0")]);
}

#[test]
fn items_start_at_the_least_loaded_replica_that_did_not_fail_them() {
    let mut coordinator = coordinator(2, 2);
    coordinator.ask(ask(1, "r0", 300, AskMode::Probe), SETTLED_MS);
    let later_ms = SETTLED_MS + 5_000;
    coordinator.reconcile_leases(MachineId(1), &[held_lease("r0", 1)], later_ms);
    let actions = coordinator.enqueue_item(item(1, 90_000), later_ms);
    assert_eq!(actions, [start(1, "r1")]);
    let mut failed = item(2, 90_000);
    failed.avoid = vec!["r1".to_owned()];
    assert_eq!(
        coordinator.enqueue_item(failed, later_ms),
        [start(2, "r0")],
        "r1 failed it"
    );
}

/// If all replicas that an item may use failed it, it starts at one of them rather than at a
/// replica that it must not use.
#[test]
fn an_item_does_not_start_at_an_excluded_replica() {
    let mut coordinator = coordinator(2, 2);
    let restricted = WaitingItem {
        avoid: vec!["r1".to_owned()],
        except: vec!["r0".to_owned()],
        ..item(1, 90_000)
    };
    let actions = coordinator.enqueue_item(restricted, SETTLED_MS);
    assert_eq!(actions, [start(1, "r1")]);
    let excluded_everywhere = WaitingItem {
        except: vec!["r0".to_owned(), "r1".to_owned()],
        ..item(2, 90_000)
    };
    assert!(
        coordinator
            .enqueue_item(excluded_everywhere, SETTLED_MS)
            .is_empty()
    );
}

fn held_lease(replica: &str, number: u64) -> HeldLease {
    HeldLease {
        replica: replica.to_owned(),
        number,
        exclusive: false,
    }
}

/// A new coordinator learns which slots are held before it starts items.
#[test]
fn a_new_coordinator_starts_no_items_before_lease_reports() {
    let mut coordinator = coordinator(1, 2);
    assert!(coordinator.enqueue_item(item(1, 9_000), 0).is_empty());
    coordinator.reconcile_leases(MachineId(1), &[held_lease("r0", 7)], 10);
    coordinator.enqueue_item(item(2, 9_500), 10);
    // Both leases count and the slots are not exceeded, although the holder got its lease from
    // another coordinator.
    assert_eq!(coordinator.tick(SETTLED_MS), [start(1, "r0")]);
}

/// A gateway's later report, and whether its lease still takes the slot.
#[rstest]
#[case::reported(&[held_lease("r0", 1)], 700, true)]
#[case::not_reported(&[], 700, false)]
#[case::too_young_to_be_reported(&[], 100, true)]
fn leases_end_when_their_holder_no_longer_reports_them(
    #[case] leases: &[HeldLease],
    #[case] after_ms: u64,
    #[case] is_retained: bool,
) {
    let mut coordinator = coordinator(1, 1);
    coordinator.ask(ask(1, "r0", 300, AskMode::Probe), 0);
    coordinator.reconcile_leases(MachineId(1), leases, after_ms);
    let actions = coordinator.ask(ask(2, "r0", 900, AskMode::Probe), after_ms);
    let verdict = if is_retained {
        Verdict::Full
    } else {
        Verdict::Granted
    };
    assert_eq!(actions, [answer(2, "r0", verdict)]);
}

/// Guards against a stall: a gateway reports its waiting requests beside its leases; when they were
/// counted as holding slots, no request was served.
#[test]
fn a_waiting_request_that_is_reported_holds_no_slot() {
    let mut coordinator = coordinator(1, 1);
    coordinator.ask(ask(1, "r0", 300, AskMode::Probe), 0);
    coordinator.ask(ask(2, "r0", 9_000, AskMode::Wait), 0);
    let reported_leases = [held_lease("r0", 1), held_lease("r0", 2)];
    assert!(
        coordinator
            .reconcile_leases(MachineId(1), &reported_leases, 500)
            .is_empty()
    );
    let actions = coordinator.end(key(1, 1), 510);
    assert_eq!(actions, [answer(2, "r0", Verdict::Granted)]);
}

#[test]
fn a_lease_of_a_silent_gateway_ends() {
    let mut coordinator = coordinator(1, 1);
    coordinator.ask(ask(1, "r0", 300, AskMode::Probe), 0);
    coordinator.ask(ask(2, "r0", 9_000, AskMode::Wait), 0);
    assert!(coordinator.tick(2_400).is_empty());
    assert_eq!(coordinator.tick(2_600), [answer(2, "r0", Verdict::Granted)]);
}

#[test]
fn work_at_a_replica_that_moved_to_another_coordinator_is_released() {
    let mut coordinator = with_items(1);
    coordinator.ask(ask(1, "r0", 2_000, AskMode::Probe), SETTLED_MS);
    coordinator.ask(ask(2, "r0", 2_000, AskMode::Wait), SETTLED_MS);
    coordinator.end(key(1, 1), SETTLED_MS + 1);
    let actions = coordinator.set_replicas(Vec::new(), SETTLED_MS + 2);
    assert!(actions.is_empty(), "online requests go on: {actions:?}");
    let actions = coordinator.ask(ask(3, "r0", 2_000, AskMode::Probe), SETTLED_MS + 3);
    assert_eq!(actions, [answer(3, "r0", Verdict::NotCoordinator)]);
    let mut coordinator = with_items(1);
    let actions = coordinator.set_replicas(Vec::new(), SETTLED_MS);
    assert_eq!(actions, [SlotAction::Stop(RunNumber(1))]);
}

#[test]
fn a_closed_replica_starts_no_items() {
    let mut coordinator = coordinator(1, 2);
    let mut closed = engine("r0", 2);
    closed.open = false;
    coordinator.set_replicas(vec![closed], SETTLED_MS);
    assert!(
        coordinator
            .enqueue_item(item(1, 9_000), SETTLED_MS)
            .is_empty()
    );
    assert_eq!(coordinator.free_item_slots(SERVICE, SETTLED_MS), 0);
}

/// All gateways know the same fleet. When one gateway is removed, the others agree on the same
/// coordinators as before.
#[test]
fn coordinators_change_little_when_a_gateway_is_removed() {
    let gateways: Vec<MachineId> = (1..=10).map(MachineId).collect();
    let moved = (0..200).filter(|number| {
        let id = format!("replica-{number}");
        let before = coordinator_of(&id, &gateways);
        let after = coordinator_of(&id, &gateways[..9]);
        before != Some(MachineId(10)) && before != after
    });
    assert_eq!(moved.count(), 0);
    assert_eq!(coordinator_of("r", &[]), None);
    let owners: BTreeSet<_> = (0..200)
        .filter_map(|number| coordinator_of(&format!("replica-{number}"), &gateways))
        .collect();
    assert_eq!(owners.len(), 10);
}

/// Guards against overload of one replica: 28 requests waited there while other replicas were idle,
/// since all gateways had received the report that it was the least loaded one.
#[test]
fn gateways_with_the_same_report_do_not_overload_a_replica() {
    let replicas = 60;
    let mut coordinator = coordinator(replicas, 4);
    let traits = |number: u32| ReplicaTraits {
        id: format!("r{number}"),
        service: SERVICE.to_owned(),
        address: format!("r{number}:80"),
        zone: "worcester".to_owned(),
        slots: 4,
        kv_tokens: 100_000,
        ready: true,
        software: None,
    };
    let mut granted_count = BTreeMap::<String, u32>::new();
    for gateway in 0..200 {
        let mut table = ReplicaTable::new("worcester");
        table.set_replicas((0..replicas).map(traits).collect());
        let mut random = Pcg64Mcg::seed_from_u64(gateway);
        let mut full: Vec<String> = Vec::new();
        loop {
            let needs = RequestNeeds {
                service: SERVICE,
                prompt: &[],
                except: &full,
                homes: None,
                software: &SoftwareNeed::Any,
            };
            let chosen = table.choose(&needs, 0, &mut random).expect("one is free");
            let request = ask(gateway, &chosen.id, 300, AskMode::Probe);
            let actions = coordinator.ask(request, 0);
            if actions == [answer(gateway, &chosen.id, Verdict::Granted)] {
                *granted_count.entry(chosen.id).or_default() += 1;
                break;
            }
            full.push(chosen.id);
        }
    }
    assert_eq!(granted_count.values().sum::<u32>(), 200);
    assert!(
        granted_count.values().all(|count| *count <= 4),
        "{granted_count:?}"
    );
}

#[derive(Clone, Debug)]
enum Step {
    Ask { replica: u8, mode: u8 },
    End { nth: u8 },
    Enqueue,
    ItemEnds { nth: u8 },
    Report { all: bool },
    Advance { ms: u16 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3_u8, 0..2_u8).prop_map(|(replica, mode)| Step::Ask { replica, mode }),
        4 => any::<u8>().prop_map(|nth| Step::End { nth }),
        3 => Just(Step::Enqueue),
        2 => any::<u8>().prop_map(|nth| Step::ItemEnds { nth }),
        1 => any::<bool>().prop_map(|all| Step::Report { all }),
        3 => (1..600_u16).prop_map(|ms| Step::Advance { ms }),
    ]
}

/// A fleet under random work, with all decisions applied.
struct Fleet {
    coordinator: SlotCoordinator,
    now_ms: u64,
    next: u64,
    /// Online requests with a slot, and their replicas.
    online: BTreeMap<u64, String>,
    queued: BTreeMap<u64, String>,
    items: BTreeMap<u64, String>,
    waiting: BTreeSet<u64>,
}

impl Fleet {
    fn apply(&mut self, actions: Vec<SlotAction>) {
        for action in actions {
            match action {
                SlotAction::Answer {
                    key,
                    replica,
                    verdict,
                } => self.apply_answer(key.number, replica, verdict),
                SlotAction::ReportHealth { .. } => {}
                SlotAction::Stop(run) => {
                    self.items.remove(&run.0).expect("it had a slot");
                    self.enqueue(run.0);
                }
                SlotAction::Start { run, replica } => {
                    assert!(self.waiting.remove(&run.0), "it waited");
                    self.items.insert(run.0, replica);
                }
            }
        }
    }

    fn apply_answer(&mut self, number: u64, replica: String, verdict: Verdict) {
        match verdict {
            Verdict::Granted => {
                self.queued.remove(&number);
                self.online.insert(number, replica);
            }
            Verdict::Queued => {
                self.queued.insert(number, replica);
            }
            Verdict::Full => {
                let online = self
                    .online
                    .values()
                    .filter(|placed_at| **placed_at == replica);
                assert_eq!(online.count(), 2, "{replica} has a slot for it");
            }
            Verdict::NotCoordinator => panic!("every replica is coordinated here"),
        }
    }

    fn enqueue(&mut self, run: u64) {
        self.waiting.insert(run);
        let actions = self
            .coordinator
            .enqueue_item(item(run, self.now_ms + 9_000), self.now_ms);
        self.apply(actions);
    }

    fn apply_step(&mut self, step: Step) {
        let now_ms = self.now_ms;
        self.next += 1;
        let actions = match step {
            Step::Ask { replica, mode } => {
                let mode = [AskMode::Probe, AskMode::Wait][usize::from(mode)];
                let request = ask(self.next, &format!("r{replica}"), now_ms + 300, mode);
                self.coordinator.ask(request, now_ms)
            }
            Step::End { nth } => {
                let Some(number) = pick(self.online.keys(), nth) else {
                    return;
                };
                self.online.remove(&number);
                self.coordinator.end(key(1, number), now_ms)
            }
            Step::Enqueue => return self.enqueue(self.next),
            Step::ItemEnds { nth } => {
                let Some(run) = pick(self.items.keys(), nth) else {
                    return;
                };
                self.items.remove(&run);
                self.coordinator.item_ended(RunNumber(run), now_ms)
            }
            Step::Report { all } => self.report_leases(all),
            Step::Advance { ms } => {
                self.now_ms += u64::from(ms);
                self.report_leases(true)
            }
        };
        self.apply(actions);
    }

    /// Reports all leases, or all that are old enough to count except the first.
    fn report_leases(&mut self, all: bool) -> Vec<SlotAction> {
        if !all {
            self.now_ms += 500;
        }
        let first = self.online.keys().next().copied();
        if let Some(first) = first.filter(|_| !all) {
            self.online.remove(&first);
        }
        let reported_leases = self.online.iter().chain(&self.queued);
        let leases: Vec<HeldLease> = reported_leases
            .map(|(number, replica)| held_lease(replica, *number))
            .collect();
        self.coordinator
            .reconcile_leases(MachineId(1), &leases, self.now_ms)
    }

    fn check(&self) {
        for number in 0..3 {
            let replica = format!("r{number}");
            let online = self
                .online
                .values()
                .filter(|placed_at| **placed_at == replica)
                .count();
            let items = self
                .items
                .values()
                .filter(|placed_at| **placed_at == replica)
                .count();
            assert!(online + items <= 2, "{replica}: {online} and {items} items");
            let queued = self.queued.values().any(|queued_at| *queued_at == replica);
            assert!(
                !queued || online == 2,
                "{replica}: an online request waits, {items} items run"
            );
        }
        let is_settled = self.now_ms >= SETTLED_MS;
        let free = self.coordinator.free_item_slots(SERVICE, self.now_ms);
        assert!(
            !is_settled || self.waiting.is_empty() || free == 0,
            "{free} slots idle while {} items wait",
            self.waiting.len()
        );
    }
}

fn pick<'a>(numbers: impl Iterator<Item = &'a u64>, nth: u8) -> Option<u64> {
    let numbers: Vec<u64> = numbers.copied().collect();
    let index = usize::from(nth) % numbers.len().max(1);
    numbers.get(index).copied()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// No online request waits while an item has a slot that it could use, no slot is idle while an
    /// item could run, and no slot is granted twice.
    #[test]
    fn slots_are_used_once_and_online_requests_come_first(
        steps in proptest::collection::vec(step(), 1..120),
    ) {
        let mut fleet = Fleet {
            coordinator: coordinator(3, 2),
            now_ms: 0,
            next: 0,
            online: BTreeMap::new(),
            queued: BTreeMap::new(),
            items: BTreeMap::new(),
            waiting: BTreeSet::new(),
        };
        for step in steps {
            fleet.apply_step(step);
            // What becomes possible as time passes starts with the next tick.
            let actions = fleet.coordinator.tick(fleet.now_ms);
            fleet.apply(actions);
            fleet.check();
        }
    }
}

/// Only one of the requests that are suspected of ending replicas runs at a time; other requests
/// run beside it.
#[test]
fn only_one_exclusive_request_has_a_slot_at_a_time() {
    let mut coordinator = coordinator(1, 3);
    let granted = |number| vec![answer(number, "r0", Verdict::Granted)];
    let queued = |number| vec![answer(number, "r0", Verdict::Queued)];
    let first = coordinator.ask(ask(1, "r0", 100, AskMode::Exclusive), 0);
    assert_eq!(first, granted(1));
    let second = coordinator.ask(ask(2, "r0", 100, AskMode::Exclusive), 0);
    assert_eq!(second, queued(2));
    let other = coordinator.ask(ask(3, "r0", 100, AskMode::Probe), 0);
    assert_eq!(other, granted(3));
    // A slot that becomes free is not granted to a second exclusive request.
    assert_eq!(coordinator.end(key(1, 3), 1), vec![]);
    assert_eq!(coordinator.end(key(1, 1), 2), granted(2));
}

/// A new coordinator learns which leases are exclusive.
#[test]
fn an_exclusive_lease_stays_exclusive_at_a_new_coordinator() {
    let mut coordinator = coordinator(1, 3);
    let exclusive = HeldLease {
        exclusive: true,
        ..held_lease("r0", 1)
    };
    coordinator.reconcile_leases(MachineId(1), &[exclusive], 0);
    let second = coordinator.ask(ask(2, "r0", 100, AskMode::Exclusive), 1);
    assert_eq!(second, vec![answer(2, "r0", Verdict::Queued)]);
}

/// An online request with a due time.
fn ask_due(number: u64, due_ms: u64, mode: AskMode) -> Ask {
    ask(number, "r0", due_ms, mode)
}

/// An online request takes the slot of an item however late it is, and waits for requests that can
/// still be on time.
#[test]
fn a_late_request_waits_behind_requests_on_time_and_never_behind_items() {
    let mut coordinator = coordinator(1, 1);
    coordinator.enqueue_item(item(1, 60_000), SETTLED_MS);
    let now_ms = SETTLED_MS + 10;
    let late = coordinator.ask(ask_due(1, now_ms - 1, AskMode::Probe), now_ms);
    let stopped = SlotAction::Stop(RunNumber(1));
    assert_eq!(late, vec![stopped, answer(1, "r0", Verdict::Granted)]);
    coordinator.enqueue_item(item(2, 60_000), now_ms);
    coordinator.ask(ask_due(2, now_ms, AskMode::Wait), now_ms);
    coordinator.ask(ask_due(3, now_ms + 500, AskMode::Wait), now_ms);
    let granted = |number| vec![answer(number, "r0", Verdict::Granted)];
    assert_eq!(coordinator.end(key(1, 1), now_ms + 100), granted(3));
    assert_eq!(coordinator.end(key(1, 3), now_ms + 200), granted(2));
}

/// Among requests that can be on time the higher rank goes first, even if others are due sooner.
#[test]
fn waiting_requests_are_ordered_by_rank() {
    let mut coordinator = coordinator(1, 1);
    coordinator.ask(ask_due(1, SETTLED_MS + 300, AskMode::Probe), SETTLED_MS);
    for (number, rank, due_ms) in [(2, 2, 100), (3, 0, 300), (4, 1, 200), (5, 0, 250)] {
        let ranked = Ask {
            rank,
            ..ask_due(number, SETTLED_MS + due_ms, AskMode::Wait)
        };
        coordinator.ask(ranked, SETTLED_MS);
    }
    let mut holder = 1;
    for next in [5, 3, 4, 2] {
        let granted = coordinator.end(key(1, holder), SETTLED_MS + 10);
        assert_eq!(granted, vec![answer(next, "r0", Verdict::Granted)]);
        holder = next;
    }
}
