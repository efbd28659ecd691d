//! Tests of the platform core in virtual time.

use linnethitch_emulator::{
    Time,
    platform::{PlatformCore, PlatformModel},
};
use linnethitch_protocol::{
    fleet::{BackEndKind, Machine, MachineState},
    ids::{ReplicaId, ZoneId},
};

fn machine(name: &str) -> Machine {
    Machine {
        replica: ReplicaId::from(name),
        kind: BackEndKind::Engine,
        zone: ZoneId::from("ulsan"),
        address: "127.0.0.1:1".to_owned(),
        state: MachineState::Live,
    }
}

fn names(machines: &[Machine]) -> Vec<&str> {
    machines
        .iter()
        .map(|machine| machine.replica.as_str())
        .collect()
}

#[test]
fn the_list_lags_by_a_fixed_time() {
    let model = PlatformModel::default();
    let lag = model.list_lag_micros;
    let mut platform = PlatformCore::new(model, vec![machine("a")]);
    let first = Time::from_millis(10_000);
    platform.put_machine(first, machine("b"));
    let second = Time::from_millis(10_500);
    assert!(platform.set_state(second, &ReplicaId::from("a"), MachineState::Leaving));
    let third = Time::from_millis(11_000);
    assert!(platform.remove_machine(third, &ReplicaId::from("a")));
    assert!(!platform.remove_machine(third, &ReplicaId::from("a")));
    assert!(!platform.set_state(third, &ReplicaId::from("a"), MachineState::Live));

    assert_eq!(names(platform.current()), vec!["b"]);
    assert_eq!(names(platform.machines(first + (lag - 1))), vec!["a"]);
    assert_eq!(names(platform.machines(first + lag)), vec!["a", "b"]);
    let leaving = platform.machines(second + lag);
    assert_eq!(leaving[0].state, MachineState::Leaving);
    assert_eq!(names(platform.machines(third + lag)), vec!["b"]);
}

#[test]
fn the_weight_store_limits_its_rate() {
    let model = PlatformModel {
        transfer_interval_micros: 100,
        transfer_burst: 3,
        ..PlatformModel::default()
    };
    let mut platform = PlatformCore::new(model, Vec::new());
    let mut started = 0;
    let mut now = Time::from_millis(1_000);
    let end = now + 1_000;
    while now < end {
        match platform.reserve(now) {
            Ok(reservation) => {
                started += 1;
                assert_eq!(reservation.number, started);
            }
            Err(busy) => now = now + busy.retry_after_micros,
        }
    }
    assert_eq!(started, 3 + 9, "the burst, then one per interval");
}
