//! A stream that pauses goes on at another replica while the first one still works on it.

use std::{
    collections::HashMap,
    io::{ErrorKind, Read, Write},
    net::TcpStream,
    process::exit,
    sync::{Arc, Mutex, OnceLock},
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

const REPLICAS: u8 = 6;
const SLOTS: u32 = 19;
const EVENTS: u64 = 53;
const EVENT_TOKENS: u64 = 9;
/// Pause between two events.
const EVENT_MS: u64 = 50;
const STREAMS: u64 = 24;
const STREAM_EVERY_MS: u64 = 300;
/// Tokens of the part that all prompts share, and of each prompt's own part.
const SHARED_TOKENS: u64 = 39_000;
const OWN_TOKENS: u64 = 43_900;
/// Memory of a replica: three prompts fit, with few of their events.
const MEMORY_TOKENS: u64 = 171_000;
const TOKENS_PER_MS: f64 = 85.2;
/// The former replica must not work on a request this long after it went on at another one.
const OVERLAP_MS: u64 = 400;

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"review","host":"desk.example","path_prefix":"/review/","kind":"streaming","timeout_ms":6000,"target_ms":500,"priority":0,"service":"models","max_attempts":2,"sticky":true,"resumable":true,"gap_target_ms":500}],"services":[{"name":"models","health_path":"/health","max_conns":300,"protocol":"h1","tls":false,"engine":{"slots":19,"kv_capacity_tokens":171000}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// The runs of one request.
#[derive(Default)]
struct Runs {
    /// Replica, first token and last work of each run; no last work while it goes on.
    all: Vec<(String, u64, Option<u64>)>,
}

type Requests = Arc<Mutex<HashMap<String, Runs>>>;

/// The stream that was preempted first.
static PREEMPTED: OnceLock<String> = OnceLock::new();

/// The requests that run at a replica, the newest last, with the tokens that each has made.
#[derive(Default)]
struct Memory {
    running: Mutex<Vec<(String, u64)>>,
}

impl Memory {
    fn used(running: &[(String, u64)]) -> u64 {
        let own = running.iter().map(|(_, made)| OWN_TOKENS + made);
        SHARED_TOKENS + own.sum::<u64>()
    }

    /// Admits a request if its prompt fits.
    fn admit(&self, id: &str, made: u64) -> bool {
        let mut running = self.running.lock().expect("no thread failed");
        running.push((id.to_owned(), made));
        let fits = Self::used(&running) <= MEMORY_TOKENS;
        if !fits {
            running.pop();
        }
        fits
    }

    /// Adds the tokens of an event; false if the memory ran out and this request, the newest, is
    /// preempted.
    fn grow(&self, id: &str) -> bool {
        let mut running = self.running.lock().expect("no thread failed");
        let known = running.iter_mut().find(|(other, _)| other == id);
        if let Some((_, made)) = known {
            *made += EVENT_TOKENS;
        }
        let is_newest = running.last().is_some_and(|(newest, _)| newest == id);
        let is_full = Self::used(&running) > MEMORY_TOKENS && running.len() > 1;
        if is_full && is_newest {
            running.pop();
        }
        !(is_full && is_newest)
    }

    fn release(&self, id: &str) {
        let mut running = self.running.lock().expect("no thread failed");
        running.retain(|(other, _)| other != id);
    }
}

/// Waits for memory; false if the connection is closed.
fn waits_for_memory(stream: &mut TcpStream, memory: &Memory, id: &str, made: u64) -> bool {
    while !memory.admit(id, made) {
        if !works(stream, Duration::from_millis(10)) {
            return false;
        }
    }
    true
}

/// Reads tokens of a prompt; false if the connection is closed.
fn reads(stream: &mut TcpStream, tokens: u64) -> bool {
    works(stream, Duration::from_secs_f64(tokens as f64 / TOKENS_PER_MS / 1_000.0))
}

fn begin(requests: &Requests, id: &str, replica: &str) -> usize {
    let mut requests = requests.lock().expect("no thread failed");
    let runs = &mut requests.entry(id.to_owned()).or_default().all;
    runs.push((replica.to_owned(), now_ms(), None));
    runs.len() - 1
}

/// Ends a run whose last work was at this time.
fn end(requests: &Requests, id: &str, run: usize, worked_ms: u64) {
    let mut requests = requests.lock().expect("no thread failed");
    if let Some(runs) = requests.get_mut(id) {
        runs.all[run].2 = Some(worked_ms);
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
    memory: &Memory,
    requests: &Requests,
    loses_answer: bool,
) -> bool {
    let _ = stream.set_read_timeout(None);
    if !request.read_rest(stream) {
        return false;
    }
    let id = request.value("x-request-id").unwrap_or_default().to_owned();
    let last: Option<u64> = request.value("last-event-id").and_then(|last| last.parse().ok());
    let last = last.unwrap_or(0);
    note(&format!("{own}: takes {id}, last event {last}"));
    let made = last * EVENT_TOKENS;
    let has_begun = waits_for_memory(stream, memory, &id, made) && reads(stream, OWN_TOKENS + made);
    if !has_begun {
        memory.release(&id);
        note(&format!("{own}: connection of {id} closed before its first token"));
        return false;
    }
    let number = begin(requests, &id, own);
    let is_lost = number == 1 && loses_answer && PREEMPTED.get() == Some(&id);
    note(&format!("{own}: first token of {id}, answer lost: {is_lost}"));
    // A request that waits for memory is not worked on.
    let mut worked_ms = now_ms();
    let mut is_open =
        is_lost || stream.write_all(stream_head(own, &id, SLOTS).as_bytes()).is_ok();
    for event_number in last + 1..=EVENTS {
        is_open = is_open && works(stream, Duration::from_millis(EVENT_MS));
        worked_ms = now_ms();
        if is_open && !memory.grow(&id) {
            let _ = PREEMPTED.set(id.clone());
            let made = event_number * EVENT_TOKENS;
            note(&format!("{own}: memory ran out, {id} is preempted after event {last}..{event_number}"));
            is_open = waits_for_memory(stream, memory, &id, made);
            note(&format!("{own}: {id} is read anew, connection open: {is_open}"));
            if is_open {
                is_open = reads(stream, OWN_TOKENS + made);
                worked_ms = now_ms();
            }
            note(&format!("{own}: {id} goes on, connection open: {is_open}"));
        }
        if !is_open {
            memory.release(&id);
            end(requests, &id, number, worked_ms);
            note(&format!("{own}: connection of {id} closed, request dropped"));
            return false;
        }
        if !is_lost {
            let text = event(event_number, &format!("{id}/{event_number}"));
            is_open = stream.write_all(text.as_bytes()).is_ok();
        }
    }
    memory.release(&id);
    end(requests, &id, number, worked_ms);
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
        let memory = Memory::default();
        let work = move |stream: &mut TcpStream, request: &mut http::Request| {
            run(stream, request, &own, &memory, &requests, trouble)
        };
        let zone = ["worcester", "hartford"][usize::from(number) % 2];
        Replica::start(&id, "models", zone, SLOTS, fleet.members(), Arc::new(work));
    }
    thread::sleep(Duration::from_secs(3));
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let front = fleet.front((number % 2) as u8);
            thread::sleep(Duration::from_millis(STREAM_EVERY_MS));
            thread::spawn(move || {
                let id = format!("stream-{number}");
                let headers = format!(
                    "X-Request-Id: {id}\r\nX-Deadline-Ms: 6000\r\nX-Model: m\r\nX-Token-Usage: {},480\r\nX-Prefix-Hash: 5c1e07a2:{SHARED_TOKENS},{number:x}e4402b:{OWN_TOKENS}\r\nContent-Type: application/json\r\n",
                    SHARED_TOKENS + OWN_TOKENS
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
            let ((former, _, worked), (next, next_begin, _)) = (&pair[0], &pair[1]);
            let still_ms = worked.unwrap_or(u64::MAX).saturating_sub(*next_begin);
            note(&format!(
                "{id}: went on at {next}; {former} last worked on it {still_ms} ms after its first token there"
            ));
            is_broken |= still_ms > OVERLAP_MS;
        }
    }
    drop(requests);
    needed(PREEMPTED.get(), "no memory ran out");
    finish(if is_broken { BROKEN } else { HELD });
}
