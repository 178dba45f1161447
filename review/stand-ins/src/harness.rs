//! Runs a case: the record of what happened, the time limit and the exit code.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::PathBuf;
use std::process::exit;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::gateway::kill_all;

/// The time after which a case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// The record of what was sent, answered and run.
#[derive(Debug, Clone)]
pub struct Record {
    started_at: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    /// Adds a line with the time since the start of the case.
    pub fn add(&self, text: impl AsRef<str>) {
        let at = self.started_at.elapsed().as_secs_f64();
        let line = format!("{at:8.3} s  {}", text.as_ref());
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).push(line);
    }

    /// Returns the time since the start of the case.
    pub fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn text(&self) -> String {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.iter().map(|line| format!("{line}\n")).collect()
    }
}

/// What a case gets.
#[derive(Debug)]
pub struct Case {
    /// Whether the disruption is to happen.
    pub has_trouble: bool,
    /// The record.
    pub record: Record,
    /// A temporary folder for settings and logs.
    pub folder: PathBuf,
}

/// Runs a case and ends the process: with 0 if `judge` returns that the rule held, with 1 if it was
/// broken, with 2 if the case could not run. The first argument is the folder of `record.txt`.
pub fn run(judge: impl FnOnce(&Case) -> Result<bool, String>) -> ! {
    let record_folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
    let folder = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
    let record = Record { started_at: Instant::now(), lines: Arc::default() };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let case = Case { has_trouble, record: record.clone(), folder: folder.clone() };
    let finish = move |code: i32| -> ! {
        let _ = std::fs::write(record_folder.join("record.txt"), record.text());
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&folder);
        }
        exit(code)
    };
    let late_finish = finish.clone();
    let late_record = case.record.clone();
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        late_record.add("time limit reached");
        kill_all();
        late_finish(2)
    });
    if let Err(error) = std::fs::create_dir_all(&case.folder) {
        eprintln!("no temporary folder: {error}");
        finish(2)
    }
    case.record.add(format!("disruption: {}", if has_trouble { "yes" } else { "no" }));
    let result = catch_unwind(AssertUnwindSafe(|| judge(&case)));
    kill_all();
    let code = match result {
        Ok(Ok(true)) => {
            case.record.add("the rule held");
            0
        }
        Ok(Ok(false)) => {
            case.record.add("the rule was broken");
            1
        }
        Ok(Err(error)) => {
            case.record.add(format!("the case could not run: {error}"));
            eprintln!("the case could not run: {error}");
            2
        }
        Err(_) => {
            case.record.add("the case could not run: a thread of it failed");
            2
        }
    };
    finish(code)
}

/// Waits until `is_done`; fails after `limit`.
pub fn wait_until(
    what: &str,
    limit: Duration,
    mut is_done: impl FnMut() -> bool,
) -> Result<(), String> {
    let started_at = Instant::now();
    while !is_done() {
        if started_at.elapsed() > limit {
            return Err(format!("{what}: not within {limit:?}"));
        }
        thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}
