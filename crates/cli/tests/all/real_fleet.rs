//! The commands against a real control member and a real gateway.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use linnethitch_config::digest::key_sha256;

use crate::program::{Finished, Workplace, run};

const TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const ITEM: &str = r#"{"custom_id":"one","method":"POST","url":"/v1/chat/completions","body":{"model":"quote-writer","messages":[{"role":"user","content":"hello"}]}}"#;

/// A process that is killed when this value is dropped.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        // The process may already have ended.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A control member and a gateway, started from settings files.
struct RealFleet {
    workplace: Workplace,
    operator: SocketAddr,
    gateway: SocketAddr,
    _processes: [Running; 2],
}

impl RealFleet {
    fn start() -> Self {
        let workplace = Workplace::new();
        fs::write(
            workplace.path("cluster.key"),
            "a cluster key of these tests",
        )
        .unwrap();
        fs::write(workplace.path("tenant.key"), "lh-dev-key\n").unwrap();
        let [peer, attach, operator, gateway, unused] = free_addresses();
        let cluster = format!(
            "cluster = \"test\"\ncluster_key_file = \"{}\"\n",
            workplace.path_text("cluster.key")
        );
        let control = format!(
            "machine = 1\nzone = \"worcester\"\nregion = \"new-england\"\npeer_address = \"{peer}\"\n\
             attach_address = \"{attach}\"\noperator_address = \"{operator}\"\nbootstrap = true\n\
             peers = [{{ machine = 1, address = \"{peer}\" }}]\noperator_key_sha256 = \"{}\"\n\
             platform_address = \"{unused}\"\ndata_dir = \"{}\"\n{cluster}",
            key_sha256("lh-operator-key"),
            workplace.path_text("control")
        );
        let caller = format!(
            "gateway_id = \"gateway-1\"\nzone = \"worcester\"\nregion = \"new-england\"\n\
             listen_address = \"{gateway}\"\ncontrol_addresses = [\"{attach}\"]\ndata_dir = \"{}\"\n{cluster}",
            workplace.path_text("gateway")
        );
        let processes = [("control", control), ("gateway", caller)]
            .map(|(role, settings)| start(&workplace, role, &settings));
        RealFleet {
            workplace,
            operator,
            gateway,
            _processes: processes,
        }
    }

    fn operate(&self, command: &str, more: &[&str]) -> Finished {
        self.workplace.operate(command, &[self.operator], more)
    }

    fn batch(&self, command: &str, more: &[&str]) -> Finished {
        let gateway = self.gateway.to_string();
        let key = self.workplace.path_text("tenant.key");
        let mut arguments = vec!["batch", command, "--gateway", &gateway, "--key-file", &key];
        arguments.extend(more);
        run(&arguments)
    }
}

fn start(workplace: &Workplace, role: &str, settings: &str) -> Running {
    let file = workplace.path(&format!("{role}.toml"));
    fs::write(&file, settings).unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_linnethitch"))
        .args([role, "--settings"])
        .arg(file)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn();
    Running(child.unwrap())
}

/// Loopback addresses with ports that were free when this function looked.
fn free_addresses<const COUNT: usize>() -> [SocketAddr; COUNT] {
    let sockets = [(); COUNT].map(|()| TcpListener::bind(("127.0.0.1", 0)).unwrap());
    sockets.map(|socket| socket.local_addr().unwrap())
}

/// Repeats a command until its output contains a text.
fn until(expected: &str, command: impl Fn() -> Finished) -> Finished {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let finished = command();
        if finished.output.contains(expected) {
            return finished;
        }
        assert!(Instant::now() < deadline, "no {expected:?}: {finished:?}");
        thread::sleep(POLL_INTERVAL);
    }
}

#[test]
fn a_fleet_is_applied_shown_and_runs_batch_commands() {
    let fleet = RealFleet::start();
    let file = fleet.workplace.path_text("fleet.toml");
    until("\"revision\"", || fleet.operate("status", &["--json"]));
    until("gateway-1", || fleet.operate("status", &[]));

    let applied = fleet.operate("apply", &[&file, "--wait"]);
    assert_eq!(applied.status, 0, "{applied:?}");
    assert!(applied.output.contains("in force"), "{applied:?}");
    let again = fleet.operate("diff", &[&file]);
    assert_eq!(again.status, 0, "{again:?}");
    assert!(!again.output.contains("quote-writer"), "{again:?}");
    let stale = fleet.operate(
        "apply",
        &[&file, "--change-id", "late", "--expected-revision", "0"],
    );
    assert_eq!(stale.status, 4, "{stale:?}");

    let items = fleet.workplace.path_text("items.jsonl");
    fs::write(&items, format!("{ITEM}\n")).unwrap();
    let submitted = fleet.batch("submit", &[&items, "--idempotency-key", "first"]);
    assert_eq!(submitted.status, 0, "{submitted:?}");
    let job = submitted
        .output
        .split('"')
        .find(|word| word.starts_with("batch_"))
        .unwrap_or_else(|| panic!("no job in {submitted:?}"))
        .to_owned();
    let resent = fleet.batch("submit", &[&items, "--idempotency-key", "first"]);
    assert!(resent.output.contains(&job), "{resent:?}");
    assert!(fleet.batch("list", &[]).output.contains(&job));
    let cancelled = fleet.batch("cancel", &[&job]);
    assert_eq!(cancelled.status, 0, "{cancelled:?}");
    until("\"status\": \"cancelled\"", || fleet.batch("get", &[&job]));
}
