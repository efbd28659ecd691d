//! Responses whose end is marked only by the close of their connection: one that the replica broke
//! off must not reach the caller as a complete one, and a whole one must not be cut.

use std::{sync::Arc, time::Duration};

use linnethitch_registry::{ReplicaState, RouteKind};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Notify,
    time::timeout,
};

use crate::{
    items::{homed, results, run, submit},
    streams::{ALL_EVENTS, CONTINUATION},
    support::{
        Act, Answer, Fleet, LIMIT, OK, Replica, ZONE, header, read_answer, route, wait_for_requests,
    },
};

/// The head of a stream without a length or chunks.
const HEAD: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nsignature: s\r\n\
    content-type: text/event-stream\r\nconnection: close\r\n\r\n";
/// The same in HTTP/1.0, where that is the usual form.
const OLD_HEAD: &str = "HTTP/1.0 200 OK\r\nrequest-id: {id}\r\nsignature: s\r\n\
    content-type: text/event-stream\r\n\r\n";
const CRLF_EVENTS: &str = "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n";
const ONE_EVENT: &str = "id: 1\ndata: a\n\n";
/// A document without a length or chunks.
const DOCUMENT: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nsignature: s\r\n\r\nhello";
const CONTINUATION_WITHOUT_LENGTH: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nsignature: other\r\n\
    content-type: text/event-stream\r\n\r\nid: 2\ndata: b\n\n";
const THIRD_SOURCE: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nsignature: third\r\n\
    content-type: text/event-stream\r\n\r\nid: 3\ndata: c\n\n";
const NO_EVENTS_LEFT: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nsignature: other\r\n\
    content-type: text/event-stream\r\n\r\n";

/// A response with this head and the first bytes of a body.
fn cut(head: &str, body: &str, bytes: usize) -> &'static str {
    format!("{head}{}", &body[..bytes]).leak()
}

/// The lengths of a body at which it ends inside an event.
fn inside_events(body: &str, blank_line: &str) -> Vec<usize> {
    let ends = body.match_indices(blank_line);
    let ends: Vec<usize> = ends.map(|(at, _)| at + blank_line.len()).collect();
    (1..body.len()).filter(|at| !ends.contains(at)).collect()
}

/// Guards against a stream that was broken off inside an event and reached its caller as a chunked
/// answer with its last chunk.
#[rstest]
#[case::newlines(HEAD, ALL_EVENTS, "\n\n")]
#[case::carriage_returns(HEAD, CRLF_EVENTS, "\r\n\r\n")]
#[case::old_version(OLD_HEAD, ALL_EVENTS, "\n\n")]
#[tokio::test]
async fn a_stream_closed_inside_an_event_does_not_look_complete(
    #[case] head: &str,
    #[case] events: &str,
    #[case] blank_line: &str,
) {
    let mut replicas = Vec::new();
    for bytes in inside_events(events, blank_line) {
        let act = Act::SendAndClose(cut(head, events, bytes));
        replicas.push(Replica::start(vec![act]).await);
    }
    let fleet = Fleet::start(route(RouteKind::Streaming, 2, false), &replicas).await;
    // A replica whose stream broke is avoided for a while, so that the next request meets another.
    let mut asked = 0;
    while replicas.iter().any(|replica| replica.requests() == 0) {
        asked += 1;
        let answer = fleet.ask(&format!("request-{asked}")).await;
        let is_whole = answer.complete && answer.status == 200;
        assert!(!is_whole, "{answer:?}");
    }
}

