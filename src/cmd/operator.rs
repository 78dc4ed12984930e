//! Calls to a daemon's port for operators.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::{Context, Result};
use bytes::Bytes;
use clap::Args;
use http::header::AUTHORIZATION;
use http::{Method, Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::net::HttpClient;
use crate::node::Changed;

use super::Exit;

/// Longest wait for an answer; a change waits for confirmations.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Which daemon to call, and how to print.
#[derive(Args, Clone, Debug)]
pub(crate) struct Operator {
    /// Address of any daemon's port for operators.
    #[arg(long, env = "SHALLOT_OPERATOR", value_name = "HOST:PORT")]
    operator: String,
    /// File with the operators' token.
    #[arg(long, env = "SHALLOT_TOKEN_FILE", value_name = "FILE")]
    token_file: PathBuf,
    /// Print JSON.
    #[arg(long)]
    pub(crate) json: bool,
}

/// An answer that is not a success.
#[derive(Debug)]
pub(crate) struct Declined {
    pub(crate) exit: Exit,
    pub(crate) detail: String,
}

/// The answer to a call.
pub(crate) type Answer<T> = Result<T, Declined>;

impl Operator {
    /// A daemon's port at `operator`, to be called with the token in `token_file`.
    pub(crate) fn new(operator: &str, token_file: &Path, json: bool) -> Self {
        Self { operator: operator.to_owned(), token_file: token_file.to_owned(), json }
    }

    /// Calls the daemon and reads its JSON answer.
    pub(crate) fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<Answer<T>> {
        let response = self.send(method, path, body.into())?;
        if response.status() != StatusCode::OK {
            return Ok(Err(declined(&response)));
        }
        let value = serde_json::from_slice(response.body())
            .with_context(|| format!("read the answer of {}", self.operator))?;
        Ok(Ok(value))
    }

    /// Makes a change, prints it, and says how the program ends.
    pub(crate) fn change(
        &self,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<Exit> {
        match self.call::<Changed>(method, path, body)? {
            Ok(changed) => self.print_change(&changed),
            Err(declined) => Ok(declined.print()),
        }
    }

    /// Prints a value as JSON, or by `plain`.
    pub(crate) fn print<T: Serialize>(&self, value: &T, plain: impl Fn(&T)) -> Result<()> {
        if self.json {
            println!("{}", serde_json::to_string_pretty(value)?);
        } else {
            plain(value);
        }
        Ok(())
    }

    fn print_change(&self, changed: &Changed) -> Result<Exit> {
        self.print(changed, |c| {
            let verb = if c.written { "is now" } else { "was already" };
            println!("{} {verb} at version {}", c.object, c.version);
            if let Some(key) = &c.key {
                println!("key: {key}");
            }
            for (zone, vms) in &c.unconfirmed {
                println!("not confirmed in zone {zone}: {}", vms.join(", "));
            }
        })?;
        Ok(if changed.unconfirmed.is_empty() { Exit::Done } else { Exit::Unconfirmed })
    }

    fn send(&self, method: Method, path: &str, body: Bytes) -> Result<Response<Bytes>> {
        let token = std::fs::read_to_string(&self.token_file)
            .with_context(|| format!("read {}", self.token_file.display()))?;
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.operator))
            .header(AUTHORIZATION, format!("Bearer {}", token.trim()))
            .body(body)
            .context("write the request")?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context("start the runtime")?;
        let answer =
            runtime.block_on(async { HttpClient::new(None).send_unpooled(request, TIMEOUT).await });
        answer.with_context(|| format!("call the daemon at {}", self.operator))
    }
}

impl Declined {
    /// Prints the cause and says how the program ends.
    pub(crate) fn print(&self) -> Exit {
        eprintln!("shallotctl: {}", self.detail);
        self.exit
    }
}

fn declined(response: &Response<Bytes>) -> Declined {
    let body = serde_json::from_slice::<BTreeMap<String, String>>(response.body());
    let detail = body.ok().and_then(|b| b.get("error").cloned());
    let detail = detail.unwrap_or_else(|| format!("the daemon answered {}", response.status()));
    let exit = match response.status() {
        StatusCode::BAD_REQUEST => Exit::Invalid,
        StatusCode::NOT_FOUND => Exit::Missing,
        StatusCode::CONFLICT => Exit::Conflict,
        _ => Exit::Failed,
    };
    Declined { exit, detail }
}
