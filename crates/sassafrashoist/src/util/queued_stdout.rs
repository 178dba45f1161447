//! Writes log lines to standard output from a thread of its own.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

use logforth::append::Append;
use logforth::layout::Layout;
use logforth::record::Record;
use logforth::{Diagnostic, Error};

/// Lines that wait to be written; more are dropped and counted.
const QUEUE_LINES: usize = 2_048;
/// How long a flush waits for the lines before it.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

enum Entry {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// Writes log lines to standard output without ever blocking who logs.
#[derive(Debug)]
pub struct QueuedStdout {
    layout: Box<dyn Layout>,
    sender: SyncSender<Entry>,
    dropped_count: AtomicU64,
}

impl QueuedStdout {
    /// Starts the thread that writes.
    ///
    /// # Errors
    ///
    /// Fails when there can be no thread.
    pub fn new(layout: Box<dyn Layout>) -> std::io::Result<Self> {
        let (sender, receiver) = sync_channel(QUEUE_LINES);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_entries(&receiver))?;
        Ok(Self { layout, sender, dropped_count: AtomicU64::new(0) })
    }
}

impl Append for QueuedStdout {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut line = self.layout.format(record, diags)?;
        line.push(b'\n');
        let dropped = self.dropped_count.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let note =
                format!("{{\"level\":\"WARN\",\"message\":\"{dropped} log lines dropped\"}}\n");
            line.splice(0..0, note.into_bytes());
        }
        if self.sender.try_send(Entry::Line(line)).is_err() {
            self.dropped_count.fetch_add(dropped + 1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        let (done, is_done) = sync_channel(1);
        if self.sender.try_send(Entry::Flush(done)).is_ok() {
            // A timeout means that nobody reads standard output, which must not hold the process.
            let _ = is_done.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

fn write_entries(receiver: &Receiver<Entry>) {
    let mut stdout = std::io::stdout().lock();
    while let Ok(entry) = receiver.recv() {
        match entry {
            // Standard output may be closed; there is nowhere left to say so.
            Entry::Line(line) => drop(stdout.write_all(&line).and_then(|()| stdout.flush())),
            Entry::Flush(done) => drop(done.send(())),
        }
    }
}
