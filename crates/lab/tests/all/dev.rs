//! `dev` as a process: it serves, answers errors by the table, stops cleanly.

use http::StatusCode;
use linnethitch_emulator::answer::{PromptKey, chat_prompt};
use linnethitch_errors::ErrorKind;
use rstest::rstest;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::support::{Answer, Caller, ChildProcess};

const CHAT: &str = "/v1/chat/completions";
const KEY: &str = "lh-dev-key";

/// A running `dev`; its folder lives as long.
struct Dev {
    process: ChildProcess,
    caller: Caller,
    model: &'static str,
    _folder: TempDir,
}

async fn dev(deployment: &'static str) -> Dev {
    let folder = TempDir::new().unwrap();
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
    ]);
    let address = process.address_after("gateway gateway-");
    process.line_with("ready");
    let caller = Caller::new(address, KEY);
    caller.wait_for("/readyz").await;
    Dev {
        process,
        caller,
        model: match deployment {
            "hanbit" => "gate-writer",
            _ => "quote-writer",
        },
        _folder: folder,
    }
}

#[rstest]
#[case::granite_lane("granite-lane")]
#[case::hanbit("hanbit")]
#[tokio::test]
async fn an_answer_is_whole_and_the_stop_is_clean(#[case] deployment: &'static str) {
    let mut dev = dev(deployment).await;
    let models = dev.caller.get("/v1/models").await.json();
    assert_eq!(models["data"][0]["id"], dev.model);
    let body = json!({"model": dev.model, "messages": [{"role": "user", "content": "hello"}]});
    let answer = dev.caller.post(CHAT, &body).await;
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
    let key = PromptKey::of(&chat_prompt([("user", "hello")]));
    let message = &answer.json()["choices"][0]["message"]["content"];
    assert_eq!(*message, key.text(key.natural_length()));
    dev.process.terminate();
    assert_eq!(dev.process.wait().code(), Some(0));
    assert!(dev.process.rest_of_output().ends_with("stopped"));
}

/// A request that must be refused, and how.
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
async fn errors_are_answered_by_the_table() {
    let dev = dev("granite-lane").await;
    let mut wrong = Vec::new();
    for refused in refused_requests(dev.model) {
        let caller = Caller::new(dev.caller.address(), refused.key);
        let body = refused.body.clone();
        let answer = caller
            .ask(refused.method, refused.path, refused.headers, body)
            .await;
        wrong.extend(differences(&refused, &answer));
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}
