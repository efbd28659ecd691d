//! One batch job: uploads and creates it, resends the creation, waits for its end and checks each
//! result.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{
    Driver,
    client::{Call, Failed},
    online::{ChatBody, ChatMessage, CompleteAnswer, Expected},
    prompts::user_key,
    tally::{JobResult, Observation},
};

/// Interval at which a job is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Separates the parts of an upload.
const BOUNDARY: &str = "linnethitch-lab-upload";
const MULTIPART: &str = "multipart/form-data; boundary=linnethitch-lab-upload";
const ENDPOINT: &str = "/v1/chat/completions";
/// Maximum attempts of one call about a job; these calls are safe to repeat.
const MAX_ATTEMPTS: u32 = 20;
/// Time between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Contents and timeout of a job.
#[derive(Clone, Copy, Debug)]
pub(super) struct JobPlan {
    pub(super) seed: u64,
    pub(super) number: u32,
    pub(super) items: u32,
    pub(super) timeout: Duration,
}

#[derive(Serialize)]
struct InputLine<'a> {
    custom_id: String,
    method: &'static str,
    url: &'static str,
    body: ChatBody<'a>,
}

#[derive(Serialize)]
struct CreateBody<'a> {
    input_file_id: &'a str,
    endpoint: &'static str,
    completion_window: &'static str,
}

#[derive(Deserialize)]
struct FileObject {
    id: String,
}

#[derive(Deserialize)]
struct JobObject {
    id: String,
    status: String,
    output_file_id: Option<String>,
    error_file_id: Option<String>,
}

impl JobObject {
    fn has_ended(&self) -> bool {
        matches!(
            self.status.as_str(),
            "completed" | "failed" | "expired" | "cancelled"
        )
    }
}

#[derive(Deserialize)]
struct OutputLine {
    custom_id: String,
    response: Option<OutputResponse>,
}

#[derive(Deserialize)]
struct OutputResponse {
    status_code: u16,
    body: serde_json::Value,
}

/// Runs a job to its end and reports the result.
pub(super) async fn run_job(driver: Driver, plan: JobPlan) {
    let mut result = JobResult {
        items: plan.items,
        ..JobResult::default()
    };
    if let Err(failed) = run_steps(&driver, plan, &mut result).await {
        result.failure = failed.code;
    }
    // The receiver is dropped only after all senders.
    let _ = driver.observations.send(Observation::Job(result)).await;
}

async fn run_steps(driver: &Driver, plan: JobPlan, result: &mut JobResult) -> Result<(), Failed> {
    let started = Instant::now();
    let file = upload(driver, plan).await?;
    let key = format!("load-{}-{}-{}", plan.seed, plan.number, file.id);
    let job = create(driver, &file.id, &key).await?;
    result.job.clone_from(&job.id);
    result.accept_seconds = started.elapsed().as_secs_f64();
    let accepted = Instant::now();
    // A caller whose answer was lost sends the creation again.
    let resent = create(driver, &file.id, &key).await?;
    result.created_twice = resent.id != job.id;
    let ended = wait(driver, &job.id, plan.timeout).await?;
    result.run_seconds = accepted.elapsed().as_secs_f64();
    check(driver, plan, &ended, result).await
}

async fn upload(driver: &Driver, plan: JobPlan) -> Result<FileObject, Failed> {
    let body = Bytes::from(multipart(&input_file(driver, plan)));
    let call = || Call::post("/v1/files", body.clone()).with_content_type(MULTIPART);
    fetch_with_retries(driver, call).await
}

async fn create(driver: &Driver, file: &str, key: &str) -> Result<JobObject, Failed> {
    let body = CreateBody {
        input_file_id: file,
        endpoint: ENDPOINT,
        completion_window: "24h",
    };
    let body = Bytes::from(serde_json::to_vec(&body).unwrap_or_default());
    let call = || Call::post("/v1/batches", body.clone()).with_idempotency_key(key.to_owned());
    fetch_with_retries(driver, call).await
}

