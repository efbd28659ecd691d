//! The one-host example: a fleet with one operating system process per member, on free ports.

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Command, ExitStatus},
    time::Instant,
};

use serde_json::Value;
use tempfile::TempDir;
use tokio::task::JoinHandle;

use super::{Answer, Caller, ChildProcess, POLL_INTERVAL, TIMEOUT, ports::Ports, wait_until};

/// Environment variable with the path of `linnethitch` of an earlier build.
const EARLIER_PROGRAM_VARIABLE: &str = "LINNETHITCH_EARLIER_PROGRAM";
/// Environment variable with the names of the processes that run the earlier build, separated by
/// commas.
const EARLIER_PROCESSES_VARIABLE: &str = "LINNETHITCH_EARLIER_PROCESSES";
/// The tenant's key in the example's fleet file.
const TENANT_KEY: &str = "lh-dev-key";
const OPERATOR_KEY: &str = "lh-dev-operator";
const CLUSTER_KEY: &str = "the cluster key of a process test";
const EXAMPLE: &str = "examples/one-host";
const DATA: &str = "one-host-data";
/// Control members of the example.
const MEMBERS: u16 = 5;
/// Machines that the example's platform lists.
const MACHINES: usize = 5;
/// Ports of the example.
const FIRST_GATEWAY_PORT: u16 = 8080;
const FIRST_OPERATOR_PORT: u16 = 8090;
const FIRST_ENGINE_PORT: u16 = 7501;

/// The fleet; dropping it kills its processes and deletes its files.
pub(crate) struct OneHost {
    running: BTreeMap<String, ChildProcess>,
    /// Names of the processes and their commands, as the Procfile has them.
    commands: Vec<(String, Vec<String>)>,
    ports: Ports,
    folder: TempDir,
}

impl OneHost {
    /// Starts every process except the excluded ones, applies the fleet file and waits until it serves.
    pub(crate) async fn start_without(excluded: &[&str]) -> OneHost {
        let mut host = OneHost::prepare();
        for (name, _) in host.commands.clone() {
            if !excluded.contains(&name.as_str()) {
                host.start(&name);
            }
        }
        host.apply_by_command_line();
        host.wait_until_ready().await;
        host
    }

    /// Copies the example with its ports replaced, and writes its keys.
    fn prepare() -> OneHost {
        let folder = TempDir::new().unwrap();
        let copy = folder.path().join(EXAMPLE);
        fs::create_dir_all(&copy).unwrap();
        fs::create_dir(folder.path().join(DATA)).unwrap();
        fs::write(folder.path().join(DATA).join("cluster.key"), CLUSTER_KEY).unwrap();
        fs::write(folder.path().join(DATA).join("operator.key"), OPERATOR_KEY).unwrap();
        let mut ports = Ports::default();
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
        for entry in fs::read_dir(root.join(EXAMPLE)).unwrap() {
            let entry = entry.unwrap();
            let text = fs::read_to_string(entry.path()).unwrap();
            fs::write(copy.join(entry.file_name()), ports.replace_in(&text)).unwrap();
        }
        let procfile = fs::read_to_string(copy.join("Procfile")).unwrap();
        let commands = procfile.lines().map(parse_command).collect();
        OneHost {
            running: BTreeMap::new(),
            commands,
            ports,
            folder,
        }
    }

    /// Applies the fleet file with the command of the example.
    fn apply_by_command_line(&mut self) {
        let mut command = Command::new(program("linnethitch"));
        command
            .current_dir(self.folder.path())
            .args(["apply", "examples/one-host/fleet.toml", "--wait"])
            .args(["--key-file", "one-host-data/operator.key"]);
        for number in 0..2 {
            let operator = self.ports.of(FIRST_OPERATOR_PORT + number).to_string();
            command.args(["--operator", &operator]);
        }
        let output = command.output().unwrap();
        assert!(output.status.success(), "{output:?}");
    }

    /// Starts a process that is not running.
    pub(crate) fn start(&mut self, name: &str) {
        let (_, words) = self
            .commands
            .iter()
            .find(|(known, _)| known == name)
            .unwrap();
        let mut command = Command::new(earlier_program(name).unwrap_or_else(|| program(&words[0])));
        command.args(&words[1..]).current_dir(self.folder.path());
        let process = ChildProcess::spawn(command);
        assert!(self.running.insert(name.to_owned(), process).is_none());
    }

    /// Ends a process by SIGKILL.
    pub(crate) fn kill(&mut self, name: &str) {
        self.running.remove(name).unwrap().kill();
    }

    /// Asks a process to stop by SIGTERM.
    pub(crate) fn terminate(&self, name: &str) {
        self.running[name].terminate();
    }

    /// Waits until a process has exited that was asked to stop.
    pub(crate) fn wait(&mut self, name: &str) -> ExitStatus {
        self.running.remove(name).unwrap().wait()
    }

    /// Stops every process of linnethitch as planned, gateways first, and starts them again.
    pub(crate) async fn restart(&mut self) {
        let mut stopped = Vec::new();
        for role in ["gateway", "control"] {
            let names = self.running.keys().filter(|name| name.starts_with(role));
            let names: Vec<String> = names.cloned().collect();
            for name in &names {
                self.terminate(name);
            }
            for name in &names {
                assert_eq!(self.wait(name).code(), Some(0), "{name}");
            }
            stopped.extend(names);
        }
        for name in stopped {
            self.start(&name);
        }
    }

    /// Deletes everything that a process has stored.
    pub(crate) fn wipe(&self, name: &str) {
        fs::remove_dir_all(self.folder.path().join(DATA).join(name)).unwrap();
    }

