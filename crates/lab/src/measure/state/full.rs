//! The full state of the plan: its memory, its snapshot, and a restart from it.

use std::{fs::File, io::Write, path::Path, sync::Arc, time::Instant};

use error_stack::{Report, ResultExt};
use linnethitch_errors::ErrorKind;
use linnethitch_ledger::{Ledger, OpenPayloads, SnapshotScope};
use linnethitch_storage::RealFileSystem;
use serde::Serialize;

use super::{
    Arguments,
    commands::{Executor, configure, fleet_file},
    member::{MeasuredMember, open_payloads},
};
use crate::memory::{allocated_bytes, peak_bytes, reset_peak};

/// Changes of one line on top of the first revision.
const CHANGES: u64 = 20;
/// Additional gateways, whose sessions claim the idempotency keys.
const CLAIM_GATEWAYS: u64 = 16;

/// Results for the full state.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Full {
    /// Tenants.
    pub(super) tenants: u64,
    /// Bytes of the fleet file.
    pub(super) fleet_file_bytes: u64,
    /// Seconds to parse and apply a change of one line, on average.
    pub(super) change_seconds: f64,
    /// Seconds of the longest of these changes.
    pub(super) longest_change_seconds: f64,
    /// Idempotency keys, half of them answered.
    pub(super) claims: u64,
    /// Memory of the complete state, in bytes.
    pub(super) memory_bytes: u64,
    /// Bytes of payloads that are live.
    pub(super) payload_bytes: u64,
    /// Seconds for which commands wait when a snapshot begins.
    pub(super) freeze_seconds: f64,
    /// Seconds to write the snapshot, its sync included.
    pub(super) snapshot_seconds: f64,
    /// Bytes of the snapshot, without payloads.
    pub(super) snapshot_bytes: u64,
    /// Peak additional memory while the snapshot was written, in bytes.
    pub(super) snapshot_peak_bytes: u64,
    /// Seconds to restore the state from the snapshot.
    pub(super) restore_seconds: f64,
    /// Peak memory above that of the state while it was restored, in bytes.
    pub(super) restore_peak_bytes: u64,
}

/// Fills the state, writes a snapshot and restores it.
pub(super) fn measure(
    arguments: &Arguments,
    mut member: MeasuredMember,
    folder: &Path,
) -> Result<Full, Report<ErrorKind>> {
    let claims_per_gateway = arguments.claims / CLAIM_GATEWAYS;
    for gateway in 0..CLAIM_GATEWAYS {
        let executor = Executor::open(&mut member, arguments.gateways + gateway)?;
        let first = gateway * claims_per_gateway;
        for number in first..first + claims_per_gateway {
            executor.claim(&mut member, number, number % 2 == 0)?;
        }
    }
    member.sync()?;
    member.take_costs();
    for mark in 1..=CHANGES {
        configure(&mut member, fleet_file(arguments.tenants, mark))?;
    }
    let changes = member.take_costs();
    let payload_bytes = member.ledger.payloads().live_bytes();
    let memory_bytes = allocated_bytes();
    let path = folder.join("snapshot");
    let written = write_snapshot(&mut member.ledger, &path)?;
    let digest = member.ledger.digest();
    drop(member);
    reset_peak();
    let started = Instant::now();
    let file_system = Arc::new(RealFileSystem::new(folder)?);
    let open: OpenPayloads = Box::new(move |mark| Ok(Box::new(open_payloads(file_system, mark)?)));
    let mut file = File::open(&path).change_context(ErrorKind::Io)?;
    let ledger = Ledger::restore(open, &mut file)?;
    let restore_seconds = started.elapsed().as_secs_f64();
    let restore_peak_bytes = peak_bytes().saturating_sub(allocated_bytes());
    if ledger.digest() != digest {
        return Err(Report::new(ErrorKind::Corrupted).attach("the restored state differs"));
    }
    Ok(Full {
        tenants: arguments.tenants,
        fleet_file_bytes: fleet_file(arguments.tenants, 0).len() as u64,
        change_seconds: changes.apply_seconds / CHANGES as f64,
        longest_change_seconds: changes.longest_apply_seconds,
        claims: claims_per_gateway * CLAIM_GATEWAYS,
        memory_bytes,
        payload_bytes,
        freeze_seconds: written.freeze_seconds,
        snapshot_seconds: written.seconds,
        snapshot_bytes: written.bytes,
        snapshot_peak_bytes: written.peak_bytes,
        restore_seconds,
        restore_peak_bytes,
    })
}

struct SnapshotCosts {
    freeze_seconds: f64,
    seconds: f64,
    bytes: u64,
    peak_bytes: u64,
}

fn write_snapshot(ledger: &mut Ledger, path: &Path) -> Result<SnapshotCosts, Report<ErrorKind>> {
    let before = allocated_bytes();
    reset_peak();
    let started = Instant::now();
    let mut writer = ledger.snapshot_writer(SnapshotScope::Local)?;
    let freeze_seconds = started.elapsed().as_secs_f64();
    let mut file = File::create(path).change_context(ErrorKind::Io)?;
    let mut bytes = 0;
    while let Some(chunk) = ledger.next_snapshot_chunk(&mut writer)? {
        file.write_all(&chunk).change_context(ErrorKind::Io)?;
        bytes += chunk.len() as u64;
    }
    file.sync_all().change_context(ErrorKind::Io)?;
    Ok(SnapshotCosts {
        freeze_seconds,
        seconds: started.elapsed().as_secs_f64(),
        bytes,
        peak_bytes: peak_bytes().saturating_sub(before),
    })
}
