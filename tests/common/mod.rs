//! Starts a fleet of real daemon processes with stand-ins for the store, the targets and the links,
//! and sends them requests of callers and operators. For the end-to-end tests.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, Response};
use serde_json::{Value, json};
use shallotstall::net::HttpClient;
use shallotstall::standin::{ExecutedRequest, StoreFaults, TargetFaults};
use tempfile::TempDir;

/// Longest wait for any step, after which a test that hangs fails. Far beyond what any step takes,
/// so that no result depends on the machine's speed.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);
const OPERATOR_TOKEN: &str = "operator-token-of-the-tests";

/// A process that is killed when dropped.
pub struct Proc {
    child: Child,
    pub ports: Value,
}

impl Proc {
    /// Starts a program and reads the line of JSON with its addresses.
    pub fn start(program: &str, args: &[String]) -> Self {
        let mut child = Command::new(program)
            .args(args)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|e| panic!("start {program}: {e}"));
        let mut line = String::new();
        let stdout = child.stdout.take().expect("standard output is piped");
        BufReader::new(stdout).read_line(&mut line).expect("a line of addresses");
        let ports = serde_json::from_str(&line)
            .unwrap_or_else(|e| panic!("{program} {args:?} printed {line:?}: {e}"));
        Self { child, ports }
    }

    pub fn addr(&self, name: &str) -> SocketAddr {
        self.ports[name].as_str().expect("an address").parse().expect("an address")
    }

    /// The id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("sh").args(["-c", &format!("kill -{signal} {pid}")]).status();
        assert!(status.expect("run kill").success(), "send {signal} to {pid}");
    }

    pub fn kill(&mut self) {
        // The process may already have exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// The exit code, if the process has exited; -1 if a signal ended it.
    pub fn ended(&mut self) -> Option<i32> {
        self.child.try_wait().expect("poll the process").map(|s| s.code().unwrap_or(-1))
    }

    /// Waits until the process exits and returns its exit code, or -1 if a signal ended it.
    pub async fn wait(&mut self) -> i32 {
        let until = Instant::now() + TEST_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("wait for the process") {
                return status.code().unwrap_or(-1);
            }
            assert!(Instant::now() < until, "the process has not exited");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for Proc {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A target process.
pub struct Target {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub leaving: bool,
    pub proc: Proc,
}

/// A fleet of entry VMs with its stand-ins.
pub struct Fleet {
    pub dir: TempDir,
    pub store: Proc,
    pub targets: Vec<Target>,
    pub vms: BTreeMap<String, Proc>,
    pub client: HttpClient,
    /// The stand-in for the links between entry VMs, if the fleet has links.
    pub link: Option<Proc>,
}

/// The addresses of an entry VM whose sessions go through a link.
#[derive(Clone, Debug)]
struct LinkedAddrs {
    /// The VM's own IP address, from which it connects.
    ip: String,
    /// Where it listens for sessions.
    own: SocketAddr,
    /// The link's port that forwards to `own`; peers connect to it.
    relay: SocketAddr,
}

/// A response to a caller or an operator.
#[derive(Debug)]
pub struct TestResponse {
    pub status: u16,
    /// The request id, from the `x-request-id` header.
    pub request: String,
    /// True if this is the stored response to an earlier request with the same idempotency key.
    pub replayed: bool,
    pub body: Value,
    pub text: String,
}

impl TestResponse {
    /// The reason of a refusal.
    pub fn reason(&self) -> &str {
        self.body["reason"].as_str().unwrap_or_default()
    }

    /// Whether the request ran, as stated by a refusal.
    pub fn run_status(&self) -> &str {
        self.body["run"].as_str().unwrap_or_default()
    }
}

/// The region of a zone: the first letter of its name.
pub fn region_of(zone: &str) -> String {
    zone[..1].to_owned()
}

impl Fleet {
    /// Starts a store and targets, given as service, zone and slots.
    pub async fn new(targets: &[(&str, &str, u32)]) -> Self {
        let mut dir = TempDir::new().expect("a directory");
        // With KEEP_FLEET set, the directory with the logs is kept.
        dir.disable_cleanup(std::env::var_os("KEEP_FLEET").is_some());
        std::fs::write(dir.path().join("secret"), "secret-of-all-the-peers").expect("write");
        std::fs::write(dir.path().join("token"), OPERATOR_TOKEN).expect("write");
        let store = standin(&["store"]);
        let targets = targets
            .iter()
            .enumerate()
            .map(|(number, (service, zone, slots))| Target {
                id: format!("t{number}"),
                service: (*service).to_owned(),
                zone: (*zone).to_owned(),
                slots: *slots,
                leaving: false,
                proc: standin(&["target", "--slots", &slots.to_string(), "--work-ms", "2"]),
            })
            .collect();
        let vms = BTreeMap::new();
        let fleet = Self { dir, store, targets, vms, client: HttpClient::new(None), link: None };
        fleet.list_targets().await;
        fleet
    }

    /// Starts entry VMs, each named by its zone and a letter like `n1-a`, and waits until all have sessions with one another.
    pub async fn start_vms(&mut self, names: &[&str]) {
        for name in names {
            self.start_vm(name, "");
        }
        self.await_mesh().await;
    }

    /// Starts entry VMs whose sessions go through links. The VMs of the n-th zone in
    /// `names` have addresses that start with `127.0.n.`.
    pub async fn start_linked_vms(&mut self, names: &[&str]) {
        let mut zones: Vec<&str> = Vec::new();
        let mut linked = Vec::new();
        for (number, name) in names.iter().enumerate() {
            let zone = name.split('-').next().expect("a zone");
            if !zones.contains(&zone) {
                zones.push(zone);
            }
            let index = zones.iter().position(|z| z == &zone).expect("a zone") + 1;
            let ip = format!("127.0.{index}.{}", number + 1);
            let (own, relay) = (free_addr(&ip), free_addr("127.0.0.1"));
            linked.push(LinkedAddrs { ip, own, relay });
        }
        let routes: Vec<String> = linked
            .iter()
            .flat_map(|l| ["--route".to_owned(), format!("{}={}", l.relay, l.own)])
            .collect();
        let mut args = vec!["link"];
        args.extend(routes.iter().map(String::as_str));
        self.link = Some(standin(&args));
        for (name, l) in names.iter().zip(&linked) {
            let extra = format!("advertise = \"{}\"\n", l.relay);
            self.start_bound_vm(name, &l.ip, &l.own.to_string(), &extra);
        }
        self.await_mesh().await;
    }

    /// Starts one entry VM that connects from the address `ip` and listens for sessions at `peers`;
    /// `extra` is added to its settings.
    pub fn start_bound_vm(&mut self, name: &str, ip: &str, peers: &str, extra: &str) {
        let path = self.settings(name, peers, extra);
        let text = std::fs::read_to_string(&path).expect("read settings");
        std::fs::write(&path, format!("bind = \"{ip}\"\n{text}")).expect("write settings");
        self.start_from(name, &path);
    }

    /// Cuts the links between pairs of address prefixes, and restores all others.
    pub async fn cut_links(&self, pairs: &[(&str, &str)]) {
        let cuts: Vec<Value> = pairs.iter().map(|(a, b)| json!({"a": a, "b": b})).collect();
        let link = self.link.as_ref().expect("the fleet has links");
        self.set(link, "/faults", &json!({ "cuts": cuts })).await;
    }

    /// Starts one entry VM; `extra` is added to its settings.
    pub fn start_vm(&mut self, name: &str, extra: &str) {
        let config = self.settings(name, "127.0.0.1:0", extra);
        self.start_from(name, &config);
    }

    /// Starts one entry VM after replacing `from` with `to` in its settings.
    pub fn start_vm_with(&mut self, name: &str, from: &str, to: &str) {
        let path = self.settings(name, "127.0.0.1:0", "");
        let text = std::fs::read_to_string(&path).expect("read settings");
        assert!(text.contains(from));
        std::fs::write(&path, text.replacen(from, to, 1)).expect("write settings");
        self.start_from(name, &path);
    }

    fn start_from(&mut self, name: &str, config: &std::path::Path) {
        let args = ["--config".to_owned(), config.display().to_string()];
        let proc = Proc::start(env!("CARGO_BIN_EXE_shallotstalld"), &args);
        self.vms.insert(name.to_owned(), proc);
    }

    /// Writes the settings of an entry VM and returns the file's path.
    pub fn settings(&self, name: &str, peers: &str, extra: &str) -> PathBuf {
        let zone = name.split('-').next().expect("a zone");
        let dir = self.dir.path().display();
        let store = self.store.addr("addr");
        let text = format!(
            "vm = \"{name}\"\nregion = \"{}\"\nzone = \"{zone}\"\n\
             [callers]\nlisten = \"127.0.0.1:0\"\nplaintext = true\nttl_ms = 300\n\
             [operators]\nlisten = \"127.0.0.1:0\"\ntoken_file = \"{dir}/token\"\n\
             [store]\naddr = \"{store}\"\n\
             [log]\nlevel = \"debug\"\nfile = \"{dir}/{name}.log\"\n\
             [trace]\nfile = \"{dir}/spans\"\n\
             [peers]\nlisten = \"{peers}\"\nsecret_file = \"{dir}/secret\"\n{extra}",
            region_of(zone)
        );
        let path = self.dir.path().join(format!("{name}.toml"));
        std::fs::write(&path, text).expect("write settings");
        path
    }

    pub fn vm(&self, name: &str) -> &Proc {
        &self.vms[name]
    }

    pub fn kill_vm(&mut self, name: &str) {
        self.vms.remove(name).expect("a running VM").kill();
    }

    /// Puts all targets on the platform's list.
    pub async fn list_targets(&self) {
        self.list(|t| t.leaving).await;
    }

    /// Puts servers of a test's own on the platform's list, as targets of `service` in `zone`.
    pub async fn list_addrs(&self, service: &str, zone: &str, addrs: &[SocketAddr]) {
        let target = |(number, addr): (usize, &SocketAddr)| {
            json!({
                "id": format!("own-{number}"), "service": service, "slots": 2,
                "place": {"region": region_of(zone), "zone": zone},
                "addr": addr, "state": "live",
            })
        };
        let targets: Vec<Value> = addrs.iter().enumerate().map(target).collect();
        self.set(&self.store, "/vms", &json!({"entries": [], "targets": targets})).await;
    }

    /// Marks a target as leaving on the platform's list.
    pub async fn list_leaving(&self, number: usize) {
        let id = &self.targets[number].id;
        self.list(|t| t.leaving || &t.id == id).await;
    }

    async fn list(&self, leaving: impl Fn(&Target) -> bool) {
        let targets: Vec<Value> = self
            .targets
            .iter()
            .map(|t| {
                json!({
                    "id": t.id, "service": t.service, "slots": t.slots,
                    "place": {"region": region_of(&t.zone), "zone": t.zone},
                    "addr": t.proc.addr("addr"),
                    "state": if leaving(t) { "leaving" } else { "live" },
                })
            })
            .collect();
        self.set(&self.store, "/vms", &json!({"entries": [], "targets": targets})).await;
    }

    pub async fn store_faults(&self, faults: &StoreFaults) {
        self.set(&self.store, "/faults", &serde_json::to_value(faults).expect("JSON")).await;
    }

    pub async fn target_faults(&self, number: usize, faults: &TargetFaults) {
        let value = serde_json::to_value(faults).expect("JSON");
        self.set(&self.targets[number].proc, "/faults", &value).await;
    }

    async fn set(&self, standin: &Proc, path: &str, value: &Value) {
        let uri = format!("http://{}{path}", standin.addr("faults"));
        let request = Request::post(uri).body(Bytes::from(value.to_string())).expect("a request");
        let response = self.client.send_unpooled(request, TEST_TIMEOUT).await.expect("set a fault");
        assert_eq!(response.status(), 200, "{:?}", response.body());
    }

    /// Writes a configuration object directly to the store, without the daemons' checks.
    pub async fn write_object(&self, id: &str, version: u64, body: &str) {
        let (kind, name) = id.split_once('/').expect("kind/name");
        let uri = format!("http://{}/v1/objects/config/{id}", self.store.addr("addr"));
        let found = Request::get(&uri).body(Bytes::new()).expect("a request");
        let found = self.client.send_unpooled(found, TEST_TIMEOUT).await.expect("read the store");
        let revision = found.headers()["etag"].to_str().expect("a revision").to_owned();
        let object = json!({
            "id": {"kind": kind, "name": name}, "version": version,
            "deleted": false, "body": body,
        });
        let write = Request::put(&uri)
            .header("if-match", revision)
            .body(Bytes::from(object.to_string()))
            .expect("a request");
        let response =
            self.client.send_unpooled(write, TEST_TIMEOUT).await.expect("write to the store");
        assert_eq!(response.status(), 200);
    }

    /// The fraction that a service's first planned shift has reached in the store, in millionths.
    pub async fn shifted_fraction(&self, service: &str) -> u64 {
        let uri = format!("http://{}/v1/objects/config/plan/{service}", self.store.addr("addr"));
        let request = Request::get(uri).body(Bytes::new()).expect("a request");
        let response =
            self.client.send_unpooled(request, TEST_TIMEOUT).await.expect("read the store");
        let object: Value = serde_json::from_slice(response.body()).expect("an object");
        let plan: Value =
            serde_json::from_str(object["body"].as_str().expect("a body")).expect("a plan");
        plan["moves"][0]["now"].as_u64().unwrap_or(0)
    }

    /// The requests that a target has run.
    pub async fn runs(&self, number: usize) -> Vec<ExecutedRequest> {
        let uri = format!("http://{}/runs", self.targets[number].proc.addr("faults"));
        let request = Request::get(uri).body(Bytes::new()).expect("a request");
        let response = self.client.send_unpooled(request, TEST_TIMEOUT).await.expect("read runs");
        serde_json::from_slice(response.body()).expect("runs")
    }

    /// The most requests that a target had at once, including those that it shed.
    pub async fn peak_requests(&self, number: usize) -> u32 {
        let uri = format!("http://{}/peak", self.targets[number].proc.addr("faults"));
        let request = Request::get(uri).body(Bytes::new()).expect("a request");
        let response =
            self.client.send_unpooled(request, TEST_TIMEOUT).await.expect("read the peak");
        String::from_utf8_lossy(response.body()).parse().expect("a number")
    }

    /// Number of requests that a target has shed.
    pub async fn shed(&self, number: usize) -> u64 {
        let uri = format!("http://{}/shed", self.targets[number].proc.addr("faults"));
        let request = Request::get(uri).body(Bytes::new()).expect("a request");
        let response = self.client.send_unpooled(request, TEST_TIMEOUT).await.expect("read it");
        String::from_utf8_lossy(response.body()).parse().expect("a number")
    }

    /// The requests that all targets have run.
    pub async fn all_runs(&self) -> Vec<ExecutedRequest> {
        let mut runs = Vec::new();
        for number in 0..self.targets.len() {
            runs.extend(self.runs(number).await);
        }
        runs
    }

    /// Sends a request to an entry VM's port for operators.
    pub async fn operator(&self, vm: &str, method: Method, path: &str, body: &str) -> TestResponse {
        let uri = format!("http://{}{path}", self.vms[vm].addr("operators"));
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .header("authorization", format!("Bearer {OPERATOR_TOKEN}"))
            .body(Bytes::from(body.to_owned()))
            .expect("a request");
        to_response(
            self.client
                .send_unpooled(request, TEST_TIMEOUT)
                .await
                .expect("call an operators' port"),
        )
    }

    /// Applies a document through `vm`.
    pub async fn apply(&self, vm: &str, service: &str, text: &str) -> TestResponse {
        let response =
            self.operator(vm, Method::PUT, &format!("/v1/services/{service}"), text).await;
        assert_eq!(response.status, 200, "{}", response.text);
        response
    }

    /// Issues a key for a customer through `vm`.
    pub async fn issue(&self, vm: &str, customer: &str) -> String {
        let response = self.operator(vm, Method::POST, &format!("/v1/keys/{customer}"), "").await;
        assert_eq!(response.status, 200, "{}", response.text);
        response.body["key"].as_str().expect("a key").to_owned()
    }

    /// The status page of an entry VM.
    pub async fn status(&self, vm: &str) -> Value {
        self.operator(vm, Method::GET, "/v1/status", "").await.body
    }

    /// Sends a caller's request; none if no complete response came.
    pub async fn send(&self, vm: &str, request: Call<'_>) -> Option<TestResponse> {
        self.send_to(&self.vms[vm].addr("callers").to_string(), request).await
    }

    /// Sends a caller's request to an address.
    pub async fn send_to(&self, addr: &str, request: Call<'_>) -> Option<TestResponse> {
        let uri = format!("http://{addr}{}", request.path);
        let mut builder = Request::builder().method(request.method).uri(uri);
        for (name, value) in &request.headers {
            builder = builder.header(*name, *value);
        }
        let sent = builder.body(Bytes::from(request.body.to_owned())).expect("a request");
        self.client.send_unpooled(sent, TEST_TIMEOUT).await.ok().map(to_response)
    }

    /// Sends GET requests with a key until a response has `status`.
    pub async fn await_response(&self, vm: &str, path: &str, key: &str, status: u16) {
        self.eventually(&format!("{vm} responds to {path} with {status}"), async || {
            let call = Call::get(path).key(key);
            self.send(vm, call).await.is_some_and(|r| r.status == status)
        })
        .await;
    }

    /// Waits until each VM gets responses from all others and owns a share of the rates.
    pub async fn await_mesh(&self) {
        let count = self.vms.len();
        for vm in self.vms.keys() {
            self.eventually(&format!("{vm} has live sessions with its peers"), async || {
                let status = self.status(vm).await;
                let peers = status["peers"].as_object().cloned().unwrap_or_default();
                let live = peers.values().filter(|l| l.as_bool() == Some(true)).count();
                live + 1 == count && status["parts"].as_u64() > Some(0)
            })
            .await;
        }
    }

    /// Waits until `check` returns true; fails after [`TEST_TIMEOUT`].
    pub async fn eventually(&self, what: &str, mut check: impl AsyncFnMut() -> bool) {
        let until = Instant::now() + TEST_TIMEOUT;
        while !check().await {
            assert!(Instant::now() < until, "not in time: {what}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub headers: Vec<(&'a str, &'a str)>,
    pub body: &'a str,
}

impl<'a> Call<'a> {
    pub fn get(path: &'a str) -> Self {
        Self { method: "GET", path, headers: Vec::new(), body: "" }
    }

    pub fn post(path: &'a str, body: &'a str) -> Self {
        Self { method: "POST", path, headers: Vec::new(), body }
    }

    pub fn key(self, key: &'a str) -> Self {
        self.header("x-api-key", key)
    }

    pub fn once(self, key: &'a str) -> Self {
        self.header("idempotency-key", key)
    }

    pub fn header(mut self, name: &'a str, value: &'a str) -> Self {
        self.headers.push((name, value));
        self
    }
}

/// An address with a port that is free now.
fn free_addr(ip: &str) -> SocketAddr {
    let listener = std::net::TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

/// Starts a stand-in.
pub fn standin(args: &[&str]) -> Proc {
    let args: Vec<String> = args.iter().map(|a| (*a).to_owned()).collect();
    Proc::start(env!("CARGO_BIN_EXE_shallot-standin"), &args)
}

/// A document of service `desk` for customers `a` and `b`, with this rate and burst each. Route
/// `read` is idempotent, `book` needs an idempotency key, `note` has neither, and `private` is open
/// to `a` only.
pub fn desk_document(zones: &[&str], rate: f64, burst: u32) -> String {
    let zones: Vec<String> = zones.iter().map(|z| format!("{z:?}")).collect();
    format!(
        r#"service = "desk"
answer_ms = 2000
zones = [{}]
[[routes]]
name = "read"
method = "GET"
path = "/read"
idempotent = true
open = true
[[routes]]
name = "book"
method = "POST"
path = "/book"
once = true
open = true
[[routes]]
name = "note"
method = "POST"
path = "/note"
open = true
[[routes]]
name = "private"
path = "/private"
customers = ["a"]
[[customers]]
id = "a"
rate = {rate:?}
burst = {burst}
[[customers]]
id = "b"
rate = {rate:?}
burst = {burst}
[shift]
cap = 0.25
interval_ms = 1000
"#,
        zones.join(", ")
    )
}

fn to_response(response: Response<Bytes>) -> TestResponse {
    let header = |name: &str| {
        let value = response.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    TestResponse {
        status: response.status().as_u16(),
        request: header("x-request-id"),
        replayed: header("x-shallot-replayed") == "true",
        body: serde_json::from_slice(response.body()).unwrap_or_default(),
        text: String::from_utf8_lossy(response.body()).into_owned(),
    }
}
