//! A stream that pauses goes on at another replica while the first one still works on it.

use std::{
    collections::HashMap,
    io::{ErrorKind, Read, Write},
    net::TcpStream,
    process::exit,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use linnethitch_review::{
    fleet::Fleet,
    finish, has_trouble, http, limit_run, needed,
    record::{self, note, now_ms},
    replica::{event, stream_head, Replica, LAST_CHUNK},
    BROKEN, HELD,
};

const REPLICAS: u8 = 4;
const SLOTS: u32 = 19;
const EVENTS: u64 = 31;
/// Pause between two events: nine tokens.
const EVENT_MS: u64 = 30;
/// The streams; in one of them the first run is preempted.
const STREAMS: u64 = 20;
const PREEMPTED: &str = "stream-12";
/// Events before the preemption.
const EVENTS_BEFORE: u64 = 2;
/// How long the preempted run waits for memory and is read anew.
const READ_ANEW_MS: u64 = 2_600;
/// The former replica must not work on a request this long after it went on at another one.
const OVERLAP_MS: u64 = 400;

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"review","host":"desk.example","path_prefix":"/review/","kind":"streaming","timeout_ms":6000,"target_ms":500,"priority":0,"service":"models","max_attempts":2,"sticky":true,"resumable":true,"gap_target_ms":500}],"services":[{"name":"models","health_path":"/health","max_conns":300,"protocol":"h1","tls":false,"engine":{"slots":19,"kv_capacity_tokens":171000}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// The runs of one request.
#[derive(Default)]
struct Runs {
    /// Replica, begin and end of each run at a replica.
    all: Vec<(String, u64, Option<u64>)>,
}

type Requests = Arc<Mutex<HashMap<String, Runs>>>;

fn begin(requests: &Requests, id: &str, replica: &str) -> usize {
    let mut requests = requests.lock().expect("no thread failed");
    let runs = &mut requests.entry(id.to_owned()).or_default().all;
    runs.push((replica.to_owned(), now_ms(), None));
    runs.len() - 1
}

fn end(requests: &Requests, id: &str, run: usize) {
    let mut requests = requests.lock().expect("no thread failed");
    if let Some(runs) = requests.get_mut(id) {
        runs.all[run].2 = Some(now_ms());
    }
}

/// Works for a time; false as soon as the connection is closed, which drops the request.
fn works(stream: &mut TcpStream, time: Duration) -> bool {
    let until = std::time::Instant::now() + time;
    loop {
        let left = until.saturating_duration_since(std::time::Instant::now());
        if left.is_zero() {
            return true;
        }
        let step = left.min(Duration::from_millis(5)).max(Duration::from_millis(1));
        let _ = stream.set_read_timeout(Some(step));
        match stream.read(&mut [0; 1]) {
            Ok(0) => return false,
            Ok(_) => {}
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return false,
        }
    }
}

fn run(
    stream: &mut TcpStream,
    request: &mut http::Request,
    own: &str,
    requests: &Requests,
    loses_answer: bool,
) -> bool {
    let _ = stream.set_read_timeout(None);
    if !request.read_rest(stream) {
        return false;
    }
    let id = request.value("x-request-id").unwrap_or_default().to_owned();
    let last: Option<u64> = request.value("last-event-id").and_then(|last| last.parse().ok());
    let number = begin(requests, &id, own);
    note(&format!("{own}: begins {id}, last event {last:?}"));
    let is_first = number == 0 && id == PREEMPTED;
    let is_lost = number == 1 && id == PREEMPTED && loses_answer;
    // The prompt is read, then the first token is made.
    let mut is_open = works(stream, Duration::from_millis(40));
    if !is_lost {
        is_open = is_open && stream.write_all(stream_head(own, &id, SLOTS).as_bytes()).is_ok();
    }
    let first = last.unwrap_or(0) + 1;
    for event_number in first..=EVENTS {
        if is_first && event_number == EVENTS_BEFORE + 1 {
            note(&format!("{own}: memory ran out, {id} is preempted and read anew"));
            is_open = is_open && works(stream, Duration::from_millis(READ_ANEW_MS));
            note(&format!("{own}: {id} was read anew, connection open: {is_open}"));
        }
        is_open = is_open && works(stream, Duration::from_millis(EVENT_MS));
        if !is_open {
            note(&format!("{own}: connection of {id} closed, request dropped"));
            end(requests, &id, number);
            return false;
        }
        if !is_lost {
            let text = event(event_number, &format!("{id}/{event_number}"));
            is_open = stream.write_all(text.as_bytes()).is_ok();
        }
    }
    end(requests, &id, number);
    note(&format!("{own}: ran {id}, answer lost: {is_lost}"));
    if is_lost {
        // Nothing of the answer arrives; the replica closes the connection after a while.
        works(stream, Duration::from_millis(500));
        return false;
    }
    let sent = is_open && stream.write_all(LAST_CHUNK.as_bytes()).is_ok();
    let _ = stream.set_read_timeout(None);
    sent
}

fn main() {
    let record_file = std::env::args().nth(1).unwrap_or_else(|| exit(2));
    record::open(&record_file);
    limit_run(Duration::from_secs(90));
    let trouble = has_trouble();
    note(&format!("disruption: {trouble}"));
    let fleet = Fleet::prepare();
    fleet.start();
    needed(
        fleet.put_config(CONFIG, Duration::from_secs(20)).then_some(()),
        "no configuration",
    );
    fleet.wait_until_ready();
    let requests: Requests = Arc::default();
    for number in 0..REPLICAS {
        let id = format!("i-{number}");
        let (own, requests) = (id.clone(), Arc::clone(&requests));
        let work = move |stream: &mut TcpStream, request: &mut http::Request| {
            run(stream, request, &own, &requests, trouble)
        };
        let zone = ["worcester", "hartford"][usize::from(number) % 2];
        Replica::start(&id, "models", zone, SLOTS, fleet.members(), Arc::new(work));
    }
    thread::sleep(Duration::from_secs(3));
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let front = fleet.front((number % 2) as u8);
            thread::sleep(Duration::from_millis(150));
            thread::spawn(move || {
                let id = format!("stream-{number}");
                let headers = format!(
                    "X-Request-Id: {id}\r\nX-Deadline-Ms: 6000\r\nX-Model: m\r\nX-Token-Usage: 40000,280\r\nX-Prefix-Hash: 5c1e07a2:30000,{number:x}e4402b:10000\r\nContent-Type: application/json\r\n"
                );
                note(&format!("client: sends {id} to {front}"));
                let limit = Duration::from_secs(7);
                let body = vec![b'x'; 2_000];
                let answer = http::call(front, "POST", &format!("/review/{number}"), &headers, &body, limit);
                let told = answer.map(|a| (a.status, a.body.matches("data:").count()));
                note(&format!("client: {id} ended, status and events {told:?}"));
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(2));
    let requests = requests.lock().expect("no thread failed");
    let mut is_broken = false;
    for (id, runs) in requests.iter() {
        for pair in runs.all.windows(2) {
            let ((former, _, former_end), (next, next_begin, _)) = (&pair[0], &pair[1]);
            let still_ms = former_end.unwrap_or(u64::MAX).saturating_sub(*next_begin);
            note(&format!(
                "{id}: went on at {next}; {former} worked on it for {still_ms} ms more"
            ));
            is_broken |= still_ms > OVERLAP_MS;
        }
    }
    drop(requests);
    finish(if is_broken { BROKEN } else { HELD });
}
