//! `dev` as a process: it serves requests, answers errors according to the error table and stops
//! cleanly.

use std::{path::Path, process::Command};

use http::StatusCode;
use linnethitch_emulator::answer::{PromptKey, chat_prompt};
use linnethitch_errors::ErrorKind;
use rstest::rstest;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::support::{Answer, Caller, ChildProcess};

const CHAT: &str = "/v1/chat/completions";
const KEY: &str = "lh-dev-key";

/// A running `dev`.
struct Dev {
    process: ChildProcess,
    caller: Caller,
    operator: Caller,
    model: &'static str,
    /// The example commands that `dev` prints.
    hints: String,
}

fn dev(deployment: &'static str, folder: &TempDir) -> Dev {
    let data = folder.path().to_str().unwrap().to_owned();
    let mut process = ChildProcess::lab(&[
        "dev",
        "--deployment",
        deployment,
        "--data-dir",
        &data,
        "--speed",
        "10",
        "--gateway-address",
        "127.0.0.1:0",
        "--operator-address",
        "127.0.0.1:0",
    ]);
    let operator = process.address_after("control member 1 listens");
    let address = process.address_after("gateway gateway-");
    process.line_with("# Try:");
    Dev {
        hints: process.lines_until("ready"),
        process,
        caller: Caller::new(address, KEY),
        operator: Caller::new(operator, "lh-dev-operator"),
        model: match deployment {
            "hanbit" => "gate-writer",
            _ => "quote-writer",
        },
    }
}

impl Dev {
    fn stop(&mut self) {
        self.process.terminate();
        assert_eq!(self.process.wait().code(), Some(0));
        assert!(self.process.remaining_output().ends_with("stopped"));
    }

    async fn revision(&self) -> Value {
        self.operator.get("/v1/configuration").await.json()["revision"].clone()
    }
}

/// Runs command lines in a shell that stops at the first failure; returns their output.
fn run_in_shell(script: &str, folder: &TempDir) -> String {
    let programs = Path::new(env!("CARGO_BIN_EXE_linnethitch-lab")).parent();
    let path = std::env::var("PATH").unwrap();
    let output = Command::new("sh")
        .args(["-e", "-c", script])
        .env("PATH", format!("{}:{path}", programs.unwrap().display()))
        .current_dir(folder.path())
        .output()
        .unwrap();
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).unwrap()
}

#[rstest]
#[case::granite_lane("granite-lane")]
#[case::hanbit("hanbit")]
#[tokio::test]
async fn the_printed_commands_work_and_their_results_survive_a_restart(
    #[case] deployment: &'static str,
) {
    let (data, work) = (TempDir::new().unwrap(), TempDir::new().unwrap());
    let mut first = dev(deployment, &data);
    assert_eq!(first.caller.get("/readyz").await.status, StatusCode::OK);
    let models = first.caller.get("/v1/models").await.json();
    assert_eq!(models["data"][0]["id"], first.model);
    let printed = run_in_shell(&first.hints, &work);
    let expected = [
        "data: [DONE]",
        "lane-1",
        "lane-2",
        "lane-3",
        "completed",
        "voter",
    ];
    for part in expected {
        assert!(printed.contains(part), "{part} is not in {printed}");
    }
    let job = std::fs::read_to_string(work.path().join("job.json")).unwrap();
    let job: Value = serde_json::from_str(&job).unwrap();
    let output = job["output_file_id"].as_str().unwrap();
    let results = first
        .caller
        .get(&format!("/v1/files/{output}/content"))
        .await;
    assert_eq!(results.text().lines().count(), 3);
    let revision = first.revision().await;
    first.stop();

    let mut second = dev(deployment, &data);
    assert_eq!(second.revision().await, revision);
    let reread = second
        .caller
        .get(&format!("/v1/files/{output}/content"))
        .await;
    assert_eq!(reread.text(), results.text());
    let body = json!({"model": second.model, "messages": [{"role": "user", "content": "hello"}]});
    let answer = second.caller.post(CHAT, &body).await;
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
    let key = PromptKey::of(&chat_prompt([("user", "hello")]));
    let message = &answer.json()["choices"][0]["message"]["content"];
    assert_eq!(*message, key.text(key.natural_length()));
    second.stop();
}