/// Guards against whole responses that are cut because nothing but the close marks their end.
#[rstest]
#[case::stream(RouteKind::Streaming, HEAD, ALL_EVENTS)]
#[case::carriage_returns(RouteKind::Streaming, HEAD, CRLF_EVENTS)]
#[case::old_version(RouteKind::Streaming, OLD_HEAD, ALL_EVENTS)]
#[case::trailing_comment(RouteKind::Streaming, HEAD, "data: a\n\n: bye\n")]
#[case::events_elsewhere(RouteKind::Safe, HEAD, ALL_EVENTS)]
#[case::document(RouteKind::Safe, DOCUMENT, " there")]
#[case::document_once(RouteKind::AtMostOnce, DOCUMENT, " there")]
#[case::empty_document(
    RouteKind::AtMostOnce,
    "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nsignature: s\r\n\r\n",
    ""
)]
#[case::no_content(
    RouteKind::Safe,
    "HTTP/1.1 204 No\r\nrequest-id: {id}\r\nsignature: s\r\n\r\n",
    ""
)]
#[case::not_modified(
    RouteKind::Safe,
    "HTTP/1.1 304 Not Modified\r\nrequest-id: {id}\r\nsignature: s\r\n\r\n",
    ""
)]
#[case::its_error(
    RouteKind::AtMostOnce,
    "HTTP/1.1 500 Oops\r\nrequest-id: {id}\r\nsignature: s\r\n\r\n",
    "oops"
)]
#[case::after_early_hints(
    RouteKind::Safe,
    "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nrequest-id: {id}\r\nsignature: s\r\n\r\n",
    "a"
)]
#[tokio::test]
async fn a_whole_response_is_complete(
    #[case] kind: RouteKind,
    #[case] head: &'static str,
    #[case] body: &'static str,
) {
    let whole: &str = format!("{head}{body}").leak();
    let replica = Replica::start(vec![Act::SendAndClose(whole)]).await;
    let fleet = Fleet::start(route(kind, 1, false), std::slice::from_ref(&replica)).await;
    let answer = fleet.ask("request-1").await;
    let is_empty = [204, 304].contains(&answer.status);
    assert!(answer.complete || is_empty, "{answer:?}");
    assert!(answer.body.ends_with(body), "{answer:?}");
    assert_eq!(replica.requests(), 1);
}

/// A fleet whose first replica ends its process once it has sent these bytes and a second replica,
/// which continues, is known.
struct EndingReplica {
    fleet: Fleet,
    first: Replica,
    end: Arc<Notify>,
}

impl EndingReplica {
    async fn start(kind: RouteKind, resumable: bool, sent: &'static str) -> Self {
        let end = Arc::new(Notify::new());
        let act = Act::SendAndEndWhen(sent, Arc::clone(&end));
        let first = Replica::start_killable(vec![act]).await;
        let replicas = std::slice::from_ref(&first);
        let fleet = Fleet::start(route(kind, 2, resumable), replicas).await;
        EndingReplica { fleet, first, end }
    }

    /// The answer to a caller while the first replica ends. The second replica, if any, sends
    /// this.
    async fn answer(&self, second: Option<&'static str>) -> Answer {
        let mut caller = self.fleet.open("request-1", "").await;
        wait_for_requests(&self.first, 1).await;
        if let Some(second) = second {
            let second = Replica::start(vec![Act::SendAndClose(second)]).await;
            self.fleet
                .register(1, second.address, ReplicaState::Ready, 1)
                .await;
            self.fleet.wait_for(2).await;
        }
        self.end.notify_one();
        read_answer(&mut caller).await
    }
}

/// Guards against a response that ended between two events, or inside a document, because the
/// replica's process ended, and that looked complete.
#[rstest]
#[case::between_events(RouteKind::Streaming, false, HEAD, ONE_EVENT)]
#[case::no_event(RouteKind::Streaming, false, HEAD, "")]
#[case::document_of_a_stream_route(RouteKind::Streaming, false, DOCUMENT, "")]
#[case::document(RouteKind::AtMostOnce, false, DOCUMENT, "")]
#[case::last_replica_of_a_resumable_stream(RouteKind::Streaming, true, HEAD, ONE_EVENT)]
#[tokio::test]
async fn a_response_that_ends_with_its_replica_does_not_look_complete(
    #[case] kind: RouteKind,
    #[case] resumable: bool,
    #[case] head: &'static str,
    #[case] body: &'static str,
) {
    let sent = format!("{head}{body}").leak();
    let service = EndingReplica::start(kind, resumable, sent).await;
    let answer = service.answer(None).await;
    let is_whole = answer.complete && answer.status == 200;
    assert!(!is_whole, "{answer:?}");
    let looked_at = async {
        while !service.fleet.log.contains("replica ended") {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(LIMIT, looked_at)
        .await
        .expect("the end is found out");
}

/// Guards against a response that is given up although another replica can complete it.
#[rstest]
#[case::resumed(RouteKind::Streaming, true, HEAD, ONE_EVENT, CONTINUATION, ALL_EVENTS)]
#[case::resumed_without_length(
    RouteKind::Streaming,
    true,
    HEAD,
    ONE_EVENT,
    CONTINUATION_WITHOUT_LENGTH,
    ALL_EVENTS
)]
#[case::resumed_inside_an_event(
    RouteKind::Streaming,
    true,
    HEAD,
    "id: 1\ndata: a\n\nid: 2\nda",
    CONTINUATION,
    ALL_EVENTS
)]
#[case::no_events_left(
    RouteKind::Streaming,
    true,
    HEAD,
    ALL_EVENTS,
    NO_EVENTS_LEFT,
    ALL_EVENTS
)]
#[case::repeated(RouteKind::Safe, false, DOCUMENT, "", OK, "hello")]
#[tokio::test]
async fn a_response_that_ends_with_its_replica_goes_on_elsewhere(
    #[case] kind: RouteKind,
    #[case] resumable: bool,
    #[case] head: &'static str,
    #[case] body: &'static str,
    #[case] second: &'static str,
    #[case] whole: &str,
) {
    let sent = format!("{head}{body}").leak();
    let service = EndingReplica::start(kind, resumable, sent).await;
    let answer = service.answer(Some(second)).await;
    assert!(answer.complete, "{answer:?}");
    assert_eq!(answer.body, whole);
}

