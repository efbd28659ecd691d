//! Clients and the operator.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Answer},
    record::Record,
    replica::whole_text,
};

pub const HOST: &str = "desk.example";

/// Repeats a configuration at the nodes in turn until one takes it.
pub fn put_config(record: &Record, nodes: &[SocketAddr], document: &str, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    let head = [("Content-Type", "application/json")];
    for node in nodes.iter().cycle() {
        if Instant::now() > until {
            return false;
        }
        let answer = http::call(
            *node,
            "PUT",
            "/config",
            &head,
            document.as_bytes(),
            Duration::from_secs(1),
        );
        let status = answer.map_or(0, |answer| answer.status);
        if status == 200 {
            record.line(&format!("operator: configuration taken by {node}"));
            return true;
        }
        if status == 400 {
            record.line("operator: configuration refused with 400");
            return false;
        }
        thread::sleep(Duration::from_millis(200));
    }
    false
}

pub struct Request<'a> {
    pub path: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    pub extra: &'a [(&'a str, &'a str)],
    /// Tokens of the answer at most.
    pub most_out: u32,
}

/// What a usual request asks for.
pub const USUAL_OUT: u32 = 80;

/// A streaming request with a prompt of one shared part and one of its own.
pub fn stream(front: SocketAddr, request: &Request<'_>) -> Option<Answer> {
    let deadline = request.deadline_ms.to_string();
    let usage = format!("715,{}", request.most_out);
    let parts = format!("5c1e07a2:172,{}:543", &request.id[..8]);
    let mut head = vec![
        ("Host", HOST),
        ("X-Request-Id", request.id),
        ("X-Model", "m"),
        ("X-Token-Usage", &usage),
        ("X-Prefix-Hash", &parts),
        ("X-Deadline-Ms", &deadline),
    ];
    head.extend_from_slice(request.extra);
    let limit = Duration::from_millis(request.deadline_ms + 500);
    http::call(front, "POST", request.path, &head, b"{\"q\":1}", limit)
}

/// Whether a stream was served completely.
pub fn is_served(answer: Option<&Answer>, id: &str, events: u32) -> bool {
    let Some(answer) = answer.filter(|answer| answer.status == 200 && answer.whole) else {
        return false;
    };
    data_of(&answer.text()) == whole_text(id, events)
}

pub fn data_of(text: &str) -> String {
    let lines = text.lines().filter_map(|line| line.strip_prefix("data: "));
    lines.collect::<Vec<&str>>().join("\n")
}

pub fn status(answer: Option<&Answer>) -> u16 {
    answer.map_or(0, |answer| answer.status)
}

pub fn hex(number: u64) -> String {
    let mixed = number
        .wrapping_add(1)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
        .rotate_left(17);
    format!("{mixed:016x}")
}

/// A batch job of some items under `/lanes/`.
pub fn job_document(items: &[String]) -> String {
    let items: Vec<String> = items
        .iter()
        .map(|id| {
            format!(
                r#"{{"id":"{id}","path":"/lanes/3/91c4","headers":{{"X-Model":"m","X-Token-Usage":"540,400","X-Prefix-Hash":"9c2e41:300,{}:240"}},"body":"q83vEjRWeJA=","tokens":940}}"#,
                &id[..8]
            )
        })
        .collect();
    format!(r#"{{"items":[{}]}}"#, items.join(","))
}

/// Submits a job until it is taken; the same job is sent again to the next node.
pub fn submit(record: &Record, fronts: &[SocketAddr], id: &str, document: &str) -> bool {
    for attempt in 0..12 {
        let front = fronts[attempt % fronts.len()];
        let head = [
            ("Host", HOST),
            ("X-Request-Id", id),
            ("Content-Type", "application/json"),
        ];
        let answer = http::call(
            front,
            "POST",
            "/lanes/7c41e0",
            &head,
            document.as_bytes(),
            Duration::from_secs(4),
        );
        let status = status(answer.as_ref());
        record.line(&format!("client: job {id} at {front}: {status}"));
        if status == 202 {
            return true;
        }
        thread::sleep(Duration::from_millis(400));
    }
    false
}

/// Reads a job's listing from the start; `None` without a clear answer.
pub fn listing(front: SocketAddr, job: &str) -> Option<Answer> {
    let path = format!("/lots/{job}?since_rev=0");
    http::call(
        front,
        "GET",
        &path,
        &[("Host", HOST)],
        b"",
        Duration::from_secs(3),
    )
}

/// The number of results in a listing by state: succeeded, dead letter.
pub fn counts(text: &str) -> (usize, usize) {
    (
        text.matches(r#""state":"succeeded""#).count(),
        text.matches(r#""state":"dead_letter""#).count(),
    )
}
