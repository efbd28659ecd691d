//! Contents of files are stored outside the snapshots and survive the same faults as the state.

use linnethitch_control::member::MemberNotice;
use linnethitch_protocol::{
    attach::{ControlAnswer, ControlCall},
    command::{CommandBody, Outcome},
    ids::{FileId, TenantId},
    query::{Query, QueryAnswer},
};
use linnethitch_storage::payload::PAYLOAD_DIRECTORY;
use rstest::rstest;

use crate::cluster::Cluster;

const CHUNK_BYTES: usize = 16 * 1024;
const CHUNKS: usize = 40;
/// Small enough that members take several snapshots during an upload.
const SNAPSHOT_LOG_BYTES: u64 = 64 * 1024;

/// The fault after the file is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    AllRestart,
    LostDisk,
    LostDiskAndRestart,
    TwoLostDisks,
    CutSegment,
}

fn content() -> Vec<u8> {
    (0..CHUNKS * CHUNK_BYTES)
        .map(|position| (position / 7 % 251) as u8)
        .collect()
}

fn propose(cluster: &mut Cluster, body: CommandBody) {
    match cluster.call(1, ControlCall::Propose(body)) {
        ControlAnswer::Outcome(Outcome::Done | Outcome::File(_)) => {}
        other => panic!("{other:?}"),
    }
}

fn upload(cluster: &mut Cluster, file: &str) {
    let file = FileId::from(file);
    let create = CommandBody::CreateFile {
        file: file.clone(),
        tenant: TenantId::from("acme"),
        purpose: "notes".to_owned(),
        filename: "notes.txt".to_owned(),
    };
    propose(cluster, create);
    let content = content();
    for (number, chunk) in content.chunks(CHUNK_BYTES).enumerate() {
        let append = CommandBody::AppendFile {
            file: file.clone(),
            offset: (number * CHUNK_BYTES) as u64,
            data: chunk.to_vec(),
        };
        propose(cluster, append);
    }
    let finish = CommandBody::FinishFile {
        file,
        bytes: content.len() as u64,
        items: Vec::new(),
    };
    propose(cluster, finish);
}

/// The file's content as stored by one member.
fn stored_content(cluster: &Cluster, number: u32) -> Option<Vec<u8>> {
    let query = Query::FileContent {
        tenant: TenantId::from("acme"),
        file: FileId::from("file-1"),
        cursor: 0,
        limit: u32::MAX,
    };
    match cluster.member(number).ledger().query(&query) {
        Ok(QueryAnswer::FileContent { data, next: None }) => Some(data),
        _ => None,
    }
}

/// Checks that each snapshot so far is far smaller than the contents of the files.
fn assert_snapshots_without_payloads(cluster: &Cluster) {
    let notices = cluster.notices.iter();
    let stored = notices.filter_map(|(_, notice)| match notice {
        MemberNotice::SnapshotStored { bytes, .. } => Some(*bytes),
        _ => None,
    });
    let largest = stored.max().expect("snapshots were taken");
    assert!(
        largest < 64 * 1024,
        "a snapshot of {largest} bytes holds payloads"
    );
}

fn inject(cluster: &mut Cluster, fault: Fault) {
    match fault {
        Fault::AllRestart => {
            for number in 1..=5 {
                cluster.crash(number);
            }
            for number in 1..=5 {
                cluster.start(number);
            }
        }
        Fault::LostDisk | Fault::LostDiskAndRestart => cluster.lose_disk(3),
        Fault::TwoLostDisks => {
            cluster.lose_disk(3);
            cluster.lose_disk(4);
        }
        Fault::CutSegment => {
            cluster.crash(3);
            let disk = cluster.machine(3).disk.clone();
            let files = disk.files();
            let mut segments = files
                .iter()
                .filter(|path| path.starts_with(PAYLOAD_DIRECTORY));
            let segment = segments.next().expect("a payload segment");
            disk.damage(segment, |bytes| bytes.truncate(CHUNK_BYTES));
            cluster.start(3);
        }
    }
}

#[rstest]
fn a_file_is_complete_on_every_member_after(
    #[values(
        Fault::AllRestart,
        Fault::LostDisk,
        Fault::LostDiskAndRestart,
        Fault::TwoLostDisks,
        Fault::CutSegment
    )]
    fault: Fault,
) {
    let mut cluster = Cluster::blank_with_snapshots(5, SNAPSHOT_LOG_BYTES);
    cluster.run_until_all_vote();
    upload(&mut cluster, "file-1");
    cluster.run_ms(200);
    assert_snapshots_without_payloads(&cluster);

    inject(&mut cluster, fault);
    cluster.run_until("every member has the file", |cluster| {
        (1..=5).all(|number| stored_content(cluster, number).is_some())
    });
    if fault == Fault::LostDiskAndRestart {
        cluster.crash(3);
        cluster.start(3);
        cluster.run_until("the restarted member has the file again", |cluster| {
            stored_content(cluster, 3).is_some()
        });
    }
    cluster.run_until_all_vote();
    for number in 1..=5 {
        assert!(
            stored_content(&cluster, number) == Some(content()),
            "member {number}"
        );
    }
    let digest = cluster.member(1).ledger().digest();
    assert_eq!(cluster.member(3).ledger().digest(), digest);
}

#[test]
fn an_unreachable_member_neither_stops_snapshots_nor_makes_them_large() {
    let mut cluster = Cluster::blank_with_snapshots(3, SNAPSHOT_LOG_BYTES);
    cluster.run_until_all_vote();
    let unreachable = if cluster.leader() == Some(3) { 2 } else { 3 };
    cluster.crash(unreachable);
    for number in 1..=3 {
        upload(&mut cluster, &format!("file-{number}"));
        // Long enough for the leader to try to send a snapshot.
        cluster.run_ms(5_000);
    }
    assert_snapshots_without_payloads(&cluster);
    let leader = cluster.leader().expect("a leader");
    let taken = cluster.notices.iter().filter(|(machine, notice)| {
        machine.0 == leader && matches!(notice, MemberNotice::SnapshotStored { .. })
    });
    let taken = taken.count();
    assert!(taken >= 20, "{taken} snapshots for 30 times their distance");
    cluster.start(unreachable);
    cluster.run_until("the returning member has the file", |cluster| {
        stored_content(cluster, unreachable).is_some()
    });
}
