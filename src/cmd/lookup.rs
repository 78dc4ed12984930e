//! `lookup`: looks up entry VMs for a service, as a caller does.

use std::time::Duration;

use anyhow::{Context, Result, bail};
use bytes::Bytes;
use clap::Args;
use http::{Request, StatusCode};

use crate::net::HttpClient;

use super::{Exit, Run};

/// Time limit of the look-up.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(5);

/// Look up the entry VMs for a service, as a caller does.
#[derive(Args, Debug)]
pub(crate) struct Lookup {
    /// The service.
    service: String,
    /// Address of any entry VM's port for callers.
    #[arg(long, value_name = "HOST:PORT")]
    entry: String,
    /// The caller's key.
    #[arg(long, env = "SHALLOT_KEY", hide_env_values = true)]
    key: String,
}

impl Run for Lookup {
    fn run(&self) -> Result<Exit> {
        let request = Request::builder()
            .uri(format!("http://{}/.shallot/lookup?service={}", self.entry, self.service))
            .header("x-api-key", &self.key)
            .body(Bytes::new())
            .context("build the look-up request")?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let send = async { HttpClient::new(None).send_unpooled(request, LOOKUP_TIMEOUT).await };
        let response =
            runtime.block_on(send).with_context(|| format!("look up {}", self.service))?;
        let body = String::from_utf8_lossy(response.body()).into_owned();
        if response.status() != StatusCode::OK {
            bail!("{} responded with status {}: {body}", self.entry, response.status());
        }
        println!("{body}");
        Ok(Exit::Done)
    }
}
