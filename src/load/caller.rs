//! A caller: looks entry VMs up, keeps the answer for its time to live, and sends requests.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use serde::Deserialize;

use crate::net::HttpClient;

use super::report::End;
use super::scenario::Stream;

/// Longest wait for a look-up.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause before a request is sent again, unless its refusal names one.
const RESEND_PAUSE: Duration = Duration::from_millis(50);

#[derive(Clone, Debug, Deserialize)]
struct Named {
    zone: String,
    addr: String,
}

#[derive(Clone, Debug, Deserialize)]
struct LookedUp {
    ttl_ms: u64,
    entries: Vec<Named>,
}

#[derive(Clone, Debug, Deserialize)]
struct Refused {
    reason: String,
    run: String,
    #[serde(default)]
    retry_ms: Option<u64>,
}

#[derive(Clone, Debug, Deserialize)]
struct Echo {
    customer: String,
    path: String,
}

/// A caller of one stream.
pub(crate) struct Caller {
    client: HttpClient,
    key: String,
    bootstrap: Vec<String>,
    cached: Mutex<Option<(Instant, LookedUp)>>,
}

/// The end of a request, and how often it was sent again.
pub(crate) struct Sent {
    pub(crate) end: End,
    pub(crate) resent: u64,
}

impl Caller {
    pub(crate) fn new(client: HttpClient, key: String, bootstrap: Vec<String>) -> Self {
        Self { client, key, bootstrap, cached: Mutex::default() }
    }

    /// Sends one request to its end, as a careful caller does.
    pub(crate) async fn send(&self, stream: &Stream, number: u64, zone: Option<&str>) -> Sent {
        let mut resent = 0;
        loop {
            let (end, retry) = self.attempt(stream, number, zone).await;
            let again = match &end {
                End::Served => false,
                End::NotRun(reason) => reason != "bad-key" && resent < u64::from(stream.resends),
                End::Unknown(_) | End::Lost(_) => stream.once && resent < u64::from(stream.resends),
            };
            if !again {
                return Sent { end, resent };
            }
            resent += 1;
            tokio::time::sleep(retry.unwrap_or(RESEND_PAUSE)).await;
        }
    }

    async fn attempt(
        &self,
        stream: &Stream,
        number: u64,
        zone: Option<&str>,
    ) -> (End, Option<Duration>) {
        let entries = match self.entries(stream).await {
            Ok(entries) => entries,
            Err(cause) => return (End::NotRun(format!("look-up: {cause}")), None),
        };
        let mut order: Vec<&Named> = entries.iter().collect();
        if let Some(zone) = zone {
            order.sort_by_key(|e| e.zone != zone);
        }
        let mut end = End::NotRun("no entry VM".to_owned());
        for entry in order {
            let Some(request) = self.request(stream, number, &entry.addr) else {
                return (End::NotRun("the request can't be written".to_owned()), None);
            };
            match self.client.send(request, ANSWER_TIMEOUT).await {
                Ok(response) => return judge(stream, &response),
                Err(e) if e.maybe_sent => return (End::Lost(e.cause), None),
                Err(e) => end = End::NotRun(e.cause),
            }
            self.forget();
        }
        (end, None)
    }

    fn request(&self, stream: &Stream, number: u64, addr: &str) -> Option<Request<Bytes>> {
        let mut request = Request::builder()
            .method(stream.method.as_str())
            .uri(format!("http://{addr}/{}{}", stream.service, stream.path))
            .header("x-api-key", &self.key);
        if stream.once {
            request = request.header("idempotency-key", format!("{}-{number}", stream.name));
        }
        request.body(Bytes::from(stream.body.clone())).ok()
    }

    async fn entries(&self, stream: &Stream) -> Result<Vec<Named>, String> {
        if let Some((until, found)) = &*self.cached.lock().expect("cache lock")
            && Instant::now() < *until
        {
            return Ok(found.entries.clone());
        }
        let mut cause = "no address to ask".to_owned();
        let known: Vec<String> = match &*self.cached.lock().expect("cache lock") {
            Some((_, found)) => found.entries.iter().map(|e| e.addr.clone()).collect(),
            None => Vec::new(),
        };
        for addr in known.iter().chain(&self.bootstrap) {
            match self.look_up(addr, stream).await {
                Ok(found) if !found.entries.is_empty() => {
                    let until = Instant::now() + Duration::from_millis(found.ttl_ms);
                    let entries = found.entries.clone();
                    *self.cached.lock().expect("cache lock") = Some((until, found));
                    return Ok(entries);
                }
                Ok(_) => cause = format!("{addr} names no entry VM"),
                Err(e) => cause = e,
            }
        }
        Err(cause)
    }

    async fn look_up(&self, addr: &str, stream: &Stream) -> Result<LookedUp, String> {
        let request = Request::builder()
            .uri(format!("http://{addr}/.shallot/lookup?service={}", stream.service))
            .header("x-api-key", &self.key)
            .body(Bytes::new())
            .map_err(|e| e.to_string())?;
        let response =
            self.client.send(request, LOOKUP_TIMEOUT).await.map_err(|e| e.to_string())?;
        serde_json::from_slice(response.body()).map_err(|e| e.to_string())
    }

    /// Looks up again before the next request.
    fn forget(&self) {
        if let Some((until, _)) = &mut *self.cached.lock().expect("cache lock") {
            *until = Instant::now();
        }
    }
}

fn judge(stream: &Stream, response: &Response<Bytes>) -> (End, Option<Duration>) {
    if response.status() == StatusCode::OK {
        let own = serde_json::from_slice::<Echo>(response.body())
            .is_ok_and(|e| e.customer == stream.customer && e.path.ends_with(&stream.path));
        let end = if own { End::Served } else { End::Lost("another request's answer".to_owned()) };
        return (end, None);
    }
    match serde_json::from_slice::<Refused>(response.body()) {
        Ok(refused) => {
            let retry = refused.retry_ms.map(Duration::from_millis);
            let end = match refused.run.as_str() {
                "not-run" => End::NotRun(refused.reason),
                _ => End::Unknown(refused.reason),
            };
            (end, retry)
        }
        Err(_) => (End::Unknown(format!("status {}", response.status())), None),
    }
}

/// Counts idempotency keys that ran more than once, over all targets.
pub(crate) async fn count_run_twice(
    client: &HttpClient,
    targets: &[String],
) -> Result<u64, String> {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for addr in targets {
        let request = Request::builder()
            .uri(format!("http://{addr}/runs"))
            .body(Bytes::new())
            .map_err(|e| e.to_string())?;
        let response =
            client.send_unpooled(request, ANSWER_TIMEOUT).await.map_err(|e| e.to_string())?;
        let found: Vec<crate::standin::ExecutedRequest> =
            serde_json::from_slice(response.body()).map_err(|e| e.to_string())?;
        for run in found.into_iter().filter(|r| !r.key.is_empty()) {
            *runs.entry(format!("{}/{}", run.customer, run.key)).or_default() += 1;
        }
    }
    Ok(runs.values().filter(|n| **n > 1).count() as u64)
}
