//! `batch`: manages batch jobs over the callers' interface.

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

/// Interval at which `submit --wait` polls the job.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Suffix of the file next to the input file that records its upload.
const UPLOAD_SUFFIX: &str = ".upload";
/// Final states of a job.
const FINAL_STATES: [&str; 4] = ["completed", "failed", "cancelled", "expired"];

/// Runs a batch command.
pub(crate) async fn run(command: &BatchCommand) -> Result<ExitStatus, CommandError> {
    match command {
        BatchCommand::Submit(options) => submit(options).await,
        BatchCommand::Get(options) => {
            let path = format!("/v1/batches/{}", options.job);
            print_answer(&options.caller_options, ApiRequest::get(path)).await
        }
        BatchCommand::List(options) => {
            let after = options.after.as_ref();
            let after = after.map_or_else(String::new, |job| format!("&after={job}"));
            let path = format!("/v1/batches?limit={}{after}", options.limit);
            print_answer(&options.caller_options, ApiRequest::get(path)).await
        }
        BatchCommand::Cancel(options) => {
            let path = format!("/v1/batches/{}/cancel", options.job);
            let request = ApiRequest::json(Method::POST, path, &json!({}));
            print_answer(&options.caller_options, request).await
        }
        BatchCommand::Output(options) => {
            let client = client_for(&options.caller_options)?;
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
    let client = client_for(&options.caller_options)?;
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
    while options.wait && !is_final(&job) {
        tokio::time::sleep(POLL_INTERVAL).await;
        let id = job["id"].as_str().unwrap_or_default();
        job = client
            .fetch(ApiRequest::get(format!("/v1/batches/{id}")))
            .await?;
    }
    print_json(&job)
}

fn is_final(job: &Value) -> bool {
    job["status"]
        .as_str()
        .is_some_and(|status| FINAL_STATES.contains(&status))
}

/// A recorded upload, which is reused when the same submission is sent again.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RecordedUpload {
    idempotency_key: String,
    bytes: u64,
    modified_ms: u128,
    file_id: String,
}

/// Uploads a file, unless it has already been uploaded under this key and has not changed.
///
/// The idempotency key belongs to a job with one input file; a second upload would create
/// another file.
async fn upload_once(client: &ApiClient, path: &Path, key: &str) -> Result<String, CommandError> {
    let file_error = |error| CommandError::refused(format!("{}: {error}", path.display()));
    let metadata = tokio::fs::metadata(path).await.map_err(file_error)?;
    let modified = metadata.modified().map_err(file_error)?;
    let since_epoch = modified.duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut record_path = path.as_os_str().to_owned();
    record_path.push(UPLOAD_SUFFIX);
    let mut record = RecordedUpload {
        idempotency_key: key.to_owned(),
        bytes: metadata.len(),
        modified_ms: since_epoch.as_millis(),
        file_id: String::new(),
    };
    if let Ok(text) = tokio::fs::read(&record_path).await
        && let Ok(earlier) = serde_json::from_slice::<RecordedUpload>(&text)
    {
        record.file_id = earlier.file_id.clone();
        if record == earlier {
            return Ok(record.file_id);
        }
    }
    record.file_id = upload(client, path).await?;
    let text = serde_json::to_vec_pretty(&record)
        .map_err(|error| CommandError::failed(error.to_string()))?;
    tokio::fs::write(&record_path, text)
        .await
        .map_err(file_error)?;
    Ok(record.file_id)
}

/// Uploads a file as a stream, without loading the complete file into memory.
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
        .ok_or_else(|| CommandError::failed("the answer to the upload contains no file id"))
}

async fn download(
    client: &ApiClient,
    file: &str,
    writer: &mut (impl AsyncWrite + Unpin),
) -> Result<(), CommandError> {
    let path = format!("/v1/files/{file}/content");
    let response = client.send(ApiRequest::get(path)).await?;
    let mut frames = BodyStream::new(response.into_body());
    let download_error =
        |error: hyper::Error| CommandError::failed(format!("the download failed: {error}"));
    while let Some(frame) = frames.try_next().await.map_err(download_error)? {
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

async fn print_answer(
    caller: &CallerOptions,
    request: ApiRequest,
) -> Result<ExitStatus, CommandError> {
    let answer: Value = client_for(caller)?.fetch(request).await?;
    print_json(&answer)
}

fn client_for(caller: &CallerOptions) -> Result<ApiClient, CommandError> {
    Ok(ApiClient::new(caller.gateway, read_key(&caller.key_file)?))
}

fn print_json(value: &Value) -> Result<ExitStatus, CommandError> {
    let text = serde_json::to_string_pretty(value)
        .map_err(|error| CommandError::failed(error.to_string()))?;
    println!("{text}");
    Ok(ExitStatus::Done)
}
