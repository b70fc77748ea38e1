//! A crashing part comes often, so that all workers are away for some seconds before it is known.

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
    case_part::{CONFIG, MODEL, PART, chat, supervise},
    net::call,
    site::{Site, WorkerProcess},
    worker::Settings,
};

/// `stable_window_ms`.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

const WORKERS: u32 = 3;

/// Shared parts of each prompt.
const SHARED: usize = 2;

/// Requests of one kind: sent, begun, with a status of 200.
type Count = Arc<Mutex<(u32, u32)>>;

/// Sends requests one after the other at all hosts, each on a new connection.
fn send(
    hosts: &[SocketAddr],
    (name, part): (&'static str, Option<&'static str>),
    gap: Duration,
    stop: &AtomicBool,
    count: &Count,
) {
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let (addr, count) = (hosts[number % hosts.len()], Arc::clone(count));
        thread::spawn(move || {
            let id = format!("{name}{number:05x}");
            let outcome = call(addr, &chat(&id, SHARED, part), Duration::from_secs(5));
            let mut count = count.lock().unwrap();
            count.0 += 1;
            count.1 += u32::from(outcome.status == 200);
        });
        thread::sleep(gap);
    }
}

pub fn run(trouble: bool, record: &mut Record) -> Verdict {
    let mut site = Site::start(3);
    site.store.put("config", "main", CONFIG);
    let worker = |number: u32, addr: SocketAddr| Settings {
        id: format!("i-floor{number}"),
        addr,
        public: addr,
        store: site.store_addr,
        service: "floor".to_owned(),
        zone: ["zone-a", "zone-b", "zone-c"][number as usize % 3].to_owned(),
        log: site.run_log(),
        events: 10,
        gap_ms: 50,
        unframed_every: 0,
        slots: 64,
        models: MODEL.to_owned(),
        engine: true,
        crashing_part: PART.to_owned(),
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
    let (sound, crashing): (Count, Count) = Default::default();
    let start = |kind: (&'static str, Option<&'static str>), gap: u64, count: &Count| {
        let (hosts, stop, count) = (hosts.clone(), Arc::clone(&stop), Arc::clone(count));
        let gap = Duration::from_millis(gap);
        thread::spawn(move || send(&hosts, kind, gap, &stop, &count));
    };
    start(("50d", None), 100, &sound);
    let span = |record: &mut Record, what: &str, time: Duration| {
        let before = *sound.lock().unwrap();
        let started = Instant::now();
        while started.elapsed() < time {
            thread::sleep(Duration::from_millis(20));
        }
        let after = *sound.lock().unwrap();
        let (sent, begun) = (after.0 - before.0, after.1 - before.1);
        let crashes = site.runs().iter().filter(|r| r[2] == "crashes").count();
        record.add(format!(
            "{what}: {begun} of {sent} sound requests began; {crashes} crashes so far"
        ));
        (sent, begun)
    };
    thread::sleep(Duration::from_secs(2));
    let usual = span(record, "before", Duration::from_secs(8));
    if trouble {
        let gap = std::env::var("GAP")
            .ok()
            .and_then(|g| g.parse().ok())
            .unwrap_or(100);
        start(("bad", Some(PART)), gap, &crashing);
        record.add(format!(
            "requests with the crashing part come, one every {gap} ms"
        ));
    }
    let until = Instant::now() + Duration::from_secs(20);
    let crashes = || site.runs().iter().filter(|r| r[2] == "crashes").count();
    while trouble && crashes() < 5 && Instant::now() < until {
        thread::sleep(Duration::from_millis(20));
    }
    record.add(format!("{} crashes", crashes()));
    span(
        record,
        "until the rule counts",
        2 * STABLE_WINDOW + Duration::from_secs(4),
    );
    let late = span(record, "from then on", Duration::from_secs(20));
    let span_end = span(record, "and after that", Duration::from_secs(15));
    stop.store(true, Ordering::SeqCst);
    drop(supervisor.join());
    let late = (late.0 + span_end.0, late.1 + span_end.1);
    if usual.0 < 20 || late.0 < 20 || usual.1 * 10 < usual.0 * 9 {
        record.add("too few requests, or they are not served before");
        return Verdict::NotRun;
    }
    let share = |(sent, begun): (u32, u32)| f64::from(begun) / f64::from(sent);
    record.add(format!(
        "share of sound requests with the same first part that begin at the first attempt: {:.3} before, {:.3} later",
        share(usual),
        share(late)
    ));
    if share(late) < share(usual) / 2.0 {
        return Verdict::Broken;
    }
    Verdict::Held
}
