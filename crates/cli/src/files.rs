//! `validate` and `diff`.

use std::{fs, path::Path};

use linnethitch_config::fleet::{Fleet, FleetError};

use crate::{
    exit::{CommandError, ExitStatus},
    operator::OperatorClient,
    options::{DiffOptions, ValidateOptions},
};

/// Checks a fleet file.
pub(crate) fn validate(options: &ValidateOptions) -> Result<ExitStatus, CommandError> {
    let text = read_text(&options.file)?;
    let fleet = parse(&options.file, &text)?;
    println!(
        "{}: valid; zones {}, models {}, services {}, tenants {}",
        options.file.display(),
        fleet.zones.len(),
        fleet.models.len(),
        fleet.services.len(),
        fleet.tenants.len()
    );
    Ok(ExitStatus::Done)
}

/// Prints the changes that a fleet file would make.
pub(crate) async fn diff(options: &DiffOptions) -> Result<ExitStatus, CommandError> {
    let text = read_text(&options.file)?;
    let new = parse(&options.file, &text)?;
    let current = OperatorClient::new(&options.operator_options)?
        .configuration()
        .await?;
    if current.revision == 0 {
        println!("no configuration is in force yet; the whole file is new");
        return Ok(ExitStatus::Done);
    }
    let old = Fleet::parse(&current.content)
        .map_err(|error| CommandError::failed(format!("the configuration in force: {error}")))?;
    let changes = old.diff(&new);
    println!("against revision {}:", current.revision);
    for change in &changes {
        println!("  {change}");
    }
    if changes.is_empty() {
        println!("  no change");
    }
    Ok(ExitStatus::Done)
}

/// Reads a text file given on the command line.
pub(crate) fn read_text(file: &Path) -> Result<String, CommandError> {
    fs::read_to_string(file)
        .map_err(|error| CommandError::refused(format!("{}: {error}", file.display())))
}

/// Parses a fleet file; the error message has one line for each fault.
pub(crate) fn parse(file: &Path, text: &str) -> Result<Fleet, CommandError> {
    let lines = |errors: Vec<FleetError>| {
        errors
            .iter()
            .map(|error| format!("{}: {error}", file.display()))
            .collect::<Vec<_>>()
            .join("\n")
    };
    Fleet::parse_reporting_all(text).map_err(|errors| CommandError::refused(lines(errors)))
}
