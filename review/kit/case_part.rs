//! A part of prompts crashes each worker that begins to write an answer on it.
//!
//! The disruption is either that all entry hosts are killed and started again once the part is known, or that
//! the part stands behind many others.

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
    net::{call, request},
    site::{Site, WorkerProcess},
    worker::{Settings, unix_ms},
};

pub const CONFIG: &str = r#"{"version":1,"routes":[{"name":"r-chat","host":"floor.example","path_prefix":"/chat/","kind":"stream","timeout_ms":4000,"target_latency_ms":600,"priority":1,"service":"floor","max_attempts":1,"sticky":true,"resumable":false,"gap_aim_ms":300}],"services":[{"name":"floor","health_path":"/health","max_connections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity_tokens":249795,"kv_token_bytes":163840,"link_mbps":2200000.0,"moves":true,"backups":true,"stride":7,"max_allowed":12,"host_mb":150000.0,"disk_mb":450000.0,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"daka510000","weights_mb":72700.0,"load_s":2.2,"adapters":0,"adapter_mb":66.0,"warm_s":0.32,"disk_s":0.44}],"weights_mb":230000.0,"adapter_slots":5,"loads_per_s":1.4}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

pub const MODEL: &str = "daka510000";

/// Part that crashes workers.
pub const PART: &str = "bad0c0de";

/// `stable_window_ms`.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Number of crashes after which the rule counts, and of requests that it allows from then on.
const CRASHES: usize = 5;
const ALLOWED: usize = 3;

/// Time for which a worker is away after a crash.
const RESTART: Duration = Duration::from_secs(3);

const WORKERS: u32 = 6;

/// Time between two requests with the part.
const PART_INTERVAL: Duration = Duration::from_millis(1_500);

/// Returns a request whose prompt has some shared parts, one more part if given, and a last one of its own.
pub fn chat(id: &str, shared: usize, part: Option<&str>) -> Vec<u8> {
    let mut parts: Vec<String> = (0..shared).map(|n| format!("5c1e{n:04x}:40")).collect();
    parts.extend(part.map(|p| format!("{p}:60")));
    parts.push(format!("{id}:20"));
    let tokens = 40 * shared + 80;
    let headers = format!(
        "Host: floor.example\r\nAttempt-Id: {id}\r\nModel: {MODEL}\r\nToken-Counts: {tokens},40\r\nPrompt-Prefix: {}\r\nTime-Remaining-Ms: 4000\r\n",
        parts.join(",")
    );
    request("POST", "/chat/1", &headers, &format!("prompt {id}"))
}

/// Starts workers again some seconds after they have crashed, under new ids.
pub fn supervise(mut workers: Vec<WorkerProcess>, stop: &AtomicBool) {
    let mut away: Vec<(Instant, Settings)> = Vec::new();
    let mut boots = 1;
    while !stop.load(Ordering::SeqCst) {
        let (ended, alive): (Vec<_>, Vec<_>) = workers
            .into_iter()
            .map(|mut w| (w.has_ended(), w))
            .partition(|(e, _)| *e);
        workers = alive.into_iter().map(|(_, w)| w).collect();
        away.extend(ended.into_iter().map(|(_, w)| (Instant::now(), w.settings)));
        for (_, settings) in away.extract_if(.., |(at, _)| at.elapsed() >= RESTART) {
            boots += 1;
            let id = format!(
                "{}-{boots}",
                settings.id.split('-').take(2).collect::<Vec<_>>().join("-")
            );
            // It starts empty; the weights are on its disk.
            workers.push(WorkerProcess::start(&Settings {
                id,
                models: String::new(),
                ..settings
            }));
        }
        thread::sleep(Duration::from_millis(20));
    }
    workers.iter_mut().for_each(WorkerProcess::kill);
}

/// Sound requests with the same shared parts, one after the other at all hosts.
fn send_sound(
    hosts: Vec<SocketAddr>,
    shared: usize,
    stop: Arc<AtomicBool>,
    served: Arc<Mutex<(u32, u32)>>,
) {
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let (addr, id) = (hosts[number % hosts.len()], format!("50d{number:05x}"));
        let served = Arc::clone(&served);
        thread::spawn(move || {
            let outcome = call(addr, &chat(&id, shared, None), Duration::from_secs(5));
            let mut served = served.lock().unwrap();
            served.0 += 1;
            served.1 += u32::from(outcome.status == 200 && outcome.complete);
        });
        thread::sleep(Duration::from_millis(100));
    }
}

