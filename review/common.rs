//! Stand-ins that the review's scripts share: the platform's store, workers, a client, and the
//! project's own processes. Standard library only. Included by each case with `#[path]`.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// True unless the script is run with TROUBLE=0.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// The record of a run: one line per event, with the seconds since its start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: impl AsRef<Path>) -> Self {
        let file = File::create(path).expect("create the record");
        Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn secs(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.secs(Instant::now());
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {}", text.as_ref());
    }

    /// A line that is also printed.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// An unused port at `ip`, below the range from which the system takes the ports of clients, so that no
/// connection takes it before it is used.
pub fn free_port(ip: Ipv4Addr) -> u16 {
    static CALLS: AtomicU64 = AtomicU64::new(0);
    let seed = u64::from(std::process::id()) * 7919 + unix_ms();
    loop {
        let call = CALLS.fetch_add(1, Ordering::SeqCst);
        let port = 12_000 + ((seed + call * 131) % 18_000) as u16;
        if TcpListener::bind((ip, port)).is_ok() {
            return port;
        }
    }
}

// ---------------------------------------------------------------------------------------------
// HTTP

#[derive(Debug, Default, Clone)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

pub fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match head.first.is_empty() {
                true => Ok(None),
                false => Err(std::io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if head.first.is_empty() {
            if line.is_empty() {
                continue;
            }
            head.first = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            head.fields.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a body that has a length or comes in chunks; one with neither is empty.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> std::io::Result<Vec<u8>> {
    if head.get("transfer-encoding").is_some_and(|v| v.to_ascii_lowercase().contains("chunked")) {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            let size = line.trim().split(';').next().unwrap_or("");
            let size = usize::from_str_radix(size, 16).map_err(std::io::Error::other)?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            body.extend(chunk);
            line.clear();
            reader.read_line(&mut line)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    let length = head.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

pub fn response(status: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in fields {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

// ---------------------------------------------------------------------------------------------
// JSON, as far as the store needs it: the text of an object's member.

/// The text of the member `key` of the object that `text` starts with.
pub fn member<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut i = skip_space(bytes, 0);
    if bytes.get(i) != Some(&b'{') {
        return None;
    }
    i += 1;
    loop {
        i = skip_space(bytes, i);
        if bytes.get(i) != Some(&b'"') {
            return None;
        }
        let end = skip_value(bytes, i);
        let name = &text[i + 1..end - 1];
        i = skip_space(bytes, end);
        i = skip_space(bytes, i + 1);
        let end = skip_value(bytes, i);
        if name == key {
            return Some(&text[i..end]);
        }
        i = skip_space(bytes, end);
        match bytes.get(i) {
            Some(b',') => i += 1,
            _ => return None,
        }
    }
}

fn skip_space(bytes: &[u8], mut i: usize) -> usize {
    while bytes.get(i).is_some_and(u8::is_ascii_whitespace) {
        i += 1;
    }
    i
}

fn skip_value(bytes: &[u8], mut i: usize) -> usize {
    let (mut depth, mut quoted) = (0, false);
    while i < bytes.len() {
        match (quoted, bytes[i]) {
            (true, b'\\') => i += 1,
            (true, b'"') => {
                quoted = false;
                if depth == 0 {
                    return i + 1;
                }
            }
            (true, _) => {}
            (false, b'"') => quoted = true,
            (false, b'{' | b'[') => depth += 1,
            (false, b'}' | b']') if depth == 0 => return i,
            (false, b'}' | b']') => {
                depth -= 1;
                if depth == 0 {
                    return i + 1;
                }
            }
            (false, b',') if depth == 0 => return i,
            _ => {}
        }
        i += 1;
    }
    i
}

// ---------------------------------------------------------------------------------------------
// The platform's store

#[derive(Default)]
struct Objects {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
    /// Revision, kind, name, whether deleted, spec.
    history: Vec<(u64, String, String, bool, String)>,
}

/// The store as PROTOCOL.md describes it: lists, watches, POST, PUT and DELETE of objects.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<(Mutex<Objects>, Condvar)>,
    record: Record,
}

fn object_json(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

impl Store {
    pub fn start(record: &Record) -> Self {
        let port = free_port(Ipv4Addr::LOCALHOST);
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, port)).expect("the store's port");
        let addr = listener.local_addr().unwrap();
        let store = Self { addr, shared: Default::default(), record: record.clone() };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object as the operator, a worker or another writer does. The return is the
    /// acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> Instant {
        let mut objects = self.shared.0.lock().unwrap();
        objects.revision += 1;
        let revision = objects.revision;
        objects.objects.insert((kind.into(), name.into()), (revision, spec.to_owned()));
        objects.history.push((revision, kind.into(), name.into(), false, spec.to_owned()));
        self.shared.1.notify_all();
        Instant::now()
    }

    pub fn delete(&self, kind: &str, name: &str) -> Instant {
        let mut objects = self.shared.0.lock().unwrap();
        if let Some((_, spec)) = objects.objects.remove(&(kind.to_owned(), name.to_owned())) {
            objects.revision += 1;
            let revision = objects.revision;
            objects.history.push((revision, kind.into(), name.into(), true, spec));
        }
        self.shared.1.notify_all();
        Instant::now()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().expect("a stream"));
        let mut writer = stream;
        while let Ok(Some(head)) = read_head(&mut reader) {
            let Ok(body) = read_body(&mut reader, &head) else { return };
            let (status, json) = self.answer(&head, &String::from_utf8_lossy(&body));
            let fields = [("Content-Type", "application/json")];
            if writer.write_all(&response(status, &fields, json.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (&'static str, String) {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let Some(path) = path.strip_prefix("/v1/objects/") else {
            return ("404 Not Found", "{}".into());
        };
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let name = percent_decode(name);
        match (head.method(), query.get("watch")) {
            ("GET", Some(from)) => {
                let wait = query.get("waitMs").and_then(|w| w.parse().ok()).unwrap_or(0);
                self.watch(kind, from.parse().unwrap_or(0), ms(wait))
            }
            ("GET", None) if name.is_empty() => self.list(kind, query.get("after").copied()),
            ("GET", None) => {
                let objects = self.shared.0.lock().unwrap();
                match objects.objects.get(&(kind.to_owned(), name.clone())) {
                    Some((revision, spec)) => ("200 OK", object_json(&name, *revision, spec)),
                    None => ("404 Not Found", "{}".into()),
                }
            }
            ("POST", _) => {
                let name = member(body, "metadata").and_then(|m| member(m, "name"));
                let name = name.unwrap_or("\"\"").trim_matches('"').to_owned();
                self.write(kind, &name, body, true)
            }
            ("PUT", _) => self.write(kind, &name, body, false),
            ("DELETE", _) => {
                self.delete(kind, &name);
                ("200 OK", "{}".into())
            }
            _ => ("404 Not Found", "{}".into()),
        }
    }

    fn write(&self, kind: &str, name: &str, body: &str, create: bool) -> (&'static str, String) {
        let spec = member(body, "spec").unwrap_or("null");
        let existing = {
            let objects = self.shared.0.lock().unwrap();
            objects.objects.get(&(kind.to_owned(), name.to_owned())).cloned()
        };
        match (create, existing) {
            (true, Some((revision, spec))) => ("409 Conflict", object_json(name, revision, &spec)),
            (false, None) => ("404 Not Found", "{}".into()),
            (false, Some((revision, old))) if old == spec => {
                ("200 OK", object_json(name, revision, spec))
            }
            _ => {
                self.put(kind, name, spec);
                self.record.line(format!("store: {kind}/{name} is written by a machine"));
                ("200 OK", object_json(name, 0, spec))
            }
        }
    }

    fn list(&self, kind: &str, after: Option<&str>) -> (&'static str, String) {
        let after = after.map(percent_decode).unwrap_or_default();
        let objects = self.shared.0.lock().unwrap();
        let items: Vec<String> = objects
            .objects
            .iter()
            .filter(|((k, name), _)| k == kind && *name > after)
            .map(|((_, name), (revision, spec))| object_json(name, *revision, spec))
            .collect();
        let json = format!(
            "{{\"items\":[{}],\"hasMore\":false,\"currentRev\":{}}}",
            items.join(","),
            objects.revision
        );
        ("200 OK", json)
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> (&'static str, String) {
        let until = Instant::now() + wait;
        let mut objects = self.shared.0.lock().unwrap();
        loop {
            let events: Vec<String> = objects
                .history
                .iter()
                .filter(|(revision, k, ..)| *revision > from && k == kind)
                .map(|(revision, _, name, deleted, spec)| {
                    let object = object_json(name, *revision, spec);
                    format!("{{\"deleted\":{deleted},\"object\":{object}}}")
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let json = format!(
                    "{{\"events\":[{}],\"currentRev\":{}}}",
                    events.join(","),
                    objects.revision
                );
                return ("200 OK", json);
            }
            objects = self.shared.1.wait_timeout(objects, left).unwrap().0;
        }
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < bytes.len() {
        let hex = (bytes[i] == b'%').then(|| text.get(i + 1..i + 3)).flatten();
        match hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                i += 3;
            }
            None => {
                out.push(bytes[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

// ---------------------------------------------------------------------------------------------
// Workers

/// One request that reached a worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub worker: String,
    pub attempt: String,
    pub path: String,
    pub at: Instant,
}

/// A worker: answers requests as PROTOCOL.md says, after the time in the header `X-Work-Ms`.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    pub slots: u32,
    /// A request whose path holds this text crashes the worker that begins to run it.
    pub poison: Option<&'static str>,
    pub crash_for: Duration,
    /// A faulty worker: after one in so many answers it sends these bytes, too, late: when the next
    /// request has come on the connection.
    pub extra: Option<(u64, &'static str)>,
    /// While false, a faulty worker sends no extra bytes.
    pub faulty: Arc<AtomicBool>,
    /// Where the worker writes its entry when it is back after a crash.
    pub store: Option<Store>,
    state: Arc<WorkerState>,
    record: Record,
}

struct WorkerState {
    listening: AtomicBool,
    /// Rises with each crash or exit; connections of an earlier life are closed.
    life: AtomicU64,
    born: AtomicU64,
    running: AtomicU64,
    conns: Mutex<Vec<TcpStream>>,
    arrivals: Mutex<Vec<Arrival>>,
    crashes: Mutex<Vec<Instant>>,
    /// Requests whose run was cut by the end of the worker's process.
    cut: Mutex<Vec<String>>,
    /// Requests that it began to run.
    ran: Mutex<Vec<String>>,
    answers: AtomicU64,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

impl Worker {
    pub fn start(record: &Record, id: &str, service: &str, zone: &str, ip: Ipv4Addr) -> Self {
        let addr = SocketAddr::new(IpAddr::V4(ip), free_port(ip));
        let state = Arc::new(WorkerState {
            listening: AtomicBool::new(false),
            life: AtomicU64::new(0),
            born: AtomicU64::new(unix_ms()),
            running: AtomicU64::new(0),
            conns: Mutex::default(),
            arrivals: Mutex::default(),
            crashes: Mutex::default(),
            cut: Mutex::default(),
            ran: Mutex::default(),
            answers: AtomicU64::new(0),
        });
        let (id, service, zone) = (id.to_owned(), service.to_owned(), zone.to_owned());
        let (poison, extra, crash_for, record) = (None, None, ms(3000), record.clone());
        let (faulty, store) = (Arc::default(), None);
        let slots = 6;
        Self {
            id,
            service,
            zone,
            addr,
            slots,
            poison,
            extra,
            faulty,
            store,
            crash_for,
            state,
            record,
        }
    }

    /// Opens the port and serves until [`Self::end`].
    pub fn listen(&self) {
        let listener = TcpListener::bind(self.addr).expect("the worker's port");
        listener.set_nonblocking(true).unwrap();
        self.state.listening.store(true, Ordering::SeqCst);
        self.state.born.store(unix_ms(), Ordering::SeqCst);
        let worker = self.clone();
        let life = self.state.life.load(Ordering::SeqCst);
        thread::spawn(move || {
            while worker.state.life.load(Ordering::SeqCst) == life {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let worker = worker.clone();
                        worker.state.conns.lock().unwrap().push(stream.try_clone().unwrap());
                        thread::spawn(move || worker.serve(stream, life));
                    }
                    Err(_) => thread::sleep(ms(2)),
                }
            }
        });
    }

    /// The process ends: the port refuses and all connections are closed.
    pub fn end(&self) {
        self.state.life.fetch_add(1, Ordering::SeqCst);
        self.state.listening.store(false, Ordering::SeqCst);
        for stream in self.state.conns.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    pub fn spec(&self, state: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"{state}\",\"coldLeft\":\"0ms\",\"sequence\":1,\"born\":{}}}",
            self.service,
            self.addr,
            self.zone,
            self.slots,
            self.state.born.load(Ordering::SeqCst)
        )
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.arrivals.lock().unwrap().clone()
    }

    pub fn crashes(&self) -> Vec<Instant> {
        self.state.crashes.lock().unwrap().clone()
    }

    /// Attempts whose run was cut when the process ended.
    pub fn cut(&self) -> Vec<String> {
        self.state.cut.lock().unwrap().clone()
    }

    /// Attempts that it began to run.
    pub fn ran(&self) -> Vec<String> {
        self.state.ran.lock().unwrap().clone()
    }

    fn serve(&self, stream: TcpStream, life: u64) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().expect("a stream"));
        let mut writer = stream;
        let mut late = None;
        while let Ok(Some(head)) = read_head(&mut reader) {
            if self.state.life.load(Ordering::SeqCst) != life {
                return;
            }
            if head.target() == "/health" {
                let running = self.state.running.load(Ordering::SeqCst);
                let load = format!("{running},0,{}", self.slots);
                let fields = [
                    ("Shallotstall-Instance-Id", self.id.as_str()),
                    ("Shallotstall-Server-Load", load.as_str()),
                ];
                if writer.write_all(&response("200 OK", &fields, b"")).is_err() {
                    return;
                }
                continue;
            }
            let attempt = head.get("shallotstall-attempt-id").unwrap_or("").to_owned();
            let path = head.target().to_owned();
            let at = Instant::now();
            let arrival = Arrival { worker: self.id.clone(), attempt: attempt.clone(), path, at };
            self.state.arrivals.lock().unwrap().push(arrival);
            if self.poison.is_some_and(|p| head.target().contains(p)) {
                self.record.line(format!("worker {}: crashes on {attempt}", self.id));
                self.state.crashes.lock().unwrap().push(at);
                self.end();
                let worker = self.clone();
                thread::spawn(move || {
                    thread::sleep(worker.crash_for);
                    worker.listen();
                    if let Some(store) = &worker.store {
                        store.put("servers", &worker.id, &worker.spec("ready"));
                    }
                });
                return;
            }
            let Ok(body) = read_body(&mut reader, &head) else { return };
            if let Some(bytes) = late.take().filter(|_| self.faulty.load(Ordering::SeqCst)) {
                self.record.line(format!("worker {}: late extra bytes before {attempt}", self.id));
                let _ = writer.write_all(str::as_bytes(bytes));
            }
            let expected = head.get("shallotstall-expect-instance");
            if expected.is_some_and(|id| id != self.id) {
                let fields = [("Shallotstall-Instance-Id", self.id.as_str())];
                if writer.write_all(&response("421 Misdirected Request", &fields, b"")).is_err() {
                    return;
                }
                continue;
            }
            let running = self.state.running.fetch_add(1, Ordering::SeqCst) + 1;
            self.state.ran.lock().unwrap().push(attempt.clone());
            let work = head.get("x-work-ms").and_then(|w| w.parse().ok()).unwrap_or(50);
            self.record.line(format!(
                "worker {}: runs {attempt} ({} {}, {} bytes)",
                self.id,
                head.method(),
                head.target(),
                body.len()
            ));
            thread::sleep(ms(work));
            self.state.running.fetch_sub(1, Ordering::SeqCst);
            if self.state.life.load(Ordering::SeqCst) != life {
                self.record.line(format!("worker {}: {attempt} is cut by its end", self.id));
                self.state.cut.lock().unwrap().push(attempt);
                return;
            }
            let load = format!("{},0,{}", running - 1, self.slots);
            let text = format!("done {attempt} by {}", self.id);
            let fields = [
                ("Shallotstall-Attempt-Id", attempt.as_str()),
                ("Shallotstall-Server-Seal", "seal"),
                ("Shallotstall-Server-Load", load.as_str()),
            ];
            if writer.write_all(&response("200 OK", &fields, text.as_bytes())).is_err() {
                self.record
                    .line(format!("worker {}: nobody takes the answer to {attempt}", self.id));
                return;
            }
            let answers = self.state.answers.fetch_add(1, Ordering::SeqCst) + 1;
            late = self.extra.filter(|(every, _)| answers % every == 0).map(|(_, bytes)| bytes);
        }
    }
}

// ---------------------------------------------------------------------------------------------
// The client

#[derive(Clone, Debug)]
pub enum Outcome {
    /// Status, and whether the worker's seal and whole body came with it.
    Answer(u16, bool),
    /// The connection ended without a complete answer.
    Closed(String),
    /// No connection could be opened.
    NoConnection,
}

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

pub fn new_attempt() -> String {
    format!("{:016x}", 0x9c41_0000_0000_0000 + NEXT_ATTEMPT.fetch_add(1, Ordering::SeqCst))
}

/// A request of a client.
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    pub key: Option<&'a str>,
    /// The value of the cookie `Shallotstall-Affinity-Key`.
    pub object: Option<&'a str>,
    pub deadline_ms: u64,
    pub work_ms: u64,
    pub body: &'a [u8],
}

impl Call<'_> {
    pub fn bytes(&self, attempt: &str) -> Vec<u8> {
        let mut out = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nShallotstall-Attempt-Id: {attempt}\r\n\
             Shallotstall-Deadline-Ms: {}\r\nX-Work-Ms: {}\r\n",
            self.method, self.path, self.host, self.deadline_ms, self.work_ms
        );
        if let Some(key) = self.key {
            out.push_str(&format!("Authorization: Token {key}\r\n"));
        }
        if let Some(object) = self.object {
            out.push_str(&format!("Cookie: Shallotstall-Affinity-Key={object}\r\n"));
        }
        if self.method != "GET" {
            out.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        out.push_str("\r\n");
        let mut out = out.into_bytes();
        out.extend_from_slice(self.body);
        out
    }

    /// Sends it on a new connection to the machine at `addr` and waits for the answer.
    pub fn send(&self, addr: SocketAddr, attempt: &str) -> Outcome {
        let Ok(mut stream) = TcpStream::connect_timeout(&addr, ms(1000)) else {
            return Outcome::NoConnection;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(ms(self.deadline_ms + 500)));
        if let Err(e) = stream.write_all(&self.bytes(attempt)) {
            return Outcome::Closed(format!("while sending: {e}"));
        }
        read_answer(&mut BufReader::new(stream))
    }
}

pub fn read_answer(reader: &mut impl BufRead) -> Outcome {
    let head = match read_head(reader) {
        Ok(Some(head)) => head,
        Ok(None) => return Outcome::Closed("no answer".to_owned()),
        Err(e) => return Outcome::Closed(e.to_string()),
    };
    let sealed = head.get("shallotstall-server-seal").is_some();
    match read_body(reader, &head) {
        Ok(_) => Outcome::Answer(head.status(), sealed),
        Err(e) => Outcome::Closed(format!("in the body: {e}")),
    }
}

// ---------------------------------------------------------------------------------------------
// The project's own processes

pub struct Place {
    pub zone: &'static str,
    pub region: &'static str,
}

/// A machine with one process of the deploy file's role.
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    pub callers: SocketAddr,
    pub lookups: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// The zones of the deployment and the settings that all its machines share.
pub struct Deployment {
    pub folder: PathBuf,
    pub store: SocketAddr,
    pub zones: Vec<Place>,
    pub peer_port: u16,
    pub seeds: Vec<Ipv4Addr>,
    pub grace: &'static str,
}

impl Deployment {
    pub fn machine(&self, name: &str, zone: &str, ip: Ipv4Addr, first: bool) -> Machine {
        let at = || SocketAddr::new(IpAddr::V4(ip), free_port(ip));
        let (callers, lookups, ready, metrics) = (at(), at(), at(), at());
        let region = self.zones.iter().find(|p| p.zone == zone).unwrap().region;
        let mut text = format!("vm = \"{name}\"\nzone = \"{zone}\"\nregion = \"{region}\"\n");
        text.push_str("cpu = 0.14\n");
        if first {
            text.push_str("first_start = true\n");
        }
        text.push_str("[zones]\n");
        for place in &self.zones {
            text.push_str(&format!("\"{}\" = \"{}\"\n", place.zone, place.region));
        }
        let seeds: Vec<String> = self.seeds.iter().map(|ip| format!("\"{ip}:8383\"")).collect();
        text.push_str(&format!(
            "[listen]\ncallers = \"{callers}\"\nlookups = \"{lookups}\"\nready = \"{ready}\"\n\
             metrics = \"{metrics}\"\n[peers]\nport = {}\nseeds = [{}]\n[store]\naddr = \"{}\"\n",
            self.peer_port,
            seeds.join(","),
            self.store
        ));
        // The bounds of the small deployments, as the template of the deploy file renders them.
        text.push_str(&format!(
            "[bounds]\nrevoke = \"5000ms\"\nfail_closed = true\ngrace = \"{}\"\nrate_slack = 20\n\
             lookup_ttl = \"5s\"\nretry_ratio = 0.2\nretry_slack = 133\nretry_window = \"10s\"\n",
            self.grace
        ));
        let settings = self.folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text).expect("write the settings");
        let log = self.folder.join(format!("{name}.log"));
        let name = name.to_owned();
        Machine { name, ip, callers, lookups, ready, settings, log, child: None }
    }
}

impl Machine {
    /// Starts the process with the command of the deploy file; it logs to a file.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("the log");
        self.start_logging_to(log.try_clone().expect("the log"), log);
    }

    /// Starts the process with these as its standard output and error.
    pub fn start_logging_to(&mut self, out: impl Into<Stdio>, err: impl Into<Stdio>) {
        let child = Command::new("target/release/shallotstall-platform")
            .env("SHALLOTSTALL_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn();
        self.child = Some(child.unwrap_or_else(|e| cannot_run(&format!("start the program: {e}"))));
    }

    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            // The shell has the command `kill` on every machine.
            let command = format!("kill -s {name} {}", child.id());
            let _ = Command::new("sh").args(["-c", &command]).status();
        }
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, ms(500)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(ms(1000)));
        let request = "GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).is_ok()
            && matches!(read_answer(&mut BufReader::new(stream)), Outcome::Answer(200, _))
    }

    /// True if the process has ended.
    pub fn ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => child.try_wait().ok().flatten().is_some(),
            None => true,
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all machines are ready; the case can't run otherwise.
pub fn await_ready(machines: &mut [Machine]) {
    let until = Instant::now() + ms(15_000);
    while !machines.iter().all(Machine::is_ready) {
        if Instant::now() > until {
            machines.iter_mut().for_each(Machine::kill);
            cannot_run("a machine isn't ready after 15 s");
        }
        thread::sleep(ms(50));
    }
}

pub fn cannot_run(cause: &str) -> ! {
    println!("the case can't run: {cause}");
    std::process::exit(2);
}

/// One route in the configuration.
#[derive(Clone, Copy)]
pub struct RouteSpec<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub timeout: &'a str,
    pub service: &'a str,
}

/// `config/main` as `fleetbench wire` shows it, with one tenant of the given key and quota.
pub fn config(version: u64, routes: &[RouteSpec<'_>], key: &str, rate: u32) -> String {
    let mut items = Vec::new();
    let mut services: Vec<&str> = Vec::new();
    for route in routes {
        items.push(format!(
            "{{\"resourceKind\":\"routes\",\"metadata\":{{\"name\":\"{}\"}},\"spec\":{{\
             \"host\":\"jepu9.example\",\"pathPrefix\":\"{}\",\"routeType\":\"{}\",\
             \"timeout\":\"{}\",\"targetLatency\":\"600ms\",\"priority\":1,\"service\":\"{}\",\
             \"maxAttempts\":2,\"public\":false,\"sessionAffinity\":true,\"homeRegions\":[]}}}}",
            route.name, route.prefix, route.kind, route.timeout, route.service
        ));
        if !services.contains(&route.service) {
            services.push(route.service);
        }
    }
    for service in services {
        items.push(format!(
            "{{\"resourceKind\":\"services\",\"metadata\":{{\"name\":\"{service}\"}},\"spec\":{{\
             \"healthPath\":\"/health\",\"maxConns\":813,\"protocol\":\"h1\",\"tls\":false,\
             \"coldStart\":\"3s\",\"coldPerS\":5.4}}}}"
        ));
    }
    items.push(format!(
        "{{\"resourceKind\":\"tenants\",\"metadata\":{{\"name\":\"yefi830\"}},\"spec\":{{\
         \"apiKeys\":[\"{key}\"],\"priority\":0,\"ratePerS\":{rate},\"burst\":{rate},\
         \"homeRegions\":[]}}}}"
    ));
    items.push(
        "{\"resourceKind\":\"limits\",\"metadata\":{},\"spec\":{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}"
            .to_owned(),
    );
    format!("{{\"version\":\"r{version}\",\"resources\":[{}]}}", items.join(","))
}

/// A folder of this run for settings and logs.
pub fn run_folder(case: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("shallot-review-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}
