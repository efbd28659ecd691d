//! Connections to replicas are reused, and new ones are counted by reason.

use std::{sync::Arc, time::Duration};

use linnethitch_registry::RouteKind;
use tokio::{sync::Notify, time::sleep};

use crate::support::{Act, Fleet, LIMIT, OK, Replica, route};

/// A response after which the connection must not be reused.
const LAST: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nsignature: s\r\nconnection: close\r\n\
    content-length: 5\r\n\r\nhello";

fn opened(fleet: &Fleet, reason: &str) -> u32 {
    let figures = fleet.relay.metrics_text();
    let name = format!("linnethitch_relay_connections_total{{reason=\"{reason}\"}} ");
    let count = figures.lines().find_map(|line| line.strip_prefix(&name));
    count.map_or(0, |count| count.parse().expect("a number"))
}

async fn served(fleet: &Fleet, id: &str) {
    assert_eq!(fleet.ask(id).await.status, 200);
}

#[tokio::test]
async fn connections_are_counted_by_reason() {
    let end = Arc::new(Notify::new());
    let acts = vec![
        Act::Send(OK),
        Act::Send(LAST),
        Act::SendAndResetWhen(OK, Arc::clone(&end)),
        Act::SendLater(OK),
    ];
    let replica = Replica::start(acts).await;
    let fleet = Fleet::start(route(RouteKind::Safe, 1, false), &[replica]).await;
    served(&fleet, "first").await;
    assert_eq!((opened(&fleet, "First"), opened(&fleet, "NotKept")), (1, 0));
    served(&fleet, "on the same, told that it is the last").await;
    served(&fleet, "on a new one that rests").await;
    assert_eq!((opened(&fleet, "First"), opened(&fleet, "NotKept")), (1, 1));
    end.notify_one();
    let closed = async {
        while opened(&fleet, "Closed") == 0 {
            sleep(Duration::from_millis(100)).await;
            served(&fleet, "once the end of the one that rests was seen").await;
        }
    };
    tokio::time::timeout(LIMIT, closed).await.expect("in time");
    tokio::join!(served(&fleet, "one"), served(&fleet, "beside it"));
    assert_eq!(opened(&fleet, "AllInUse"), 1);
    assert_eq!(opened(&fleet, "Closed"), 1);
}
