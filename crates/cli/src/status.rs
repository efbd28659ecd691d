//! `status`: prints an overview of the fleet.

mod table;

use crate::{
    exit::{CommandError, ExitStatus},
    operator::{OperatorClient, Status},
    options::StatusOptions,
};
use table::Table;

/// Prints the status of the fleet.
pub(crate) async fn run(options: &StatusOptions) -> Result<ExitStatus, CommandError> {
    let status = OperatorClient::new(&options.operator_options)?
        .status()
        .await?;
    if options.json {
        let json = serde_json::to_string_pretty(&status)
            .map_err(|error| CommandError::failed(error.to_string()))?;
        println!("{json}");
    } else {
        print!("{}", render(&status));
    }
    Ok(ExitStatus::Done)
}

fn render(status: &Status) -> String {
    let evacuated = match status.evacuated_zones.as_slice() {
        [] => String::new(),
        zones => format!("evacuated zones: {}\n", zones.join(", ")),
    };
    let summary = format!(
        "revision {}; in force: lowest {}, highest {}\nbatch: {} open jobs, {} items pending, {} leased\n",
        status.revision,
        status.lowest_in_force,
        status.highest_in_force,
        status.open_jobs,
        status.pending_items,
        status.leased_items
    );
    let sections = [
        ("control members", members(status)),
        ("gateways", gateways(status)),
        ("replicas", replicas(status)),
    ];
    let sections = sections.map(|(title, table)| format!("\n{title}\n{table}"));
    summary + &evacuated + &sections.concat()
}

fn members(status: &Status) -> Table {
    let mut table = Table::new(["machine", "disk", "role", "synced to", "silent"]);
    for member in &status.members {
        let role = match (member.leader, member.voter) {
            (true, _) => "leader",
            (false, true) => "voter",
            (false, false) => "learner",
        };
        table.add_row([
            member.machine.to_string(),
            member.disk.clone(),
            role.to_owned(),
            member.matched.to_string(),
            milliseconds(member.silent_ms),
        ]);
    }
    table
}

fn gateways(status: &Status) -> Table {
    let mut table = Table::new(["gateway", "revision", "silent"]);
    for gateway in &status.gateways {
        table.add_row([
            gateway.gateway.clone(),
            gateway.revision.to_string(),
            milliseconds(gateway.silent_ms),
        ]);
    }
    table
}

fn replicas(status: &Status) -> Table {
    let mut table = Table::new(["replica", "zone", "serves", "state"]);
    for replica in &status.replicas {
        table.add_row([
            replica.replica.clone(),
            replica.zone.clone(),
            replica.serves.clone(),
            replica.state.clone(),
        ]);
    }
    table
}

fn milliseconds(value: u64) -> String {
    format!("{value} ms")
}