/// `kills` is whether all hosts are killed, `part` whether the part crashes workers; `shared` is the number of
/// parts before it.
pub fn run(kills: bool, part: bool, shared: usize, record: &mut Record) -> Verdict {
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
        events: 8,
        gap_ms: 40,
        unframed_every: 0,
        slots: 64,
        models: MODEL.to_owned(),
        engine: true,
        crashing_part: if part { PART.to_owned() } else { String::new() },
    };
    let workers: Vec<WorkerProcess> = (1..=WORKERS)
        .map(|n| WorkerProcess::start(&worker(n, site.worker_addr())))
        .collect();
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
    let sound: Arc<Mutex<(u32, u32)>> = Arc::default();
    let (sending, served) = (Arc::clone(&stop), Arc::clone(&sound));
    let to = hosts.clone();
    thread::spawn(move || send_sound(to, shared, sending, served));
    thread::sleep(Duration::from_secs(2));
    record.add(format!("sound requests with {shared} shared parts run, 10 a second, at 3 hosts in front of {WORKERS} workers"));

    let reached = |site: &Site| -> Vec<u64> {
        let runs = site
            .runs()
            .into_iter()
            .filter(|r| r[2] == "runs" && r[4].contains(PART));
        runs.filter_map(|r| r[0].parse().ok()).collect()
    };
    let crashes = |site: &Site| -> Vec<u64> {
        let runs = site.runs().into_iter().filter(|r| r[2] == "crashes");
        runs.filter_map(|r| r[0].parse().ok()).collect()
    };
    let mut number = 0;
    let mut send_part = |record: &mut Record| {
        number += 1;
        let (addr, id) = (hosts[number % hosts.len()], format!("bad{number:05x}"));
        let sent_at = unix_ms();
        let outcome = call(addr, &chat(&id, shared, Some(PART)), Duration::from_secs(5));
        record.add(format!(
            "request {id} with the part at place {} at {addr}: status {}{}",
            shared + 1,
            outcome.status,
            if outcome.complete { "" } else { ", broken off" }
        ));
        (id, sent_at)
    };
    // Until the part has crashed five workers, or is kept from them.
    let learning = Instant::now();
    while learning.elapsed() < Duration::from_secs(if part { 30 } else { 9 })
        && crashes(&site).len() < CRASHES
    {
        send_part(record);
        thread::sleep(PART_INTERVAL);
    }
    let fifth = crashes(&site).get(CRASHES - 1).copied();
    record.add(format!("{} workers have crashed", crashes(&site).len()));
    let mut counts_from = unix_ms();
    if let Some(fifth) = fifth {
        counts_from = fifth + 3_000;
    }
    while unix_ms() <= counts_from {
        thread::sleep(Duration::from_millis(50));
    }
    if kills {
        site.hosts.iter_mut().for_each(|h| h.kill());
        record.add("all entry hosts are killed");
        for host in 0..site.hosts.len() {
            site.start_host(host, false);
        }
        if !site.await_ready(Duration::from_secs(20)) {
            record.add("the hosts did not become ready again");
            return Verdict::NotRun;
        }
        // From here on the hosts are in touch.
        thread::sleep(STABLE_WINDOW + Duration::from_millis(1_500));
        record.add("all hosts are back for longer than the stable window");
    }
    let mut late = Vec::new();
    let counting = Instant::now();
    let sound_before = *sound.lock().unwrap();
    while counting.elapsed() < Duration::from_secs(24) {
        late.push(send_part(record));
        thread::sleep(PART_INTERVAL);
    }
    let sound_after = *sound.lock().unwrap();
    stop.store(true, Ordering::SeqCst);
    drop(supervisor.join());
    let runs = site.runs();
    let arrived = late.iter().filter(|(id, _)| {
        runs.iter()
            .any(|r| r[2] == "runs" && r[3] == *id && r[4].contains(PART))
    });
    let arrived = arrived.count();
    record.add(format!(
        "{} requests with the part reached workers in all, {} workers crashed",
        reached(&site).len(),
        crashes(&site).len()
    ));
    record.add(format!(
        "of {} sent by hosts in touch later than the stable window after the fifth crash, {arrived} reached workers; {ALLOWED} are allowed",
        late.len()
    ));
    record.add(format!(
        "of {} sound requests meanwhile, {} were served",
        sound_after.0 - sound_before.0,
        sound_after.1 - sound_before.1
    ));
    if part && fifth.is_none() {
        record.add("fewer than five workers crashed, so the rule does not count yet");
        return Verdict::Held;
    }
    if part && arrived > ALLOWED {
        return Verdict::Broken;
    }
    Verdict::Held
}
