//! A small installation on loopback: the store, workers and entry hosts as processes.

use std::{
    env, fs,
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, ChildStdin, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::{
    net::{call, request},
    store::Store,
    worker::Settings,
};

const CALLERS: u16 = 8_149;
const READINESS: u16 = 8_141;
const PEERS: u16 = 8_144;
const INTERNAL: (u16, u16) = (7_380, 7_395);

/// All processes that this program started, which the watchdog ends, too.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends every process that was started and has not ended.
pub fn kill_all() {
    for id in PROCESSES.lock().unwrap().drain(..) {
        let command = format!("kill -KILL {id}");
        let mut shell = Command::new("bash");
        drop(shell.args(["-c", &command]).stderr(Stdio::null()).status());
    }
}

/// Forgets a process that has ended, as its id may be used again.
fn forget(id: u32) {
    PROCESSES.lock().unwrap().retain(|known| *known != id);
}

pub struct Host {
    pub name: String,
    pub ip: Ipv4Addr,
    child: Option<Child>,
}

impl Host {
    pub fn callers(&self) -> SocketAddr {
        (self.ip, CALLERS).into()
    }

    pub fn is_ready(&self) -> bool {
        let probe = request(
            "GET",
            "/celerytally/readiness",
            "Host: h\r\nConnection: close\r\n",
            "",
        );
        call((self.ip, READINESS).into(), &probe, Duration::from_secs(1)).status == 200
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            drop(child.kill());
            drop(child.wait());
            forget(child.id());
        }
    }
}

pub struct WorkerProcess {
    pub settings: Settings,
    child: Child,
    commands: ChildStdin,
}

impl WorkerProcess {
    pub fn start(settings: &Settings) -> Self {
        let program = env::current_exe().expect("this program");
        let mut child = Command::new(program)
            .arg("worker")
            .args(settings.to_args())
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("a worker");
        PROCESSES.lock().unwrap().push(child.id());
        let commands = child.stdin.take().expect("a pipe");
        Self {
            settings: settings.clone(),
            child,
            commands,
        }
    }

    pub fn command(&mut self, line: &str) {
        drop(self.commands.write_all(format!("{line}\n").as_bytes()));
    }

    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
        forget(self.child.id());
    }

    pub fn has_ended(&mut self) -> bool {
        let has_ended = matches!(self.child.try_wait(), Ok(Some(_)));
        if has_ended {
            forget(self.child.id());
        }
        has_ended
    }
}

pub struct Site {
    pub dir: PathBuf,
    pub root: PathBuf,
    pub store: Store,
    pub store_addr: SocketAddr,
    pub hosts: Vec<Host>,
}

impl Drop for Site {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            host.kill();
        }
        kill_all();
        if env::var("KEEP").is_err() {
            drop(fs::remove_dir_all(&self.dir));
        }
    }
}

/// Returns the first two free bytes of loopback addresses for the machines of this run.
fn free_base(machines: u8) -> [u8; 2] {
    let seed = std::process::id();
    for round in 0..200_u32 {
        let n = seed.wrapping_mul(31).wrapping_add(round * 977);
        let base = [20 + (n % 200) as u8, ((n / 200) % 250) as u8];
        let is_free = (1..=machines).all(|m| {
            let ip = Ipv4Addr::new(127, base[0], base[1], m);
            [CALLERS, READINESS, PEERS, INTERNAL.0, INTERNAL.1]
                .iter()
                .all(|port| TcpListener::bind((ip, *port)).is_ok())
                && UdpSocket::bind((ip, INTERNAL.0)).is_ok()
        });
        if is_free {
            return base;
        }
    }
    panic!("no free addresses");
}

/// Returns the command of the one role in the deploy file.
fn entry_command(root: &Path) -> Vec<String> {
    let file = fs::read_to_string(root.join("deploy/system.toml")).expect("the deploy file");
    let run = file
        .lines()
        .find_map(|l| l.trim().strip_prefix("run = "))
        .expect("a command");
    run.trim_matches('"')
        .split(' ')
        .map(str::to_owned)
        .collect()
}

