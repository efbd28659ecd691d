//! Jobs, commands and snapshots for tests.

use std::sync::Arc;

use linnethitch_group::{SnapshotSource, StateMachine};
use linnethitch_job_store::{
    AcceptedRoute, ItemOutcome, ItemRef, ItemSpec, JobSpec, JobStore, StoreAnswer, StoreCommand,
};
use linnethitch_protocol::{consensus::SnapshotMeta, ids::LogIndex};
use linnethitch_storage::{SnapshotReader, SnapshotStore, VirtualDisk};

/// Age over which items of test jobs are given up, in milliseconds.
pub(crate) const GIVE_UP_MS: u64 = 30_000;

pub(crate) fn job(id: &str, items: u32) -> JobSpec {
    let items = (0..items).map(|number| ItemSpec {
        id: format!("{id}-item-{number}"),
        path: format!("/lanes/{number}"),
        headers: vec![("x-model".to_owned(), "m".to_owned())],
        body: vec![number as u8; 4],
        tokens: 100,
    });
    JobSpec {
        id: id.to_owned(),
        host: "desk.example".to_owned(),
        path: "/lanes/".to_owned(),
        max_attempts: 3,
        completion_ms: 20_000,
        give_up_ms: GIVE_UP_MS,
        items: items.collect(),
        route: None,
    }
}

/// A job that was accepted on its route under the table of a version.
pub(crate) fn accepted_job(id: &str, table_version: u64, items: u32) -> JobSpec {
    JobSpec {
        route: Some(AcceptedRoute {
            table_version,
            path_prefix: "/lanes/".to_owned(),
        }),
        ..job(id, items)
    }
}

pub(crate) fn item(job: &str, item: u32) -> ItemRef {
    ItemRef {
        job: job.to_owned(),
        item,
    }
}

pub(crate) fn apply(store: &mut JobStore, command: &StoreCommand) -> StoreAnswer {
    let bytes = command.to_stored().expect("a command encodes");
    store.apply(LogIndex(1), &bytes).expect("it applies")
}

pub(crate) fn submit(store: &mut JobStore, job: JobSpec) -> StoreAnswer {
    apply(store, &StoreCommand::Submit(job))
}

/// Advances the age of jobs; ended jobs are retained for two minutes.
pub(crate) fn advance_time(store: &mut JobStore, elapsed_ms: u64) -> StoreAnswer {
    let kept_ms = 120_000;
    apply(
        store,
        &StoreCommand::Pass {
            elapsed_ms,
            kept_ms,
        },
    )
}

pub(crate) fn report(store: &mut JobStore, item: ItemRef, outcome: ItemOutcome) -> StoreAnswer {
    apply(store, &StoreCommand::Report { item, outcome })
}

/// A snapshot store on a virtual disk that retains only the newest snapshot.
pub(crate) fn snapshots() -> SnapshotStore {
    let disk = Arc::new(VirtualDisk::new(1));
    SnapshotStore::open_retaining(disk, 1).expect("it opens")
}

/// Writes a snapshot at a log index and opens it.
pub(crate) fn store_snapshot(
    snapshots: &mut SnapshotStore,
    index: u64,
    source: &mut impl SnapshotSource,
) -> SnapshotReader {
    let meta = SnapshotMeta {
        index: LogIndex(index),
        ..SnapshotMeta::default()
    };
    let mut writer = snapshots.begin(meta).expect("it begins");
    while let Some(piece) = source.next_piece().expect("a piece") {
        writer.write(&piece).expect("it is written");
    }
    snapshots.finish(writer).expect("it is finished");
    snapshots.reader(LogIndex(index)).expect("it is read")
}

/// Decodes hexadecimal digits.
pub(crate) fn unhex(text: &str) -> Vec<u8> {
    let pairs = text.as_bytes().chunks(2);
    let digits = pairs.map(|pair| std::str::from_utf8(pair).expect("ASCII"));
    digits
        .map(|digits| u8::from_str_radix(digits, 16).expect("hexadecimal"))
        .collect()
}
