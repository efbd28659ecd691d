//! Slots of replicas: given to online requests at once, to items where there is room.

use std::collections::{BTreeMap, BTreeSet};

use linnethitch_protocol::{
    ids::MachineId,
    slots::{AskMode, HeldLease, Verdict},
};
use linnethitch_routing::dispatch::{
    Ask, CoordinatedReplica, Due, ItemCapacity, LeaseKey, ReplicaTable, ReplicaTraits,
    RequestNeeds, RunNumber, SlotAction, SlotCoordinator, WaitingItem, coordinator_of,
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

/// A coordinator that has just begun starts no items before this.
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

/// Coordinates replicas r0, r1 … since time 0.
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

/// The promise this is for: an online request never waits behind batch work.
#[test]
fn an_online_request_gets_the_slot_of_the_item_that_can_wait_longest() {
    let mut coordinator = with_items(2);
    let actions = coordinator.ask(ask(1, "r0", 2_000, AskMode::Probe), SETTLED_MS);
    let expected = [
        SlotAction::Stop(RunNumber(2)),
        answer(1, "r0", Verdict::Granted),
    ];
    assert_eq!(actions, expected);
}

/// An item that could not be in time when it began stops first; one that began
/// in time is not late because time passed while it ran.
#[test]
fn items_that_began_too_late_stop_first() {
    let mut coordinator = coordinator(1, 3);
    for (run, due_ms) in [(1, 9_000), (2, SETTLED_MS - 1), (3, SETTLED_MS + 10)] {
        coordinator.enqueue_item(item(run, due_ms), SETTLED_MS);
    }
    let later_ms = SETTLED_MS + 5_000;
    let mut stopped = Vec::new();
    for number in 1..=3 {
        let asked = ask(number, "r0", later_ms + 300, AskMode::Probe);
        stopped.extend(
            coordinator
                .ask(asked, later_ms)
                .into_iter()
                .filter(|action| matches!(action, SlotAction::Stop(_))),
        );
    }
    assert_eq!(
        stopped,
        [2, 1, 3].map(|run| SlotAction::Stop(RunNumber(run)))
    );
}

/// What an asker is told where online requests have every slot.
#[rstest]
#[case::probe(AskMode::Probe, Verdict::Full)]
#[case::wait(AskMode::Wait, Verdict::Queued)]
#[case::take(AskMode::Take, Verdict::Granted)]
fn a_full_replica_is_told_to_be_full(#[case] mode: AskMode, #[case] verdict: Verdict) {
    let mut coordinator = coordinator(1, 1);
    coordinator.ask(ask(1, "r0", 300, AskMode::Probe), 0);
    let actions = coordinator.ask(ask(2, "r0", 300, mode), 0);
    assert_eq!(actions, [answer(2, "r0", verdict)]);
}

/// The failure this is for: an item was stopped although another replica had a free
/// slot. Items that run, and what an asker for a free slot is told.
#[rstest]
#[case::a_slot_is_free(1, Verdict::Granted)]
#[case::items_have_all(2, Verdict::Full)]
fn an_ask_for_a_free_slot_stops_no_item(#[case] items: u64, #[case] verdict: Verdict) {
    let mut coordinator = coordinator(1, 2);
    for run in 1..=items {
        coordinator.enqueue_item(item(run, 20_000), SETTLED_MS);
    }
    let actions = coordinator.ask(ask(1, "r0", 2_000, AskMode::Free), SETTLED_MS);
    assert_eq!(actions, [answer(1, "r0", verdict)]);
}

/// Items that wait for room, and the room that is left for others at three replicas
/// of two slots, one of which an online request has.
#[rstest]
#[case::none(0, 5, 3)]
#[case::one(1, 4, 3)]
#[case::three(3, 2, 2)]
#[case::all(5, 0, 0)]
fn room_for_items_counts_slots_and_replicas(
    #[case] items: u64,
    #[case] slots: u32,
    #[case] replicas: u32,
) {
    let mut coordinator = coordinator(3, 2);
    coordinator.ask(ask(1, "r0", 2_000, AskMode::Free), SETTLED_MS);
    for run in 1..=items {
        coordinator.enqueue_item(item(run, 20_000), SETTLED_MS);
    }
    let room = coordinator.item_capacity(SERVICE, SETTLED_MS);
    assert_eq!(room, ItemCapacity { slots, replicas });
}

#[test]
fn those_that_can_be_on_time_come_first_then_the_late_ones() {
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
fn an_asker_that_leaves_the_queue_is_not_served() {
    let mut coordinator = coordinator(1, 1);
    coordinator.ask(ask(1, "r0", 300, AskMode::Probe), 0);
    coordinator.ask(ask(2, "r0", 300, AskMode::Wait), 0);
    assert!(coordinator.end(key(1, 2), 10).is_empty());
    assert!(coordinator.end(key(1, 1), 20).is_empty());
}

#[test]
fn an_item_begins_on_a_slot_that_is_given_back() {
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
fn items_begin_where_most_is_free_and_not_where_they_failed() {
    let mut coordinator = coordinator(2, 2);
    coordinator.ask(ask(1, "r0", 300, AskMode::Probe), SETTLED_MS);
    let later_ms = SETTLED_MS + 5_000;
    coordinator.reconcile_leases(MachineId(1), &[held("r0", 1)], later_ms);
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

/// All those that it may have failed it: one of them, rather than one that it must not have.
#[test]
fn an_item_does_not_begin_where_it_must_not() {
    let mut coordinator = coordinator(2, 2);
    let barred = WaitingItem {
        avoid: vec!["r1".to_owned()],
        except: vec!["r0".to_owned()],
        ..item(1, 90_000)
    };
    let actions = coordinator.enqueue_item(barred, SETTLED_MS);
    assert_eq!(actions, [start(1, "r1")]);
    let nowhere = WaitingItem {
        except: vec!["r0".to_owned(), "r1".to_owned()],
        ..item(2, 90_000)
    };
    assert!(coordinator.enqueue_item(nowhere, SETTLED_MS).is_empty());
}

fn held(replica: &str, number: u64) -> HeldLease {
    HeldLease {
        replica: replica.to_owned(),
        number,
        alone: false,
    }
}

/// A new coordinator learns what is held before it lets items begin.
#[test]
fn a_new_coordinator_begins_no_items_until_it_was_told() {
    let mut coordinator = coordinator(1, 2);
    assert!(coordinator.enqueue_item(item(1, 9_000), 0).is_empty());
    coordinator.reconcile_leases(MachineId(1), &[held("r0", 7)], 10);
    coordinator.enqueue_item(item(2, 9_500), 10);
    // Both leases and no more than the slots, although the holder asked somebody else.
    assert_eq!(coordinator.tick(SETTLED_MS), [start(1, "r0")]);
}

/// What a gateway says later, and whether its lease still takes the slot.
#[rstest]
#[case::named(&[held("r0", 1)], 700, true)]
#[case::not_named(&[], 700, false)]
#[case::too_young_to_be_named(&[], 100, true)]
fn leases_are_those_that_their_holder_names(
    #[case] leases: &[HeldLease],
    #[case] after_ms: u64,
    #[case] kept: bool,
) {
    let mut coordinator = coordinator(1, 1);
    coordinator.ask(ask(1, "r0", 300, AskMode::Probe), 0);
    coordinator.reconcile_leases(MachineId(1), leases, after_ms);
    let actions = coordinator.ask(ask(2, "r0", 900, AskMode::Probe), after_ms);
    let verdict = if kept {
        Verdict::Full
    } else {
        Verdict::Granted
    };
    assert_eq!(actions, [answer(2, "r0", verdict)]);
}

/// The failure this is for: a gateway names asks that still wait beside its
/// leases; they were counted as holding slots, and nobody was served.
#[test]
fn an_ask_that_is_named_while_it_waits_holds_no_slot() {
    let mut coordinator = coordinator(1, 1);
    coordinator.ask(ask(1, "r0", 300, AskMode::Probe), 0);
    coordinator.ask(ask(2, "r0", 9_000, AskMode::Wait), 0);
    let named = [held("r0", 1), held("r0", 2)];
    assert!(
        coordinator
            .reconcile_leases(MachineId(1), &named, 500)
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
fn work_at_a_replica_that_moved_to_another_coordinator_is_let_go() {
    let mut coordinator = with_items(1);
    coordinator.ask(ask(1, "r0", 2_000, AskMode::Probe), SETTLED_MS);
    coordinator.ask(ask(2, "r0", 2_000, AskMode::Wait), SETTLED_MS);
    coordinator.end(key(1, 1), SETTLED_MS + 1);
    let actions = coordinator.set_replicas(Vec::new(), SETTLED_MS + 2);
    assert!(actions.is_empty(), "online requests go on: {actions:?}");
    let actions = coordinator.ask(ask(3, "r0", 2_000, AskMode::Probe), SETTLED_MS + 3);
    assert_eq!(actions, [answer(3, "r0", Verdict::NotHere)]);
    let mut coordinator = with_items(1);
    let actions = coordinator.set_replicas(Vec::new(), SETTLED_MS);
    assert_eq!(actions, [SlotAction::Stop(RunNumber(1))]);
}

#[test]
fn a_closed_replica_begins_no_items() {
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

/// Gateways know the same fleet; all but one agree on nearly every replica when
/// one gateway is gone.
#[test]
fn coordinators_change_little_when_a_gateway_goes() {
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

/// The failure this is for: 28 requests waited at one replica while others were
/// idle, since all gateways had been told that it was the emptiest.
#[test]
fn gateways_that_were_told_the_same_do_not_overrun_a_replica() {
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
    };
    let mut taken = BTreeMap::<String, u32>::new();
    for gateway in 0..200 {
        let mut board = ReplicaTable::new("worcester");
        board.set_replicas((0..replicas).map(traits).collect());
        let mut random = Pcg64Mcg::seed_from_u64(gateway);
        let mut full: Vec<String> = Vec::new();
        loop {
            let need = RequestNeeds {
                service: SERVICE,
                prompt: &[],
                except: &full,
                homes: None,
            };
            let chosen = board.choose(&need, 0, &mut random).expect("one is free");
            let asked = ask(gateway, &chosen.id, 300, AskMode::Probe);
            let actions = coordinator.ask(asked, 0);
            if actions == [answer(gateway, &chosen.id, Verdict::Granted)] {
                *taken.entry(chosen.id).or_default() += 1;
                break;
            }
            full.push(chosen.id);
        }
    }
    assert_eq!(taken.values().sum::<u32>(), 200);
    assert!(taken.values().all(|count| *count <= 4), "{taken:?}");
}

#[derive(Clone, Debug)]
enum Step {
    Ask { replica: u8, mode: u8 },
    End { nth: u8 },
    Want,
    ItemEnds { nth: u8 },
    Held { named: bool },
    Pass { ms: u16 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3_u8, 0..2_u8).prop_map(|(replica, mode)| Step::Ask { replica, mode }),
        4 => any::<u8>().prop_map(|nth| Step::End { nth }),
        3 => Just(Step::Want),
        2 => any::<u8>().prop_map(|nth| Step::ItemEnds { nth }),
        1 => any::<bool>().prop_map(|named| Step::Held { named }),
        3 => (1..600_u16).prop_map(|ms| Step::Pass { ms }),
    ]
}

/// A fleet under random work, with everything that was decided.
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
    fn take(&mut self, actions: Vec<SlotAction>) {
        for action in actions {
            match action {
                SlotAction::Answer {
                    key,
                    replica,
                    verdict,
                } => self.take_answer(key.number, replica, verdict),
                SlotAction::ReportHealth { .. } => {}
                SlotAction::Stop(run) => {
                    self.items.remove(&run.0).expect("it had a slot");
                    self.want(run.0);
                }
                SlotAction::Start { run, replica } => {
                    assert!(self.waiting.remove(&run.0), "it waited");
                    self.items.insert(run.0, replica);
                }
            }
        }
    }

    fn take_answer(&mut self, number: u64, replica: String, verdict: Verdict) {
        match verdict {
            Verdict::Granted => {
                self.queued.remove(&number);
                self.online.insert(number, replica);
            }
            Verdict::Queued => {
                self.queued.insert(number, replica);
            }
            Verdict::Full => {
                let online = self.online.values().filter(|held| **held == replica);
                assert_eq!(online.count(), 2, "{replica} has a slot for it");
            }
            Verdict::NotHere => panic!("every replica is coordinated here"),
        }
    }

    fn want(&mut self, run: u64) {
        self.waiting.insert(run);
        let actions = self
            .coordinator
            .enqueue_item(item(run, self.now_ms + 9_000), self.now_ms);
        self.take(actions);
    }

    fn carry_out(&mut self, step: Step) {
        let now_ms = self.now_ms;
        self.next += 1;
        let actions = match step {
            Step::Ask { replica, mode } => {
                let mode = [AskMode::Probe, AskMode::Wait][usize::from(mode)];
                let asked = ask(self.next, &format!("r{replica}"), now_ms + 300, mode);
                self.coordinator.ask(asked, now_ms)
            }
            Step::End { nth } => {
                let Some(number) = pick(self.online.keys(), nth) else {
                    return;
                };
                self.online.remove(&number);
                self.coordinator.end(key(1, number), now_ms)
            }
            Step::Want => return self.want(self.next),
            Step::ItemEnds { nth } => {
                let Some(run) = pick(self.items.keys(), nth) else {
                    return;
                };
                self.items.remove(&run);
                self.coordinator.item_ended(RunNumber(run), now_ms)
            }
            Step::Held { named } => self.tell_held(named),
            Step::Pass { ms } => {
                self.now_ms += u64::from(ms);
                self.tell_held(true)
            }
        };
        self.take(actions);
    }

    /// Names all leases, or all that are old enough to count but the first.
    fn tell_held(&mut self, all: bool) -> Vec<SlotAction> {
        if !all {
            self.now_ms += 500;
        }
        let first = self.online.keys().next().copied();
        if let Some(first) = first.filter(|_| !all) {
            self.online.remove(&first);
        }
        let named = self.online.iter().chain(&self.queued);
        let leases: Vec<HeldLease> = named
            .map(|(number, replica)| held(replica, *number))
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
                .filter(|held| **held == replica)
                .count();
            let items = self.items.values().filter(|held| **held == replica).count();
            assert!(online + items <= 2, "{replica}: {online} and {items} items");
            let queued = self.queued.values().any(|wanted| *wanted == replica);
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

    /// No online request waits while an item has a slot that it could use, no
    /// slot idles while an item could run, and no slot is given away twice.
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
            fleet.carry_out(step);
            // What the passing of time allows begins with the next look.
            let actions = fleet.coordinator.tick(fleet.now_ms);
            fleet.take(actions);
            fleet.check();
        }
    }
}

/// Of the requests under which replicas ended one runs at a time; others run beside it.
#[test]
fn one_of_the_requests_that_run_alone_has_a_slot_at_a_time() {
    let mut coordinator = coordinator(1, 3);
    let granted = |number| vec![answer(number, "r0", Verdict::Granted)];
    let queued = |number| vec![answer(number, "r0", Verdict::Queued)];
    let first = coordinator.ask(ask(1, "r0", 100, AskMode::Alone), 0);
    assert_eq!(first, granted(1));
    let second = coordinator.ask(ask(2, "r0", 100, AskMode::Alone), 0);
    assert_eq!(second, queued(2));
    let other = coordinator.ask(ask(3, "r0", 100, AskMode::Probe), 0);
    assert_eq!(other, granted(3));
    // A slot that falls free is none for a second request that runs alone.
    assert_eq!(coordinator.end(key(1, 3), 1), vec![]);
    assert_eq!(coordinator.end(key(1, 1), 2), granted(2));
}

/// A new coordinator learns which leases run alone.
#[test]
fn a_lease_that_runs_alone_does_so_at_a_new_coordinator() {
    let mut coordinator = coordinator(1, 3);
    let alone = HeldLease {
        alone: true,
        ..held("r0", 1)
    };
    coordinator.reconcile_leases(MachineId(1), &[alone], 0);
    let second = coordinator.ask(ask(2, "r0", 100, AskMode::Alone), 1);
    assert_eq!(second, vec![answer(2, "r0", Verdict::Queued)]);
}

/// An online request that is due at a time.
fn ask_due(number: u64, due_ms: u64, mode: AskMode) -> Ask {
    ask(number, "r0", due_ms, mode)
}

/// An online request takes the slot of an item however late it is, and waits for those
/// that can still be on time.
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

/// Of those that can be on time the higher rank goes first, whatever is due sooner.
#[test]
fn ranks_decide_who_waits() {
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
