//! Any sequence of commands against a small model of the rules for items, with
//! a second ledger that goes through snapshots.

use std::collections::BTreeMap;

use linnethitch_ledger::SafetyOverrides;
use linnethitch_protocol::{
    command::{LeasedItem, LeasedItemKey, Outcome},
    ids::{GatewayId, LeaseEpoch, SessionEpoch},
    query::JobState,
};
use proptest::prelude::*;

use crate::support::{Fixture, Line, MODEL};

/// How long a session lasts without renewal, as the fleet file of the tests says.
const LEASE_MS: u64 = 10_000;
const GATEWAYS: usize = 3;

/// One step; numbers choose among what there is at the time.
#[derive(Clone, Debug)]
enum Step {
    /// Accepts a job; each item is at most once where the flag is set.
    Accept(Vec<bool>),
    /// A gateway starts anew.
    Restart(usize),
    Lease(usize, u32),
    Start(usize),
    Complete(usize),
    Release(usize),
    Cancel(usize),
    /// Time passes and what is due expires.
    Pass(u64),
    /// The second ledger is replaced by one restored from its snapshot.
    Snapshot,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => prop::collection::vec(any::<bool>(), 1..5).prop_map(Step::Accept),
        1 => (0..GATEWAYS).prop_map(Step::Restart),
        4 => ((0..GATEWAYS), 1_u32..4).prop_map(|(gateway, count)| Step::Lease(gateway, count)),
        3 => any::<usize>().prop_map(Step::Start),
        4 => any::<usize>().prop_map(Step::Complete),
        2 => any::<usize>().prop_map(Step::Release),
        1 => any::<usize>().prop_map(Step::Cancel),
        2 => (1_000_u64..LEASE_MS).prop_map(Step::Pass),
        1 => Just(Step::Snapshot),
    ]
}

/// Who holds an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Holder {
    gateway: usize,
    session: SessionEpoch,
    lease: LeaseEpoch,
}

#[derive(Clone, Debug, Default)]
struct Item {
    at_most_once: bool,
    done: bool,
    holder: Option<Holder>,
    started: Option<LeaseEpoch>,
}

#[derive(Clone, Debug, Default)]
struct Job {
    items: Vec<Item>,
    cancelled: bool,
    /// When its cancel ends even if leases are still out.
    cancel_ends: u64,
    completed: u32,
    failed: u32,
}

/// A gateway's newest session: its number, its end, its nonce.
#[derive(Clone, Copy, Debug, Default)]
struct Session {
    epoch: SessionEpoch,
    until: u64,
    nonce: u64,
    running: bool,
}

/// The rules, said once more and simply.
#[derive(Default)]
struct Model {
    jobs: BTreeMap<String, Job>,
    sessions: [Session; GATEWAYS],
    dropped: u64,
}

impl Model {
    fn item(&mut self, key: &LeasedItemKey) -> (&mut Item, bool) {
        let job = self.jobs.get_mut(&key.job.0).expect("a job of the test");
        let wanted = !job.cancelled;
        let item = &mut job.items[key.item.0 as usize];
        let open = wanted && !item.done;
        (item, open)
    }

    fn end_session(&mut self, gateway: usize) {
        self.sessions[gateway].running = false;
        for job in self.jobs.values_mut() {
            for item in &mut job.items {
                let held = item.holder.filter(|holder| holder.gateway == gateway);
                let Some(holder) = held else { continue };
                item.holder = None;
                if item.started == Some(holder.lease) && !item.done && !job.cancelled {
                    item.done = true;
                    job.failed += 1;
                }
            }
        }
    }

    /// Whether the holder may start the item.
    fn start(&mut self, holder: Holder, key: &LeasedItemKey) -> bool {
        let running = self.is_running(holder);
        let (item, open) = self.item(key);
        let allowed = running && open && item.holder == Some(holder);
        if allowed && item.at_most_once {
            let first = item.started.replace(holder.lease);
            assert!(first.is_none_or(|lease| lease == holder.lease), "run twice");
        }
        allowed
    }

    /// Whether a result is stored.
    fn complete(&mut self, holder: Holder, key: &LeasedItemKey) -> bool {
        let running = self.is_running(holder);
        let (item, open) = self.item(key);
        let held = running && item.holder == Some(holder);
        if held {
            item.holder = None;
        }
        if !open || (item.at_most_once && !held) {
            return false;
        }
        item.done = true;
        let stored = !item.at_most_once || item.started == Some(holder.lease);
        let job = self.jobs.get_mut(&key.job.0).expect("a job of the test");
        job.completed += u32::from(stored);
        job.failed += u32::from(!stored);
        stored
    }

