//! What was sent, answered and run, in `record.txt`.

use std::{
    collections::BTreeMap,
    fs::File,
    io::Write,
    sync::Mutex,
    time::Instant,
};

pub struct Record {
    file: Mutex<File>,
    began: Instant,
    starts: Mutex<BTreeMap<String, usize>>,
    ends: Mutex<Vec<(String, &'static str)>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        Ok(Record {
            file: Mutex::new(File::create(path)?),
            began: Instant::now(),
            starts: Mutex::default(),
            ends: Mutex::default(),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }

    pub fn start(&self, task: &str) {
        *self.starts.lock().unwrap().entry(task.to_owned()).or_default() += 1;
    }

    pub fn end(&self, task: &str, how: &'static str) {
        self.ends.lock().unwrap().push((task.to_owned(), how));
    }

    /// Runs of a job's tasks that were started.
    pub fn starts_of(&self, job: &str) -> usize {
        let starts = self.starts.lock().unwrap();
        starts.iter().filter(|(task, _)| task.starts_with(job)).map(|(_, count)| count).sum()
    }

    /// Ends of this kind of a job's runs.
    pub fn ends_of(&self, job: &str, how: &str) -> usize {
        let ends = self.ends.lock().unwrap();
        ends.iter().filter(|(task, end)| task.starts_with(job) && *end == how).count()
    }
}
