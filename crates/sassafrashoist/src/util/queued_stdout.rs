//! Writes log lines to standard output from a separate thread.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

use logforth::append::Append;
use logforth::layout::Layout;
use logforth::record::Record;
use logforth::{Diagnostic, Error};

/// The capacity of the queue. When it is full, new lines are dropped and counted.
const QUEUE_LINES: usize = 2_048;
/// The maximum time that a flush waits for the queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

enum Entry {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// A log appender that writes to standard output without blocking the thread that logs.
#[derive(Debug)]
pub struct QueuedStdout {
    layout: Box<dyn Layout>,
    sender: SyncSender<Entry>,
    dropped_count: AtomicU64,
}

impl QueuedStdout {
    /// Creates the appender and starts its writer thread.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be started.
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
        let (done, flushed) = sync_channel(1);
        if self.sender.try_send(Entry::Flush(done)).is_ok() {
            // On a timeout nobody is reading standard output, which must not block the process.
            let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

fn write_entries(receiver: &Receiver<Entry>) {
    let mut stdout = std::io::stdout().lock();
    while let Ok(entry) = receiver.recv() {
        match entry {
            // A failed write is ignored: standard output may be closed, and the error could not be
            // logged.
            Entry::Line(line) => drop(stdout.write_all(&line).and_then(|()| stdout.flush())),
            Entry::Flush(done) => drop(done.send(())),
        }
    }
}
