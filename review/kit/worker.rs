//! Stand-in of a worker, as a process of its own.
//!
//! It registers itself in the store, runs requests and appends a line for each run to a log. Commands come
//! by its standard input; it ends when that is closed.

use std::{
    fs::{File, OpenOptions},
    io::{BufRead, Write},
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    json,
    net::{Conn, Message, response},
    store::{HEARTBEAT, put_remote},
};

/// Settings of a worker, which are passed on its command line in this order.
#[derive(Clone)]
pub struct Settings {
    pub id: String,
    /// Address that it listens on, and the one at which it is reached.
    pub addr: SocketAddr,
    pub public: SocketAddr,
    pub store: SocketAddr,
    pub service: String,
    pub zone: String,
    pub log: String,
    /// Number of events of a stream, or 0 for plain answers, and the time before each event or answer.
    pub events: u32,
    pub gap_ms: u64,
    /// Each stream of this number has neither a length nor chunks and ends with its connection, from the
    /// first one on; 0 for none.
    pub unframed_every: u64,
    pub slots: u32,
    /// Models that it holds, separated by commas; empty for a plain service.
    pub models: String,
    /// Whether it is a worker of an engine.
    pub engine: bool,
    /// Part of prompts, or caller of a plain service, that crashes it as it begins to write an answer.
    pub crashing_part: String,
}

impl Settings {
    pub fn to_args(&self) -> Vec<String> {
        vec![
            self.id.clone(),
            self.addr.to_string(),
            self.store.to_string(),
            self.service.clone(),
            self.zone.clone(),
            self.log.clone(),
            self.events.to_string(),
            self.gap_ms.to_string(),
            self.unframed_every.to_string(),
            self.models.clone(),
            self.engine.to_string(),
            self.crashing_part.clone(),
            self.public.to_string(),
            self.slots.to_string(),
        ]
    }

    pub fn from_args(args: &[String]) -> Self {
        Self {
            id: args[0].clone(),
            addr: args[1].parse().unwrap(),
            store: args[2].parse().unwrap(),
            service: args[3].clone(),
            zone: args[4].clone(),
            log: args[5].clone(),
            events: args[6].parse().unwrap(),
            gap_ms: args[7].parse().unwrap(),
            unframed_every: args[8].parse().unwrap(),
            models: args[9].clone(),
            engine: args[10] == "true",
            crashing_part: args[11].clone(),
            public: args[12].parse().unwrap(),
            slots: args[13].parse().unwrap(),
        }
    }
}

struct Worker {
    settings: Settings,
    born: u64,
    leaving: AtomicBool,
    time_left_ms: Mutex<Option<u64>>,
    models: Mutex<Vec<String>>,
    orders: AtomicU64,
    busy: AtomicBool,
    beats: AtomicU64,
    streams: AtomicU64,
    log: Mutex<File>,
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(time.as_millis()).unwrap()
}

/// Runs a worker until its standard input is closed.
pub fn run(args: &[String]) {
    let settings = Settings::from_args(args);
    let listener = TcpListener::bind(settings.addr).expect("a free address");
    let log = OpenOptions::new()
        .create(true)
        .append(true)
        .open(&settings.log);
    let models = settings
        .models
        .split(',')
        .filter(|m| !m.is_empty())
        .map(str::to_owned);
    let worker = Arc::new(Worker {
        born: unix_ms(),
        leaving: AtomicBool::new(false),
        time_left_ms: Mutex::default(),
        models: Mutex::new(models.collect()),
        orders: AtomicU64::new(0),
        busy: AtomicBool::new(false),
        beats: AtomicU64::new(0),
        streams: AtomicU64::new(0),
        log: Mutex::new(log.expect("a log")),
        settings,
    });
    let beating = Arc::clone(&worker);
    thread::spawn(move || {
        loop {
            beating.register();
            thread::sleep(HEARTBEAT);
        }
    });
    let accepting = Arc::clone(&worker);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let worker = Arc::clone(&accepting);
            thread::spawn(move || worker.serve(Conn::new(stream)));
        }
    });
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        if let Some(left) = line.strip_prefix("leave ") {
            worker.leaving.store(true, Ordering::SeqCst);
            *worker.time_left_ms.lock().unwrap() = left.parse().ok();
            worker.register();
        }
    }
}

