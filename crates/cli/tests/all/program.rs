//! Runs the program and captures its output.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Command,
};

use tempfile::TempDir;

/// Exit status and output of a finished run.
#[derive(Debug)]
pub(crate) struct Finished {
    pub(crate) status: i32,
    pub(crate) output: String,
    pub(crate) errors: String,
}

/// Runs `linnethitch` with arguments.
pub(crate) fn run(arguments: &[&str]) -> Finished {
    let output = Command::new(env!("CARGO_BIN_EXE_linnethitch"))
        .args(arguments)
        .output()
        .unwrap();
    Finished {
        status: output.status.code().unwrap_or(-1),
        output: String::from_utf8(output.stdout).unwrap(),
        errors: String::from_utf8(output.stderr).unwrap(),
    }
}

/// A folder with a fleet file and a key file.
pub(crate) struct Workplace {
    folder: TempDir,
}

impl Workplace {
    pub(crate) fn new() -> Self {
        let folder = tempfile::tempdir().unwrap();
        fs::write(folder.path().join("operator.key"), "lh-operator-key\n").unwrap();
        let example = repository().join("examples/granite-lane.toml");
        fs::copy(example, folder.path().join("fleet.toml")).unwrap();
        Workplace { folder }
    }

    pub(crate) fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    pub(crate) fn path_text(&self, name: &str) -> String {
        self.path(name).display().to_string()
    }

    /// Runs an operator command against the given addresses.
    pub(crate) fn operate(
        &self,
        command: &str,
        addresses: &[SocketAddr],
        more: &[&str],
    ) -> Finished {
        let mut arguments = vec![command.to_owned()];
        for address in addresses {
            arguments.extend(["--operator".to_owned(), address.to_string()]);
        }
        arguments.extend(["--key-file".to_owned(), self.path_text("operator.key")]);
        arguments.extend(more.iter().map(|argument| (*argument).to_owned()));
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        run(&arguments)
    }
}

/// The root of the repository.
pub(crate) fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}
