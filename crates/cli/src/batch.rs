//! `batch`: jobs over the callers' interface.

use std::{
    path::Path,
    time::{Duration, UNIX_EPOCH},
};

use futures_util::TryStreamExt;
use http::Method;
use http_body_util::{BodyExt, BodyStream, StreamBody};
use hyper::body::Frame;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::{
    fs::File,
    io::{AsyncWrite, AsyncWriteExt},
};
use tokio_util::io::ReaderStream;

use crate::{
    exit::{CommandError, ExitStatus},
    http_client::{ApiClient, ApiRequest, read_key},
    options::{BatchCommand, CallerOptions, SubmitOptions},
};

/// Pause between two looks at a job that is waited for.
const WAIT_PAUSE: Duration = Duration::from_millis(500);
/// Ends the name of the file beside the input that keeps its upload.
const UPLOAD_SUFFIX: &str = ".upload";
/// States that a job does not leave.
const LAST_STATES: [&str; 4] = ["completed", "failed", "cancelled", "expired"];

/// Carries a batch command out.
pub(crate) async fn run(command: &BatchCommand) -> Result<ExitStatus, CommandError> {
    match command {
        BatchCommand::Submit(options) => submit(options).await,
        BatchCommand::Get(options) => {
            let path = format!("/v1/batches/{}", options.job);
            show(&options.caller_options, ApiRequest::get(path)).await
        }
        BatchCommand::List(options) => {
            let after = options.after.as_ref();
            let after = after.map_or_else(String::new, |job| format!("&after={job}"));
            let path = format!("/v1/batches?limit={}{after}", options.limit);
            show(&options.caller_options, ApiRequest::get(path)).await
        }
        BatchCommand::Cancel(options) => {
            let path = format!("/v1/batches/{}/cancel", options.job);
            let request = ApiRequest::json(Method::POST, path, &json!({}));
            show(&options.caller_options, request).await
        }
        BatchCommand::Output(options) => {
            let client = client_of(&options.caller_options)?;
            let job: Value = client
                .fetch(ApiRequest::get(format!("/v1/batches/{}", options.job)))
                .await?;
            let field = if options.errors {
                "error_file_id"
            } else {
                "output_file_id"
            };
            let Some(file) = job[field].as_str() else {
                return Err(CommandError::new(
                    ExitStatus::NotFound,
                    format!("the job has no {field} yet"),
                ));
            };
            match &options.output {
                Some(output) => {
                    let file_error =
                        |error| CommandError::failed(format!("{}: {error}", output.display()));
                    let mut writer = File::create(output).await.map_err(file_error)?;
                    download(&client, file, &mut writer).await?;
                    writer.sync_all().await.map_err(file_error)?;
                }
                None => download(&client, file, &mut tokio::io::stdout()).await?,
            }
            Ok(ExitStatus::Done)
        }
    }
}

async fn submit(options: &SubmitOptions) -> Result<ExitStatus, CommandError> {
    let client = client_of(&options.caller_options)?;
    let file = match &options.idempotency_key {
        Some(key) => upload_once(&client, &options.file, key).await?,
        None => upload(&client, &options.file).await?,
    };
    let body = json!({
        "input_file_id": file,
        "endpoint": options.endpoint,
        "completion_window": options.window,
    });
    let mut request = ApiRequest::json(Method::POST, "/v1/batches", &body);
    if let Some(key) = &options.idempotency_key {
        request = request.with_header("idempotency-key", key);
    }
    let mut job: Value = client.fetch(request).await?;
    while options.wait && !is_at_its_end(&job) {
        tokio::time::sleep(WAIT_PAUSE).await;
        let id = job["id"].as_str().unwrap_or_default();
        job = client
            .fetch(ApiRequest::get(format!("/v1/batches/{id}")))
            .await?;
    }
    print_json(&job)
}

fn is_at_its_end(job: &Value) -> bool {
    job["status"]
        .as_str()
        .is_some_and(|status| LAST_STATES.contains(&status))
}

