//! Sets up logging according to the settings, as text or as JSON lines.

use std::io::Write;
use std::time::{Duration, SystemTime};

use anyhow::{Context, Result};
use serde::Serialize;

use crate::config::LogConfig;
use crate::line_queue::LineQueue;

/// A line of the JSON format.
#[derive(Serialize)]
struct Line<'a> {
    time: String,
    level: &'a str,
    part: &'a str,
    message: &'a str,
}

/// Longest wait for the lines of a process that exits.
const FLUSH_PERIOD: Duration = Duration::from_millis(100);

/// Keeps the log; when dropped, it waits a short time for the last lines to be written.
#[must_use = "the last lines are lost without it"]
#[derive(Debug)]
pub struct LogGuard(LineQueue);

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.0.flush(FLUSH_PERIOD);
    }
}

/// Sets up the global logger, for panics as well. Messages of other crates are logged from level
/// `warn` on. Logging never waits for who reads the log: lines are dropped and counted instead.
///
/// # Errors
/// Fails if the log file can't be opened, or if a logger is already set up.
pub fn start(log: &LogConfig) -> Result<LogGuard> {
    let level = log.level.parse().context("log.level")?;
    let json = log.json;
    let out: Box<dyn Write + Send> = match &log.file {
        Some(path) => Box::new(
            fern::log_file(path).with_context(|| format!("log.file: open {}", path.display()))?,
        ),
        None => Box::new(std::io::stderr()),
    };
    let queue = LineQueue::start(out, move |dropped| {
        format_line(json, "WARN", &format!("log: {dropped} lines were dropped."))
    });
    let lines = queue.clone();
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("shallotstall", level)
        .format(move |out, message, record| {
            let line = format_line(json, record.level().as_str(), &message.to_string());
            out.finish(format_args!("{line}"));
        })
        .chain(fern::Output::call(move |record| lines.push(record.args().to_string())))
        .apply()
        .context("start logging")?;
    // The default hook writes to the standard error, and waits for its reader.
    std::panic::set_hook(Box::new(|panic| log::error!("process: {panic}.")));
    Ok(LogGuard(queue))
}

fn format_line(json: bool, level: &str, text: &str) -> String {
    let time = humantime::format_rfc3339_millis(SystemTime::now()).to_string();
    if !json {
        return format!("{time} {level:5} {text}");
    }
    // Messages of this crate start with the name of the part that logs, such as `store: `.
    let (part, message) = text.split_once(": ").unwrap_or(("", text));
    serde_json::to_string(&Line { time, level, part, message }).unwrap_or_default()
}
