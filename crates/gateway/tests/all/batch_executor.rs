//! The batch executor without I/O: events and the actions that follow.

use std::collections::VecDeque;

use linnethitch_gateway::batch::{
    BatchAction, BatchEvent, BatchExecutor, BatchSession, CallAnswer, ExecutorSettings,
    FailedRun::{self, Answered, Interrupted, NotStarted},
    GeneratedTokens, ReplicaCapacity, RunEnd, RunOrder, StartAnswer,
};
use linnethitch_protocol::{
    attach::PendingItems,
    command::{LeasedItem, LeasedItemKey},
    ids::{ItemNumber, JobId, LeaseEpoch, SessionEpoch, Timestamp},
};
use linnethitch_routing::ReasonCode;
use rstest::rstest;

/// A deadline that no test reaches.
const FAR_DEADLINE: Timestamp = Timestamp(1_000_000);
/// Longer than any wait of the executor, in milliseconds.
const LONG_MS: u64 = 5_000;

/// An executor with items of one job, its time and the actions not yet checked.
struct Fixture {
    executor: BatchExecutor,
    now: u64,
    actions: VecDeque<BatchAction>,
}

fn session(epoch: u64) -> Option<BatchSession> {
    Some(BatchSession {
        epoch: SessionEpoch(epoch),
        until: FAR_DEADLINE,
    })
}

fn item(number: u32, at_most_once: bool) -> LeasedItem {
    LeasedItem {
        key: LeasedItemKey {
            job: "batch_1".into(),
            item: ItemNumber(number),
            lease: LeaseEpoch(7),
        },
        tenant: "one".into(),
        line: Vec::new(),
        at_most_once,
        deadline: FAR_DEADLINE,
    }
}

fn capacity(replica: &str, sequences: u32) -> ReplicaCapacity {
    ReplicaCapacity {
        replica: replica.into(),
        model: "m".into(),
        adapters: Vec::new(),
        sequences,
        reason: ReasonCode::IdleCapacity,
    }
}

fn generated(tokens: u32) -> GeneratedTokens {
    GeneratedTokens {
        tokens,
        text: "t".repeat(tokens as usize),
        software: Some("v1".to_owned()),
    }
}

fn failed(progress: FailedRun) -> RunEnd {
    RunEnd::Failed {
        progress,
        generated: generated(3),
        message: "the engine died".to_owned(),
    }
}

fn recorded() -> CallAnswer<Vec<StartAnswer>> {
    CallAnswer::Done(vec![StartAnswer::Recorded {
        address: "127.0.0.1:1".to_owned(),
    }])
}

fn answered() -> RunEnd {
    RunEnd::Answered {
        status: 200,
        body: b"{}".to_vec(),
    }
}

impl Fixture {
    /// Creates an executor with two sequences granted on replica `a` and up to `count` leased
    /// items.
    fn with_items(count: u32, at_most_once: bool) -> Self {
        let settings = ExecutorSettings {
            max_attempts: 2,
            lease_ahead_percent: 0,
            ..ExecutorSettings::default()
        };
        let mut fixture = Fixture {
            executor: BatchExecutor::new(settings),
            now: 1_000,
            actions: VecDeque::new(),
        };
        fixture.handle(BatchEvent::Session(session(1)));
        fixture.handle(BatchEvent::Pending(vec![PendingItems {
            model: "m".into(),
            count: u64::from(count),
        }]));
        fixture.handle(BatchEvent::Capacity(vec![capacity("a", 2)]));
        let (sequence, requested) = fixture.lease().expect("a lease call");
        assert_eq!(
            requested,
            count.min(2),
            "no more than the granted sequences"
        );
        let items = (0..requested).map(|number| item(number, at_most_once));
        fixture.handle(BatchEvent::Leased {
            sequence,
            answer: CallAnswer::Done(items.collect()),
        });
        fixture
    }

    fn handle(&mut self, event: BatchEvent) {
        let actions = self.executor.handle(Timestamp(self.now), event);
        self.actions.extend(actions);
    }

    fn advance(&mut self, milliseconds: u64) {
        self.now += milliseconds;
        self.handle(BatchEvent::Tick);
    }

