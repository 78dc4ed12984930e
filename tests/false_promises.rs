//! Targets that run every request and answer it in odd ways: behind another response or the start
//! of one, with a head that contradicts itself, or with a status by which a VM promises that a
//! request has not run. No request that began to run may be answered with that promise, and no
//! caller may get what its target did not send. Real processes.

mod common;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::{Call, Fleet, TestResponse, desk_document};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Statuses by which a VM promises that the request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
const VMS: [&str; 2] = ["n1-a", "n1-b"];
/// Time that a target takes to run a request.
const WORK: Duration = Duration::from_millis(2);
/// Time after the last answer in which a request that was refused might still run.
const SETTLE: Duration = Duration::from_secs(1);
/// Most violations that are printed.
const SHOWN_MAX: usize = 30;
/// Response to a probe.
const LOAD_REPORT: &str =
    "HTTP/1.1 200 OK\r\ncontent-length: 13\r\nconnection: close\r\n\r\n{\"running\":0}";
/// What a target says to a request in good order.
const DONE: &str = "HTTP/1.1 200 OK\r\n{known}\r\ndone {call}";
/// The id and the length of a response that a target has made.
const KNOWN: &str = "x-request-id: {id}\r\ncontent-length: 13\r\n";
const SHED: &str = "HTTP/1.1 503 Service Unavailable\r\nx-request-id: {id}\r\nx-shed: 1\r\n\
     content-length: 0\r\n\r\n";

/// What a target does with a request.
#[derive(Clone, Debug, Default)]
struct Case {
    name: String,
    /// Bytes before the response, on connections in use again.
    extra: String,
    /// The response; without one, the connection ends.
    response: String,
    /// Which of the times that a call comes it sheds, from 1 on.
    sheds: Range<u32>,
}

impl Case {
    fn responds(name: &str, response: &str) -> Self {
        let (name, response) = (name.to_owned(), response.to_owned());
        Self { name, response, ..Self::default() }
    }
}

/// Targets that do with a request what its case says, and keep what they ran.
#[derive(Default)]
struct CaseTargets {
    cases: Vec<Case>,
    /// How often each call came, and how often it was run.
    seen: Mutex<HashMap<String, u32>>,
    runs: Mutex<HashMap<String, u32>>,
    /// Number of requests with a case on connections in use again.
    reused: Mutex<usize>,
}

impl CaseTargets {
    async fn listen(self: &Arc<Self>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let targets = self.clone();
        tokio::spawn(async move {
            while let Ok((connection, _)) = listener.accept().await {
                let targets = targets.clone();
                // A connection that a VM closes ends with an error.
                tokio::spawn(async move { drop(targets.serve(connection).await) });
            }
        });
        addr
    }

    fn runs_of(&self, call: &str) -> u32 {
        self.runs.lock().expect("runs").get(call).copied().unwrap_or_default()
    }

    async fn serve(&self, mut connection: TcpStream) -> std::io::Result<()> {
        connection.set_nodelay(true)?;
        let mut earlier: Option<String> = None;
        while let Some(head) = read_head(&mut connection).await {
            if head.contains("/.load") {
                return connection.write_all(LOAD_REPORT.as_bytes()).await;
            }
            let (id, call) = (field(&head, "x-request-id"), call_of(&head));
            let case = field(&head, "x-case").parse().ok().map(|n: usize| &self.cases[n]);
            let fill = |text: &str| {
                text.replace("{known}", KNOWN)
                    .replace("{earlier}", earlier.as_deref().unwrap_or("1"))
                    .replace("{id}", &id)
                    .replace("{call}", &call)
            };
            let seen = count(&self.seen, &call);
            if case.is_some_and(|c| c.sheds.contains(&seen)) {
                connection.write_all(fill(SHED).as_bytes()).await?;
                earlier = Some(id);
                continue;
            }
            if let (Some(case), true) = (case, earlier.is_some()) {
                *self.reused.lock().expect("reused") += 1;
                connection.write_all(fill(&case.extra).as_bytes()).await?;
            }
            count(&self.runs, &call);
            tokio::time::sleep(WORK).await;
            let response = case.map_or(DONE, |c| &c.response);
            connection.write_all(fill(response).as_bytes()).await?;
            if response.is_empty() {
                return Ok(());
            }
            earlier = Some(id);
        }
        Ok(())
    }
}

/// Counts one more of `call`.
fn count(counts: &Mutex<HashMap<String, u32>>, call: &str) -> u32 {
    let mut counts = counts.lock().expect("counts");
    let count = counts.entry(call.to_owned()).or_default();
    *count += 1;
    *count
}

/// Reads a request and returns its head; none at the end of the connection.
async fn read_head(connection: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        bytes.push(connection.read_u8().await.ok()?);
    }
    let head = String::from_utf8(bytes).expect("a head of text");
    let length = field(&head, "content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    connection.read_exact(&mut body).await.ok()?;
    Some(head)
}

