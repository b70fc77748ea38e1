//! Two callers that read one status again and again, and the two servers that crash while they work on it.

#[path = "../kit-2/lab.rs"]
mod lab;

use std::{
    env,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use lab::{Hosts, MS, Record, Route, Store, Worker, configuration, lock, new_id, send};

/// Servers of the service, and those that crash: a share of 0.17.
const SERVERS: usize = 12;
const CRASHING: usize = 2;

/// Readers of the status, whose channels lead to the same host.
const READERS: usize = 2;

/// Callers of the first route, at all hosts.
const OTHERS: usize = 6;

/// Time of a server for one request; the sheet allows up to 220 ms.
const WORK: Duration = Duration::from_millis(100);

/// Time for which the crashed servers are away.
const AWAY: Duration = Duration::from_millis(4_500);

/// Time from the crash after which requests are judged.
const SETTLED: Duration = Duration::from_secs(15);

/// Time for which they are judged.
const JUDGED: Duration = Duration::from_secs(25);

#[derive(Default)]
struct Count {
    asked: AtomicUsize,
    served: AtomicUsize,
}

impl Count {
    fn add(&self, served: bool) {
        self.asked.fetch_add(1, Ordering::SeqCst);
        self.served.fetch_add(usize::from(served), Ordering::SeqCst);
    }

    fn get(&self) -> (usize, usize) {
        (self.asked.load(Ordering::SeqCst), self.served.load(Ordering::SeqCst))
    }
}

fn main() {
    let path = env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
    let record = Record::create(Path::new(&path));
    let with_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let store = Store::start();
    let first = Route { prefix: "/order/", kind: "safe", service: "desk", timeout_ms: 1_000, attempts: 2 };
    let added = Route { prefix: "/board/", kind: "safe", service: "desk", timeout_ms: 1_000, attempts: 2 };
    store.write("config", "main", Some(configuration(7, std::slice::from_ref(&first))));
    let start = |n: usize, life: &str| {
        let zone = if n % 2 == 0 { "north-a" } else { "north-b" };
        Worker::start((&format!("i-{n}{life}"), "desk", zone), WORK, &store, &record)
    };
    let workers: Vec<Arc<Worker>> = (0..SERVERS).map(|n| start(n, "")).collect();
    let hosts = Hosts::start(&["north-a", "north-a", "north-b"], &store, &record);
    thread::sleep(2_000 * MS);
    store.write("config", "main", Some(configuration(9, &[first, added])));
    record.line("version 9 adds the route /board/");
    thread::sleep(4_000 * MS);

    let is_over = Arc::new(AtomicBool::new(false));
    let is_judged = Arc::new(AtomicBool::new(false));
    let (old, new) = (Arc::new(Count::default()), Arc::new(Count::default()));
    let last: Arc<Mutex<String>> = Arc::default();
    let mut threads = Vec::new();
    for n in 0..READERS + OTHERS {
        let reads = n < READERS;
        let host = if reads { 0 } else { n % 3 };
        let addr = hosts.hosts[host].front();
        let (is_over, is_judged, record, last) =
            (Arc::clone(&is_over), Arc::clone(&is_judged), record.clone(), Arc::clone(&last));
        let count = Arc::clone(if reads { &new } else { &old });
        threads.push(thread::spawn(move || {
            let mut round: u64 = 0;
            while !is_over.load(Ordering::SeqCst) {
                round += 1;
                let path = if reads { "/board/today".to_owned() } else { format!("/order/{n}-{round}") };
                let id = new_id();
                let judged = is_judged.load(Ordering::SeqCst);
                let answer = send(addr, "GET", &path, &id, 1_000);
                let status = answer.as_ref().map(|a| a.status());
                let served = answer.is_some_and(|a| a.status() == 200 && a.header("server-seal").is_some());
                record.line(&format!("caller {n} ({id}): GET {path}, answer {status:?}"));
                if judged && is_judged.load(Ordering::SeqCst) {
                    count.add(served);
                    if !served {
                        *lock(&last) = format!("GET {path}: {status:?}");
                    }
                }
                // Callers return after a fraction of a second, also after a refusal.
                let pause = if served { 60 + (n as u64 * 31 + round * 17) % 80 } else { 500 };
                thread::sleep(Duration::from_millis(pause));
            }
        }));
    }
    thread::sleep(4_000 * MS);
    let mut back: Vec<Arc<Worker>> = Vec::new();
    if with_trouble {
        let crashing = reading(&workers);
        record.line("the servers that read the status crash");
        let crashed_at = Instant::now();
        let crashed: Vec<&Worker> = crashing.iter().map(|at| &*workers[*at]).collect();
        lab::crash_all(&crashed);
        // Entries are removed after three intervals of silence.
        thread::sleep((3_600 * MS).saturating_sub(crashed_at.elapsed()));
        for at in &crashing {
            store.write("servers", &workers[*at].id, None);
        }
        thread::sleep(AWAY.saturating_sub(crashed_at.elapsed()));
        back = crashing.iter().map(|at| start(*at, "b")).collect();
        record.line("they are back under new ids");
    } else {
        thread::sleep(AWAY);
    }
    thread::sleep(SETTLED);
    is_judged.store(true, Ordering::SeqCst);
    record.line("requests are judged from here on");
    thread::sleep(JUDGED);
    is_judged.store(false, Ordering::SeqCst);
    is_over.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let ((old_asked, old_served), (new_asked, new_served)) = (old.get(), new.get());
    let share = |asked: usize, served: usize| served as f64 / asked.max(1) as f64;
    let text = format!(
        "first route: {old_served} of {old_asked} served; added route: {new_served} of {new_asked} served; last failure: {}",
        lock(&last)
    );
    record.line(&text);
    println!("{text}");
    if old_asked < 20 || share(old_asked, old_served) < 0.5 {
        lab::cannot_run("the first route is not served");
    }
    let broken = new_asked >= 20 && share(new_asked, new_served) < share(old_asked, old_served) / 4.0;
    drop((hosts, back));
    std::process::exit(i32::from(broken));
}

/// Waits until each reader is served by another server, and returns these.
fn reading(workers: &[Arc<Worker>]) -> Vec<usize> {
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        let is_reading = |worker: &Worker| {
            let runs = lock(&worker.runs);
            let now = Instant::now();
            // Work that began a moment ago, so that it goes on for the most part.
            let recent = |at: Instant| now.duration_since(at) < WORK / 2;
            runs.iter().filter(|r| r.path == "/board/today" && !r.answered && recent(r.at)).count() == 1
        };
        let busy: Vec<usize> = (0..workers.len()).filter(|at| is_reading(&workers[*at])).collect();
        if busy.len() == CRASHING {
            return busy;
        }
        thread::sleep(MS);
    }
    lab::cannot_run("the readers were never served at the same time by two servers");
}
