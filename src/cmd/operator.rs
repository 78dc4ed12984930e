//! A client of a daemon's port for operators, with its command-line options.

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
use crate::node::ChangeReport;

use super::Exit;

/// Time limit of a call. It is long since the response to a change waits until the entry VMs have
/// confirmed it.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Options that name the daemon to call and the output format.
#[derive(Args, Clone, Debug)]
pub(crate) struct OperatorClient {
    /// Address of any daemon's port for operators.
    #[arg(long, env = "SHALLOT_OPERATOR", value_name = "HOST:PORT")]
    operator: String,
    /// File with the operators' token.
    #[arg(long, env = "SHALLOT_TOKEN_FILE", value_name = "FILE")]
    token_file: PathBuf,
    /// Print JSON instead of text.
    #[arg(long)]
    pub(crate) json: bool,
}

/// An unsuccessful response and the exit code for it.
#[derive(Debug)]
pub(crate) struct ErrorReply {
    pub(crate) exit: Exit,
    pub(crate) detail: String,
}

/// The result of a call that got a response.
pub(crate) type Reply<T> = Result<T, ErrorReply>;

impl OperatorClient {
    /// Creates a client of the daemon at `operator` that uses the token in `token_file`.
    pub(crate) fn new(operator: &str, token_file: &Path, json: bool) -> Self {
        Self { operator: operator.to_owned(), token_file: token_file.to_owned(), json }
    }

    /// Calls the daemon and parses its JSON response.
    pub(crate) fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<Reply<T>> {
        let response = self.send(method, path, body.into())?;
        if response.status() != StatusCode::OK {
            return Ok(Err(parse_error(&response)));
        }
        let value = serde_json::from_slice(response.body())
            .with_context(|| format!("parse the response of {}", self.operator))?;
        Ok(Ok(value))
    }

    /// Makes a change and prints its result; returns the exit code.
    pub(crate) fn change(
        &self,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<Exit> {
        match self.call::<ChangeReport>(method, path, body)? {
            Ok(changed) => self.print_change(&changed),
            Err(error) => Ok(error.report()),
        }
    }

    /// Prints a value as JSON if `--json` is set, else by `print_text`.
    pub(crate) fn print<T: Serialize>(&self, value: &T, print_text: impl Fn(&T)) -> Result<()> {
        if self.json {
            println!("{}", serde_json::to_string_pretty(value)?);
        } else {
            print_text(value);
        }
        Ok(())
    }

    fn print_change(&self, changed: &ChangeReport) -> Result<Exit> {
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
            .context("build the request")?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context("start the runtime")?;
        let response = runtime
            .block_on(async { HttpClient::new(None).send_unpooled(request, CALL_TIMEOUT).await });
        response.with_context(|| format!("call the daemon at {}", self.operator))
    }
}

impl ErrorReply {
    /// Prints the cause and returns the exit code.
    pub(crate) fn report(&self) -> Exit {
        eprintln!("shallotctl: {}", self.detail);
        self.exit
    }
}

fn parse_error(response: &Response<Bytes>) -> ErrorReply {
    let body = serde_json::from_slice::<BTreeMap<String, String>>(response.body());
    let detail = body.ok().and_then(|b| b.get("error").cloned());
    let detail =
        detail.unwrap_or_else(|| format!("the daemon responded with status {}", response.status()));
    let exit = match response.status() {
        StatusCode::BAD_REQUEST => Exit::Invalid,
        StatusCode::NOT_FOUND => Exit::NotFound,
        StatusCode::CONFLICT => Exit::Conflict,
        _ => Exit::Failed,
    };
    ErrorReply { exit, detail }
}