/// The number of a request; a fleet that starts sends some without one.
fn call_of(head: &str) -> String {
    format!("{:0>8}", field(head, "x-call"))
}

/// The value of a header; empty without it.
fn field(head: &str, name: &str) -> String {
    let lines = head.lines().filter_map(|l| l.split_once(": "));
    let mut values = lines.filter(|(n, _)| *n == name).map(|(_, v)| v.to_owned());
    values.next().unwrap_or_default()
}

/// A fleet whose targets follow cases.
struct Play {
    fleet: Fleet,
    key: String,
    targets: Arc<CaseTargets>,
    /// Each call with its case and answer.
    answered: Vec<(String, String, TestResponse)>,
    violations: Vec<String>,
    calls: u32,
}

impl Play {
    /// Starts `vms` and this many targets.
    async fn start(vms: &[&str], cases: Vec<Case>, count: usize) -> Self {
        let targets = Arc::new(CaseTargets { cases, ..CaseTargets::default() });
        let mut addrs = Vec::new();
        for _ in 0..count {
            addrs.push(targets.listen().await);
        }
        Self::start_at(vms, targets, &addrs).await
    }

    async fn start_at(vms: &[&str], targets: Arc<CaseTargets>, addrs: &[SocketAddr]) -> Self {
        let mut fleet = Fleet::new(&[]).await;
        fleet.start_vms(vms).await;
        fleet.list_addrs("desk", "n1", addrs).await;
        let document = desk_document(&["n1"], 5_000.0, 5_000);
        fleet.apply(vms[0], "desk", &format!("{document}[limits]\nretries = 1.0\n")).await;
        let key = fleet.issue(vms[0], "a").await;
        for vm in vms {
            fleet.await_response(vm, "/desk/read", &key, 200).await;
        }
        Self { fleet, key, targets, answered: Vec::new(), violations: Vec::new(), calls: 0 }
    }

    /// Sends a request of a case, or a plain one.
    async fn send(&mut self, vm: &str, route: (&str, &str), case: Option<usize>) -> &TestResponse {
        self.calls += 1;
        let (call, number) = (format!("{:08}", self.calls), case.map(|n| n.to_string()));
        let mut request = Call { method: route.0, ..Call::post(route.1, "{}") };
        if route.0 == "GET" {
            request.body = "";
        }
        request = request.key(&self.key).header("x-call", &call);
        if route.1 == "/desk/book" {
            request = request.once(&call);
        }
        if let Some(number) = &number {
            request = request.header("x-case", number);
        }
        let answer = self.fleet.send(vm, request).await.expect("a response");
        let name = case.map_or("plain", |n| &self.targets.cases[n].name);
        self.answered.push((call, format!("{} {}, {name}", route.0, route.1), answer));
        &self.answered.last().expect("an answer").2
    }

    /// The violations, once no request can still run.
    async fn finish(mut self) -> Vec<String> {
        tokio::time::sleep(SETTLE).await;
        for (call, name, answer) in &self.answered {
            let runs = self.targets.runs_of(call);
            let promised = PROMISES.contains(&answer.status) || answer.body["attempt"] == "not-run";
            let mut violate = |what: &str| {
                let (status, text) = (answer.status, &answer.text);
                self.violations.push(format!("{name}: {what}, {runs} runs: {status} {text:?}"));
            };
            if promised && runs > 0 {
                violate("ran, but was refused as not run");
            }
            if name.starts_with("POST") && runs > 1 {
                violate("ran twice");
            }
            let own = answer.status == 200 && answer.text == format!("done {call}");
            if !own && answer.reason().is_empty() && !(promised && runs == 0) {
                violate("got another response");
            }
        }
        self.violations
    }
}

fn assert_none(violations: &[String]) {
    let first = &violations[..violations.len().min(SHOWN_MAX)];
    assert!(first.is_empty(), "{} violations, the first ones: {first:#?}", violations.len());
}

/// Guards against a refusal whose status promises that the request has not run, after an attempt
/// that may have run it: what stops the next attempt says nothing of the one before.
#[tokio::test]
async fn a_refusal_after_an_attempt_that_ran_promises_nothing() {
    let plays = [
        ("busy", 1, Case::responds("breaks off", "")),
        ("busy", 5, Case { sheds: 2..9, ..Case::responds("breaks off, then sheds", "") }),
    ];
    for (reason, targets, case) in plays {
        let mut play = Play::start(&VMS[..1], vec![case], targets).await;
        let answer = play.send(VMS[0], ("GET", "/desk/read"), Some(0)).await;
        println!("{reason}: {} {}", answer.status, answer.text);
        assert_eq!((answer.reason(), answer.run_status()), (reason, "unknown"), "{}", answer.text);
        assert_none(&play.finish().await);
    }
}