    fn release(&mut self, holder: Holder, key: &LeasedItemKey) {
        let running = self.is_running(holder);
        let (item, _) = self.item(key);
        if running && item.holder == Some(holder) && item.started.is_none() {
            item.holder = None;
        }
    }

    fn is_running(&self, holder: Holder) -> bool {
        let session = self.sessions[holder.gateway];
        session.running && session.epoch == holder.session
    }

    fn state(job: &Job, now: u64) -> JobState {
        let held = job.items.iter().any(|item| item.holder.is_some()) && now < job.cancel_ends;
        let finished = job.items.iter().all(|item| item.done);
        match (job.cancelled, held, finished) {
            (true, true, _) => JobState::Cancelling,
            (true, false, _) => JobState::Cancelled,
            (false, _, true) => JobState::Completed,
            (false, _, false) => JobState::InProgress,
        }
    }
}

/// The model, and two ledgers of which one goes through snapshots.
struct Run {
    model: Model,
    ledgers: [Fixture; 2],
    /// Every item that was ever leased, and to whom.
    leased: Vec<(Holder, LeasedItem)>,
}

fn gateway_name(gateway: usize) -> String {
    format!("gateway-{gateway}")
}

impl Run {
    fn new() -> Self {
        Run {
            model: Model::default(),
            ledgers: [Fixture::new(), Fixture::new()],
            leased: Vec::new(),
        }
    }

    /// Does the same to both ledgers, which must answer alike.
    fn both<T: PartialEq + std::fmt::Debug>(&mut self, act: impl Fn(&mut Fixture) -> T) -> T {
        let [plain, restored] = &mut self.ledgers;
        let answer = act(plain);
        assert_eq!(
            answer,
            act(restored),
            "the restored ledger answers otherwise"
        );
        answer
    }

    fn take(&mut self, step: &Step) {
        match step {
            Step::Accept(flags) => self.accept(flags),
            Step::Restart(gateway) => self.restart(*gateway),
            Step::Lease(gateway, count) => self.lease(*gateway, *count),
            Step::Start(choice) => self.with_leased(*choice, |run, holder, item| {
                let expected = run.model.start(holder, &item.key);
                let name = gateway_name(holder.gateway);
                let items = [item];
                let started = run.both(|ledger| ledger.start(&name, holder.session, &items));
                assert_eq!(started, [expected]);
            }),
            Step::Complete(choice) => self.with_leased(*choice, |run, holder, item| {
                let expected = u32::from(run.model.complete(holder, &item.key));
                let name = gateway_name(holder.gateway);
                let items = [item];
                let counts = run.both(|ledger| ledger.complete(&name, holder.session, &items));
                assert_eq!(counts, (expected, 1 - expected));
                run.model.dropped += u64::from(1 - expected);
            }),
            Step::Release(choice) => self.with_leased(*choice, |run, holder, item| {
                run.model.release(holder, &item.key);
                let name = gateway_name(holder.gateway);
                let items = [item];
                run.both(|ledger| ledger.release(&name, holder.session, &items));
            }),
            Step::Cancel(choice) => self.cancel(*choice),
            Step::Pass(ms) => self.pass(*ms),
            Step::Snapshot => self.ledgers[1].through_snapshot(),
        }
        self.check();
    }

    fn accept(&mut self, flags: &[bool]) {
        let name = format!("batch_{}", self.model.jobs.len());
        let line = |flag: &bool| match flag {
            true => Line::at_most_once(),
            false => Line::new(MODEL),
        };
        let lines: Vec<Line> = flags.iter().map(line).collect();
        self.both(|ledger| ledger.job_of("acme", &name, &lines));
        let items = flags.iter().map(|flag| Item {
            at_most_once: *flag,
            ..Item::default()
        });
        let job = Job {
            items: items.collect(),
            ..Job::default()
        };
        self.model.jobs.insert(name, job);
    }

    fn restart(&mut self, gateway: usize) {
        self.model.end_session(gateway);
        let nonce = self.model.sessions[gateway].nonce + 1;
        let name = gateway_name(gateway);
        let epoch = self.both(|ledger| ledger.session(&name, nonce));
        self.model.sessions[gateway] = Session {
            epoch,
            until: self.ledgers[0].now + LEASE_MS,
            nonce,
            running: true,
        };
    }

