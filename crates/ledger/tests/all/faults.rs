//! Payload stores that fail while commands are applied.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_ledger::{Answer, Ledger};
use linnethitch_protocol::{
    command::{Command, CommandBody, JobResults, Outcome, RequestedItems},
    ids::{GatewayId, ItemNumber, JobId, LeaseEpoch, LogIndex, ModelId, SessionEpoch, Timestamp},
};
use linnethitch_storage::{MemoryPayloads, PayloadMark, PayloadRef, Payloads, StorageResult};
use rstest::rstest;

use crate::support::{Fixture, MODEL, answer, new_claim, success};

/// Payloads in memory whose reads and appends fail on demand.
struct FailingPayloads {
    payloads: MemoryPayloads,
    failing: Arc<AtomicBool>,
}

impl FailingPayloads {
    fn check(&self) -> StorageResult<()> {
        match self.failing.load(Ordering::Relaxed) {
            true => Err(Report::new(ErrorKind::Io)),
            false => Ok(()),
        }
    }
}

impl Payloads for FailingPayloads {
    fn append(&mut self, data: &[u8]) -> StorageResult<PayloadRef> {
        self.check()?;
        self.payloads.append(data)
    }

    fn read(&self, payload: &PayloadRef) -> StorageResult<Vec<u8>> {
        self.check()?;
        self.payloads.read(payload)
    }

    fn read_range(
        &self,
        payload: &PayloadRef,
        offset: u32,
        length: usize,
    ) -> StorageResult<Vec<u8>> {
        self.check()?;
        self.payloads.read_range(payload, offset, length)
    }

    fn mark_live(&mut self, payload: &PayloadRef) -> StorageResult<()> {
        self.payloads.mark_live(payload)
    }

    fn release(&mut self, payload: &PayloadRef) {
        self.payloads.release(payload);
    }

    fn sync(&mut self) -> StorageResult<()> {
        self.payloads.sync()
    }

    fn live_bytes(&self) -> u64 {
        self.payloads.live_bytes()
    }

    fn checkpoint(&mut self) -> StorageResult<PayloadMark> {
        self.payloads.checkpoint()
    }

    fn reclaim_before(&mut self, mark: PayloadMark) -> StorageResult<()> {
        self.payloads.reclaim_before(mark)
    }

    fn compaction_candidate(&self) -> Option<u32> {
        self.payloads.compaction_candidate()
    }

    fn compact(&mut self, segment: u32, live: &[PayloadRef]) -> StorageResult<()> {
        self.payloads.compact(segment, live)
    }
}

/// Two members that apply the same commands; the payload store of one can fail.
struct Pair {
    intact: Fixture,
    faulty: Fixture,
    failing: Arc<AtomicBool>,
}

impl Pair {
    fn new() -> Self {
        let failing = Arc::new(AtomicBool::new(false));
        let mut faulty = Fixture::empty();
        faulty.ledger = Ledger::new(Box::new(FailingPayloads {
            payloads: MemoryPayloads::new(),
            failing: Arc::clone(&failing),
        }));
        let mut pair = Pair {
            intact: Fixture::empty(),
            faulty,
            failing,
        };
        pair.both(|fixture| {
            fixture.configure("first", 0, crate::support::FLEET);
            fixture.simple_job("batch_1", 600);
            let session = fixture.session("gateway", 1);
            assert_eq!(session, SESSION);
            fixture.claim(new_claim("key", "gateway", session));
            fixture.finish_claim("key", "gateway", session, Some(answer("kept")));
        });
        pair
    }

    fn both<T>(&mut self, act: impl Fn(&mut Fixture) -> T) -> [T; 2] {
        [act(&mut self.intact), act(&mut self.faulty)]
    }

    fn fail(&self, failing: bool) {
        self.failing.store(failing, Ordering::Relaxed);
    }
}

const SESSION: SessionEpoch = SessionEpoch(1);

fn lease_command() -> CommandBody {
    CommandBody::LeaseItems {
        gateway: GatewayId::from("gateway"),
        session: SESSION,
        sequence: 77,
        requested: vec![RequestedItems {
            model: ModelId::from(MODEL),
            count: 500,
        }],
        until: Timestamp(0),
    }
}

fn claim_command() -> CommandBody {
    CommandBody::ClaimRequest(new_claim("key", "other", SESSION))
}

/// Applies a command without reading the payloads of its outcome.
fn apply(fixture: &mut Fixture, body: CommandBody) -> StorageResult<Answer> {
    fixture.index += 1;
    let command = Command {
        now: Timestamp(fixture.now),
        body,
    };
    fixture.ledger.apply(LogIndex(fixture.index), &command)
}

/// Whether a command was applied, and its outcome if the payloads could be read.
fn step(fixture: &mut Fixture, body: CommandBody) -> (bool, Option<Outcome>) {
    let answer = apply(fixture, body);
    let applied = answer.is_ok();
    let outcome = answer.and_then(|answer| fixture.ledger.outcome(answer));
    (applied, outcome.ok())
}

#[rstest]
#[case::lines_of_a_lease(lease_command())]
#[case::a_stored_answer(claim_command())]
fn a_failed_read_does_not_affect_the_state_and_the_resend_is_answered(#[case] body: CommandBody) {
    let mut pair = Pair::new();
    pair.fail(true);
    let [intact, faulty] = pair.both(|fixture| step(fixture, body.clone()));
    assert!(intact.0 && faulty.0, "both members apply the command");
    assert_eq!(faulty.1, None, "the faulty member cannot read the outcome");
    assert_eq!(pair.faulty.ledger.digest(), pair.intact.ledger.digest());
    pair.fail(false);
    let [again, later] = pair.both(|fixture| step(fixture, body.clone()));
    assert_eq!((&again.1, &later.1), (&intact.1, &intact.1));
}

#[test]
fn a_payload_store_failure_during_a_command_stops_the_member() {
    let mut pair = Pair::new();
    // The outcome is not read, so no chunk of the file is cached yet.
    assert!(apply(&mut pair.faulty, lease_command()).is_ok());
    pair.fail(true);
    let outcomes = (0..500).map(|item| (LeaseEpoch(1), success(ItemNumber(item))));
    let results = vec![JobResults {
        job: JobId::from("batch_1"),
        outcomes: outcomes.collect(),
    }];
    let complete = CommandBody::CompleteItems {
        gateway: GatewayId::from("gateway"),
        session: SESSION,
        results,
    };
    assert_eq!(step(&mut pair.faulty, complete), (false, None));
    // The member applies no further commands, even after the store has recovered.
    pair.fail(false);
    assert_eq!(step(&mut pair.faulty, CommandBody::Expire), (false, None));
}
