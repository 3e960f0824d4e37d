//! The record of a case: what was sent, answered and run, with the time since its start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn since_start(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} s  {}\n", self.since_start().as_secs_f64(), text.as_ref());
        print!("{line}");
        let mut file = self.file.lock().unwrap_or_else(|err| err.into_inner());
        _ = file.write_all(line.as_bytes());
    }
}
