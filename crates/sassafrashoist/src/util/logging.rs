//! Set-up of the structured log.

use logforth::append;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::record::{Level, LevelFilter};

use crate::core::settings::{LogFormat, LogLevel, LogSettings};

/// Writes log lines to standard error from now on; a second call changes nothing.
pub fn init_logging(settings: &LogSettings) {
    let level = match settings.level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let appender = match settings.format {
        LogFormat::Json => append::Stderr::default().with_layout(JsonLayout::default()),
        LogFormat::Text => append::Stderr::default().with_layout(TextLayout::default()),
    };
    let logger = logforth::starter_log::builder()
        .dispatch(|d| d.filter(LevelFilter::MoreSevereEqual(level)).append(appender));
    // Fails only when logging is set up already.
    let _ = logger.try_apply();
}