    /// Takes the first action that matches, and drops the actions before it.
    fn find<T>(&mut self, mut matching: impl FnMut(&BatchAction) -> Option<T>) -> Option<T> {
        while let Some(action) = self.actions.pop_front() {
            if let Some(found) = matching(&action) {
                return Some(found);
            }
        }
        None
    }

    fn lease(&mut self) -> Option<(u64, u32)> {
        self.find(|action| match action {
            BatchAction::Lease {
                sequence,
                requested,
                ..
            } => Some((*sequence, requested.count)),
            _ => None,
        })
    }

    fn run(&mut self) -> Option<RunOrder> {
        self.find(|action| match action {
            BatchAction::Run(order) => Some(order.clone()),
            _ => None,
        })
    }

    fn stops(&mut self) -> usize {
        let stop = |action: &&BatchAction| matches!(action, BatchAction::Stop { .. });
        let count = self.actions.iter().filter(stop).count();
        self.actions.clear();
        count
    }

    fn start_record(&mut self) -> Option<u64> {
        self.find(|action| match action {
            BatchAction::MarkStarted { number, .. } => Some(*number),
            _ => None,
        })
    }

    /// The next commit: its number, and the error code of each result.
    fn commit(&mut self) -> Option<(u64, Vec<String>)> {
        self.find(|action| match action {
            BatchAction::Commit {
                number, results, ..
            } => {
                let outcomes = results.iter().flat_map(|job| &job.outcomes);
                let codes = outcomes.map(|(_, outcome)| outcome.error_code.clone());
                Some((*number, codes.collect()))
            }
            _ => None,
        })
    }

    fn released(&mut self) -> Option<usize> {
        self.find(|action| match action {
            BatchAction::Release { keys, .. } => Some(keys.len()),
            _ => None,
        })
    }

    fn end_run(&mut self, order: &RunOrder, end: RunEnd) {
        self.handle(BatchEvent::RunEnded {
            run: order.run,
            end,
        });
    }
}

#[test]
fn a_commit_is_repeated_until_it_is_answered() {
    let mut fixture = Fixture::with_items(1, false);
    let order = fixture.run().expect("it runs");
    fixture.end_run(&order, answered());
    fixture.advance(100);
    let (number, codes) = fixture.commit().expect("a commit");
    assert_eq!(codes, [""]);
    for _ in 0..3 {
        fixture.handle(BatchEvent::Committed {
            number,
            answer: CallAnswer::Unknown,
        });
        assert_eq!(fixture.commit(), None, "no commit before the wait is over");
        fixture.advance(LONG_MS);
        assert_eq!(fixture.commit(), Some((number, codes.clone())));
    }
    // The result is committed even after the session is lost.
    fixture.handle(BatchEvent::Session(None));
    assert_eq!(fixture.executor.uncommitted_results(), 1);
    fixture.handle(BatchEvent::Committed {
        number,
        answer: CallAnswer::Done(()),
    });
    assert!(fixture.executor.is_idle());
}

#[rstest]
#[case::lost(BatchEvent::Session(None))]
#[case::another(BatchEvent::Session(session(2)))]
#[case::over(BatchEvent::Tick)]
fn a_session_that_ended_stops_everything_that_ran_under_it(#[case] end: BatchEvent) {
    let mut fixture = Fixture::with_items(2, false);
    let order = fixture.run().expect("it runs");
    if end == BatchEvent::Tick {
        fixture.now = FAR_DEADLINE.0;
    }
    fixture.actions.clear();
    fixture.handle(end);
    assert_eq!(fixture.stops(), 2);
    assert_eq!(fixture.executor.leased_items(), 0);
    fixture.end_run(&order, answered());
    fixture.advance(LONG_MS);
    assert_eq!(
        fixture.commit(),
        None,
        "the item may be leased by another gateway"
    );
}

