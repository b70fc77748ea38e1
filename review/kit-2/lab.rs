//! Stand-ins of the platform's store, of plain backend servers and of callers, and the start of entry hosts.
//!
//! A scenario starts `celerytally entry` as separate processes on loopback addresses. Everything else runs in
//! threads of this program, which uses the standard library alone.

use std::{
    collections::BTreeMap,
    fs,
    io::{self, Read, Write},
    net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const MS: Duration = Duration::from_millis(1);

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |t| t.as_millis() as u64)
}

/// Lines of `record.txt`, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = fs::File::create(path).unwrap_or_else(|e| cannot_run(&format!("record: {e}")));
        thread::spawn(|| {
            thread::sleep(Duration::from_secs(115));
            cannot_run("it took too long");
        });
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(lock(&self.file), "{at:8.3} {text}");
    }
}

/// Processes that this program has started and that have not ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Sends a signal to a process that this program has started. Returns whether it was sent.
pub fn send_signal(pid: u32, signal: &str) -> bool {
    let sent = Command::new("sh").args(["-c", &format!("kill -{signal} {pid}")]).status();
    sent.is_ok_and(|status| status.success())
}

/// Ends the program, and the processes that it started, because the case could not run.
pub fn cannot_run(why: &str) -> ! {
    for pid in lock(&STARTED).iter() {
        send_signal(*pid, "KILL");
    }
    eprintln!("the case could not run: {why}");
    std::process::exit(2);
}

/// Returns the raw text of a field of a JSON object.
pub fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = text.find('{')? + 1;
    loop {
        let key_start = at + text[at..].find('"')? + 1;
        let key_end = key_start + text[key_start..].find('"')?;
        let mut value = key_end + 1 + text[key_end + 1..].find(':')? + 1;
        while bytes.get(value)?.is_ascii_whitespace() {
            value += 1;
        }
        let (mut depth, mut in_text, mut end) = (0_i32, false, value);
        while end < bytes.len() {
            match bytes[end] {
                b'\\' if in_text => end += 1,
                b'"' => in_text = !in_text,
                b'{' | b'[' if !in_text => depth += 1,
                b'}' | b']' if !in_text && depth == 0 => break,
                b'}' | b']' if !in_text => depth -= 1,
                b',' if !in_text && depth == 0 => break,
                _ => {}
            }
            end += 1;
        }
        if &text[key_start..key_end] == name {
            return Some(text[value..end].trim());
        }
        if bytes.get(end) != Some(&b',') {
            return None;
        }
        at = end + 1;
    }
}

/// Message as it was received.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_str())
    }

    pub fn word(&self, at: usize) -> &str {
        self.first_line.split(' ').nth(at).unwrap_or_default()
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or_default()
    }
}

