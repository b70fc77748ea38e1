//! A worker that is removed at short notice is gone while it streams answers without a length.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    Record, Verdict,
    net::{Outcome, call, request},
    site::{Site, WorkerProcess},
    worker::Settings,
};

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"r-chat","host":"desk.example","path_prefix":"/chat/","kind":"stream","timeout_ms":12000,"target_latency_ms":400,"priority":0,"service":"desk","max_attempts":1,"resumable":false,"gap_aim_ms":300}],"services":[{"name":"desk","health_path":"/health","max_connections":360,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// A stream as the counter's questions are: 49 events, a tenth of a second apart.
const EVENTS: u32 = 49;
const GAP_MS: u64 = 100;
const STREAMS: usize = 150;
const WORKERS: u32 = 6;

/// Time from the notice to the end of the worker.
const NOTICE_MS: u64 = 2_000;

fn chat(id: &str) -> Vec<u8> {
    let headers = format!("Host: desk.example\r\nAttempt-Id: {id}\r\nTime-Remaining-Ms: 12000\r\n");
    request("POST", "/chat/1", &headers, "a question about a bit")
}

pub fn run(trouble: bool, record: &mut Record) -> Verdict {
    let mut site = Site::start(3);
    site.store.put("config", "main", CONFIG);
    let worker = |number: u32, addr: SocketAddr| Settings {
        id: format!("i-desk{number}"),
        addr,
        public: addr,
        store: site.store_addr,
        service: "desk".to_owned(),
        zone: ["zone-a", "zone-b"][number as usize % 2].to_owned(),
        log: site.run_log(),
        events: EVENTS,
        gap_ms: GAP_MS,
        // One answer in twenty.
        unframed_every: 20,
        slots: 64,
        models: String::new(),
        engine: false,
        crashing_part: String::new(),
    };
    let settings: Vec<Settings> = (1..=WORKERS)
        .map(|n| worker(n, site.worker_addr()))
        .collect();
    let mut workers: Vec<WorkerProcess> = settings.iter().map(WorkerProcess::start).collect();
    for host in 0..site.hosts.len() {
        site.start_host(host, true);
    }
    if !site.await_ready(Duration::from_secs(20)) {
        record.add("the hosts did not become ready");
        return Verdict::NotRun;
    }
    // Longer than the stable window.
    thread::sleep(Duration::from_secs(5));
    record.add(format!(
        "{STREAMS} streams of {EVENTS} events are requested from 3 hosts in front of {WORKERS} workers"
    ));
    let outcomes: Arc<Mutex<Vec<(String, Outcome)>>> = Arc::default();
    let clients: Vec<_> = (0..STREAMS)
        .map(|n| {
            let (outcomes, addr) = (Arc::clone(&outcomes), site.hosts[n % 3].callers());
            thread::spawn(move || {
                let id = format!("c0de{n:04}");
                let outcome = call(addr, &chat(&id), Duration::from_secs(12));
                outcomes.lock().unwrap().push((id, outcome));
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    if trouble {
        workers[0].command(&format!("leave {NOTICE_MS}"));
        record.add(format!(
            "{} reports that it is draining, with {NOTICE_MS} ms left",
            settings[0].id
        ));
        thread::sleep(Duration::from_millis(NOTICE_MS));
        workers[0].kill();
        record.add(format!(
            "the time of {} has run out: its process is gone",
            settings[0].id
        ));
    }
    for client in clients {
        drop(client.join());
    }
    let runs = site.runs();
    let mut outcomes = outcomes.lock().unwrap().clone();
    outcomes.sort_by(|a, b| a.0.cmp(&b.0));
    let (mut passed_as_whole, mut broken_off) = (0, 0);
    for (id, outcome) in &outcomes {
        let events = String::from_utf8_lossy(&outcome.body)
            .matches("data: ")
            .count();
        let of_id = |what: &str| runs.iter().find(|r| r[2].starts_with(what) && r[3] == *id);
        let run = of_id("runs");
        let at = run.map_or("nowhere", |r| r[1].as_str());
        let framing = if run.is_some_and(|r| r[2] == "runs") {
            "chunks"
        } else {
            "no length"
        };
        let finished = of_id("finished").is_some();
        record.add(format!(
            "{id}: run at {at} with {framing}, finished there: {finished}; client: status {}, {events} of {EVENTS} events, {}",
            outcome.status,
            if outcome.complete { "ended as a complete response" } else { "broken off" },
        ));
        if outcome.status == 200 && outcome.complete && events < EVENTS as usize {
            passed_as_whole += 1;
        }
        broken_off += usize::from(!outcome.complete);
    }
    record.add(format!("{passed_as_whole} beginnings of streams ended as complete responses, {broken_off} streams were broken off"));
    let served = outcomes.iter().filter(|(_, o)| o.status == 200).count();
    if served < STREAMS {
        record.add(format!("only {served} streams began"));
        return Verdict::NotRun;
    }
    match passed_as_whole {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
