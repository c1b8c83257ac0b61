//! Logging with `log4rs`, one JSON object per line.

use hawthornmill::codes::Code;
use log::LevelFilter;
use log4rs::append::console::ConsoleAppender;
use log4rs::config::{Appender, Config, Logger, Root};
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;

/// Log target of messages that are already JSON: usage records, spans and metrics.
pub const RAW_TARGET: &str = "raw";

/// Initializes logging to standard output.
///
/// # Errors
/// [`Code::BadValue`] if the library rejects the configuration or a logger is already set.
pub fn init(level: LevelFilter) -> Result<(), Code> {
    let lines = ConsoleAppender::builder()
        .encoder(Box::new(JsonEncoder::new()))
        .build();
    let raw = ConsoleAppender::builder()
        .encoder(Box::new(PatternEncoder::new("{m}{n}")))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("lines", Box::new(lines)))
        .appender(Appender::builder().build("raw", Box::new(raw)))
        .logger(
            Logger::builder()
                .additive(false)
                .appender("raw")
                .build(RAW_TARGET, LevelFilter::Info),
        )
        .build(Root::builder().appender("lines").build(level))
        .map_err(|_errors| Code::BadValue)?;
    log4rs::init_config(config)
        .map(drop)
        .map_err(|_error| Code::BadValue)
}
