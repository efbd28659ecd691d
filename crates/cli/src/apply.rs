//! `apply`: one change, sent until its outcome is known.

mod kept_change;

use std::time::{Duration, Instant};

use linnethitch_errors::ErrorKind;

use crate::{
    exit::{CommandError, ExitStatus},
    files::{parse, read_text},
    http_client::ApiError,
    operator::{Change, OperatorClient},
    options::ApplyOptions,
};
use kept_change::{KeptChange, new_change_id};

/// Pause between two looks at the revisions in force.
const WAIT_PAUSE: Duration = Duration::from_millis(100);

/// Applies a fleet file.
pub(crate) async fn run(options: &ApplyOptions) -> Result<ExitStatus, CommandError> {
    let content = read_text(&options.file)?;
    parse(&options.file, &content)?;
    let operator = OperatorClient::new(&options.operator_options)?;
    let limit = Duration::from_secs(options.timeout);
    let started = Instant::now();
    let kept = keep_change(options, &operator, &content, limit).await?;
    let change = Change {
        id: kept.change_id.clone(),
        expected_revision: kept.expected_revision,
        content,
    };
    println!(
        "change {} on revision {}",
        change.id, change.expected_revision
    );
    let answer = operator.retrying(limit, || operator.apply(&change)).await;
    if is_settled(&answer) {
        kept.forget()?;
    }
    let accepted = answer?;
    println!("accepted as revision {}", accepted.revision);
    if !options.wait {
        return Ok(ExitStatus::Done);
    }
    wait_until_in_force(&operator, accepted.revision, started + limit).await
}

/// Finds the change that an earlier run kept, or makes and keeps a new one.
async fn keep_change(
    options: &ApplyOptions,
    operator: &OperatorClient,
    content: &str,
    limit: Duration,
) -> Result<KeptChange, CommandError> {
    let kept = KeptChange::find(&options.file, content)?.filter(|kept| {
        options
            .change_id
            .as_ref()
            .is_none_or(|id| *id == kept.change_id)
            && options
                .expected_revision
                .is_none_or(|revision| revision == kept.expected_revision)
    });
    if let Some(kept) = kept {
        return Ok(kept);
    }
    let expected_revision = match options.expected_revision {
        Some(revision) => revision,
        None => {
            operator
                .retrying(limit, || operator.configuration())
                .await?
                .revision
        }
    };
    let change_id = match &options.change_id {
        Some(id) => id.clone(),
        None => new_change_id()?,
    };
    KeptChange::keep(&options.file, content, change_id, expected_revision)
}

/// Whether the outcome of the change is known for good.
fn is_settled<T>(answer: &Result<T, ApiError>) -> bool {
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
        tokio::time::sleep(WAIT_PAUSE).await;
    }
}
