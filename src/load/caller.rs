//! A simulated caller: looks up entry VMs, caches the result for its TTL, and sends requests.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use serde::Deserialize;

use crate::net::HttpClient;

use super::report::RequestOutcome;
use super::scenario::Stream;

/// Time limit of a look-up.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before a retry, unless the refusal names one.
const RETRY_DELAY: Duration = Duration::from_millis(50);

#[derive(Clone, Debug, Deserialize)]
struct LookupEntry {
    zone: String,
    addr: String,
}

#[derive(Clone, Debug, Deserialize)]
struct LookupResponse {
    ttl_ms: u64,
    entries: Vec<LookupEntry>,
}

#[derive(Clone, Debug, Deserialize)]
struct RefusalBody {
    reason: String,
    run: String,
    #[serde(default)]
    retry_ms: Option<u64>,
}

#[derive(Clone, Debug, Deserialize)]
struct TargetResponse {
    customer: String,
    path: String,
}

/// The caller of one stream.
pub(crate) struct Caller {
    client: HttpClient,
    key: String,
    bootstrap: Vec<String>,
    /// When the latest look-up expires, and its result. The next look-up tries these entry VMs
    /// before `bootstrap`.
    cached: Mutex<Option<(Instant, LookupResponse)>>,
}

/// The final outcome of a request and the number of retries.
pub(crate) struct SendResult {
    pub(crate) outcome: RequestOutcome,
    pub(crate) retries: u64,
}

impl Caller {
    pub(crate) fn new(client: HttpClient, key: String, bootstrap: Vec<String>) -> Self {
        Self { client, key, bootstrap, cached: Mutex::default() }
    }

    /// Sends one request. Retries it where that is safe: if it was not run, or if it has an
    /// idempotency key.
    pub(crate) async fn send(
        &self,
        stream: &Stream,
        number: u64,
        zone: Option<&str>,
    ) -> SendResult {
        let mut retries = 0;
        loop {
            let (outcome, retry_after) = self.attempt(stream, number, zone).await;
            let retry = match &outcome {
                RequestOutcome::Served => false,
                RequestOutcome::NotRun(reason) => {
                    reason != "bad-key" && retries < u64::from(stream.resends)
                }
                RequestOutcome::Unknown(_) | RequestOutcome::Lost(_) => {
                    stream.once && retries < u64::from(stream.resends)
                }
            };
            if !retry {
                return SendResult { outcome, retries };
            }
            retries += 1;
            tokio::time::sleep(retry_after.unwrap_or(RETRY_DELAY)).await;
        }
    }

    /// Tries the entry VMs in turn until one may have received the request. Returns the outcome and
    /// the retry delay that a refusal names.
    async fn attempt(
        &self,
        stream: &Stream,
        number: u64,
        zone: Option<&str>,
    ) -> (RequestOutcome, Option<Duration>) {
        let entries = match self.entries(stream).await {
            Ok(entries) => entries,
            Err(cause) => return (RequestOutcome::NotRun(format!("look-up: {cause}")), None),
        };
        let mut order: Vec<&LookupEntry> = entries.iter().collect();
        if let Some(zone) = zone {
            order.sort_by_key(|e| e.zone != zone);
        }
        let mut outcome = RequestOutcome::NotRun("no entry VM".to_owned());
        for entry in order {
            let Some(request) = self.build_request(stream, number, &entry.addr) else {
                return (RequestOutcome::NotRun("the request can't be built".to_owned()), None);
            };
            match self.client.send(request, REQUEST_TIMEOUT).await {
                Ok(response) => return classify(stream, &response),
                Err(e) if e.maybe_sent => return (RequestOutcome::Lost(e.cause), None),
                Err(e) => outcome = RequestOutcome::NotRun(e.cause),
            }
            self.expire_lookup();
        }
        (outcome, None)
    }

