//! Sets up logging according to the settings, as text or as JSON lines.

use std::time::SystemTime;

use anyhow::{Context, Result};
use serde::Serialize;

use crate::config::LogConfig;

/// A line of the JSON format.
#[derive(Serialize)]
struct Line<'a> {
    time: String,
    level: &'a str,
    part: &'a str,
    message: &'a str,
}

/// Sets up the global logger. Messages of other crates are logged from level `warn` on.
///
/// # Errors
/// Fails if the log file can't be opened, or if a logger is already set up.
pub fn start(log: &LogConfig) -> Result<()> {
    let level = log.level.parse().context("log.level")?;
    let json = log.json;
    let dispatch = fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("shallotstall", level)
        .format(move |out, message, record| {
            let time = humantime::format_rfc3339_millis(SystemTime::now()).to_string();
            let level = record.level().as_str();
            let text = message.to_string();
            if !json {
                return out.finish(format_args!("{time} {level:5} {text}"));
            }
            // Messages of this crate start with the name of the part that logs, such as `store: `.
            let (part, message) = text.split_once(": ").unwrap_or(("", &text));
            let line = Line { time, level, part, message };
            let line = serde_json::to_string(&line).unwrap_or_default();
            out.finish(format_args!("{line}"));
        });
    let dispatch = match &log.file {
        Some(path) => {
            let file = fern::log_file(path)
                .with_context(|| format!("log.file: open {}", path.display()))?;
            dispatch.chain(file)
        }
        None => dispatch.chain(std::io::stderr()),
    };
    dispatch.apply().context("start logging")
}
