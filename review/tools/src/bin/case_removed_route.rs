//! While a machine of control stands still, a gateway learns of a new batch route later than the
//! others, and gives up the items of a job on it.

use std::{io::Write, net::SocketAddr, process::exit, sync::Arc, thread, time::Duration};

use linnethitch_review::{
    fleet::{Fleet, Signal},
    finish, has_trouble, http, limit_run, needed,
    record::{self, note, now_ms},
    replica::{event, stream_head, Replica, LAST_CHUNK},
    BROKEN, HELD, NOT_RUN,
};

/// So many that each gateway grants the slots of some of them.
const REPLICAS: u8 = 8;
const SLOTS: u32 = 2;
const EVENTS: u64 = 4;
const EVENT_MS: u64 = 150;
const ITEMS: u64 = 96;
/// `max_queue_s` of the batch routes.
const MAX_QUEUE_S: u64 = 30;

/// How often a batch route is added, each time with a job, until the rule breaks.
const ROUNDS: u64 = 5;

/// The configuration of a version; each after the first adds a batch route.
fn config(version: u64) -> String {
    let batch = |name: &str, prefix: &str| {
        format!(
            r#"{{"name":"{name}","host":"desk.example","path_prefix":"{prefix}","kind":"batch","timeout_ms":30000,"target_ms":400,"priority":2,"service":"models","max_attempts":3,"resumable":true,"gap_target_ms":500,"target_completion_ms":20000,"max_queue_s":{MAX_QUEUE_S}}}"#
        )
    };
    let mut routes = vec![batch("lanes", "/lanes/")];
    for added in 2..=version {
        routes.push(batch(&format!("tariffs-{added}"), &format!("/tariffs-{added}/")));
    }
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"models","health_path":"/health","max_conns":300,"protocol":"h1","tls":false,"engine":{{"slots":{SLOTS},"kv_capacity_tokens":171000}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(",")
    )
}