impl Site {
    pub fn start(hosts: u8) -> Self {
        let root = env::current_dir().expect("the root of the checkout");
        let dir = env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("a temporary folder");
        let base = free_base(hosts);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store_addr = listener.local_addr().expect("an address");
        let mut site = Self {
            dir,
            root,
            store: Store::serve(listener),
            store_addr,
            hosts: Vec::new(),
        };
        for number in 1..=hosts {
            let ip = Ipv4Addr::new(127, base[0], base[1], number);
            site.hosts.push(Host {
                name: format!("front-{number}"),
                ip,
                child: None,
            });
        }
        site
    }

    /// Starts the process of a host, with settings like those of a small installation.
    pub fn start_host(&mut self, at: usize, first: bool) {
        let (ip, name) = (self.hosts[at].ip, self.hosts[at].name.clone());
        let zone = ["zone-a", "zone-b", "zone-c"][at % 3];
        let seeds: Vec<String> = self
            .hosts
            .iter()
            .take(3)
            .map(|h| format!("\"{}:{PEERS}\"", h.ip))
            .collect();
        let settings = format!(
            r#"{{"node_name":"{name}","role":"entry","machine_class":"front","serves":["front","control"],
"ip":"{ip}","zone":"{zone}","region":"north","zones":{{"zone-a":"north","zone-b":"north","zone-c":"north"}},
"listen":{{"front":"{ip}:{CALLERS}","ready":"{ip}:{READINESS}","control":"{ip}:{PEERS}"}},
"internal_ports":[{},{}],"seeds":[{}],"bootstrap":{first},"fault_counted":false,
"limits":{{"cpu_share":0.25,"cores":1,"memory_mb":260,"max_fds":4100,"link_mbps":1000.0,"disk_mb":0}},
"data_dir":null,"discovery":"platform","entry":"virtual_ip","heartbeat_ms":1200,
"contracts":["base","drain","config","cost","retry","recover","fleet","stream","engine","platform"],
"fault_tolerance":{{"machines":2,"zones":1,"regions":0}},
"bounds":{{"seed_lag_s":3,"addr_reuse_s":2,"stable_window_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,"grace_s":8,"loss_slack_ms":200,"config_apply_ms":2000,"downgrade_slack_ms":250,"stretch_max_ms":5000,"budget_ratio":0.2,"budget_window_s":10,"budget_slack":54,"recover_s":12,"pass_ms":120,"again_s":0,"fencing_required":false,"lease_ms":3000,"thaw_slack_ms":300,"ceiling_window_s":5,"ceiling_over":1.1}},
"platform":{{"address":"{}","form":"objects","writes_per_s":400,"reads_per_s":2000,"history_s":20,"value_bytes":1048576,"ttl_min_ms":1000}}}}"#,
            INTERNAL.0,
            INTERNAL.1,
            seeds.join(","),
            self.store_addr
        );
        let path = self.dir.join(format!("{name}.json"));
        fs::write(&path, settings).expect("a settings file");
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{name}.log")));
        let log = log.expect("a log");
        let command = entry_command(&self.root);
        let child = Command::new(self.root.join(&command[0]))
            .args(&command[1..])
            .env_clear()
            .env("PATH", env::var("PATH").unwrap_or_default())
            .env("CELERYTALLY_BOOT", &path)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("an entry host");
        PROCESSES.lock().unwrap().push(child.id());
        self.hosts[at].child = Some(child);
    }

    /// Waits until all hosts are ready; returns whether they are.
    pub fn await_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.hosts.iter().all(Host::is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns a free address for a worker.
    pub fn worker_addr(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.local_addr().expect("an address")
    }

    /// Returns the lines that the workers wrote: time, worker, what, id and prefix.
    pub fn runs(&self) -> Vec<Vec<String>> {
        let text = fs::read_to_string(self.dir.join("runs.log")).unwrap_or_default();
        text.lines()
            .map(|l| l.split(' ').map(str::to_owned).collect())
            .collect()
    }

    pub fn run_log(&self) -> String {
        self.dir.join("runs.log").display().to_string()
    }
}