async fn wait(driver: &Driver, job: &str, timeout: Duration) -> Result<JobObject, Failed> {
    let started = Instant::now();
    loop {
        let call = || Call::get(format!("/v1/batches/{job}"));
        let seen: JobObject = fetch_with_retries(driver, call).await?;
        if seen.has_ended() {
            return Ok(seen);
        }
        if started.elapsed() > timeout {
            return Err(Failed::connection(&format!(
                "still {} after {} s",
                seen.status,
                timeout.as_secs()
            )));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Repeats a call until it succeeds, fails with an error that is not retryable, or has no
/// attempts left.
async fn fetch_with_retries<T: for<'a> Deserialize<'a>>(
    driver: &Driver,
    call: impl Fn() -> Call,
) -> Result<T, Failed> {
    let mut attempt = 1;
    loop {
        match driver.client.fetch_json(call()).await {
            Ok(answer) => return Ok(answer),
            Err(failed) if attempt >= MAX_ATTEMPTS || is_final(&failed) => return Err(failed),
            Err(_) => attempt += 1,
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Whether the error is not retryable according to the error table.
fn is_final(failed: &Failed) -> bool {
    linnethitch_errors::ErrorKind::from_code(&failed.code)
        .is_some_and(|kind| !kind.answer().retryable)
}

fn item_prompt(plan: JobPlan, item: u32) -> String {
    format!(
        "Price lane {item} of bundle {} in series {}.",
        plan.number, plan.seed
    )
}

fn item_id(item: u32) -> String {
    format!("item-{item}")
}

fn input_file(driver: &Driver, plan: JobPlan) -> Vec<u8> {
    let mut lines = Vec::new();
    for item in 0..plan.items {
        let prompt = item_prompt(plan, item);
        let line = InputLine {
            custom_id: item_id(item),
            method: "POST",
            url: ENDPOINT,
            body: ChatBody {
                model: &driver.model,
                messages: [ChatMessage {
                    role: "user",
                    content: &prompt,
                }],
                max_tokens: driver.max_tokens,
                stream: false,
            },
        };
        // Writing to a vector cannot fail.
        let _ = serde_json::to_writer(&mut lines, &line);
        lines.push(b'\n');
    }
    lines
}

fn multipart(content: &[u8]) -> Vec<u8> {
    let mut body = format!(
        "--{BOUNDARY}\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
         --{BOUNDARY}\r\nContent-Disposition: form-data; name=\"file\"; filename=\"load.jsonl\"\r\n\
         Content-Type: application/jsonl\r\n\r\n"
    )
    .into_bytes();
    body.extend_from_slice(content);
    body.extend_from_slice(format!("\r\n--{BOUNDARY}--\r\n").as_bytes());
    body
}

async fn check(
    driver: &Driver,
    plan: JobPlan,
    job: &JobObject,
    result: &mut JobResult,
) -> Result<(), Failed> {
    let mut seen: BTreeMap<String, u32> = BTreeMap::new();
    if let Some(file) = &job.output_file_id {
        for line in read_lines(driver, file).await? {
            *seen.entry(line.custom_id.clone()).or_default() += 1;
            count_output(driver, plan, &line, result);
        }
    }
    if let Some(file) = &job.error_file_id {
        for line in read_lines(driver, file).await? {
            *seen.entry(line.custom_id).or_default() += 1;
            result.failed += 1;
        }
    }
    for item in 0..plan.items {
        match seen.get(&item_id(item)).copied().unwrap_or(0) {
            0 => result.missing += 1,
            times => result.repeated += times - 1,
        }
    }
    Ok(())
}

fn count_output(driver: &Driver, plan: JobPlan, line: &OutputLine, result: &mut JobResult) {
    let number = line.custom_id.strip_prefix("item-");
    let item = number.and_then(|number| number.parse().ok());
    let correct = item.is_some_and(|item| is_correct(driver, plan, item, line.response.as_ref()));
    if correct {
        result.right += 1;
    } else {
        result.wrong += 1;
    }
}

fn is_correct(
    driver: &Driver,
    plan: JobPlan,
    item: u32,
    response: Option<&OutputResponse>,
) -> bool {
    let Some(response) = response.filter(|response| response.status_code == 200) else {
        return false;
    };
    let expected = Expected::new(user_key(&item_prompt(plan, item)), driver.max_tokens);
    serde_json::from_value::<CompleteAnswer>(response.body.clone())
        .is_ok_and(|answer| answer.matches(&expected))
}

async fn read_lines(driver: &Driver, file: &str) -> Result<Vec<OutputLine>, Failed> {
    let call = Call::get(format!("/v1/files/{file}/content"));
    let bytes = driver.client.fetch(call).await?;
    bytes
        .split(|byte| *byte == b'\n')
        .filter(|line| !line.is_empty())
        .map(|line| {
            serde_json::from_slice(line).map_err(|_| Failed::connection("output_not_understood"))
        })
        .collect()
}
