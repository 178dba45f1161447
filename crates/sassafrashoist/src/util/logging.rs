//! Initialisation of structured logging.

use logforth::layout::{JsonLayout, TextLayout};
use logforth::record::{Level, LevelFilter};

use super::queued_stdout::QueuedStdout;
use crate::core::settings::{LogFormat, LogLevel, LogSettings};

/// Starts writing log lines to standard output. Has no effect if logging is already initialised.
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
            eprintln!("warning: failed to initialise logging; no log lines are written: {error}");
            return;
        }
    };
    let logger = logforth::starter_log::builder()
        .dispatch(|d| d.filter(LevelFilter::MoreSevereEqual(level)).append(appender));
    // Fails only when logging is already initialised.
    let _ = logger.try_apply();
}
