//! Results of a job are read from the nearest member that has stored them.

use std::time::Duration;

use linnethitch_cluster::{
    ControlNode, ControlSettings, GatewayNode, NodeSettings, ResultsQuery, StoreNode, StoreSettings,
};
use linnethitch_job_store::{
    ItemOutcome, ItemRef, ItemSpec, JobSpec, ResultsPage, StoreCall, StoreReply,
};
use tempfile::TempDir;
use tokio::time::{sleep, timeout};

use crate::support::{LIMIT, free_port, host, node};

/// Members of the job store, each in its own zone.
const STORES: usize = 3;
const TEXT_BYTES: usize = 100_000;

struct Fleet {
    _control: ControlNode,
    _folders: Vec<TempDir>,
    stores: Vec<NodeSettings>,
    /// One gateway in the zone of each member.
    gateways: Vec<GatewayNode>,
}

fn folder() -> (TempDir, String) {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().display().to_string();
    (folder, path)
}

impl Fleet {
    async fn start() -> Self {
        let seed = host(120);
        let port = free_port(seed);
        let at = |number, zone: usize| NodeSettings {
            zone: format!("zone-{zone}"),
            ..node(host(number), &[seed], port)
        };
        let (first_folder, data_dir) = folder();
        let mut folders = vec![first_folder];
        let settings = ControlSettings {
            node: at(120, 0),
            data_dir,
            store_voters: STORES,
        };
        let (control, running) = ControlNode::start(settings).await.expect("it starts");
        tokio::spawn(running);
        let mut stores = Vec::new();
        let mut gateways = Vec::new();
        for zone in 0..STORES {
            let node = at(121 + zone as u8, zone);
            let (folder, data_dir) = folder();
            folders.push(folder);
            let settings = StoreSettings {
                node: node.clone(),
                data_dir,
                voters: STORES,
                retention: LIMIT * 2,
                max_item_bytes: 32 * 1024 * 1024,
            };
            tokio::spawn(StoreNode::run(settings, std::future::pending()));
            stores.push(node);
            let settings = at(131 + zone as u8, zone);
            let callers = format!("{}:80", settings.address);
            gateways.push(GatewayNode::start(&settings, callers));
        }
        Fleet {
            _control: control,
            _folders: folders,
            stores,
            gateways,
        }
    }

    /// Bytes of replies that each member sent to callers.
    fn reply_bytes(&self) -> Vec<usize> {
        let of = |store: &NodeSettings| {
            let text = store.bytes.to_text();
            let name = "linnethitch_node_message_bytes_total{message=\"StoreReply\"";
            let counts = text.lines().filter(|line| line.starts_with(name));
            let counts = counts.map(|line| line.rsplit_once(' ').expect("a count").1);
            counts
                .map(|count| count.parse::<usize>().expect("a number"))
                .sum()
        };
        self.stores.iter().map(of).collect()
    }
}

fn one_item() -> JobSpec {
    JobSpec {
        id: "job".to_owned(),
        host: "desk.example".to_owned(),
        path: "/jobs/".to_owned(),
        max_attempts: 3,
        completion_ms: 20_000,
        give_up_ms: 30_000,
        items: vec![ItemSpec {
            id: "item".to_owned(),
            path: "/jobs/0".to_owned(),
            headers: Vec::new(),
            body: b"{}".to_vec(),
            tokens: 10,
        }],
        route: None,
    }
}

async fn results(gateway: &GatewayNode, since: u32) -> ResultsPage {
    let query = ResultsQuery {
        job: "job".to_owned(),
        tenant: None,
        since,
        most_bytes: 1_000_000,
    };
    match gateway.results(query, LIMIT).await {
        StoreReply::Results(page) => page,
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn results_come_from_the_member_in_the_zone_and_are_never_outdated() {
    let fleet = Fleet::start().await;
    let gateway = &fleet.gateways[0];
    let submit = StoreCall::Submit {
        job: one_item(),
        tenant: None,
        bound: None,
    };
    assert_eq!(gateway.call_store(submit, LIMIT).await, StoreReply::Done);
    assert_eq!(results(gateway, 0).await.results, []);
    let text = "t".repeat(TEXT_BYTES);
    let report = StoreCall::Report {
        item: ItemRef {
            job: "job".to_owned(),
            item: 0,
        },
        outcome: ItemOutcome::Succeeded(text.clone()),
    };
    assert_eq!(gateway.call_store(report, LIMIT).await, StoreReply::Done);
    // From now on every gateway gets the result, also if its nearest member has not stored it yet.
    for gateway in &fleet.gateways {
        let page = results(gateway, 0).await;
        assert_eq!((page.total, page.results.len()), (1, 1));
        assert_eq!(page.results[0].text, text);
        assert_eq!(results(gateway, 1).await.results, []);
    }
    let each_from_nearest = async {
        loop {
            let before = fleet.reply_bytes();
            for gateway in &fleet.gateways {
                results(gateway, 0).await;
            }
            let after = fleet.reply_bytes();
            let mut sent = before
                .iter()
                .zip(&after)
                .map(|(before, after)| after - before);
            if sent.all(|bytes| (TEXT_BYTES..2 * TEXT_BYTES).contains(&bytes)) {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
    };
    let found = timeout(LIMIT, each_from_nearest).await;
    found.unwrap_or_else(|_| panic!("reply bytes of each member: {:?}", fleet.reply_bytes()));
}
