//! Replicas that answer completely before they have read the whole request.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use linnethitch_job_store::{ItemSpec, ListedState};
use linnethitch_registry::{ReplicaState, Route, RouteKind, RouteTable};
use rstest::rstest;
use socket2::{Domain, Socket, Type};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{Notify, mpsc},
    time::{interval, timeout},
};

use crate::{
    items::{homed, results, run, submit_items},
    streams::{ALL_EVENTS, COMPLETE},
    support::{Fleet, LIMIT, OK, Replica, header, read_answer, route, table},
};

/// More than the buffers between gateway and replica take, whose largest is 4 MiB by default.
const BODY_BYTES: usize = 6_000_000;
/// Receive buffer of the replica, in bytes.
const WINDOW_BYTES: usize = 4_096;

/// A replica that answers after the head of a request and reads the body once it is told to.
struct SlowReader {
    address: SocketAddr,
    reads_on: Arc<Notify>,
    /// What was received after the head of each request, up to the end of its connection.
    received: mpsc::UnboundedReceiver<Vec<u8>>,
}

impl SlowReader {
    async fn start(answer: &'static str) -> Self {
        let listener = listener_with_small_window();
        let address = listener.local_addr().expect("an address");
        let reads_on: Arc<Notify> = Arc::default();
        let (sender, received) = mpsc::unbounded_channel();
        let may_read = Arc::clone(&reads_on);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (may_read, sender) = (Arc::clone(&may_read), sender.clone());
                tokio::spawn(async move {
                    if let Some(rest) = serve(stream, answer, &may_read).await {
                        let _ = sender.send(rest);
                    }
                });
            }
        });
        SlowReader {
            address,
            reads_on,
            received,
        }
    }

    /// Reads the rest of the body; asserts that nothing but the body was sent.
    async fn assert_only_the_body_follows(mut self) {
        self.reads_on.notify_one();
        let rest = timeout(LIMIT, self.received.recv()).await.expect("in time");
        let rest = rest.expect("the replica runs");
        assert!(rest.len() <= BODY_BYTES, "{} bytes", rest.len());
        assert!(rest.iter().all(|byte| *byte == b'x'));
    }
}

fn listener_with_small_window() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket
        .set_recv_buffer_size(WINDOW_BYTES)
        .expect("it is set");
    socket.set_nonblocking(true).expect("it is set");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any_port.into()).expect("a port");
    socket.listen(16).expect("it listens");
    TcpListener::from_std(socket.into()).expect("a listener")
}

/// Answers one request; returns what follows its head.
async fn serve(mut stream: TcpStream, answer: &str, may_read: &Notify) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let end = loop {
        let text = String::from_utf8_lossy(&bytes);
        if let Some(end) = text.find("\r\n\r\n") {
            break end;
        }
        let mut buffer = [0; 256];
        let read = stream.read(&mut buffer).await.ok()?;
        if read == 0 {
            return None;
        }
        bytes.extend_from_slice(&buffer[..read]);
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let id = header(&head, "request-id")?;
    let answer = answer.replace("{id}", id);
    stream.write_all(answer.as_bytes()).await.ok()?;
    read_slowly(&mut stream, &mut bytes, may_read).await;
    // A reset ends the connection too.
    let _ = stream.read_to_end(&mut bytes).await;
    Some(bytes.split_off(end + 4))
}

/// Reads so slowly that the whole body takes longer than any test waits, until the signal. A replica
/// that reads nothing is taken for dead by the sender's machine.
async fn read_slowly(stream: &mut TcpStream, bytes: &mut Vec<u8>, until: &Notify) {
    let mut buffer = [0; 1_024];
    let mut pauses = interval(Duration::from_millis(50));
    let slowly = async {
        loop {
            pauses.tick().await;
            match stream.read(&mut buffer).await {
                Ok(read) if read > 0 => bytes.extend_from_slice(&buffer[..read]),
                _ => return,
            }
        }
    };
    tokio::select! {
        () = slowly => {}
        () = until.notified() => {}
    }
}

fn table_for_long_bodies(route: Route) -> RouteTable {
    let mut table = table(route);
    table.limits.body_bytes = 2 * BODY_BYTES;
    table
}

/// Guards against a whole answer that reaches nobody, neither does a 504, while its replica reads
/// the request slowly or not at all.
#[rstest]
#[case::of_a_document(RouteKind::Safe, OK, "hello")]
#[case::of_a_stream(RouteKind::Streaming, COMPLETE, ALL_EVENTS)]
#[tokio::test]
async fn a_whole_answer_does_not_wait_until_its_request_is_read(
    #[case] kind: RouteKind,
    #[case] answer: &'static str,
    #[case] expected: &str,
) {
    let replica = SlowReader::start(answer).await;
    let fleet = Fleet::start_with(table_for_long_bodies(route(kind, 1, false)), &[]).await;
    fleet
        .register(0, replica.address, ReplicaState::Ready, 1)
        .await;
    fleet.wait_for(1).await;
    let body = "x".repeat(BODY_BYTES);
    let mut stream = fleet.first_gateway().open("request-1", "", &body).await;
    let answer = read_answer(&mut stream).await;
    assert_eq!(
        (answer.status, answer.complete),
        (200, true),
        "{}",
        answer.head
    );
    assert_eq!(answer.body, expected);
    replica.assert_only_the_body_follows().await;
}

/// The same for the report of an item.
#[tokio::test]
async fn a_finished_item_is_reported_although_its_request_is_not_read() {
    let replica = SlowReader::start(COMPLETE).await;
    let no_replicas: &[Replica] = &[];
    let configuration = homed(1, &[], &[]);
    let fleet = Fleet::start_configured(configuration, Default::default(), no_replicas).await;
    fleet
        .register(0, replica.address, ReplicaState::Ready, 1)
        .await;
    fleet.wait_until_coordinated().await;
    fleet.start_store().await;
    let item = ItemSpec {
        id: "item-0".to_owned(),
        path: "/a/x".to_owned(),
        headers: Vec::new(),
        body: vec![b'x'; BODY_BYTES],
        tokens: 100,
    };
    submit_items(&fleet, vec![item]).await;
    run(&fleet.relay, 1);
    let page = results(&fleet).await;
    assert_eq!(page.results[0].state, ListedState::Succeeded);
    replica.assert_only_the_body_follows().await;
}