#[rstest]
#[case::stopped(RunEnd::Stopped { generated: generated(2) }, "cancelled")]
#[case::answered_meanwhile(answered(), "")]
#[case::failed_meanwhile(failed(Interrupted), "cancelled")]
fn a_cancelled_job_stops_at_once(#[case] end: RunEnd, #[case] error_code: &str) {
    let mut fixture = Fixture::with_items(1, false);
    let order = fixture.run().expect("it runs");
    fixture.handle(BatchEvent::JobsCancelled(vec![JobId::from("batch_1")]));
    assert_eq!(fixture.stops(), 1);
    fixture.end_run(&order, end);
    fixture.advance(LONG_MS);
    // The ledger drops the result and counts the item as returned.
    let (_, codes) = fixture.commit().expect("the item is returned");
    assert_eq!(codes, [error_code]);
    assert_eq!(fixture.run(), None);
}

#[test]
fn a_preempted_item_resumes_elsewhere_with_its_tokens() {
    let mut fixture = Fixture::with_items(2, false);
    let first = fixture.run().expect("it runs");
    let second = fixture.run().expect("it runs");
    fixture.handle(BatchEvent::Capacity(vec![
        capacity("a", 1),
        capacity("b", 1),
    ]));
    assert_eq!(fixture.stops(), 1, "the newer run is preempted");
    fixture.end_run(
        &second,
        RunEnd::Stopped {
            generated: generated(5),
        },
    );
    let resumed = fixture.run().expect("the item resumes");
    assert_eq!(
        (resumed.replica.as_str(), &resumed.generated, &resumed.item),
        ("b", &generated(5), &second.item)
    );
    fixture.handle(BatchEvent::Capacity(vec![capacity("b", 1)]));
    assert_eq!(
        fixture.stops(),
        1,
        "the older run is stopped when its grant ends"
    );
    fixture.end_run(
        &first,
        RunEnd::Stopped {
            generated: generated(1),
        },
    );
    assert_eq!(fixture.run(), None);
    fixture.advance(LONG_MS);
    assert_eq!(
        fixture.released(),
        Some(1),
        "the item is released after the longest wait"
    );
    // An unanswered release is repeated: otherwise the item would stay leased with the session.
    fixture.handle(BatchEvent::Released {
        number: 1,
        answer: CallAnswer::Unknown,
    });
    fixture.advance(LONG_MS);
    assert_eq!(fixture.released(), Some(1), "the release is repeated");
    fixture.handle(BatchEvent::Released {
        number: 1,
        answer: CallAnswer::Done(()),
    });
    fixture.advance(LONG_MS);
    assert_eq!(fixture.released(), None);
}

#[rstest]
#[case::engine_died(false, vec![failed(Interrupted), answered()], "")]
// Guards against an owed item that is given up because engines died under it.
#[case::engine_died_more_often_than_may_fail(false, vec![failed(Interrupted), failed(Interrupted), failed(Interrupted), answered()], "")]
#[case::engine_failed_it_every_time(false, vec![failed(Answered), failed(Answered)], "back_end_failed")]
#[case::engine_died_between_failures(false, vec![failed(Answered), failed(Interrupted), failed(Answered)], "back_end_failed")]
#[case::refusals_count_for_nothing(false, vec![failed(NotStarted), failed(NotStarted), failed(NotStarted), answered()], "")]
#[case::at_most_once_answered(true, vec![answered()], "")]
#[case::at_most_once_engine_died(true, vec![failed(Interrupted)], "outcome_unknown")]
#[case::at_most_once_never_sent(true, vec![failed(NotStarted), answered()], "")]
fn an_item_ends_once_whatever_its_runs_do(
    #[case] at_most_once: bool,
    #[case] ends: Vec<RunEnd>,
    #[case] error_code: &str,
) {
    let mut fixture = Fixture::with_items(1, at_most_once);
    for end in ends {
        if at_most_once {
            let number = fixture
                .start_record()
                .expect("each start is recorded first");
            assert_eq!(fixture.run(), None, "nothing is sent before the answer");
            fixture.handle(BatchEvent::Started {
                number,
                answer: recorded(),
            });
        }
        let order = fixture.run().expect("it runs");
        fixture.end_run(&order, end);
        fixture.advance(LONG_MS);
    }
    let (_, codes) = fixture.commit().expect("a result");
    assert_eq!(codes, [error_code]);
    assert_eq!(fixture.executor.leased_items(), 0);
}