/// Reads a message with a stated length or in chunks.
pub fn read_message(stream: &mut TcpStream) -> io::Result<Option<Message>> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(0) if head.is_empty() => return Ok(None),
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(_) => head.push(byte[0]),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut lines = head.split("\r\n");
    let mut message = Message {
        first_line: lines.next().unwrap_or_default().to_owned(),
        ..Message::default()
    };
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        let pair = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
        message.headers.push(pair);
    }
    if let Some(len) = message.header("content-length").and_then(|l| l.parse().ok()) {
        message.body = vec![0; len];
        stream.read_exact(&mut message.body)?;
    } else if message.header("transfer-encoding").is_some() {
        loop {
            let mut line = Vec::new();
            while !line.ends_with(b"\r\n") {
                stream.read_exact(&mut byte)?;
                line.push(byte[0]);
            }
            let size = String::from_utf8_lossy(&line);
            let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            stream.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    Ok(Some(message))
}

#[derive(Clone)]
struct Object {
    spec: String,
    revision: u64,
}

type Key = (String, String);

#[derive(Default)]
struct StoreState {
    revision: u64,
    era: u64,
    objects: BTreeMap<Key, Object>,
    history: Vec<(u64, Key, Option<Object>)>,
    away: bool,
    /// Whether calls end without an answer, on channels that stay open, while the store is away.
    silent: bool,
}

/// Copy of a store, from which it may come back.
pub struct StoreCopy(u64, BTreeMap<Key, Object>);

/// The platform's store.
pub struct Store {
    pub addr: SocketAddr,
    state: Mutex<StoreState>,
    changed: Condvar,
    pub renewals: AtomicU64,
    waits_for_renewal: AtomicBool,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&format!("{e}")));
        let store = Arc::new(Self {
            addr: listener.local_addr().unwrap_or_else(|e| cannot_run(&format!("{e}"))),
            state: Mutex::default(),
            changed: Condvar::new(),
            renewals: AtomicU64::new(0),
            waits_for_renewal: AtomicBool::new(false),
        });
        lock(&store.state).revision = 100;
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Ok(Some(call)) = read_message(&mut stream) {
            let era = lock(&self.state).era;
            self.seen(&call);
            if lock(&self.state).away {
                return self.end(stream);
            }
            let (status, body) = self.answer(&call);
            // An answer takes some milliseconds.
            thread::sleep(4 * MS);
            let state = lock(&self.state);
            if state.away || state.era != era {
                drop(state);
                return self.end(stream);
            }
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {}\r\nContent-Length: {}\r\n\r\n{body}",
                state.era,
                body.len()
            );
            drop(state);
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Ends a channel on which an answer is lost: closed, or open without anything further.
    fn end(&self, stream: TcpStream) {
        if lock(&self.state).silent {
            thread::sleep(Duration::from_secs(20));
        }
        drop(stream);
    }

    /// Counts the renewals of leases, as they arrive.
    fn seen(&self, call: &Message) {
        if call.word(0) == "PUT" && call.word(1).starts_with("/celerytally/objects/leases/") {
            self.renewals.fetch_add(1, Ordering::SeqCst);
            if self.waits_for_renewal.swap(false, Ordering::SeqCst) {
                lock(&self.state).away = true;
                self.changed.notify_all();
            }
        }
    }

    /// Takes the store away, silently, as the next renewal of a lease arrives.
    pub fn go_away_at_renewal(&self) {
        lock(&self.state).silent = true;
        self.waits_for_renewal.store(true, Ordering::SeqCst);
    }

    pub fn is_away(&self) -> bool {
        lock(&self.state).away
    }

    fn answer(&self, call: &Message) -> (u16, String) {
        let (method, target) = (call.word(0), call.word(1));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let path = path.strip_prefix("/celerytally/objects/").unwrap_or_default();
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let param = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(n, _)| *n == name).map(|(_, v)| v.to_owned())
        };
        if let Some(since) = param("watch").and_then(|s| s.parse().ok()) {
            let wait = param("wait_ms").and_then(|w| w.parse().ok()).unwrap_or(0);
            return self.watch(kind, since, Duration::from_millis(wait));
        }
        let body = String::from_utf8_lossy(&call.body).into_owned();
        let metadata = field(&body, "metadata").unwrap_or("{}");
        let spec = field(&body, "spec").unwrap_or("null").to_owned();
        let expected: Option<u64> = field(metadata, "revision").and_then(|r| r.parse().ok());
        let named = field(metadata, "name").map(|n| n.trim_matches('"').to_owned());
        match (method, name) {
            ("GET", "") => (200, self.list(kind)),
            ("GET", name) => {
                let state = lock(&self.state);
                match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                    Some(object) => (200, object_text(name, object)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("POST", "") => {
                let key = (kind.to_owned(), named.unwrap_or_default());
                let mut state = lock(&self.state);
                if let Some(object) = state.objects.get(&key) {
                    return (409, object_text(&key.1, object));
                }
                (200, self.write_in(&mut state, key, Some(spec)))
            }
            ("PUT", name) => {
                let key = (kind.to_owned(), name.to_owned());
                let mut state = lock(&self.state);
                match state.objects.get(&key) {
                    None => return (404, "{}".to_owned()),
                    Some(object) if expected.is_some_and(|e| e != object.revision) => {
                        return (409, object_text(name, object));
                    }
                    Some(_) => {}
                }
                (200, self.write_in(&mut state, key, Some(spec)))
            }
            ("DELETE", name) => (200, self.write(kind, name, None)),
            _ => (405, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str) -> String {
        let state = lock(&self.state);
        let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<String> = of_kind.map(|((_, n), o)| object_text(n, o)).collect();
        format!(r#"{{"items":[{}],"more":false,"current_rev":{}}}"#, items.join(","), state.revision)
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = lock(&self.state);
        let era = state.era;
        loop {
            if state.era != era || state.away || since > state.revision {
                return (410, "{}".to_owned());
            }
            let new = state.history.iter().filter(|(at, (k, _), _)| *at > since && k == kind);
            let events: Vec<String> = new.map(|(_, (_, name), object)| event_text(name, object.as_ref())).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(r#"{{"events":[{}],"current_rev":{}}}"#, events.join(","), state.revision);
                return (200, body);
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Writes or removes an object and returns its text.
    pub fn write(&self, kind: &str, name: &str, spec: Option<String>) -> String {
        let key = (kind.to_owned(), name.to_owned());
        self.write_in(&mut lock(&self.state), key, spec)
    }

    fn write_in(&self, state: &mut StoreState, key: Key, spec: Option<String>) -> String {
        state.revision += 1;
        let revision = state.revision;
        let object = spec.map(|spec| Object { spec, revision });
        match &object {
            Some(object) => drop(state.objects.insert(key.clone(), object.clone())),
            None => drop(state.objects.remove(&key)),
        }
        let text = object.as_ref().map_or_else(|| "{}".to_owned(), |o| object_text(&key.1, o));
        state.history.push((revision, key, object));
        self.changed.notify_all();
        text
    }

    pub fn copy(&self) -> StoreCopy {
        let state = lock(&self.state);
        StoreCopy(state.revision, state.objects.clone())
    }

    /// Takes the store away: calls that wait and new ones end with a closed channel.
    pub fn go_away(&self) {
        lock(&self.state).away = true;
        self.changed.notify_all();
    }

    /// Brings the store back from a copy.
    pub fn come_back(&self, copy: StoreCopy) {
        let mut state = lock(&self.state);
        state.away = false;
        state.era += 1;
        state.revision = copy.0;
        state.objects = copy.1;
        state.history.retain(|(at, ..)| *at <= copy.0);
        self.changed.notify_all();
    }
}

fn object_text(name: &str, object: &Object) -> String {
    format!(
        r#"{{"metadata":{{"name":"{name}","revision":{},"create_rev":1,"finalizers":[],"deleting":false}},"spec":{},"status":null}}"#,
        object.revision, object.spec
    )
}

fn event_text(name: &str, object: Option<&Object>) -> String {
    match object {
        Some(object) => format!(r#"{{"removed":false,"object":{}}}"#, object_text(name, object)),
        None => format!(r#"{{"removed":true,"object":{{"metadata":{{"name":"{name}"}},"spec":null}}}}"#),
    }
}

/// Request that reached a backend server.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub path: String,
    pub at: Instant,
    /// Whether the whole answer was written.
    pub answered: bool,
    /// Whether the answer said that the server leaves.
    pub said_leaving: bool,
}

/// Plain backend server that works on each request for a time.
pub struct Worker {
    pub id: String,
    pub addr: SocketAddr,
    born: u64,
    zone: &'static str,
    service: &'static str,
    work: Duration,
    pub runs: Mutex<Vec<Run>>,
    streams: Mutex<Vec<TcpStream>>,
    down: AtomicBool,
    registered: AtomicBool,
    pub leaving: AtomicBool,
    pub beats: AtomicU64,
    record: Record,
}

impl Worker {
    pub fn start(
        (id, service, zone): (&str, &'static str, &'static str),
        work: Duration,
        store: &Arc<Store>,
        record: &Record,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&format!("{e}")));
        let worker = Arc::new(Self {
            id: id.to_owned(),
            addr: listener.local_addr().unwrap_or_else(|e| cannot_run(&format!("{e}"))),
            born: unix_ms(),
            zone,
            service,
            work,
            runs: Mutex::default(),
            streams: Mutex::default(),
            down: AtomicBool::new(false),
            registered: AtomicBool::new(true),
            leaving: AtomicBool::new(false),
            beats: AtomicU64::new(0),
            record: record.clone(),
        });
        let _ = listener.set_nonblocking(true);
        let serving = Arc::clone(&worker);
        thread::spawn(move || {
            while !serving.down.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => serving.accept(stream),
                    Err(_) => thread::sleep(MS),
                }
            }
        });
        let (beating, store) = (Arc::clone(&worker), Arc::clone(store));
        store.write("servers", &worker.id, Some(worker.entry()));
        thread::spawn(move || {
            loop {
                thread::sleep(1_200 * MS);
                if beating.down.load(Ordering::SeqCst) || !beating.registered.load(Ordering::SeqCst) {
                    return;
                }
                beating.beats.fetch_add(1, Ordering::SeqCst);
                if !lock(&store.state).away {
                    store.write("servers", &beating.id, Some(beating.entry()));
                }
            }
        });
        worker
    }

    fn entry(&self) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":6,"state":"ready","cold_left_ms":0,"sequence":{},"born":{}}}"#,
            self.service,
            self.addr,
            self.zone,
            self.beats.load(Ordering::SeqCst),
            self.born
        )
    }

    fn accept(self: &Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        if let Ok(copy) = stream.try_clone() {
            lock(&self.streams).push(copy);
        }
        let worker = Arc::clone(self);
        thread::spawn(move || worker.serve(stream));
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Ok(Some(request)) = read_message(&mut stream) {
            if self.down.load(Ordering::SeqCst) {
                return;
            }
            let id = request.header("attempt-id").unwrap_or_default().to_owned();
            let path = request.word(1).to_owned();
            if request.header("expect-instance").is_some_and(|i| i != self.id) {
                let text = format!("HTTP/1.1 421 X\r\nAttempt-Id: {id}\r\nContent-Length: 0\r\n\r\n");
                let _ = stream.write_all(text.as_bytes());
                continue;
            }
            let at = {
                let mut runs = lock(&self.runs);
                runs.push(Run {
                    id: id.clone(),
                    path: path.clone(),
                    at: Instant::now(),
                    answered: false,
                    said_leaving: false,
                });
                runs.len() - 1
            };
            self.record.line(&format!("server {} runs {id} ({} {path})", self.id, request.word(0)));
            thread::sleep(self.work);
            if self.down.load(Ordering::SeqCst) {
                return;
            }
            let leaving = if self.leaving.load(Ordering::SeqCst) {
                "Server-Leaving: 1\r\nConnection: close\r\n"
            } else {
                ""
            };
            let text = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n{leaving}Content-Length: 2\r\n\r\nok"
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            let run = &mut lock(&self.runs)[at];
            (run.answered, run.said_leaving) = (true, !leaving.is_empty());
            if !leaving.is_empty() {
                return;
            }
        }
    }

    /// Ends the server without notice.
    pub fn crash(&self) {
        crash_all(&[self]);
    }

    /// Writes the entry again.
    pub fn register(&self, store: &Store) {
        self.beats.fetch_add(1, Ordering::SeqCst);
        store.write("servers", &self.id, Some(self.entry()));
    }

    /// Starts to leave without saying so before: the entry is removed, and the server goes on.
    pub fn leave(&self, store: &Store) {
        self.registered.store(false, Ordering::SeqCst);
        self.leaving.store(true, Ordering::SeqCst);
        store.write("servers", &self.id, None);
        self.record.line(&format!("server {} leaves: its entry is removed", self.id));
    }

    /// Returns the number of requests at work.
    pub fn busy(&self) -> usize {
        lock(&self.runs).iter().filter(|r| !r.answered).count()
    }
}

/// Ends servers at the same moment without notice.
pub fn crash_all(workers: &[&Worker]) {
    for worker in workers {
        worker.down.store(true, Ordering::SeqCst);
    }
    // The listeners close within two milliseconds.
    thread::sleep(3 * MS);
    for worker in workers {
        for stream in lock(&worker.streams).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
    for worker in workers {
        worker.record.line(&format!("server {} ends", worker.id));
    }
}

const FRONT: u16 = 8_149;
const READY: u16 = 8_141;
const CONTROL: u16 = 8_144;
const FIRST_INTERNAL: u16 = 7_380;
const LAST_INTERNAL: u16 = 7_395;

/// Entry host, a process of its own.
pub struct Host {
    pub name: String,
    pub ip: Ipv4Addr,
    child: Mutex<Child>,
}

impl Host {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), FRONT)
    }

    pub fn pid(&self) -> u32 {
        lock(&self.child).id()
    }

    /// Sends a signal by its name.
    pub fn signal(&self, signal: &str) {
        if !send_signal(self.pid(), signal) {
            cannot_run("the signal was not sent");
        }
    }

    pub fn has_ended(&self) -> bool {
        lock(&self.child).try_wait().is_ok_and(|status| status.is_some())
    }

    fn is_ready(&self) -> bool {
        let addr = SocketAddr::new(IpAddr::V4(self.ip), READY);
        let Ok(mut stream) = TcpStream::connect_timeout(&addr, 200 * MS) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(500 * MS));
        let text = "GET /celerytally/readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        let _ = stream.write_all(text.as_bytes());
        let answer = read_message(&mut stream);
        answer.is_ok_and(|a| a.is_some_and(|a| a.status() == 200))
    }
}

