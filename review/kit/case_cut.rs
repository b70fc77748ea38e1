//! The link to the zone of a service's workers refuses connections for some seconds.

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
    proxy::Link,
    site::{Site, WorkerProcess},
    worker::Settings,
};

const REST: &str = r#""services":[{"name":"yard","health_path":"/health","max_connections":100,"protocol":"h1","tls":false},{"name":"desk","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
const YARD: &str = r#"{"name":"r-yard","host":"desk.example","path_prefix":"/yard/","kind":"unsafe","timeout_ms":1000,"target_latency_ms":150,"priority":2,"service":"yard","max_attempts":1}"#;
const DESK: &str = r#"{"name":"r-desk","host":"desk.example","path_prefix":"/desk/","kind":"stream","timeout_ms":12000,"target_latency_ms":400,"priority":2,"service":"desk","max_attempts":1,"resumable":false,"gap_aim_ms":300}"#;

/// Time of work of a request on the first route, as that of a booking.
const WORK_MS: u64 = 30;

/// Events of a stream on the other route, and the time before each one.
const EVENTS: u32 = 20;
const GAP_MS: u64 = 50;

/// Length of the cut, less than three heartbeats.
const CUT: Duration = Duration::from_secs(3);

/// Requests of one route: sent, served.
type Count = Arc<Mutex<(u32, u32)>>;

/// Sends requests one after the other at all hosts, each on a new connection.
fn send(hosts: &[SocketAddr], path: &'static str, stop: &AtomicBool, count: &Count) {
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let (addr, count) = (hosts[number % hosts.len()], Arc::clone(count));
        thread::spawn(move || {
            let id = format!("{path}{number:06}");
            let headers =
                format!("Host: desk.example\r\nAttempt-Id: {id}\r\nTime-Remaining-Ms: 4000\r\n");
            let text = request(
                "POST",
                &format!("/{path}/new"),
                &headers,
                &format!("booking {id}"),
            );
            let outcome = call(addr, &text, Duration::from_secs(5));
            let mut count = count.lock().unwrap();
            count.0 += 1;
            count.1 += u32::from(outcome.status == 200 && outcome.complete);
        });
        thread::sleep(Duration::from_millis(45));
    }
}

pub fn run(trouble: bool, record: &mut Record) -> Verdict {
    let mut site = Site::start(3);
    site.store.put(
        "config",
        "main",
        &format!(r#"{{"version":1,"routes":[{YARD}],{REST}"#),
    );
    let (mut workers, mut links) = (Vec::new(), Vec::new());
    for (service, zone) in [
        ("yard", "zone-a"),
        ("yard", "zone-b"),
        ("desk", "zone-c"),
        ("desk", "zone-c"),
    ] {
        // The worker listens behind its link, at whose address it registers itself.
        let behind = site.worker_addr();
        let link = Link::to(behind);
        let settings = Settings {
            id: format!("i-{service}{}", workers.len()),
            addr: behind,
            public: link.addr,
            store: site.store_addr,
            service: service.to_owned(),
            zone: zone.to_owned(),
            log: site.run_log(),
            events: if service == "desk" { EVENTS } else { 0 },
            gap_ms: if service == "desk" { GAP_MS } else { WORK_MS },
            unframed_every: 0,
            slots: 6,
            models: String::new(),
            engine: false,
            crashing_part: String::new(),
        };
        workers.push(WorkerProcess::start(&settings));
        if service == "desk" {
            links.push(link);
        }
    }
    for host in 0..2 {
        site.start_host(host, true);
    }
    site.hosts.truncate(2);
    if !site.await_ready(Duration::from_secs(20)) {
        record.add("the hosts did not become ready");
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(3));
    site.store.put(
        "config",
        "main",
        &format!(r#"{{"version":3,"routes":[{YARD},{DESK}],{REST}"#),
    );
    record.add("a config adds the route to the desk");
    thread::sleep(Duration::from_secs(3));
    let hosts: Vec<SocketAddr> = site.hosts.iter().map(|h| h.callers()).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let counts: [Count; 2] = Default::default();
    for (path, count) in [("yard", &counts[0]), ("desk", &counts[1])] {
        let (hosts, stop, count) = (hosts.clone(), Arc::clone(&stop), Arc::clone(count));
        thread::spawn(move || send(&hosts, path, &stop, &count));
    }
    let span = |record: &mut Record, what: &str, time: Duration| {
        let before = counts.clone().map(|c| *c.lock().unwrap());
        let started = Instant::now();
        while started.elapsed() < time {
            thread::sleep(Duration::from_millis(50));
        }
        let after = counts.clone().map(|c| *c.lock().unwrap());
        let of = |n: usize| (after[n].0 - before[n].0, after[n].1 - before[n].1);
        let (yard, desk) = (of(0), of(1));
        record.add(format!(
            "{what}: {} of {} requests served on the first route, {} of {} on the route that was added later",
            yard.1, yard.0, desk.1, desk.0
        ));
        (yard, desk)
    };
    span(record, "before", Duration::from_secs(6));
    if trouble {
        links.iter().for_each(Link::refuse);
        thread::sleep(Duration::from_millis(5));
        links.iter().for_each(Link::end_connections);
        record
            .add("zone-c is cut from the hosts' zones: connections end, and new ones are refused");
        span(record, "during the cut", CUT);
        links.iter().for_each(Link::heal);
        record.add("the cut has healed; the workers ran and renewed their entries all the while");
    }
    span(record, "until all is calm", Duration::from_secs(8));
    let (yard, desk) = span(record, "in steady state", Duration::from_secs(25));
    stop.store(true, Ordering::SeqCst);
    workers.iter_mut().for_each(WorkerProcess::kill);
    if yard.0 < 20 || desk.0 < 20 || f64::from(yard.1) < 0.9 * f64::from(yard.0) {
        record.add("too few requests, or the first route is not served");
        return Verdict::NotRun;
    }
    let share = |(sent, served): (u32, u32)| f64::from(served) / f64::from(sent);
    record.add(format!(
        "share of requests served on the route that was added later: {:.3}, on the first route: {:.3}",
        share(desk),
        share(yard)
    ));
    if share(desk) < share(yard) / 4.0 {
        return Verdict::Broken;
    }
    Verdict::Held
}