fn job(prefix: &str, name: &str) -> String {
    let items = (0..ITEMS).map(|item| {
        format!(
            r#"{{"id":"{name}-{item:03}","path":"{prefix}{item}","headers":{{"X-Model":"m","X-Token-Usage":"540,40"}},"body":"q83v","tokens":580}}"#
        )
    });
    format!(r#"{{"items":[{}]}}"#, items.collect::<Vec<_>>().join(","))
}

/// Runs an item: `EVENTS` events, each after `EVENT_MS`.
fn start_replica(number: u8, fleet: &Fleet) {
    let id = format!("i-{number}");
    let own = id.clone();
    let work = move |stream: &mut std::net::TcpStream, request: &mut http::Request| {
        if !request.read_rest(stream) {
            return false;
        }
        let item = request.value("x-request-id").unwrap_or_default().to_owned();
        let last = request.value("last-event-id").and_then(|last| last.parse().ok());
        note(&format!("{own}: runs {item}, last event {last:?}"));
        let mut sent = stream.write_all(stream_head(&own, &item, SLOTS).as_bytes()).is_ok();
        for number in last.unwrap_or(0) + 1..=EVENTS {
            thread::sleep(Duration::from_millis(EVENT_MS));
            let text = event(number, &format!("{item}/{number}"));
            sent = sent && stream.write_all(text.as_bytes()).is_ok();
        }
        sent && stream.write_all(LAST_CHUNK.as_bytes()).is_ok()
    };
    let zone = ["worcester", "hartford"][usize::from(number) % 2];
    Replica::start(&id, "models", zone, SLOTS, fleet.members(), Arc::new(work));
}

/// Waits until a gateway knows a route, with requests that earn nothing.
fn wait_for_route(front: SocketAddr, prefix: &str) {
    let path = format!("{prefix}probe");
    let second = Duration::from_secs(1);
    let known = http::until(400, Duration::from_secs(3), || {
        // Without an id, a known route answers 400, an unknown one 404.
        http::call(front, "GET", &path, "", b"", second)
    });
    needed(known, "a gateway did not learn of the new route");
    note(&format!("{front} knows {prefix}"));
}

/// Submits a job until it gets its 202.
fn submit(front: SocketAddr, prefix: &str, name: &str) -> u64 {
    let headers = format!("X-Request-Id: {name}\r\nContent-Type: application/json\r\n");
    let body = job(prefix, name);
    let path = format!("{prefix}{name}");
    let answer = http::until(202, Duration::from_secs(15), || {
        let limit = Duration::from_secs(3);
        let answer = http::call(front, "POST", &path, &headers, body.as_bytes(), limit);
        note(&format!("job {name} sent to {front}: {:?}", answer.as_ref().map(|a| a.status)));
        answer
    });
    needed(answer, "a job was not accepted");
    now_ms()
}

/// Reads the results of a job until all items are listed: numbers of succeeded items and of
/// items that were given up. `None` if that takes too long.
fn results(front: SocketAddr, name: &str, limit: Duration) -> Option<(usize, usize)> {
    let began = std::time::Instant::now();
    let path = format!("/lots/{name}?since_rev=0");
    let mut last = (0, 0);
    while began.elapsed() < limit {
        let second = Duration::from_secs(3);
        if let Some(answer) = http::call(front, "GET", &path, "", b"", second) {
            let count = |state: &str| answer.body.matches(&format!(r#""state":"{state}""#)).count();
            let found = (count("succeeded"), count("dead_letter"));
            if found != last {
                note(&format!("job {name}: {} succeeded, {} dead_letter", found.0, found.1));
                last = found;
            }
            if found.0 + found.1 >= ITEMS as usize {
                note(&format!("job {name}: {}", answer.body));
                return Some(found);
            }
        }
        thread::sleep(Duration::from_millis(300));
    }
    None
}

fn main() {
    let record_file = std::env::args().nth(1).unwrap_or_else(|| exit(NOT_RUN));
    record::open(&record_file);
    limit_run(Duration::from_secs(110));
    let trouble = has_trouble();
    note(&format!("disruption: {trouble}"));
    let fleet = Fleet::prepare();
    fleet.start();
    needed(
        fleet.put_config(&config(1), Duration::from_secs(20)).then_some(()),
        "no configuration",
    );
    fleet.wait_until_ready();
    (0..REPLICAS).for_each(|number| start_replica(number, &fleet));
    thread::sleep(Duration::from_secs(3));
    submit(fleet.front(0), "/lanes/", "job-before");
    let before = results(fleet.front(0), "job-before", Duration::from_secs(25));
    needed(
        before.filter(|(succeeded, _)| *succeeded == ITEMS as usize),
        "a job without disruption was not done",
    );
    for version in 2..2 + ROUNDS {
        if play_round(&fleet, version, trouble) > 0 {
            finish(BROKEN);
        }
        // Until the machine of control has caught up.
        thread::sleep(Duration::from_secs(5));
    }
    finish(HELD);
}

/// Adds a batch route and submits a job to it; the number of items that were given up.
fn play_round(fleet: &Fleet, version: u64, trouble: bool) -> usize {
    if trouble {
        // The machine of control in the zone of gateway 1.
        fleet.signal("core-1", Signal::Stop);
    }
    let acknowledged = fleet.put_config(&config(version), Duration::from_secs(10));
    needed(acknowledged.then_some(()), "no further configuration");
    let name = format!("job-{version}");
    let prefix = format!("/tariffs-{version}/");
    wait_for_route(fleet.front(0), &prefix);
    let accepted_ms = submit(fleet.front(0), &prefix, &name);
    if trouble {
        thread::sleep(Duration::from_millis(1_500));
        fleet.signal("core-1", Signal::Continue);
    }
    let listed = results(fleet.front(0), &name, Duration::from_secs(MAX_QUEUE_S - 8));
    let age_s = (now_ms() - accepted_ms) / 1_000;
    let Some((succeeded, given_up)) = listed else {
        note(&format!("not all items were listed {age_s} s after the 202"));
        finish(NOT_RUN);
    };
    note(&format!(
        "{succeeded} items succeeded, {given_up} are dead_letter {age_s} s after the 202; no replica answered 422 or 500, the job was not ended, max_queue_s is {MAX_QUEUE_S}, the route is in force"
    ));
    given_up
}
