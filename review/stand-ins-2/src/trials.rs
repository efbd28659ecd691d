//! The trials.

use std::{
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{self, Request, counts, hex, is_served, job_document, listing, put_config, submit},
    fleet::{Deployment, Fleet, Machine, Role},
    record::Record,
    replica::{Replica, STRIDE},
};

pub const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"q","host":"desk.example","path_prefix":"/quotes/","kind":"streaming","timeout_ms":6000,"target_ms":500,"priority":0,"service":"models","max_attempts":2,"sticky":true,"resumable":true,"gap_target_ms":500},
{"name":"l","host":"desk.example","path_prefix":"/lanes/","kind":"batch","timeout_ms":30000,"target_ms":400,"priority":2,"service":"models","max_attempts":3,"target_completion_ms":20000,"max_queue_s":60,"max_queued_tokens":0}],
"services":[{"name":"models","health_path":"/health","max_conns":300,"protocol":"h1","tls":false,"engine":{"slots":8,"kv_capacity_tokens":171000,"kv_token_bytes":327680,"link_mbps":740000.0,"backups":true,"stride":10,"max_queued_tokens":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Events of a stream, and the time of each in milliseconds: ten tokens, 2.8 ms each.
const EVENTS: u32 = 10;
const EVENT_MS: u64 = 28;
const FINISH: Duration = Duration::from_secs(18);
const CONTACT: Duration = Duration::from_secs(3);
const RECOVERY: Duration = Duration::from_secs(12);
const CATCH_UP: Duration = Duration::from_millis(4_700);

fn machine(name: &str, role: Role, host: u8, zone: &'static str, region: &'static str) -> Machine {
    Machine {
        name: name.to_owned(),
        role,
        host,
        zone,
        region,
    }
}

struct Folder(PathBuf);

impl Folder {
    fn path() -> PathBuf {
        let name = format!("review-trial-{}", std::process::id());
        std::env::temp_dir().join(name)
    }

    fn temporary() -> Self {
        Folder(Self::path())
    }
}

pub fn remove_folder() {
    let _ = std::fs::remove_dir_all(&Folder::path());
}

impl Drop for Folder {
    fn drop(&mut self) {
        match std::env::var("KEEP_LOGS") {
            Ok(to) => {
                let _ = std::fs::create_dir_all(&to);
                let entries = std::fs::read_dir(&self.0).into_iter().flatten().flatten();
                for entry in entries.filter(|e| e.path().extension().is_some_and(|x| x == "log")) {
                    let to = PathBuf::from(&to).join(entry.file_name());
                    let _ = std::fs::copy(entry.path(), to);
                }
            }
            Err(_) => {}
        }
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Sends streaming requests to the fronts in turn; returns how many were served, and logs the
/// statuses of the others.
fn requests(
    record: &Record,
    fronts: &[SocketAddr],
    first: u64,
    number: u64,
    gap: Duration,
    extra: &[(&str, &str)],
) -> u64 {
    let mut served = 0;
    let mut others: Vec<u16> = Vec::new();
    for at in first..first + number {
        let id = hex(at);
        let front = fronts[(at as usize) % fronts.len()];
        let request = Request {
            path: "/quotes/2f",
            id: &id,
            deadline_ms: 4000,
            extra,
            most_out: client::USUAL_OUT,
        };
        let answer = client::stream(front, &request);
        if is_served(answer.as_ref(), &id, EVENTS) {
            served += 1;
        } else {
            others.push(client::status(answer.as_ref()));
        }
        thread::sleep(gap);
    }
    record.line(&format!(
        "clients: {served} of {number} streams served whole; statuses of the others: {others:?}"
    ));
    served
}

/// Waits until the system serves.
pub fn wait_until_served(record: &Record, fronts: &[SocketAddr]) -> Result<(), String> {
    let until = Instant::now() + Duration::from_secs(30);
    for at in 900_000.. {
        if Instant::now() > until {
            return Err("the system served nothing within 30 s".to_owned());
        }
        let id = hex(at);
        let request = Request {
            path: "/quotes/2f",
            id: &id,
            deadline_ms: 4000,
            extra: &[],
            most_out: client::USUAL_OUT,
        };
        let served = fronts
            .iter()
            .all(|front| is_served(client::stream(*front, &request).as_ref(), &id, EVENTS));
        if served {
            break;
        }
        thread::sleep(Duration::from_millis(300));
    }
    record.line("every front serves");
    Ok(())
}

/// Submits a job and reads it for `finish_s`; whether all of it was listed.
struct JobEnd {
    accepted: bool,
    total: usize,
    succeeded: usize,
    dead: usize,
}

fn run_job(
    record: &Record,
    fronts: &[SocketAddr],
    number: u64,
    items: u64,
    wait: Duration,
) -> JobEnd {
    let job = hex(number);
    let ids: Vec<String> = (0..items).map(|item| hex(number + 1 + item)).collect();
    let accepted = submit(record, fronts, &job, &job_document(&ids));
    let mut end = JobEnd {
        accepted,
        total: ids.len(),
        succeeded: 0,
        dead: 0,
    };
    let until = Instant::now() + wait;
    let mut at = 0;
    while accepted && Instant::now() < until && end.succeeded + end.dead < end.total {
        thread::sleep(Duration::from_millis(500));
        let front = fronts[at % fronts.len()];
        at += 1;
        if let Some(answer) = listing(front, &job).filter(|answer| answer.status == 200) {
            (end.succeeded, end.dead) = counts(&answer.text());
        }
    }
    record.line(&format!(
        "client: job {job}: {} of {} listed as succeeded, {} as dead_letter",
        end.succeeded, end.total, end.dead
    ));
    end
}

/// What the rule LOST looks at in the last seconds: nothing at work, nothing finished.
fn idle_replicas(replicas: &[Replica], within: Duration) -> bool {
    replicas.iter().all(|replica| {
        let runs = replica.state.runs.lock().unwrap();
        let busy = replica
            .state
            .running
            .load(std::sync::atomic::Ordering::SeqCst)
            > 0;
        !busy && runs.iter().all(|run| run.began.elapsed() > within)
    })
}

/// Two regions lose each other for half a minute. The replicas stand in one of them and are in
/// touch with the control machine there all the while.
pub fn regions(record: &Record, trouble: bool) -> Result<bool, String> {
    let (east, west) = ("new-england", "new-york");
    let deployment = Deployment {
        machines: vec![
            machine("control-1", Role::Control, 1, "worcester", east),
            machine("control-2", Role::Control, 2, "hartford", east),
            machine("control-3", Role::Control, 3, "albany", west),
            machine("store-1", Role::Store, 11, "worcester", east),
            machine("store-2", Role::Store, 12, "hartford", east),
            machine("store-3", Role::Store, 13, "hartford", east),
            machine("front-1", Role::Front, 21, "worcester", east),
            machine("front-2", Role::Front, 22, "albany", west),
        ],
        zones: vec![("worcester", east), ("hartford", east), ("albany", west)],
        memory_mb: [260, 290, 256],
        tolerate: 1,
        split: Some((east, west)),
    };
    let folder = Folder::temporary();
    let mut fleet = Fleet::new(deployment, &folder.0)?;
    fleet.start_all();
    let fronts = [fleet.front("front-1"), fleet.front("front-2")];
    let near = fleet.control("control-3");
    let controls = [fleet.control("control-1"), fleet.control("control-2"), near];
    if !put_config(record, &controls, CONFIG, Duration::from_secs(20)) {
        return Err("no configuration was taken".to_owned());
    }
    let replicas: Vec<Replica> = (0..3_u8)
        .map(|number| {
            let ip = IpAddr::V4(fleet.ip(41 + number));
            let id = format!("i-7f3a91c{number}");
            let replica = Replica::start(&id, ip, EVENTS, EVENT_MS, record.clone());
            replica.beat("models", "albany", vec![near, controls[0], controls[1]]);
            replica
        })
        .collect();
    wait_until_served(record, &fronts)?;
    let before = requests(record, &fronts, 1, 20, Duration::from_millis(100), &[]);
    if before < 20 {
        return Err("not all was served before the disruption".to_owned());
    }
    let first = run_job(record, &fronts, 10_000, 8, FINISH);
    if first.succeeded < first.total {
        return Err("the first job was not done before the disruption".to_owned());
    }
    let cut = Duration::from_secs(25);
    if trouble {
        fleet.set_cut(true);
        record.line("the regions lose each other");
    }
    let cut_until = Instant::now() + cut;
    let mut at = 1_000;
    while Instant::now() < cut_until {
        requests(
            record,
            &fronts[1..],
            at,
            10,
            Duration::from_millis(100),
            &[],
        );
        at += 10;
    }
    if trouble {
        fleet.set_cut(false);
        record.line("the regions reach each other again");
    }
    thread::sleep(RECOVERY + CONTACT);
    for replica in &replicas {
        let last = replica
            .state
            .last_ack
            .lock()
            .unwrap()
            .map(|at| at.elapsed());
        record.line(&format!(
            "replica {}: {} heartbeats acknowledged, the last {last:?} ago",
            replica.id,
            replica.state.acks.load(std::sync::atomic::Ordering::SeqCst)
        ));
    }
    let after = requests(record, &fronts, 5_000, 20, Duration::from_millis(100), &[]);
    let last = run_job(record, &fronts, 20_000, 8, FINISH + Duration::from_secs(1));
    let idle = idle_replicas(&replicas, Duration::from_secs(5));
    record.line(&format!(
        "after the disruption: {after} of 20 streams served; no replica at work in the last 5 s: {idle}"
    ));
    if !last.accepted {
        return Err("the job after the disruption was not accepted".to_owned());
    }
    let unlisted = last.total - last.succeeded - last.dead;
    fleet.stop_all();
    Ok(unlisted > 0 && idle)
}

/// A client asks for weights that no replica has.
pub fn weights(record: &Record, trouble: bool) -> Result<bool, String> {
    let region = "new-england";
    let deployment = Deployment {
        machines: vec![
            machine("control-1", Role::Control, 1, "worcester", region),
            machine("control-2", Role::Control, 2, "hartford", region),
            machine("control-3", Role::Control, 3, "portland", region),
            machine("store-1", Role::Store, 11, "worcester", region),
            machine("store-2", Role::Store, 12, "hartford", region),
            machine("store-3", Role::Store, 13, "portland", region),
            machine("front-1", Role::Front, 21, "worcester", region),
            machine("front-2", Role::Front, 22, "hartford", region),
        ],
        zones: vec![
            ("worcester", region),
            ("hartford", region),
            ("portland", region),
        ],
        memory_mb: [260, 290, 256],
        tolerate: 1,
        split: None,
    };
    let folder = Folder::temporary();
    let mut fleet = Fleet::new(deployment, &folder.0)?;
    fleet.start_all();
    let fronts = [fleet.front("front-1"), fleet.front("front-2")];
    let controls = [
        fleet.control("control-1"),
        fleet.control("control-2"),
        fleet.control("control-3"),
    ];
    if !put_config(record, &controls, CONFIG, Duration::from_secs(20)) {
        return Err("no configuration was taken".to_owned());
    }
    let replicas: Vec<Replica> = (0..3_u8)
        .map(|number| {
            let ip = IpAddr::V4(fleet.ip(41 + number));
            let id = format!("i-7f3a91c{number}");
            let replica = Replica::start(&id, ip, EVENTS, EVENT_MS, record.clone());
            let mut nodes = controls.to_vec();
            nodes.rotate_left(usize::from(number));
            replica.beat("models", "worcester", nodes);
            replica
        })
        .collect();
    wait_until_served(record, &fronts)?;
    let before = requests(record, &fronts, 1, 20, Duration::from_millis(100), &[]);
    if before < 20 {
        return Err("not all was served before the disruption".to_owned());
    }
    let extra: &[(&str, &str)] = if trouble {
        &[("X-Expect-Version", "2")]
    } else {
        &[]
    };
    record.line(&format!("one client asks with {extra:?}"));
    requests(record, &fronts, 1_000, 2, Duration::from_millis(500), extra);
    thread::sleep(RECOVERY);
    for replica in &replicas {
        let last = replica
            .state
            .last_ack
            .lock()
            .unwrap()
            .map(|at| at.elapsed());
        record.line(&format!(
            "replica {}: {} heartbeats acknowledged, the last {last:?} ago",
            replica.id,
            replica.state.acks.load(std::sync::atomic::Ordering::SeqCst)
        ));
    }
    let after = requests(record, &fronts, 5_000, 20, Duration::from_millis(100), &[]);
    let last = run_job(record, &fronts, 20_000, 8, FINISH + Duration::from_secs(1));
    let idle = idle_replicas(&replicas, Duration::from_secs(5));
    record.line(&format!(
        "after the disruption: {after} of 20 streams served; no replica at work in the last 5 s: {idle}"
    ));
    if !last.accepted {
        return Err("the job after the disruption was not accepted".to_owned());
    }
    let unlisted = last.total - last.succeeded - last.dead;
    fleet.stop_all();
    Ok(unlisted > 0 && idle)
}

/// A store machine is retired and removed; later a machine with its address replaces another one
/// that is gone for good; once that has caught up, one more store loses its disk.
pub fn returned_store(record: &Record, trouble: bool) -> Result<bool, String> {
    let region = "new-england";
    let mut machines = vec![
        machine("control-1", Role::Control, 1, "worcester", region),
        machine("control-2", Role::Control, 2, "hartford", region),
        machine("control-3", Role::Control, 3, "portland", region),
        machine("store-1", Role::Store, 11, "worcester", region),
        machine("store-2", Role::Store, 12, "hartford", region),
        machine("store-3", Role::Store, 13, "portland", region),
        machine("store-4", Role::Store, 14, "worcester", region),
        machine("front-1", Role::Front, 21, "worcester", region),
        machine("front-2", Role::Front, 22, "hartford", region),
    ];
    // The machine that replaces store-2: at the address of store-1, or at one of its own.
    let host = if trouble { 11 } else { 15 };
    machines.push(machine("store-5", Role::Store, host, "hartford", region));
    let deployment = Deployment {
        machines,
        zones: vec![
            ("worcester", region),
            ("hartford", region),
            ("portland", region),
        ],
        memory_mb: [260, 290, 256],
        tolerate: 1,
        split: None,
    };
    let folder = Folder::temporary();
    let mut fleet = Fleet::new(deployment, &folder.0)?;
    for machine in fleet.deployment.machines.clone() {
        if !["store-4", "store-5"].contains(&machine.name.as_str()) {
            fleet.start(&machine.name, true);
        }
    }
    let fronts = [fleet.front("front-1"), fleet.front("front-2")];
    let controls = [
        fleet.control("control-1"),
        fleet.control("control-2"),
        fleet.control("control-3"),
    ];
    if !put_config(record, &controls, CONFIG, Duration::from_secs(20)) {
        return Err("no configuration was taken".to_owned());
    }
    let replica_ip = IpAddr::V4(fleet.ip(41));
    let replica = Replica::start("i-7f3a91c0", replica_ip, EVENTS, EVENT_MS, record.clone());
    replica.beat("models", "worcester", controls.to_vec());
    wait_until_served(record, &fronts)?;
    let first = run_job(record, &fronts, 10_000, 8, FINISH);
    if first.succeeded < first.total {
        return Err("the first job was not done".to_owned());
    }
    fleet.start("store-4", false);
    record.line("store-4 is added, empty");
    thread::sleep(CATCH_UP + Duration::from_secs(1));
    if !retire(record, &controls, "store-1") {
        return Err("store-1 was not emptied".to_owned());
    }
    fleet.remove("store-1");
    record.line("store-1 is removed with its disk");
    thread::sleep(CATCH_UP + Duration::from_secs(3));
    fleet.remove("store-2");
    record.line("store-2 is gone for good with its disk");
    thread::sleep(Duration::from_secs(2));
    fleet.start("store-5", false);
    let address = fleet.ip(host);
    record.line(&format!("store-5 comes at {address}, empty"));
    thread::sleep(CATCH_UP + Duration::from_secs(8));
    let second = run_job(record, &fronts, 15_000, 8, FINISH);
    record.line(&format!("a job meanwhile: accepted {}", second.accepted));
    fleet.remove("store-3");
    record.line("store-3 loses its disk");
    thread::sleep(Duration::from_secs(2));
    fleet.start("store-3", false);
    record.line("store-3 is back, empty");
    thread::sleep(RECOVERY + CONTACT);
    let mut statuses = Vec::new();
    let mut is_read = false;
    for at in 0..8 {
        let answer = listing(fronts[at % 2], &hex(10_000));
        statuses.push(client::status(answer.as_ref()));
        is_read |= answer
            .is_some_and(|answer| answer.status == 200 && counts(&answer.text()).0 == first.total);
        thread::sleep(Duration::from_millis(500));
    }
    record.line(&format!("client: reads of the first job: {statuses:?}"));
    fleet.stop_all();
    Ok(!is_read)
}

/// Asks until the machine is emptied.
fn retire(record: &Record, controls: &[SocketAddr], name: &str) -> bool {
    let until = Instant::now() + Duration::from_secs(20);
    let path = format!("/retire/{name}");
    let limit = Duration::from_secs(1);
    let head = [("Content-Type", "application/json")];
    let mut ordered = false;
    let mut at = 0;
    while Instant::now() < until {
        let node = controls[at % controls.len()];
        at += 1;
        if !ordered {
            let body = br#"{"complete_by_s":10}"#;
            let answer = crate::http::call(node, "POST", &path, &head, body, limit);
            let status = client::status(answer.as_ref());
            record.line(&format!("operator: POST {path}: {status}"));
            ordered = status == 200;
        } else {
            let answer = crate::http::call(node, "GET", &path, &[], b"", limit);
            let text = answer.map(|answer| answer.text()).unwrap_or_default();
            if text.contains("succeeded") {
                record.line(&format!("operator: GET {path}: {text}"));
                return true;
            }
        }
        thread::sleep(Duration::from_millis(300));
    }
    false
}

const JOBS: u64 = 100;
const ITEMS: u64 = 36;

/// Five of a hundred jobs are of items that are larger than the memory of any replica.
pub fn too_large(record: &Record, trouble: bool) -> Result<bool, String> {
    let region = "new-england";
    let deployment = Deployment {
        machines: vec![
            machine("control-1", Role::Control, 1, "worcester", region),
            machine("control-2", Role::Control, 2, "hartford", region),
            machine("control-3", Role::Control, 3, "portland", region),
            machine("store-1", Role::Store, 11, "worcester", region),
            machine("store-2", Role::Store, 12, "hartford", region),
            machine("store-3", Role::Store, 13, "portland", region),
            machine("front-1", Role::Front, 21, "worcester", region),
            machine("front-2", Role::Front, 22, "hartford", region),
        ],
        zones: vec![
            ("worcester", region),
            ("hartford", region),
            ("portland", region),
        ],
        memory_mb: [260, 290, 256],
        tolerate: 1,
        split: None,
    };
    let folder = Folder::temporary();
    let mut fleet = Fleet::new(deployment, &folder.0)?;
    fleet.start_all();
    let fronts = [fleet.front("front-1"), fleet.front("front-2")];
    let controls = [
        fleet.control("control-1"),
        fleet.control("control-2"),
        fleet.control("control-3"),
    ];
    if !put_config(record, &controls, CONFIG, Duration::from_secs(20)) {
        return Err("no configuration was taken".to_owned());
    }
    let replicas: Vec<Replica> = (0..6_u8)
        .map(|number| {
            let ip = IpAddr::V4(fleet.ip(41 + number));
            let id = format!("i-7f3a91c{number}");
            let replica = Replica::start(&id, ip, EVENTS, EVENT_MS, record.clone());
            let mut nodes = controls.to_vec();
            nodes.rotate_left(usize::from(number % 3));
            replica.beat("models", "worcester", nodes);
            replica
        })
        .collect();
    wait_until_served(record, &fronts)?;
    // Within a second come a hundred jobs; of five of them, no replica can do the items.
    record.line(&format!(
        "{JOBS} jobs of {ITEMS} items each; every twentieth is too large for any replica: {trouble}"
    ));
    let number_of = |at: u64| 100_000 + 1_000 * at;
    let ids_of = |at: u64| -> Vec<String> {
        let first = number_of(at) + 1;
        (first..first + ITEMS).map(hex).collect()
    };
    for at in 0..JOBS {
        let document = job_document(&ids_of(at));
        let document = if trouble && at % 20 == 0 {
            document
                .replace("540,400", "200000,400")
                .replace("9c2e41:300", "9c2e41:199760")
                .replace(r#""tokens":940"#, r#""tokens":200400"#)
        } else {
            document
        };
        let fronts = [fronts[at as usize % 2], fronts[(at as usize + 1) % 2]];
        if !submit(record, &fronts, &hex(number_of(at)), &document) {
            return Err("a job was not accepted".to_owned());
        }
    }
    // The last of them, a sound one, is judged.
    let last = ids_of(JOBS - 1);
    let job = hex(number_of(JOBS - 1));
    // Ten seconds more of online traffic, after which batch jobs are given finish_s.
    requests(record, &fronts, 70_000, 40, Duration::from_millis(90), &[]);
    thread::sleep(FINISH);
    let now = Instant::now();
    let Some(answer) = listing(fronts[0], &job).filter(|answer| answer.status == 200) else {
        return Err("the last job could not be read".to_owned());
    };
    let text = answer.text();
    let unlisted: Vec<&String> = last
        .iter()
        .filter(|id| !text.contains(id.as_str()))
        .collect();
    let (succeeded, dead) = counts(&text);
    record.line(&format!(
        "client: last job: {succeeded} of {ITEMS} listed as succeeded, {dead} as dead_letter"
    ));
    let mut waiting = 0;
    for at in 0..JOBS {
        let listed = listing(fronts[0], &hex(number_of(at)));
        let listed = listed.map_or((0, 0), |answer| counts(&answer.text()));
        waiting += ITEMS as usize - listed.0 - listed.1;
    }
    let verdict = lost(record, &replicas, &unlisted, waiting, now);
    fleet.stop_all();
    Ok(verdict)
}

/// The rule LOST for the unlisted items of a job, at the end of `finish_s`.
fn lost(
    record: &Record,
    replicas: &[Replica],
    unlisted: &[&String],
    waiting: usize,
    now: Instant,
) -> bool {
    let within = |at: Instant, seconds: u64| {
        now.saturating_duration_since(at) <= Duration::from_secs(seconds)
    };
    let (mut held, mut finished_3, mut finished_5, mut rejected) = (0, 0, 0, 0);
    for replica in replicas {
        rejected += replica
            .state
            .rejected
            .load(std::sync::atomic::Ordering::SeqCst);
        for run in replica.state.runs.lock().unwrap().iter() {
            let is_recent = run.ended.is_none_or(|at| within(at, 5));
            held += usize::from(is_recent && unlisted.iter().any(|id| **id == run.request));
            finished_3 += usize::from(run.done.is_some_and(|at| within(at, 3)));
            finished_5 += usize::from(run.done.is_some_and(|at| within(at, 5)));
        }
    }
    record.line(&format!(
        "finish_s is over: {} items of the job unlisted; runs of them at replicas in the last 5 s: {held}; items finished in the last 3 s: {finished_3}, in the last 5 s: {finished_5}; items that wait in all: {waiting}; rejections as full so far: {rejected}",
        unlisted.len()
    ));
    let is_excused = finished_3 > 0 && finished_5 * 10 >= waiting;
    !unlisted.is_empty() && held == 0 && !is_excused
}

/// A front is asked to stop while its clients still have its address; one of them asks for an
/// answer that is longer than the last ones were.
pub fn long_answer(record: &Record, trouble: bool) -> Result<bool, String> {
    let region = "new-england";
    let deployment = Deployment {
        machines: vec![
            machine("control-1", Role::Control, 1, "worcester", region),
            machine("control-2", Role::Control, 2, "hartford", region),
            machine("control-3", Role::Control, 3, "portland", region),
            machine("store-1", Role::Store, 11, "worcester", region),
            machine("store-2", Role::Store, 12, "hartford", region),
            machine("store-3", Role::Store, 13, "portland", region),
            machine("front-1", Role::Front, 21, "worcester", region),
            machine("front-2", Role::Front, 22, "hartford", region),
            machine("front-3", Role::Front, 23, "portland", region),
        ],
        zones: vec![
            ("worcester", region),
            ("hartford", region),
            ("portland", region),
        ],
        memory_mb: [260, 290, 256],
        tolerate: 1,
        split: None,
    };
    let folder = Folder::temporary();
    let mut fleet = Fleet::new(deployment, &folder.0)?;
    fleet.start_all();
    let fronts = [
        fleet.front("front-1"),
        fleet.front("front-2"),
        fleet.front("front-3"),
    ];
    let controls = [
        fleet.control("control-1"),
        fleet.control("control-2"),
        fleet.control("control-3"),
    ];
    let config = CONFIG
        .replace(r#""timeout_ms":6000"#, r#""timeout_ms":8000"#)
        .replace(r#""max_attempts":2"#, r#""max_attempts":1"#)
        .replace(r#""resumable":true"#, r#""resumable":false"#);
    if !put_config(record, &controls, &config, Duration::from_secs(20)) {
        return Err("no configuration was taken".to_owned());
    }
    let replicas: Vec<Replica> = (0..3_u8)
        .map(|number| {
            let ip = IpAddr::V4(fleet.ip(41 + number));
            let id = format!("i-7f3a91c{number}");
            let replica = Replica::start(&id, ip, EVENTS, EVENT_MS, record.clone());
            let mut nodes = controls.to_vec();
            nodes.rotate_left(usize::from(number));
            replica.beat("models", "worcester", nodes);
            replica
        })
        .collect();
    wait_until_served(record, &fronts)?;
    let before = requests(record, &fronts, 1, 100, Duration::from_millis(50), &[]);
    if before < 100 {
        return Err("not all was served before the stop".to_owned());
    }
    let stop = Instant::now();
    if trouble {
        fleet.signal("front-1", "TERM");
        record.line("front-1 gets SIGTERM");
    }
    // Clients hold on to the answer of the directory and go on as before.
    let mut hands = Vec::new();
    for at in 0..32_u64 {
        let (front, record) = (fronts[0], record.clone());
        let at_ms = 100 * (at + 1);
        // One of them, 3.2 s after the signal, asks for a long answer.
        let most_out = if at == 31 {
            LONG_OUT
        } else {
            client::USUAL_OUT
        };
        hands.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(at_ms).saturating_sub(stop.elapsed()));
            let id = hex(3_000 + at);
            let request = Request {
                path: "/quotes/2f",
                id: &id,
                deadline_ms: 8000,
                extra: &[],
                most_out,
            };
            let sent = stop.elapsed();
            let answer = client::stream(front, &request);
            let events = if most_out == LONG_OUT { LONG_OUT / STRIDE } else { EVENTS };
            let served = is_served(answer.as_ref(), &id, events);
            let got = answer.as_ref().map_or(0, |a| client::data_of(&a.text()).lines().count());
            record.line(&format!(
                "client: {id}, {most_out} tokens out, sent {sent:.3?} after the signal: status {}, {got} of {events} events, whole: {served}, after {:.3?}",
                client::status(answer.as_ref()),
                stop.elapsed() - sent
            ));
            (most_out == LONG_OUT).then(|| (client::status(answer.as_ref()), served, stop.elapsed()))
        }));
    }
    let mut cut = false;
    for hand in hands {
        if let Ok(Some((status, served, end))) = hand.join() {
            // Until 1 s after grace_s; the client's deadline comes later.
            cut = status == 200 && !served && end < Duration::from_secs(9);
        }
    }
    let id = hex(3_031);
    for replica in &replicas {
        for run in replica.state.runs.lock().unwrap().iter() {
            if run.request == id {
                record.line(&format!(
                    "replica {}: began {id} {:.3?} after the signal, to its last event: {}",
                    replica.id,
                    run.began.saturating_duration_since(stop),
                    run.done.is_some()
                ));
            }
        }
    }
    fleet.stop_all();
    Ok(cut)
}

/// At ten tokens an event and 28 ms an event, an answer of 4.5 s.
const LONG_OUT: u32 = 1_600;