/// Guards against an item whose text lacks its last events, because its replica ended.
#[tokio::test]
async fn an_item_whose_replica_ends_between_events_goes_on() {
    let end = Arc::new(Notify::new());
    let one_event = cut(HEAD, ALL_EVENTS, ONE_EVENT.len());
    let act = Act::SendAndEndWhen(one_event, Arc::clone(&end));
    let first = Replica::start_killable(vec![act]).await;
    let replicas = std::slice::from_ref(&first);
    let policy = linnethitch_relay::KeyPolicy::default();
    let fleet = Fleet::start_configured(homed(1, &[], &[]), policy, replicas).await;
    fleet.wait_until_coordinated().await;
    fleet.start_store().await;
    run(&fleet.relay, 1);
    submit(&fleet, 1).await;
    wait_for_requests(&first, 1).await;
    let second = Replica::start(vec![Act::Send(CONTINUATION)]).await;
    fleet
        .register(1, second.address, ReplicaState::Ready, 1)
        .await;
    end.notify_one();
    let page = timeout(LIMIT, async {
        loop {
            let page = results(&fleet).await;
            if !page.results.is_empty() {
                return page;
            }
        }
    });
    let page = page.await.expect("in time");
    assert_eq!(page.results[0].text, "a\nb");
}

/// Guards against a caller of HTTP/1.0, who has no chunks, and takes the close of a connection for
/// the end of a stream that was broken off.
#[rstest]
#[case::broken(&ALL_EVENTS[..20], false)]
#[case::whole(ALL_EVENTS, true)]
#[tokio::test]
async fn a_caller_without_chunks_sees_that_a_stream_broke(
    #[case] sent: &str,
    #[case] is_whole: bool,
) {
    let sent = format!("{HEAD}{sent}").leak();
    let replica = Replica::start(vec![Act::SendAndClose(sent)]).await;
    let replicas = std::slice::from_ref(&replica);
    let fleet = Fleet::start(route(RouteKind::Streaming, 1, false), replicas).await;
    let mut caller = TcpStream::connect(fleet.callers).await.expect("it listens");
    let request = "POST /a/x HTTP/1.0\r\nhost: desk.example\r\nrequest-id: old-1\r\ncontent-length: 0\r\n\r\n";
    caller
        .write_all(request.as_bytes())
        .await
        .expect("it is sent");
    let mut bytes = Vec::new();
    let read = timeout(LIMIT, caller.read_to_end(&mut bytes)).await;
    let read = read.expect("in time");
    assert_eq!(read.is_ok(), is_whole, "{read:?}");
}

