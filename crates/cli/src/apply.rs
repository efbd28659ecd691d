//! `apply`: sends one change until its outcome is known.

mod pending_change;

use std::time::{Duration, Instant};

use linnethitch_errors::ErrorKind;

use crate::{
    exit::{CommandError, ExitStatus},
    files::{parse, read_text},
    http_client::ApiError,
    operator::{Change, OperatorClient},
    options::ApplyOptions,
};
use pending_change::{PendingChange, new_change_id};

/// Interval at which the revisions in force are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Applies a fleet file.
pub(crate) async fn run(options: &ApplyOptions) -> Result<ExitStatus, CommandError> {
    let content = read_text(&options.file)?;
    parse(&options.file, &content)?;
    let operator = OperatorClient::new(&options.operator_options)?;
    let limit = Duration::from_secs(options.timeout);
    let started = Instant::now();
    let pending = find_or_create_change(options, &operator, &content, limit).await?;
    let change = Change {
        id: pending.change_id.clone(),
        expected_revision: pending.expected_revision,
        content,
    };
    println!(
        "change {} on revision {}",
        change.id, change.expected_revision
    );
    let answer = operator.retry_for(limit, || operator.apply(&change)).await;
    if is_final(&answer) {
        pending.remove_file()?;
    }
    let accepted = answer?;
    println!("accepted as revision {}", accepted.revision);
    if !options.wait {
        return Ok(ExitStatus::Done);
    }
    wait_until_in_force(&operator, accepted.revision, started + limit).await
}

/// Returns the pending change that an earlier run stored, or stores a new one.
async fn find_or_create_change(
    options: &ApplyOptions,
    operator: &OperatorClient,
    content: &str,
    limit: Duration,
) -> Result<PendingChange, CommandError> {
    let pending = PendingChange::find(&options.file, content)?.filter(|pending| {
        options
            .change_id
            .as_ref()
            .is_none_or(|id| *id == pending.change_id)
            && options
                .expected_revision
                .is_none_or(|revision| revision == pending.expected_revision)
    });
    if let Some(pending) = pending {
        return Ok(pending);
    }
    let expected_revision = match options.expected_revision {
        Some(revision) => revision,
        None => {
            operator
                .retry_for(limit, || operator.configuration())
                .await?
                .revision
        }
    };
    let change_id = match &options.change_id {
        Some(id) => id.clone(),
        None => new_change_id()?,
    };
    PendingChange::store(&options.file, content, change_id, expected_revision)
}

/// Whether the outcome of the change is final.
fn is_final<T>(answer: &Result<T, ApiError>) -> bool {
    match answer {
        Ok(_) => true,
        Err(error) => error.kind.is_some_and(|kind| {
            matches!(
                kind,
                ErrorKind::RevisionConflict
                    | ErrorKind::ChangeConflict
                    | ErrorKind::InvalidConfiguration
            )
        }),
    }
}

async fn wait_until_in_force(
    operator: &OperatorClient,
    revision: u64,
    deadline: Instant,
) -> Result<ExitStatus, CommandError> {
    loop {
        let lowest = match operator.status().await {
            Ok(status) => Some(status.lowest_in_force),
            Err(error) if error.is_retryable() => None,
            Err(error) => return Err(error.into()),
        };
        if lowest.is_some_and(|lowest| lowest >= revision) {
            println!("revision {revision} is in force on every live gateway");
            return Ok(ExitStatus::Done);
        }
        if Instant::now() >= deadline {
            let lowest = lowest.map_or("unknown".to_owned(), |lowest| lowest.to_string());
            let message = format!(
                "revision {revision} is accepted but not yet in force everywhere; lowest revision: {lowest}"
            );
            return Err(CommandError::new(ExitStatus::NotInForce, message));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