#[rstest]
#[case::refused(CallAnswer::Done(vec![StartAnswer::Refused]), 0, Some(1))]
#[case::fenced(CallAnswer::Fenced, 0, None)]
#[case::answer_lost(CallAnswer::Unknown, 1, None)]
#[case::engine_silent(CallAnswer::Done(vec![StartAnswer::NotAsked]), 1, None)]
fn an_at_most_once_item_is_not_sent_without_its_mark(
    #[case] answer: CallAnswer<Vec<StartAnswer>>,
    #[case] leased: usize,
    #[case] released: Option<usize>,
) {
    let mut fixture = Fixture::with_items(1, true);
    let number = fixture.start_record().expect("the start is recorded first");
    fixture.handle(BatchEvent::Started { number, answer });
    let sends = |action: &BatchAction| matches!(action, BatchAction::Run(_));
    assert!(!fixture.actions.iter().any(sends));
    assert_eq!(fixture.executor.leased_items(), leased);
    assert_eq!(fixture.released(), released);
    // The start may have been recorded: the call is repeated, and the item is not released.
    fixture.advance(LONG_MS);
    assert_eq!(fixture.start_record().is_some(), leased == 1);
    assert_eq!(fixture.released(), None);
}

#[test]
fn a_session_that_the_ledger_ended_is_not_used_again() {
    let mut fixture = Fixture::with_items(1, true);
    let number = fixture.start_record().expect("the start is recorded first");
    fixture.handle(BatchEvent::Started {
        number,
        answer: CallAnswer::Fenced,
    });
    for (epoch, leases) in [(1, false), (2, true)] {
        fixture.handle(BatchEvent::Session(session(epoch)));
        fixture.handle(BatchEvent::Pending(vec![PendingItems {
            model: "m".into(),
            count: 9,
        }]));
        assert_eq!(fixture.lease().is_some(), leases, "session {epoch}");
    }
}

#[test]
fn a_started_at_most_once_item_is_not_preempted() {
    let mut fixture = Fixture::with_items(1, true);
    let number = fixture.start_record().expect("the start is recorded first");
    fixture.handle(BatchEvent::Started {
        number,
        answer: recorded(),
    });
    fixture.handle(BatchEvent::Capacity(Vec::new()));
    assert_eq!(fixture.stops(), 0);
    fixture.handle(BatchEvent::Session(None));
    assert_eq!(
        fixture.stops(),
        1,
        "the run stops with the end of its session"
    );
}

#[test]
fn an_unanswered_lease_call_is_repeated_with_its_number() {
    let mut fixture = Fixture::with_items(1, false);
    let order = fixture.run().expect("it runs");
    fixture.handle(BatchEvent::Pending(vec![PendingItems {
        model: "m".into(),
        count: 9,
    }]));
    let (sequence, requested) = fixture.lease().expect("a lease call for the free sequence");
    assert_eq!(requested, 1);
    fixture.handle(BatchEvent::Leased {
        sequence,
        answer: CallAnswer::Unknown,
    });
    assert_eq!(fixture.lease(), None);
    fixture.advance(LONG_MS);
    assert_eq!(fixture.lease(), Some((sequence, 1)));
    // Drain: nothing more is leased, and running items finish.
    fixture.handle(BatchEvent::Drain);
    fixture.handle(BatchEvent::Leased {
        sequence,
        answer: CallAnswer::Done(vec![item(5, false)]),
    });
    let late = fixture
        .run()
        .expect("an item leased during the drain runs while capacity is free");
    fixture.handle(BatchEvent::Capacity(Vec::new()));
    fixture.end_run(
        &late,
        RunEnd::Stopped {
            generated: generated(1),
        },
    );
    assert_eq!(
        fixture.released(),
        Some(1),
        "an item that does not run is released"
    );
    fixture.end_run(&order, answered());
    fixture.advance(LONG_MS);
    let (number, _) = fixture.commit().expect("a result");
    assert!(!fixture.executor.is_idle());
    fixture.handle(BatchEvent::Committed {
        number,
        answer: CallAnswer::Done(()),
    });
    assert!(fixture.executor.is_idle());
    assert_eq!(fixture.lease(), None);
}