    /// The fleet file of the example.
    pub(crate) fn fleet_text(&self) -> String {
        fs::read_to_string(self.folder.path().join(EXAMPLE).join("fleet.toml")).unwrap()
    }

    /// A caller of a gateway, numbered from 1.
    pub(crate) fn gateway(&mut self, number: u16) -> Caller {
        let address = self.ports.of(FIRST_GATEWAY_PORT + number - 1);
        Caller::new(address, TENANT_KEY)
    }

    /// A caller of an engine, numbered from 1.
    pub(crate) fn engine(&mut self, number: u16) -> Caller {
        Caller::new(self.ports.of(FIRST_ENGINE_PORT + number - 1), "")
    }

    fn operator(&mut self, number: u16) -> Caller {
        let address = self.ports.of(FIRST_OPERATOR_PORT + number - 1);
        Caller::new(address, OPERATOR_KEY)
    }

    /// The address of a control member's interface for operators, numbered from 1.
    pub(crate) fn operator_address(&mut self, number: u16) -> SocketAddr {
        self.ports.of(FIRST_OPERATOR_PORT + number - 1)
    }

    /// The process id of a running process.
    pub(crate) fn process(&self, name: &str) -> u32 {
        self.running[name].id()
    }

    fn is_running(&self, name: &str) -> bool {
        self.running.contains_key(name)
    }

    /// Sends a change to one member in the background; the task returns the answer, if any.
    pub(crate) fn send_change(
        &mut self,
        member: u16,
        change: &str,
        expected: u64,
        content: &str,
    ) -> JoinHandle<Option<Answer>> {
        let operator = self.operator(member);
        let (change, content) = (change.to_owned(), content.to_owned());
        tokio::spawn(async move {
            let expected = expected.to_string();
            let headers = [
                ("linnethitch-change", change.as_str()),
                ("linnethitch-expected-revision", expected.as_str()),
            ];
            operator
                .try_ask("PUT", "/v1/configuration", &headers, content)
                .await
        })
    }

    /// Sends a change to the members in turn until one gives a final answer.
    pub(crate) async fn apply(&mut self, change: &str, expected: u64, content: &str) -> Answer {
        let mut final_answer = None;
        wait_until("a change has a final answer", async || {
            for member in 1..=MEMBERS {
                let sent = self.send_change(member, change, expected, content);
                let answer = sent.await.unwrap();
                final_answer = answer.filter(|answer| !answer.status.is_server_error());
                if final_answer.is_some() {
                    return true;
                }
            }
            false
        })
        .await;
        final_answer.unwrap()
    }

    /// The fleet status from the first member that answers; null when none does.
    pub(crate) async fn status(&mut self) -> Value {
        for number in 1..=MEMBERS {
            if !self.is_running(&format!("control-{number}")) {
                continue;
            }
            let answer = self.operator(number).try_get("/v1/status").await;
            if let Some(answer) = answer.filter(|answer| answer.status == 200) {
                return answer.json();
            }
        }
        Value::Null
    }

    /// Waits until the status fulfils a condition.
    pub(crate) async fn wait_for_status(
        &mut self,
        what: &str,
        is_expected: impl Fn(&Value) -> bool,
    ) {
        let end = Instant::now() + TIMEOUT;
        loop {
            let status = self.status().await;
            if is_expected(&status) {
                return;
            }
            assert!(
                Instant::now() < end,
                "timed out waiting until: {what}: {status}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits for a leader and returns the name of its process.
    pub(crate) async fn leader(&mut self) -> String {
        let mut leader = None;
        wait_until("a control member leads", async || {
            let status = self.status().await;
            leader = members(&status)
                .iter()
                .find(|member| member["leader"] == true)
                .map(|member| format!("control-{}", member["machine"]));
            leader.is_some()
        })
        .await;
        leader.unwrap()
    }

    /// Waits until all members vote, all replicas are listed and all running gateways are ready.
    pub(crate) async fn wait_until_ready(&mut self) {
        self.wait_for_status("five voters and all replicas", |status| {
            let voters = members(status)
                .iter()
                .filter(|member| member["voter"] == true);
            let replicas = status["replicas"].as_array().map_or(0, Vec::len);
            voters.count() == usize::from(MEMBERS) && replicas == MACHINES
        })
        .await;
        for number in 1..=2 {
            if self.is_running(&format!("gateway-{number}")) {
                let gateway = self.gateway(number);
                gateway.wait_for("/readyz").await;
                gateway.wait_for("/v1/models/quote-writer").await;
            }
        }
    }
}

fn members(status: &Value) -> &[Value] {
    status["members"].as_array().map_or(&[], Vec::as_slice)
}

fn parse_command(line: &str) -> (String, Vec<String>) {
    let (name, command) = line.split_once(": ").unwrap();
    let words = command.split_whitespace().map(str::to_owned);
    (name.to_owned(), words.collect())
}

/// The program of an earlier build, if the environment names one and this process to run it.
fn earlier_program(process: &str) -> Option<PathBuf> {
    let processes = std::env::var(EARLIER_PROCESSES_VARIABLE).ok()?;
    let program = std::env::var(EARLIER_PROGRAM_VARIABLE).ok()?;
    let is_named = processes.split(',').any(|named| named == process);
    is_named.then(|| PathBuf::from(program))
}

/// Path of a program in the same folder as the program under test.
fn program(name: &str) -> PathBuf {
    let lab = Path::new(env!("CARGO_BIN_EXE_linnethitch-lab"));
    let program = lab.with_file_name(name);
    assert!(program.exists(), "`cargo build --workspace` makes {name}");
    program
}