    fn lease(&mut self, gateway: usize, count: u32) {
        if !self.model.sessions[gateway].running {
            self.restart(gateway);
        }
        let session = self.model.sessions[gateway].epoch;
        let name = gateway_name(gateway);
        let items = self.both(|ledger| ledger.lease(&name, session, MODEL, count));
        self.model.sessions[gateway].until = self.ledgers[0].now + LEASE_MS;
        assert!(items.len() <= count as usize);
        for item in items {
            let holder = Holder {
                gateway,
                session,
                lease: item.key.lease,
            };
            let (modelled, open) = self.model.item(&item.key);
            assert!(open && modelled.holder.is_none(), "{item:?} was not free");
            assert!(modelled.started.is_none(), "{item:?} may have run");
            modelled.holder = Some(holder);
            self.leased.push((holder, item));
        }
    }

    fn with_leased(&mut self, choice: usize, act: impl Fn(&mut Run, Holder, LeasedItem)) {
        if self.leased.is_empty() {
            return;
        }
        let (holder, item) = self.leased[choice % self.leased.len()].clone();
        act(self, holder, item);
    }

    fn cancel(&mut self, choice: usize) {
        let Some(name) = self
            .model
            .jobs
            .keys()
            .nth(choice % self.model.jobs.len().max(1))
        else {
            return;
        };
        let name = name.clone();
        let outcome = self.both(|ledger| ledger.cancel("acme", &name));
        let job = self.model.jobs.get_mut(&name).expect("a job of the test");
        let ended = job.items.iter().all(|item| item.done);
        let refused = matches!(outcome, Outcome::Refused(_));
        assert_eq!(refused, ended && !job.cancelled, "{outcome:?}");
        if refused || job.cancelled {
            return;
        }
        job.cancelled = true;
        let holders = job.items.iter().filter_map(|item| item.holder);
        let ends = holders.map(|holder| self.model.sessions[holder.gateway].until);
        job.cancel_ends = ends.max().unwrap_or_default();
    }

    fn pass(&mut self, ms: u64) {
        self.both(|ledger| ledger.expire_after(ms));
        let now = self.ledgers[0].now;
        for gateway in 0..GATEWAYS {
            let session = self.model.sessions[gateway];
            if session.running && session.until <= now {
                self.model.end_session(gateway);
            }
        }
    }

    fn check(&mut self) {
        let [plain, restored] = &self.ledgers;
        assert_eq!(plain.ledger.digest(), restored.ledger.digest());
        assert_eq!(restored.ledger.dropped_results(), self.model.dropped);
        for (name, job) in &self.model.jobs {
            let record = plain.job("acme", name).expect("jobs outlive the test");
            assert_eq!(record.state, Model::state(job, plain.now), "{name}");
            assert_eq!(
                (record.completed, record.failed),
                (job.completed, job.failed)
            );
            let (output, errors) = plain.results("acme", name);
            assert_eq!(output.len(), job.completed as usize);
            assert_eq!(errors.len(), job.failed as usize);
        }
        let running = self.model.sessions.iter().enumerate();
        let running = running.filter(|(_, session)| session.running);
        let expected: Vec<(GatewayId, SessionEpoch)> = running
            .map(|(gateway, session)| (GatewayId(gateway_name(gateway)), session.epoch))
            .collect();
        let sessions = plain.ledger.sessions();
        let sessions: Vec<(GatewayId, SessionEpoch)> = sessions
            .map(|(gateway, epoch, _)| (gateway.clone(), epoch))
            .collect();
        assert_eq!(sessions, expected);
    }
}

#[test]
#[should_panic(expected = "was not free")]
fn the_model_finds_a_ledger_without_fencing() {
    let mut run = Run::new();
    for fixture in &mut run.ledgers {
        fixture.ledger.set_safety_overrides(SafetyOverrides {
            skip_lease_fencing: true,
            ..SafetyOverrides::default()
        });
    }
    run.accept(&[true]);
    run.lease(0, 1);
    run.with_leased(0, |run, holder, item| {
        run.model.start(holder, &item.key);
        run.both(|ledger| ledger.start("gateway-0", holder.session, std::slice::from_ref(&item)));
    });
    run.both(|ledger| ledger.expire_after(LEASE_MS));
    run.lease(1, 1);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_sequence_follows_the_rules_and_survives_snapshots(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut run = Run::new();
        for step in &steps {
            run.take(step);
        }
    }
}