/// Entry hosts of a small installation; dropping it ends them.
pub struct Hosts {
    pub hosts: Vec<Host>,
    dir: PathBuf,
    /// Keep other runs of a case from the same addresses.
    _reserved: Vec<TcpListener>,
}

impl Hosts {
    /// Starts the hosts, each at an address of its own with the same ports.
    pub fn start(zones: &[&str], store: &Store, record: &Record) -> Self {
        let program = std::env::var("CELERYTALLY").unwrap_or_else(|_| "target/release/celerytally".to_owned());
        let dir = std::env::temp_dir().join(format!("lab-{}-{}", std::process::id(), unix_ms()));
        fs::create_dir_all(&dir).unwrap_or_else(|e| cannot_run(&format!("{e}")));
        let address = |net: u64, host: usize| Ipv4Addr::new(127, 1 + (net / 250) as u8, (net % 250) as u8, 1 + host as u8);
        let reserve = |net: u64| -> Option<Vec<TcpListener>> {
            let is_free = |ip: Ipv4Addr| {
                let ports = [FRONT, READY, CONTROL, LAST_INTERNAL];
                ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok())
                    && UdpSocket::bind((ip, FIRST_INTERNAL)).is_ok()
            };
            // The port is not used by a host.
            let reserved = (0..zones.len()).map(|host| TcpListener::bind((address(net, host), LAST_INTERNAL + 1)).ok());
            let reserved: Vec<TcpListener> = reserved.collect::<Option<_>>()?;
            (0..zones.len()).all(|host| is_free(address(net, host))).then_some(reserved)
        };
        let first = u64::from(std::process::id()) * 101 % 50_000;
        let found = (first..first + 10_000).find_map(|net| Some((net, reserve(net)?)));
        let (net, reserved) = found.unwrap_or_else(|| cannot_run("no free addresses"));
        let ip = |host: usize| address(net, host);
        let seeds: Vec<String> = (0..zones.len().min(3)).map(|h| format!(r#""{}:{CONTROL}""#, ip(h))).collect();
        let mut all = Self {
            hosts: Vec::new(),
            dir,
            _reserved: reserved,
        };
        for (at, zone) in zones.iter().enumerate() {
            let name = format!("front-{zone}-{at}");
            let text = settings(&name, zone, ip(at), &seeds.join(","), store.addr);
            let path = all.dir.join(format!("{name}.json"));
            fs::write(&path, text).unwrap_or_else(|e| cannot_run(&format!("{e}")));
            let log = fs::File::create(all.dir.join(format!("{name}.log")));
            let log = log.unwrap_or_else(|e| cannot_run(&format!("{e}")));
            let child = start_process(&program, &path, log);
            all.hosts.push(Host {
                name,
                ip: ip(at),
                child: Mutex::new(child),
            });
        }
        let until = Instant::now() + Duration::from_secs(25);
        while !all.hosts.iter().all(Host::is_ready) {
            if Instant::now() > until {
                cannot_run("the hosts did not get ready");
            }
            thread::sleep(100 * MS);
        }
        record.line("all hosts are ready");
        all
    }
}

impl Hosts {
    /// Starts the process of a host again, which has ended.
    pub fn restart(&self, at: usize) {
        let host = &self.hosts[at];
        let program = std::env::var("CELERYTALLY").unwrap_or_else(|_| "target/release/celerytally".to_owned());
        let path = self.dir.join(format!("{}.json", host.name));
        // `bootstrap` is true only when the whole system starts for the first time.
        if let Ok(text) = fs::read_to_string(&path) {
            let _ = fs::write(&path, text.replace(r#""bootstrap":true"#, r#""bootstrap":false"#));
        }
        let log = fs::OpenOptions::new().append(true).open(self.dir.join(format!("{}.log", host.name)));
        let log = log.unwrap_or_else(|e| cannot_run(&format!("{e}")));
        *lock(&host.child) = start_process(&program, &path, log);
    }
}

impl Drop for Hosts {
    fn drop(&mut self) {
        for host in &self.hosts {
            let mut child = lock(&host.child);
            lock(&STARTED).retain(|pid| *pid != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        } else {
            eprintln!("logs in {}", self.dir.display());
        }
    }
}

fn start_process(program: &str, settings: &Path, log: fs::File) -> Child {
    let child = Command::new(program)
        .arg("entry")
        .env_clear()
        .env("CELERYTALLY_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().map_or(Stdio::null(), Stdio::from))
        .stderr(log)
        .spawn();
    let child = child.unwrap_or_else(|e| cannot_run(&format!("{program}: {e}")));
    lock(&STARTED).push(child.id());
    child
}

fn settings(name: &str, zone: &str, ip: Ipv4Addr, seeds: &str, store: SocketAddr) -> String {
    format!(
        r#"{{"node_name":"{name}","role":"entry","machine_class":"front","serves":["front","control"],
"ip":"{ip}","zone":"{zone}","region":"north","zones":{{"north-a":"north","north-b":"north"}},
"listen":{{"front":"{ip}:{FRONT}","ready":"{ip}:{READY}","control":"{ip}:{CONTROL}"}},
"internal_ports":[{FIRST_INTERNAL},{LAST_INTERNAL}],"seeds":[{seeds}],"bootstrap":true,"fault_counted":false,
"limits":{{"cpu_share":0.25,"cores":1,"memory_mb":260,"max_fds":4100,"link_mbps":1000.0,"disk_mb":0}},
"data_dir":null,"discovery":"platform","entry":"virtual_ip","heartbeat_ms":1200,
"contracts":["base","drain","config","cost","retry","recover","fleet","stream","engine","platform"],
"fault_tolerance":{{"machines":2,"zones":1,"regions":0}},
"bounds":{{"seed_lag_s":3,"addr_reuse_s":2,"stable_window_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,
"grace_s":8,"loss_slack_ms":200,"config_apply_ms":2000,"downgrade_slack_ms":250,"stretch_max_ms":5000,
"budget_ratio":0.2,"budget_window_s":10,"budget_slack":54,"recover_s":12,"pass_ms":120,"again_s":0,
"fencing_required":false,"lease_ms":3000,"thaw_slack_ms":300,"ceiling_window_s":5,"ceiling_over":1.1}},
"platform":{{"address":"{store}","form":"objects","writes_per_s":400,"reads_per_s":2000,"history_s":20,
"value_bytes":1048576,"ttl_min_ms":1000}}}}"#
    )
}

/// Route of a configuration.
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u32,
    pub attempts: u8,
}

pub const HOST_NAME: &str = "desk.example";

/// Returns a configuration with the limits of the platform's example.
pub fn configuration(version: u64, routes: &[Route]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(at, r)| {
            format!(
                r#"{{"name":"r-{at}","host":"{HOST_NAME}","path_prefix":"{}","kind":"{}","timeout_ms":{},"target_latency_ms":150,"priority":2,"service":"{}","max_attempts":{}}}"#,
                r.prefix, r.kind, r.timeout_ms, r.service, r.attempts
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"desk","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(",")
    )
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns an id that no other request of this program has.
pub fn new_id() -> String {
    format!("{:08x}{:08x}", std::process::id(), NEXT_ID.fetch_add(1, Ordering::SeqCst))
}

/// Returns the head of a request without a body.
pub fn request_text(method: &str, path: &str, id: &str, budget_ms: u32) -> String {
    let length = if method == "POST" { "Content-Length: 0\r\n" } else { "" };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nAttempt-Id: {id}\r\nTime-Remaining-Ms: {budget_ms}\r\n{length}\r\n"
    )
}

/// Sends a request on a new channel and returns the answer, or `None` if the channel ended without a whole one.
pub fn send(addr: SocketAddr, method: &str, path: &str, id: &str, budget_ms: u32) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(u64::from(budget_ms) + 2_000)));
    stream.write_all(request_text(method, path, id, budget_ms).as_bytes()).ok()?;
    read_message(&mut stream).ok().flatten()
}
