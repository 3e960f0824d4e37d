//! The record of a run: what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    sync::{Mutex, OnceLock},
    time::{Duration, Instant},
};

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

/// Creates `record.txt` in `folder`.
pub fn open(folder: &str) {
    let path = format!("{folder}/record.txt");
    let file = File::create(&path).unwrap_or_else(|err| panic!("{path}: {err}"));
    _ = RECORD.set((Mutex::new(file), Instant::now()));
}

/// Returns the time since the start of the run.
pub fn now() -> Duration {
    RECORD.get().expect("the record is open").1.elapsed()
}

/// Writes a line with the time since the start of the run.
pub fn note(text: &str) {
    let (file, _) = RECORD.get().expect("the record is open");
    let line = format!("{:8.3} {text}\n", now().as_secs_f64());
    let mut file = file.lock().unwrap_or_else(|err| err.into_inner());
    _ = file.write_all(line.as_bytes());
}