/// An upload that a resend of the same submission uses again.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct KeptUpload {
    idempotency_key: String,
    bytes: u64,
    modified_ms: u128,
    file_id: String,
}

/// Uploads a file, unless it was uploaded under this key and has not changed.
///
/// The key belongs to a job of one input file: a second upload would be another file.
async fn upload_once(client: &ApiClient, path: &Path, key: &str) -> Result<String, CommandError> {
    let file_error = |error| CommandError::refused(format!("{}: {error}", path.display()));
    let metadata = tokio::fs::metadata(path).await.map_err(file_error)?;
    let modified = metadata.modified().map_err(file_error)?;
    let since = modified.duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut memo_path = path.as_os_str().to_owned();
    memo_path.push(UPLOAD_SUFFIX);
    let mut kept = KeptUpload {
        idempotency_key: key.to_owned(),
        bytes: metadata.len(),
        modified_ms: since.as_millis(),
        file_id: String::new(),
    };
    if let Ok(text) = tokio::fs::read(&memo_path).await
        && let Ok(earlier) = serde_json::from_slice::<KeptUpload>(&text)
    {
        kept.file_id = earlier.file_id.clone();
        if kept == earlier {
            return Ok(kept.file_id);
        }
    }
    kept.file_id = upload(client, path).await?;
    let text = serde_json::to_vec_pretty(&kept)
        .map_err(|error| CommandError::failed(error.to_string()))?;
    tokio::fs::write(&memo_path, text)
        .await
        .map_err(file_error)?;
    Ok(kept.file_id)
}

/// Uploads a file as it is read; it is never whole in memory.
async fn upload(client: &ApiClient, path: &Path) -> Result<String, CommandError> {
    let file_error = |error| CommandError::refused(format!("{}: {error}", path.display()));
    let file = File::open(path).await.map_err(file_error)?;
    let bytes = file.metadata().await.map_err(file_error)?.len();
    let frames = ReaderStream::new(file).map_ok(Frame::data);
    let request = ApiRequest {
        method: Method::POST,
        path: "/v1/files?purpose=batch".to_owned(),
        headers: vec![
            ("content-type", "application/jsonl".to_owned()),
            ("content-length", bytes.to_string()),
        ],
        body: StreamBody::new(frames).boxed(),
    };
    let answer: Value = client.fetch(request).await?;
    answer["id"]
        .as_str()
        .map(str::to_owned)
        .ok_or_else(|| CommandError::failed("the upload's answer holds no id"))
}

async fn download(
    client: &ApiClient,
    file: &str,
    writer: &mut (impl AsyncWrite + Unpin),
) -> Result<(), CommandError> {
    let path = format!("/v1/files/{file}/content");
    let response = client.send(ApiRequest::get(path)).await?;
    let mut frames = BodyStream::new(response.into_body());
    let broken = |error: hyper::Error| CommandError::failed(format!("the download broke: {error}"));
    while let Some(frame) = frames.try_next().await.map_err(broken)? {
        if let Ok(data) = frame.into_data() {
            writer
                .write_all(&data)
                .await
                .map_err(|error| CommandError::failed(error.to_string()))?;
        }
    }
    writer
        .flush()
        .await
        .map_err(|error| CommandError::failed(error.to_string()))
}

async fn show(caller: &CallerOptions, request: ApiRequest) -> Result<ExitStatus, CommandError> {
    let answer: Value = client_of(caller)?.fetch(request).await?;
    print_json(&answer)
}

fn client_of(caller: &CallerOptions) -> Result<ApiClient, CommandError> {
    Ok(ApiClient::new(caller.gateway, read_key(&caller.key_file)?))
}

fn print_json(value: &Value) -> Result<ExitStatus, CommandError> {
    let text = serde_json::to_string_pretty(value)
        .map_err(|error| CommandError::failed(error.to_string()))?;
    println!("{text}");
    Ok(ExitStatus::Done)
}
