//! One caller's request for a page crashes two workers, while other callers read the same page.

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
    net::{call, request},
    site::{Site, WorkerProcess},
    worker::Settings,
};

const LIMITS: &str = r#""services":[{"name":"desk","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
const BOOK: &str = r#"{"name":"r-book","host":"desk.example","path_prefix":"/book/","kind":"unsafe","timeout_ms":1000,"target_latency_ms":150,"priority":2,"service":"desk","max_attempts":1}"#;
const BOARD: &str = r#"{"name":"r-board","host":"desk.example","path_prefix":"/board/","kind":"safe","timeout_ms":1000,"target_latency_ms":150,"priority":2,"service":"desk","max_attempts":2}"#;

/// Time of work of a request, as that of a booking.
const WORK_MS: u64 = 30;

/// Caller whose request crashes workers.
const CALLER: &str = "caller-7";

const WORKERS: u32 = 6;

/// Counts of one kind of request: sent, served.
#[derive(Clone, Copy, Default)]
struct Count(u32, u32);

fn headers(id: &str, caller: &str) -> String {
    format!(
        "Host: desk.example\r\nAttempt-Id: {id}\r\nAuthorization: Bearer {caller}\r\nTime-Remaining-Ms: 1000\r\n"
    )
}

fn read(id: &str, caller: &str) -> Vec<u8> {
    format!("GET /board/today HTTP/1.1\r\n{}\r\n", headers(id, caller)).into_bytes()
}

fn book(id: &str, caller: &str) -> Vec<u8> {
    request(
        "POST",
        "/book/new",
        &headers(id, caller),
        &format!("booking {id}"),
    )
}

/// Sends requests one after the other at all hosts, each on a new connection.
fn send(
    hosts: Vec<SocketAddr>,
    gap: Duration,
    name: &'static str,
    stop: Arc<AtomicBool>,
    count: Arc<Mutex<Count>>,
) {
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let (addr, count) = (hosts[number % hosts.len()], Arc::clone(&count));
        thread::spawn(move || {
            let id = format!("{name}{number:06}");
            let caller = format!("caller-{}", 10 + number % 40);
            let text = match name {
                "board" => read(&id, &caller),
                _ => book(&id, &caller),
            };
            let outcome = call(addr, &text, Duration::from_secs(2));
            let mut count = count.lock().unwrap();
            count.0 += 1;
            count.1 += u32::from(outcome.status == 200 && outcome.complete);
        });
        thread::sleep(gap);
    }
}

pub fn run(trouble: bool, record: &mut Record) -> Verdict {
    let mut site = Site::start(3);
    site.store.put(
        "config",
        "main",
        &format!(r#"{{"version":1,"routes":[{BOOK}],{LIMITS}"#),
    );
    let (store, log) = (site.store_addr, site.run_log());
    let worker = |number: u32, addr: SocketAddr| Settings {
        id: format!("i-desk{number}"),
        addr,
        public: addr,
        store,
        service: "desk".to_owned(),
        zone: ["zone-a", "zone-b", "zone-c"][number as usize % 3].to_owned(),
        log: log.clone(),
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
    thread::sleep(Duration::from_secs(3));
    site.store.put(
        "config",
        "main",
        &format!(r#"{{"version":3,"routes":[{BOOK},{BOARD}],{LIMITS}"#),
    );
    record.add("a config adds the route of the board");
    thread::sleep(Duration::from_secs(3));
    let hosts: Vec<SocketAddr> = site.hosts.iter().map(|h| h.callers()).collect();
    let counts: [Arc<Mutex<Count>>; 2] = Default::default();
    for (name, gap, count) in [("board", 200, &counts[0]), ("book0", 50, &counts[1])] {
        let (hosts, stop, count) = (hosts.clone(), Arc::clone(&stop), Arc::clone(count));
        thread::spawn(move || send(hosts, Duration::from_millis(gap), name, stop, count));
    }
    let span = |record: &mut Record, what: &str, time: u64| {
        let before = counts.clone().map(|c| *c.lock().unwrap());
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(time) {
            thread::sleep(Duration::from_millis(50));
        }
        let after = counts.clone().map(|c| *c.lock().unwrap());
        let of = |n: usize| (after[n].0 - before[n].0, after[n].1 - before[n].1);
        let (board, book) = (of(0), of(1));
        record.add(format!(
            "{what}: {} of {} reads of the board served, {} of {} bookings",
            board.1, board.0, book.1, book.0
        ));
        (board, book)
    };
    span(record, "before", 6);
    // The caller asks again as long as it is not refused.
    for attempt in 0..6 {
        let addr = hosts[attempt % hosts.len()];
        let text = read(&format!("bad{attempt:05}"), CALLER);
        let outcome = call(addr, &text, Duration::from_secs(2));
        let crashes = site.runs().iter().filter(|r| r[2] == "crashes").count();
        record.add(format!(
            "{CALLER} reads the board, too: status {}; {crashes} workers have crashed",
            outcome.status
        ));
        if outcome.status == 503 {
            break;
        }
        thread::sleep(Duration::from_millis(1_500));
    }
    span(record, "until all is calm", 8);
    let (board, book) = span(record, "in steady state", 25);
    stop.store(true, Ordering::SeqCst);
    drop(supervisor.join());
    if board.0 < 20 || book.0 < 20 || f64::from(book.1) < 0.9 * f64::from(book.0) {
        record.add("too few requests, or the first route is not served");
        return Verdict::NotRun;
    }
    let share = |(sent, served): (u32, u32)| f64::from(served) / f64::from(sent);
    record.add(format!(
        "share of requests served on the route that was added later: {:.3}, on the first route: {:.3}",
        share(board),
        share(book)
    ));
    if share(board) < share(book) / 4.0 {
        return Verdict::Broken;
    }
    Verdict::Held
}