/// Guards against a response without a length whose connection is reset, at whatever byte, and that
/// looks complete.
#[rstest]
#[case::inside_an_event(RouteKind::Streaming, HEAD, 20)]
#[case::between_events(RouteKind::Streaming, HEAD, ONE_EVENT.len())]
#[case::after_the_last_event(RouteKind::Streaming, HEAD, ALL_EVENTS.len())]
#[case::document(RouteKind::AtMostOnce, DOCUMENT, 0)]
#[tokio::test]
async fn a_response_that_is_reset_does_not_look_complete(
    #[case] kind: RouteKind,
    #[case] head: &str,
    #[case] bytes: usize,
) {
    let replica = Replica::start(vec![Act::SendAndReset(cut(head, ALL_EVENTS, bytes))]).await;
    let replicas = std::slice::from_ref(&replica);
    let fleet = Fleet::start(route(kind, 1, false), replicas).await;
    let answer = fleet.ask("request-1").await;
    let is_whole = answer.complete && answer.status == 200;
    assert!(!is_whole, "{answer:?}");
}

/// Guards against a stream whose second source broke, too: the parts of events of two sources must
/// not join, and the end of the second must not be taken for the end of the stream.
#[tokio::test]
async fn a_stream_goes_on_after_its_second_source_broke() {
    let end = Arc::new(Notify::new());
    let sent = cut(HEAD, ALL_EVENTS, ONE_EVENT.len() + 4);
    let act = Act::SendAndEndWhen(sent, Arc::clone(&end));
    let first = Replica::start_killable(vec![act]).await;
    let replicas = std::slice::from_ref(&first);
    let fleet = Fleet::start(route(RouteKind::Streaming, 3, true), replicas).await;
    let mut caller = fleet.open("request-1", "").await;
    wait_for_requests(&first, 1).await;
    let partial = cut(CONTINUATION_WITHOUT_LENGTH, "id: 3\nda", 8);
    let second = Replica::start(vec![
        Act::SendAndClose(partial),
        Act::SendAndClose(THIRD_SOURCE),
    ])
    .await;
    // Two addresses of one replica: the source that is asked first breaks, the next one completes.
    fleet.add_twin(&second).await;
    fleet.add_twin_in_zone(2, &second, ZONE).await;
    end.notify_one();
    let answer = read_answer(&mut caller).await;
    assert!(answer.complete, "{answer:?}");
    assert_eq!(answer.body, format!("{ALL_EVENTS}id: 3\ndata: c\n\n"));
    let heads = second.heads.lock().clone();
    let last_events: Vec<_> = heads
        .iter()
        .map(|head| header(head, "last-event-id"))
        .collect();
    assert_eq!(last_events, [Some("1"), Some("2")]);
}

/// Guards against a whole response to `HEAD` that is taken for a broken one, as it has no body.
#[tokio::test]
async fn a_response_to_head_is_whole() {
    let head = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nsignature: s\r\n\r\n";
    let replica = Replica::start(vec![Act::SendAndClose(head)]).await;
    let replicas = std::slice::from_ref(&replica);
    let fleet = Fleet::start(route(RouteKind::AtMostOnce, 1, false), replicas).await;
    let mut caller = TcpStream::connect(fleet.callers).await.expect("it listens");
    let request = "HEAD /a/x HTTP/1.1\r\nhost: desk.example\r\nrequest-id: head-1\r\n\
        connection: close\r\n\r\n";
    caller
        .write_all(request.as_bytes())
        .await
        .expect("it is sent");
    let answer = read_answer(&mut caller).await;
    assert_eq!((answer.status, replica.requests()), (200, 1), "{answer:?}");
}

/// Guards against a gateway that is delayed until another process listens at the address of the
/// replica that broke off, and takes that process for the replica.
#[tokio::test]
async fn a_replica_that_was_started_again_does_not_complete_a_response() {
    let end = Arc::new(Notify::new());
    let one_event = cut(HEAD, ALL_EVENTS, ONE_EVENT.len());
    let act = Act::SendAndEndWhen(one_event, Arc::clone(&end));
    let first = Replica::start_killable(vec![act]).await;
    let replicas = std::slice::from_ref(&first);
    let fleet = Fleet::start(route(RouteKind::Streaming, 1, false), replicas).await;
    let mut caller = fleet.open("request-1", "").await;
    wait_for_requests(&first, 1).await;
    end.notify_one();
    let again = Replica::start_again(first.address, vec![Act::Send(OK)]).await;
    // Delays the gateway, which runs in this thread, during its probe.
    std::thread::sleep(Duration::from_millis(300));
    // Its first heartbeat arrives after the probe.
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet
        .register_incarnation(0, again.address, 1, ReplicaState::Ready, 1)
        .await;
    let answer = read_answer(&mut caller).await;
    assert!(!answer.complete, "{answer:?}");
}
