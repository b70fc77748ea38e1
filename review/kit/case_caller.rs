//! The request of one caller crashes workers, while other callers' requests with the same path and body are
//! sound.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Record, Verdict,
    case_part::supervise,
    net::call,
    site::{Site, WorkerProcess},
    worker::{Settings, unix_ms},
};

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"r-board","host":"desk.example","path_prefix":"/board/","kind":"safe","timeout_ms":1000,"target_latency_ms":150,"priority":2,"service":"desk","max_attempts":1}],"services":[{"name":"desk","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Caller whose request crashes workers.
const CALLER: &str = "caller-7";

/// `stable_window_ms`.
const STABLE_WINDOW_MS: u64 = 3_000;

/// Number of crashes after which the rule counts, and of retries that it allows from then on.
const CRASHES: usize = 3;
const ALLOWED: usize = 3;

const WORKERS: u32 = 6;
const WORK_MS: u64 = 30;

/// Time between two attempts of the caller whose request crashes workers.
const RETRY_INTERVAL: Duration = Duration::from_millis(1_500);

fn read(id: &str, caller: &str) -> Vec<u8> {
    let headers = format!(
        "Host: desk.example\r\nAttempt-Id: {id}\r\nAuthorization: Bearer {caller}\r\nTime-Remaining-Ms: 1000\r\n"
    );
    format!("GET /board/today HTTP/1.1\r\n{headers}\r\n").into_bytes()
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
        zone: ["zone-a", "zone-b", "zone-c"][number as usize % 3].to_owned(),
        log: site.run_log(),
        events: 0,
        gap_ms: WORK_MS,
        unframed_every: 0,
        slots: 6,
        models: String::new(),
        engine: false,
        crashing_part: if trouble {
            CALLER.to_owned()
        } else {
            String::new()
        },
    };
    let workers = (1..=WORKERS).map(|n| WorkerProcess::start(&worker(n, site.worker_addr())));
    let workers: Vec<WorkerProcess> = workers.collect();
    let stop = Arc::new(AtomicBool::new(false));
    let supervised = Arc::clone(&stop);
    let supervisor = thread::spawn(move || supervise(workers, &supervised));
    for host in 0..site.hosts.len() {
        site.start_host(host, true);
    }
    if !site.await_ready(Duration::from_secs(20)) {
        record.add("the hosts did not become ready");
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(5));
    let hosts: Vec<SocketAddr> = site.hosts.iter().map(|h| h.callers()).collect();
    // Other callers read the same page.
    let sound: Arc<Mutex<(u32, u32)>> = Arc::default();
    let (to, sending, counted) = (hosts.clone(), Arc::clone(&stop), Arc::clone(&sound));
    thread::spawn(move || {
        let mut number = 0;
        while !sending.load(Ordering::SeqCst) {
            number += 1;
            let (addr, counted) = (to[number % to.len()], Arc::clone(&counted));
            thread::spawn(move || {
                let caller = format!("caller-{}", 10 + number % 40);
                let outcome = call(
                    addr,
                    &read(&format!("50d{number:05x}"), &caller),
                    Duration::from_secs(2),
                );
                let mut counted = counted.lock().unwrap();
                counted.0 += 1;
                counted.1 += u32::from(outcome.status == 200 && outcome.complete);
            });
            thread::sleep(Duration::from_millis(100));
        }
    });
    thread::sleep(Duration::from_secs(3));
    record.add(format!(
        "callers read one page ten times a second at 3 hosts in front of {WORKERS} workers"
    ));
    let crashes = || -> Vec<u64> {
        let runs = site.runs().into_iter().filter(|r| r[2] == "crashes");
        runs.filter_map(|r| r[0].parse().ok()).collect()
    };
    let mut sent: Vec<(String, u64)> = Vec::new();
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(36) {
        let number = sent.len() + 1;
        let (addr, id) = (hosts[number % hosts.len()], format!("bad{number:05x}"));
        let sent_at = unix_ms();
        let outcome = call(addr, &read(&id, CALLER), Duration::from_secs(2));
        record.add(format!(
            "request {id} of {CALLER} at {addr}: status {}{}; {} crashes so far",
            outcome.status,
            if outcome.complete { "" } else { ", broken off" },
            crashes().len()
        ));
        sent.push((id, sent_at));
        thread::sleep(RETRY_INTERVAL);
    }
    stop.store(true, Ordering::SeqCst);
    drop(supervisor.join());
    let counts_from = crashes().get(CRASHES - 1).map(|at| at + STABLE_WINDOW_MS);
    let runs = site.runs();
    let is_late = |sent_at: u64| counts_from.is_some_and(|from| sent_at > from);
    let late = sent.iter().filter(|(_, at)| is_late(*at));
    let reached = late
        .clone()
        .filter(|(id, _)| runs.iter().any(|r| r[2] == "runs" && r[3] == *id));
    let (late, reached) = (late.count(), reached.count());
    let (asked, served) = *sound.lock().unwrap();
    record.add(format!("{} workers crashed in all", crashes().len()));
    record.add(format!(
        "of {late} retries sent later than the stable window after the third crash, {reached} reached workers; {ALLOWED} are allowed"
    ));
    record.add(format!("{served} of {asked} sound reads were served"));
    match reached > ALLOWED {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
