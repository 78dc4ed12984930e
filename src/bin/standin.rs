//! Stand-ins for the platform's store, targets and links, for the demo, tests and load runs.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result, ensure};
use bytes::Bytes;
use clap::{Parser, Subcommand};
use http::{Request, StatusCode};
use shallotstall::net::HttpClient;
use shallotstall::standin::{LinkStandin, PortForward, StoreStandin, TargetFaults, TargetStandin};

/// Longest wait for a fault port.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Stand-ins for what is outside the system. Each prints its addresses as JSON on one line.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    #[command(subcommand)]
    part: Part,
}

#[derive(Debug, Subcommand)]
enum Part {
    /// The platform's store and list of VMs.
    Store {
        /// Address for callers; port 0 takes a free one.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
    },
    /// Targets, all in this process.
    Target {
        /// Address of the first target; port 0 takes free ones.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Number of targets; more than one needs port 0.
        #[arg(long, default_value_t = 1)]
        count: u32,
        /// Slots of each target.
        #[arg(long, default_value_t = 4)]
        slots: u32,
        /// Time that a request runs, in milliseconds.
        #[arg(long, default_value_t = 5)]
        work_ms: u64,
    },
    /// Send JSON from standard input to a fault port, such as /faults or /vms.
    Set {
        /// The fault port.
        at: SocketAddr,
        /// The path.
        path: String,
    },
    /// Print what a fault port answers at a path such as /counts or /runs.
    Get {
        /// The fault port.
        at: SocketAddr,
        /// The path.
        path: String,
    },
    /// Links between machines.
    Link {
        /// Forwarded ports, each `LISTEN=TO`.
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
            wait().await
        }
        Part::Target { listen, count, slots, work_ms } => {
            let faults = TargetFaults { work_ms, ..TargetFaults::default() };
            let mut targets = Vec::new();
            for _ in 0..count {
                let target = TargetStandin::start(listen, slots, faults.clone()).await?;
                println!("{{\"addr\":\"{}\",\"faults\":\"{}\"}}", target.addr, target.fault_addr);
                targets.push(target);
            }
            wait().await
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
            let control = SocketAddr::from(([127, 0, 0, 1], 0));
            let link = LinkStandin::start(control, &routes).await?;
            println!("{{\"faults\":\"{}\"}}", link.fault_addr);
            wait().await
        }
    }
}

async fn call(at: SocketAddr, request: Request<Bytes>) -> Result<String> {
    let answer = HttpClient::new(None).send_unpooled(request, CALL_TIMEOUT).await?;
    let text = String::from_utf8_lossy(answer.body()).into_owned();
    ensure!(answer.status() == StatusCode::OK, "{at} answered {}: {text}", answer.status());
    Ok(text)
}

async fn wait() -> Result<()> {
    Ok(tokio::signal::ctrl_c().await?)
}

fn parse_route(text: &str) -> Result<PortForward, String> {
    let (listen, to) = text.split_once('=').ok_or("expected LISTEN=TO")?;
    let parse = |t: &str| t.parse::<SocketAddr>().map_err(|e| format!("{t:?}: {e}"));
    Ok(PortForward { listen: parse(listen)?, to: parse(to)? })
}
