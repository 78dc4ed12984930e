//! Test doubles of the platform's store, its targets and the links between machines, for the demo,
//! the tests and load runs. Each runs until it is interrupted, and its faults are set over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result, ensure};
use bytes::Bytes;
use clap::{Parser, Subcommand};
use http::{Request, StatusCode};
use shallotstall::net::HttpClient;
use shallotstall::standin::{LinkStandin, PortForward, StoreStandin, TargetFaults, TargetStandin};

/// Longest wait for a fault port's response.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Stand-ins for the store, the targets and the links. Each prints its addresses as JSON on one
/// line.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    #[command(subcommand)]
    part: Part,
}

#[derive(Debug, Subcommand)]
enum Part {
    /// Run the platform's store with its list of VMs.
    Store {
        /// Address of the store; port 0 takes a free port.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
    },
    /// Run targets, all in this process.
    Target {
        /// Address of each target; port 0 takes free ports.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Number of targets; more than one needs port 0.
        #[arg(long, default_value_t = 1)]
        count: u32,
        /// Number of slots of each target.
        #[arg(long, default_value_t = 4)]
        slots: u32,
        /// Time for which each request runs, in milliseconds.
        #[arg(long, default_value_t = 5)]
        work_ms: u64,
        /// Say in each response that the target leaves.
        #[arg(long)]
        leaving: bool,
        /// Shed each request with this Retry-After, in seconds.
        #[arg(long, default_value = "", value_name = "SECONDS")]
        pause: String,
    },
    /// Send JSON from standard input to a fault port, such as /faults or /vms.
    Set {
        /// The fault port.
        at: SocketAddr,
        /// The path.
        path: String,
    },
    /// Print a fault port's response at a path such as /counts or /runs.
    Get {
        /// The fault port.
        at: SocketAddr,
        /// The path.
        path: String,
    },
    /// Run links between machines.
    Link {
        /// A forwarded port, as `LISTEN=TO`; may be given several times.
        #[arg(long = "route", value_parser = parse_route)]
        routes: Vec<PortForward>,
    },
}

#[tokio::main]
async fn main() -> Result<()> {
    match Args::parse().part {
        Part::Store { listen } => {
            let store = StoreStandin::start(listen).await?;
            println!("{{\"addr\":\"{}\",\"faults\":\"{}\"}}", store.addr, store.fault_addr);
            wait_for_interrupt().await
        }
        Part::Target { listen, count, slots, work_ms, leaving, pause } => {
            let faults = TargetFaults { work_ms, leaving, pause, ..TargetFaults::default() };
            let mut targets = Vec::new();
            for _ in 0..count {
                let target = TargetStandin::start(listen, slots, faults.clone()).await?;
                println!("{{\"addr\":\"{}\",\"faults\":\"{}\"}}", target.addr, target.fault_addr);
                targets.push(target);
            }
            wait_for_interrupt().await
        }
        Part::Set { at, path } => {
            let body = std::io::read_to_string(std::io::stdin()).context("read standard input")?;
            call(at, Request::post(format!("http://{at}{path}")).body(Bytes::from(body))?).await?;
            Ok(())
        }
        Part::Get { at, path } => {
            let request = Request::get(format!("http://{at}{path}")).body(Bytes::new())?;
            println!("{}", call(at, request).await?);
            Ok(())
        }
        Part::Link { routes } => {
            let fault_listen = SocketAddr::from(([127, 0, 0, 1], 0));
            let link = LinkStandin::start(fault_listen, &routes).await?;
            println!("{{\"faults\":\"{}\"}}", link.fault_addr);
            wait_for_interrupt().await
        }
    }
}

async fn call(at: SocketAddr, request: Request<Bytes>) -> Result<String> {
    let response = HttpClient::new(None).send_unpooled(request, CALL_TIMEOUT).await?;
    let text = String::from_utf8_lossy(response.body()).into_owned();
    ensure!(
        response.status() == StatusCode::OK,
        "{at} responded with status {}: {text}",
        response.status()
    );
    Ok(text)
}

async fn wait_for_interrupt() -> Result<()> {
    Ok(tokio::signal::ctrl_c().await?)
}

fn parse_route(text: &str) -> Result<PortForward, String> {
    let (listen, to) = text.split_once('=').ok_or("expected LISTEN=TO")?;
    let parse = |t: &str| t.parse::<SocketAddr>().map_err(|e| format!("{t:?}: {e}"));
    Ok(PortForward { listen: parse(listen)?, to: parse(to)? })
}