/// A request that must be refused, and the expected error.
struct Refused {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    key: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: String,
    kind: ErrorKind,
}

impl Refused {
    fn post(name: &'static str, path: &'static str, body: String, kind: ErrorKind) -> Refused {
        Refused {
            name,
            method: "POST",
            path,
            key: KEY,
            headers: &[],
            body,
            kind,
        }
    }
}

fn refused_requests(model: &str) -> Vec<Refused> {
    let chat = |more: Value| {
        let mut body = json!({"model": model, "messages": [{"role": "user", "content": "hello"}]});
        let members = body.as_object_mut().unwrap();
        members.extend(more.as_object().unwrap().clone());
        body.to_string()
    };
    vec![
        Refused::post(
            "no JSON",
            CHAT,
            "{\"model\":".to_owned(),
            ErrorKind::MalformedRequest,
        ),
        Refused::post(
            "no object",
            CHAT,
            "[]".to_owned(),
            ErrorKind::MalformedRequest,
        ),
        Refused::post(
            "no messages",
            CHAT,
            json!({"model": model}).to_string(),
            ErrorKind::InvalidValue,
        ),
        Refused::post(
            "unknown model",
            CHAT,
            chat(json!({"model": "x"})),
            ErrorKind::UnknownModel,
        ),
        Refused::post(
            "bad limit",
            CHAT,
            chat(json!({"max_tokens": -1})),
            ErrorKind::InvalidValue,
        ),
        Refused::post(
            "too long",
            CHAT,
            chat(json!({"messages": [{"role": "user", "content": "word ".repeat(40_000)}]})),
            ErrorKind::ContextTooLong,
        ),
        Refused::post(
            "too large",
            CHAT,
            "x".repeat(5 * 1024 * 1024),
            ErrorKind::BodyTooLarge,
        ),
        Refused {
            key: "no-such-key",
            ..Refused::post("wrong key", CHAT, chat(json!({})), ErrorKind::InvalidKey)
        },
        Refused {
            headers: &[("linnethitch-deadline-ms", "soon")],
            ..Refused::post(
                "bad deadline",
                CHAT,
                chat(json!({})),
                ErrorKind::InvalidValue,
            )
        },
        Refused {
            method: "GET",
            ..Refused::post(
                "unknown model by id",
                "/v1/models/x",
                String::new(),
                ErrorKind::UnknownModel,
            )
        },
        Refused {
            method: "GET",
            ..Refused::post(
                "unknown path",
                "/v1/nothing",
                String::new(),
                ErrorKind::NotFound,
            )
        },
        Refused {
            method: "DELETE",
            ..Refused::post(
                "wrong method",
                CHAT,
                String::new(),
                ErrorKind::MethodNotAllowed,
            )
        },
    ]
}

fn differences(refused: &Refused, answer: &Answer) -> Option<String> {
    let expected = refused.kind.answer();
    let error = &answer.json()["error"];
    let header = answer.headers.get("linnethitch-executed");
    let executed = header.and_then(|value| value.to_str().ok());
    let same = answer.status.as_u16() == expected.status
        && error["code"] == expected.code
        && error["type"] == expected.error_type()
        && error["executed"] == expected.executed.as_str()
        && executed == Some(expected.executed.as_str())
        && error["message"]
            .as_str()
            .is_some_and(|message| !message.is_empty());
    (!same).then(|| {
        format!(
            "{}: expected {} {}, got {} {} with header {executed:?}",
            refused.name,
            expected.status,
            expected.code,
            answer.status,
            answer.text(),
        )
    })
}

#[tokio::test]
async fn errors_are_answered_according_to_the_error_table() {
    let folder = TempDir::new().unwrap();
    let dev = dev("granite-lane", &folder);
    let mut mismatches = Vec::new();
    for refused in refused_requests(dev.model) {
        let caller = Caller::new(dev.caller.address(), refused.key);
        let body = refused.body.clone();
        let answer = caller
            .ask(refused.method, refused.path, refused.headers, body)
            .await;
        mismatches.extend(differences(&refused, &answer));
    }
    assert!(mismatches.is_empty(), "{}", mismatches.join("\n"));
}