    fn build_request(&self, stream: &Stream, number: u64, addr: &str) -> Option<Request<Bytes>> {
        let mut request = Request::builder()
            .method(stream.method.as_str())
            .uri(format!("http://{addr}/{}{}", stream.service, stream.path))
            .header("x-api-key", &self.key);
        if stream.once {
            request = request.header("idempotency-key", format!("{}-{number}", stream.name));
        }
        request.body(Bytes::from(stream.body.clone())).ok()
    }

    async fn entries(&self, stream: &Stream) -> Result<Vec<LookupEntry>, String> {
        if let Some((expiry, found)) = &*self.cached.lock().expect("cache lock")
            && Instant::now() < *expiry
        {
            return Ok(found.entries.clone());
        }
        let mut cause = "no address for the look-up".to_owned();
        let known: Vec<String> = match &*self.cached.lock().expect("cache lock") {
            Some((_, found)) => found.entries.iter().map(|e| e.addr.clone()).collect(),
            None => Vec::new(),
        };
        for addr in known.iter().chain(&self.bootstrap) {
            match self.look_up(addr, stream).await {
                Ok(found) if !found.entries.is_empty() => {
                    let expiry = Instant::now() + Duration::from_millis(found.ttl_ms);
                    let entries = found.entries.clone();
                    *self.cached.lock().expect("cache lock") = Some((expiry, found));
                    return Ok(entries);
                }
                Ok(_) => cause = format!("{addr} returned no entry VM"),
                Err(e) => cause = e,
            }
        }
        Err(cause)
    }

    async fn look_up(&self, addr: &str, stream: &Stream) -> Result<LookupResponse, String> {
        let request = Request::builder()
            .uri(format!("http://{addr}/.shallot/lookup?service={}", stream.service))
            .header("x-api-key", &self.key)
            .body(Bytes::new())
            .map_err(|e| e.to_string())?;
        let response =
            self.client.send(request, LOOKUP_TIMEOUT).await.map_err(|e| e.to_string())?;
        serde_json::from_slice(response.body()).map_err(|e| e.to_string())
    }

    /// Makes the next request look up again.
    fn expire_lookup(&self) {
        if let Some((expiry, _)) = &mut *self.cached.lock().expect("cache lock") {
            *expiry = Instant::now();
        }
    }
}

/// Returns the outcome of a response, and the retry delay that a refusal names.
fn classify(stream: &Stream, response: &Response<Bytes>) -> (RequestOutcome, Option<Duration>) {
    if response.status() == StatusCode::OK {
        let matches = serde_json::from_slice::<TargetResponse>(response.body())
            .is_ok_and(|e| e.customer == stream.customer && e.path.ends_with(&stream.path));
        let outcome = if matches {
            RequestOutcome::Served
        } else {
            RequestOutcome::Lost("the response is to another request".to_owned())
        };
        return (outcome, None);
    }
    match serde_json::from_slice::<RefusalBody>(response.body()) {
        Ok(refusal) => {
            let retry_after = refusal.retry_ms.map(Duration::from_millis);
            let outcome = match refusal.run.as_str() {
                "not-run" => RequestOutcome::NotRun(refusal.reason),
                _ => RequestOutcome::Unknown(refusal.reason),
            };
            (outcome, retry_after)
        }
        Err(_) => (RequestOutcome::Unknown(format!("status {}", response.status())), None),
    }
}

/// Counts the idempotency keys that all targets together ran more than once.
pub(crate) async fn count_duplicate_runs(
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
            client.send_unpooled(request, REQUEST_TIMEOUT).await.map_err(|e| e.to_string())?;
        let found: Vec<crate::standin::ExecutedRequest> =
            serde_json::from_slice(response.body()).map_err(|e| e.to_string())?;
        for run in found.into_iter().filter(|r| !r.key.is_empty()) {
            *runs.entry(format!("{}/{}", run.customer, run.key)).or_default() += 1;
        }
    }
    Ok(runs.values().filter(|n| **n > 1).count() as u64)
}
