//! Tests of the application core in virtual time.

use linnethitch_emulator::{
    Time,
    application::{ApplicationCore, ApplicationModel, ApplicationRefusal, CallId},
    engine::Fault,
};
use rstest::rstest;

fn replica(max_running: u32, max_waiting: u32) -> ApplicationCore {
    let model = ApplicationModel {
        max_running,
        max_waiting,
        ..ApplicationModel::default()
    };
    ApplicationCore::new(model, 3)
}

#[test]
fn every_call_ends_once_and_waiting_ones_in_order() {
    let mut replica = replica(1, 100);
    for id in 0..50 {
        replica.submit(Time::ZERO, CallId(id)).unwrap();
    }
    let mut completed = Vec::new();
    replica.advance(Time::from_millis(60_000), &mut completed);
    let ids: Vec<u64> = completed.iter().map(|call| call.id.0).collect();
    assert_eq!(ids, (0..50).collect::<Vec<_>>());
    assert!(completed.is_sorted_by_key(|call| call.at));
    assert_eq!(replica.next_event_at(), None);
}

#[test]
fn a_cancelled_call_frees_its_slot() {
    let mut replica = replica(1, 1);
    replica.submit(Time::ZERO, CallId(1)).unwrap();
    replica.submit(Time::ZERO, CallId(2)).unwrap();
    replica.cancel(CallId(1));
    let mut completed = Vec::new();
    replica.advance(Time::from_millis(60_000), &mut completed);
    let ids: Vec<u64> = completed.iter().map(|call| call.id.0).collect();
    assert_eq!(ids, vec![2]);
}

#[rstest]
#[case::dead(Fault::Die, ApplicationRefusal::Dead)]
#[case::refusing(Fault::Refuse, ApplicationRefusal::Fault)]
fn faults_refuse(#[case] fault: Fault, #[case] refusal: ApplicationRefusal) {
    let mut replica = replica(1, 1);
    replica.inject(Time::ZERO, fault);
    assert_eq!(replica.submit(Time::ZERO, CallId(1)), Err(refusal));
    replica.inject(Time::ZERO, Fault::Recover);
    assert_eq!(replica.submit(Time::ZERO, CallId(1)), Ok(()));
}

#[test]
fn a_full_or_leaving_replica_refuses() {
    let mut replica = replica(1, 0);
    replica.submit(Time::ZERO, CallId(1)).unwrap();
    assert_eq!(
        replica.submit(Time::ZERO, CallId(2)),
        Err(ApplicationRefusal::Full)
    );
    replica.set_leaving(true);
    assert_eq!(
        replica.submit(Time::ZERO, CallId(3)),
        Err(ApplicationRefusal::Leaving)
    );
}

#[test]
fn load_reports_have_a_lag() {
    let mut replica = replica(2, 8);
    let lag = ApplicationModel::default().report_lag_micros;
    let start = Time::from_millis(1_000);
    for id in 0..3 {
        replica.submit(start, CallId(id)).unwrap();
    }
    assert_eq!(replica.load_report(start + (lag - 1)).running_online, 0);
    let report = replica.load_report(start + lag);
    assert_eq!((report.running_online, report.waiting), (2, 1));
    assert_eq!(report.measured_at.0, 1_000);
}
