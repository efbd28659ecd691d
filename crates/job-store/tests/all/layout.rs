//! Stored commands stay readable for later builds.

use linnethitch_errors::ErrorKind;
use linnethitch_job_store::{
    GeneratedEvents, ItemOutcome, ItemProgress, RunId, RunProgress, StoreCommand,
};
use rstest::rstest;

use crate::support::{item, job, unhex};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn progress() -> ItemProgress {
    ItemProgress {
        item: item("j", 3),
        reported_before: 2,
        generated: GeneratedEvents {
            events: vec!["c".to_owned()],
            last_event: Some(3),
        },
    }
}

fn run_progress() -> RunProgress {
    RunProgress {
        run: RunId(22),
        continues: RunId(11),
        progress: progress(),
    }
}

/// Commands with their stored bytes. A change of these bytes needs a new layout.
#[rstest]
#[case::submit(
    StoreCommand::Submit(job("j", 1)),
    "016465736b2e6578616d706c65782d6d6f64656cff6dffffffffffffff000000006a2d6974656d2d302f6c61\
     6e65732f30dcffffff01000000e4ffffff04000000640000000000000000000000000000006affffffffffff\
     ff8c000000a8ffffff2f6c616e65732fff0300000000000000204e0000000000003075000000000000a0ffff\
     ff01000000"
)]
#[case::succeeded(
    StoreCommand::Report { item: item("j", 3), outcome: ItemOutcome::Succeeded("text".to_owned()) },
    "01010000006affffffffffffff030000000000000074657874ffffffff000000000000000000000000000000\
     000000000000000000000000000000000000000000"
)]
#[case::failed(
    StoreCommand::Report { item: item("j", 3), outcome: ItemOutcome::Failed { failures_before: 1 } },
    "01010000006affffffffffffff03000000020000000100000000000000000000000000000000000000000000\
     000000000000000000000000000000000000000000"
)]
#[case::end(StoreCommand::End { job: "j".to_owned() }, "01020000006affffffffffffff00000000000000000000000000000000000000000000000000000000000000\
     000000000000000000000000000000000000000000")]
#[case::pass(StoreCommand::Pass { elapsed_ms: 2_000, kept_ms: 140_000 }, "010300000000000000d007000000000000e02202000000000000000000000000000000000000000000000000\
     000000000000000000000000000000000000000000")]
#[case::progress_without_run_ids(StoreCommand::Progress(vec![progress()]), "0263ffffffffffffff6affffffffffffff0300000002000000e8ffffff010000000100000000000000030000\
     000000000004000000d4ffffff01000000000000000000000000000000000000000000000000000000000000\
     00000000000000000000000000000000000000000000000000")]
#[case::finish_without_run_ids(
    StoreCommand::Finish(progress()),
    "0363ffffffffffffff05000000000000006affffffffffffff0300000002000000e0ffffff01000000010000\
     0000000000030000000000000000000000000000000000000000000000"
)]
#[case::progress(StoreCommand::KeepProgress(vec![run_progress()]), "0563ffffffffffffff16000000000000000b000000000000006affffffffffffff0300000002000000d8ffff\
     ff010000000100000000000000030000000000000008000000c4ffffff010000000000000000000000000000\
     0000000000000000000000000000000000000000000000000000000000000000000000000000000000")]
#[case::finish(
    StoreCommand::FinishRun(Box::new(run_progress())),
    "0563ffffffffffffff16000000000000000b000000000000006affffffffffffff0300000002000000d8ffff\
     ff010000000100000000000000030000000000000009000000c4ffffff000000000000000000000000000000\
     0000000000000000000000000000000000000000000000000000000000000000000000000000000000"
)]
fn stored_commands_stay_readable(#[case] command: StoreCommand, #[case] stored: &str) {
    let bytes = command.to_stored().expect("it is encoded");
    assert_eq!(hex(&bytes), stored);
    let read = StoreCommand::from_stored(&unhex(stored)).expect("it is read");
    assert_eq!(read, command);
}

/// First bytes of stored values that this build does not read, and the kind of the error.
#[rstest]
#[case::newer(&[8], ErrorKind::DataFolderRefused)]
#[case::damaged_runs(&[5, 9, 9], ErrorKind::Corrupted)]
#[case::damaged_tenants(&[4, 9, 9], ErrorKind::Corrupted)]
#[case::damaged_finish(&[3, 9, 9], ErrorKind::Corrupted)]
#[case::damaged_progress(&[2, 9, 9], ErrorKind::Corrupted)]
#[case::without_a_layout(&[0x6a], ErrorKind::DataFolderRefused)]
#[case::damaged(&[1, 9, 9], ErrorKind::Corrupted)]
#[case::empty(&[], ErrorKind::Corrupted)]
fn unknown_layouts_and_corruption_are_distinguished(#[case] bytes: &[u8], #[case] kind: ErrorKind) {
    let refused = StoreCommand::from_stored(bytes).expect_err("it is refused");
    assert_eq!(*refused.current_context(), kind);
}
