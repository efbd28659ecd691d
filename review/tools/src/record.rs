//! The record of a run: what was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::Write,
    sync::{Mutex, OnceLock},
    time::Instant,
};

static START: OnceLock<Instant> = OnceLock::new();
static FILE: OnceLock<Mutex<File>> = OnceLock::new();

/// Opens the record.
pub fn open(path: &str) {
    START.get_or_init(Instant::now);
    let file = File::create(path).expect("the record can be written");
    let _ = FILE.set(Mutex::new(file));
    let usual = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        usual(panic);
        if std::thread::current().name() == Some("main") {
            crate::finish(crate::NOT_RUN);
        }
    }));
}

/// Milliseconds since the start of the run.
pub fn now_ms() -> u64 {
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// Adds a line.
pub fn note(text: &str) {
    let line = format!("{:>7} ms  {text}\n", now_ms());
    print!("{line}");
    if let Some(file) = FILE.get() {
        let mut file = file.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = file.write_all(line.as_bytes());
    }
}
