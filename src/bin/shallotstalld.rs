//! The daemon of an entry VM: reads the settings, runs the daemon, and stops it on a signal. Prints
//! the addresses on which it listens as one line of JSON. Exits with 0 after a graceful stop,
//! with 1 on an error, and with 2 when a second signal ends it at once.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{Context, Result};
use clap::Parser;
use shallotstall::config::Config;
use shallotstall::log_setup;
use shallotstall::node::Daemon;
use tokio::runtime::Runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Routes callers' requests to targets. SIGTERM or SIGINT stops it gracefully, a second
/// signal at once. SIGHUP changes nothing: settings are read at the start only.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// The settings file.
    #[arg(long, short)]
    config: PathBuf,
    /// Check the settings and the files that they name, and exit.
    #[arg(long)]
    check: bool,
}

/// The signals that the process handles.
struct Signals {
    stop: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers; without them, each of the signals ends the process.
    fn listen(runtime: &Runtime) -> Result<Self> {
        let _context = runtime.enter();
        let stop = signal(SignalKind::terminate()).context("listen for SIGTERM")?;
        let interrupt = signal(SignalKind::interrupt()).context("listen for SIGINT")?;
        let hangup = signal(SignalKind::hangup()).context("listen for SIGHUP")?;
        Ok(Self { stop, interrupt, hangup })
    }

    /// Returns when the process is told to stop.
    async fn await_stop(&mut self) {
        loop {
            tokio::select! {
                _ = self.stop.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => {
                    log::info!("daemon: SIGHUP changes nothing: settings are read at the start only.");
                }
            }
        }
    }
}

fn main() -> ExitCode {
    match run(&Args::parse()) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("shallotstalld: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .context("start the runtime")?;
    // Before the slow steps, since signals may come at once.
    let signals = Signals::listen(&runtime)?;
    let config = Config::read(&args.config)?;
    if args.check {
        config.check_files()?;
        println!("{}: settings are valid", args.config.display());
        return Ok(ExitCode::SUCCESS);
    }
    let _log = log_setup::start(&config.log)?;
    runtime.block_on(serve(config, signals))
}

async fn serve(config: Config, mut signals: Signals) -> Result<ExitCode> {
    let daemon = Daemon::start(config).await?;
    println!("{}", serde_json::to_string(&daemon.ports)?);
    signals.await_stop().await;
    tokio::select! {
        () = daemon.stop() => Ok(ExitCode::SUCCESS),
        () = signals.await_stop() => Ok(ExitCode::from(2)),
    }
}