impl Worker {
    fn models_json(&self) -> String {
        let models = self.models.lock().unwrap();
        let models = models
            .iter()
            .map(|m| format!(r#"{{"name":"{m}","version":1,"adapters":[]}}"#));
        format!("[{}]", models.collect::<Vec<_>>().join(","))
    }

    fn register(&self) {
        let s = &self.settings;
        let state = if self.leaving.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let left = self
            .time_left_ms
            .lock()
            .unwrap()
            .map_or(String::new(), |ms| format!(r#","time_left_ms":{ms}"#));
        let engine = match s.engine {
            true => format!(r#","stage":"both","models":{}"#, self.models_json()),
            false => String::new(),
        };
        let beat = self.beats.fetch_add(1, Ordering::SeqCst);
        let spec = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"{state}","cold_left_ms":0,"born":{}{left}{engine},"sequence":{beat}}}"#,
            s.service, s.public, s.zone, s.slots, self.born
        );
        put_remote(s.store, "servers", &s.id, &spec);
    }

    fn record(&self, what: &str, request: &Message) {
        let id = request.header("attempt-id");
        let line = format!(
            "{} {} {what} {id} {}\n",
            unix_ms(),
            self.settings.id,
            request.header("prompt-prefix")
        );
        drop(self.log.lock().unwrap().write_all(line.as_bytes()));
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(request)) = conn.read_request() {
            let kept = self.answer(&mut conn, &request);
            if !matches!(kept, Ok(true)) {
                return;
            }
        }
    }

    /// Answers a request; returns whether the connection is kept.
    fn answer(&self, conn: &mut Conn, request: &Message) -> std::io::Result<bool> {
        let leaving = if self.leaving.load(Ordering::SeqCst) {
            "Server-Leaving: 1\r\n"
        } else {
            ""
        };
        let id = request.header("attempt-id");
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != self.settings.id {
            let headers = format!(
                "Attempt-Id: {id}\r\nInstance-Id: {}\r\n{leaving}",
                self.settings.id
            );
            return conn.send(&response(421, &headers, "")).map(|()| true);
        }
        let typed = format!("Content-Type: application/json\r\n{leaving}");
        match request.target() {
            "/health" => {
                let headers = format!("Instance-Id: {}\r\n{leaving}", self.settings.id);
                return conn.send(&response(200, &headers, "")).map(|()| true);
            }
            "/celerytally/report" => {
                let report = format!(
                    r#"{{"stage":"both","models":{},"busy":{},"sequence":{},"born":{},"waiting":0,"running":0,"kv_used":0,"kv_total":249795,"handles":0}}"#,
                    self.models_json(),
                    self.busy.load(Ordering::SeqCst),
                    self.orders.load(Ordering::SeqCst),
                    self.born
                );
                return conn.send(&response(200, &typed, &report)).map(|()| true);
            }
            "/celerytally/order" => {
                let status = self.order(&String::from_utf8_lossy(&request.body));
                return conn.send(&response(status, &typed, "{}")).map(|()| true);
            }
            _ => {}
        }
        let model = request.header("model");
        if !model.is_empty() && !self.models.lock().unwrap().iter().any(|m| m == model) {
            return conn
                .send(&response(
                    421,
                    &format!("Attempt-Id: {id}\r\n{leaving}"),
                    "",
                ))
                .map(|()| true);
        }
        if self.settings.events == 0 {
            return self.plain(conn, request, leaving);
        }
        self.stream(conn, request, leaving)
    }

    /// Runs a request of a plain service.
    fn plain(&self, conn: &mut Conn, request: &Message, leaving: &str) -> std::io::Result<bool> {
        let id = request.header("attempt-id");
        self.record("runs", request);
        thread::sleep(Duration::from_millis(self.settings.gap_ms));
        let crashing = &self.settings.crashing_part;
        if !crashing.is_empty() && request.header("authorization") == format!("Bearer {crashing}") {
            self.record("crashes", request);
            conn.send(b"HTTP/1.1 200 OK\r\n")?;
            std::process::abort();
        }
        let headers = format!(
            "Attempt-Id: {id}\r\nServer-Seal: {}.{id}\r\n{leaving}",
            self.settings.id
        );
        conn.send(&response(200, &headers, "done")).map(|()| true)
    }

    /// Carries out an order; a load takes some tenths of a second.
    fn order(&self, order: &str) -> u16 {
        let model = json::text(order, "model").unwrap_or("").to_owned();
        if json::text(order, "holder").is_none() || json::number(order, "fence").is_none() {
            return 400;
        }
        let expected = json::number(order, "expect");
        let count = self.orders.load(Ordering::SeqCst);
        if self.busy.load(Ordering::SeqCst) || expected.is_some_and(|e| e != count) {
            return 409;
        }
        let mut models = self.models.lock().unwrap();
        let holds = models.contains(&model);
        let loads = json::text(order, "op_kind") == Some("load");
        if holds == loads {
            return 200;
        }
        self.orders.fetch_add(1, Ordering::SeqCst);
        if loads {
            thread::sleep(Duration::from_millis(200));
            models.push(model);
        } else {
            models.retain(|m| *m != model);
        }
        drop(models);
        self.register();
        202
    }

    /// Runs a request, whose answer is a stream of events with ids from 1 on.
    fn stream(&self, conn: &mut Conn, request: &Message, leaving: &str) -> std::io::Result<bool> {
        let id = request.header("attempt-id");
        let number = self.streams.fetch_add(1, Ordering::SeqCst);
        let every = self.settings.unframed_every;
        let unframed = every > 0 && number % every == 0;
        self.record(if unframed { "runs-unframed" } else { "runs" }, request);
        thread::sleep(Duration::from_millis(self.settings.gap_ms));
        let framing = if unframed {
            "Connection: close\r\n"
        } else {
            "Transfer-Encoding: chunked\r\n"
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: {}.{id}\r\nContent-Type: text/event-stream\r\n{framing}{leaving}\r\n",
            self.settings.id
        );
        conn.send(head.as_bytes())?;
        let prefix = request.header("prompt-prefix");
        let mut parts: Vec<&str> = prefix
            .split(',')
            .filter_map(|p| p.split(':').next())
            .collect();
        parts.pop();
        if !self.settings.crashing_part.is_empty()
            && parts.contains(&self.settings.crashing_part.as_str())
        {
            self.record("crashes", request);
            std::process::abort();
        }
        for event in 1..=self.settings.events {
            if event > 1 {
                thread::sleep(Duration::from_millis(self.settings.gap_ms));
            }
            let text = format!(
                "id: {event}\ndata: piece {event} of {}\n\n",
                self.settings.events
            );
            let sent = match unframed {
                true => conn.send(text.as_bytes()),
                false => conn.send(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()),
            };
            if sent.is_err() {
                self.record("stopped", request);
                return sent.map(|()| false);
            }
        }
        self.record("finished", request);
        if unframed {
            return Ok(false);
        }
        conn.send(b"0\r\n\r\n").map(|()| true)
    }
}
