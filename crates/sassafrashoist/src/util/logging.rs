//! Set-up of the structured log.

use logforth::layout::{JsonLayout, TextLayout};
use logforth::record::{Level, LevelFilter};

use super::queued_stdout::QueuedStdout;
use crate::core::settings::{LogFormat, LogLevel, LogSettings};

/// Writes log lines to standard output from now on; a second call changes nothing.
pub fn init_logging(settings: &LogSettings) {
    let level = match settings.level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let appender = match settings.format {
        LogFormat::Json => QueuedStdout::new(JsonLayout::default().into()),
        LogFormat::Text => QueuedStdout::new(TextLayout::default().into()),
    };
    let appender = match appender {
        Ok(appender) => appender,
        Err(error) => {
            eprintln!("warning: no log lines are written: {error}");
            return;
        }
    };
    let logger = logforth::starter_log::builder()
        .dispatch(|d| d.filter(LevelFilter::MoreSevereEqual(level)).append(appender));
    // Fails only when logging is set up already.
    let _ = logger.try_apply();
}
