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
    /// Checkpoints of the starts, by job and run, with the task.
    checkpoints: Mutex<BTreeMap<(String, u64), Vec<(String, String)>>>,
    ends: Mutex<Vec<(String, &'static str)>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        Ok(Record {
            file: Mutex::new(File::create(path)?),
            began: Instant::now(),
            starts: Mutex::default(),
            checkpoints: Mutex::default(),
            ends: Mutex::default(),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }

    pub fn start(&self, task: &str, run: u64, checkpoint: &str) {
        let job = task.split('.').next().unwrap_or_default().to_owned();
        let mut checkpoints = self.checkpoints.lock().unwrap();
        let row = (task.to_owned(), checkpoint.to_owned());
        checkpoints.entry((job, run)).or_default().push(row);
        *self.starts.lock().unwrap().entry(task.to_owned()).or_default() += 1;
    }

    pub fn end(&self, task: &str, how: &'static str) {
        self.ends.lock().unwrap().push((task.to_owned(), how));
    }

    /// The checkpoints with which the members of a job's gang were started, by run.
    pub fn checkpoints_of(&self, job: &str) -> Vec<(u64, Vec<(String, String)>)> {
        let checkpoints = self.checkpoints.lock().unwrap();
        let of_job = checkpoints.iter().filter(|((of, _), _)| of == job);
        of_job.map(|((_, run), rows)| (*run, rows.clone())).collect()
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
