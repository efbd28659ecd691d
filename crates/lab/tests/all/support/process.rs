//! Child processes, which are signalled by their own process ids.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, ExitStatus, Stdio},
    sync::mpsc::{self, Receiver},
    time::Instant,
};

use super::{POLL_INTERVAL, TIMEOUT};

/// A running program; killed when dropped.
pub(crate) struct ChildProcess {
    child: Child,
    lines: Receiver<String>,
    seen: Vec<String>,
}

impl ChildProcess {
    /// Starts a program.
    pub(crate) fn spawn(mut command: Command) -> ChildProcess {
        let mut child = command
            // Backtraces load the debug information, which production never does.
            .env_remove("RUST_BACKTRACE")
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("{command:?}: {error}"));
        let output = child.stdout.take().unwrap();
        let (sender, lines) = mpsc::channel();
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if sender.send(line).is_err() {
                    return;
                }
            }
        });
        ChildProcess {
            child,
            lines,
            seen: Vec::new(),
        }
    }

    /// Starts `linnethitch-lab`.
    pub(crate) fn lab(arguments: &[&str]) -> ChildProcess {
        let mut command = Command::new(env!("CARGO_BIN_EXE_linnethitch-lab"));
        command.args(arguments);
        ChildProcess::spawn(command)
    }

    /// The next line of output that contains `text`.
    pub(crate) fn line_with(&mut self, text: &str) -> String {
        let end = Instant::now() + TIMEOUT;
        loop {
            let remaining = end.saturating_duration_since(Instant::now());
            match self.lines.recv_timeout(remaining) {
                Ok(line) => {
                    self.seen.push(line.clone());
                    if line.contains(text) {
                        return line;
                    }
                }
                Err(_) => panic!("no line with `{text}` in:\n{}", self.seen.join("\n")),
            }
        }
    }

    /// The output up to a line that equals `text`.
    pub(crate) fn lines_until(&mut self, text: &str) -> String {
        let from = self.seen.len();
        while self.line_with(text) != text {}
        self.seen[from..self.seen.len() - 1].join("\n")
    }

    /// The address at the end of the next line that contains `text`.
    pub(crate) fn address_after(&mut self, text: &str) -> SocketAddr {
        let line = self.line_with(text);
        let word = line.rsplit(' ').next().unwrap();
        word.parse()
            .unwrap_or_else(|_| panic!("no address in `{line}`"))
    }

    /// The process id.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process with SIGKILL.
    pub(crate) fn kill(mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Asks the process to stop with SIGTERM.
    pub(crate) fn terminate(&self) {
        let process = self.child.id().to_string();
        let status = Command::new("kill").args(["-TERM", &process]).status();
        assert!(status.unwrap().success());
    }

    /// Waits until the process exits.
    pub(crate) fn wait(&mut self) -> ExitStatus {
        let end = Instant::now() + 4 * TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < end, "the process does not end");
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// All output that has not been read, up to the end of the process.
    pub(crate) fn remaining_output(&mut self) -> String {
        let lines: Vec<String> = self.lines.iter().collect();
        lines.join("\n")
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // The process may already have exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
