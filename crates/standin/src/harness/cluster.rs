//! A deployment on loopback: platform, backend servers, proxy links and entry hosts.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Output, Stdio},
    time::Duration,
};

use serde_json::{Value, json};
use tokio::{
    process::Command,
    sync::{Semaphore, SemaphorePermit},
};

use super::{
    deployment::small,
    entry::EntryHost,
    process::program,
    stage::{PLATFORM_TOKEN, Stage, StandIn},
};
use crate::backend::RunLine;

/// Token with which entry hosts know each other.
const PEER_TOKEN: &str = "peer-token";

/// Token with which operators read reports.
pub(crate) const OPERATOR_TOKEN: &str = "operator-token";

/// Lease of the tests; short, so that a takeover takes a few seconds.
const LEASE: &str = "3 s";

/// Exchange period of the tests; short, so that changes spread in less than a second.
const EXCHANGE: &str = "200 ms";

/// Target of a link whose process has no address yet; nothing listens there.
const NOWHERE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

/// Backend server of a layout.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Name in the deployment file and the platform's list.
    pub name: String,
    /// Data centre.
    pub dc: String,
    /// Knobs of an engine; a plain service has none.
    pub engine: Option<Value>,
}

/// What a cluster consists of.
#[derive(Clone, Debug, Default)]
pub struct Layout {
    /// Name and data centre of each entry host.
    pub hosts: Vec<(String, String)>,
    /// Backend servers.
    pub backends: Vec<Backend>,
    /// Bearer token of the caller.
    pub token: String,
    /// Whether the hosts keep the default lease and exchange period instead of short ones.
    pub default_timing: bool,
}

/// Ports of an entry host and the links through which others reach it.
#[derive(Clone, Copy, Debug)]
pub struct HostLinks {
    /// Link to the caller port.
    pub http: SocketAddr,
    /// Link to the peer port.
    pub peer: SocketAddr,
    /// Link from the host to the platform.
    pub platform: SocketAddr,
}

/// Running deployment.
#[derive(Debug)]
pub struct Cluster {
    /// Entry hosts in the order of the layout.
    pub hosts: Vec<EntryHost>,
    /// Backend servers in the order of the layout.
    pub backends: Vec<StandIn>,
    /// The platform.
    pub platform: StandIn,
    /// Proxy and folder.
    pub stage: Stage,
    layout: Layout,
    /// Link of each backend server.
    pub backend_links: Vec<SocketAddr>,
    /// Links of each entry host.
    pub links: Vec<HostLinks>,
    _turn: SemaphorePermit<'static>,
}

/// Clusters of one test program at a time; more would mostly measure the machine.
static TURNS: Semaphore = Semaphore::const_new(2);

/// Bounds the time until a deployment is served as intended.
const SERVED_LIMIT: Duration = Duration::from_mins(1);

impl Cluster {
    /// Starts the small deployment with three entry hosts and waits until it is served.
    pub async fn small() -> Self {
        let cluster = Self::start(Layout::small()).await;
        cluster.serve(&small()).await;
        cluster
    }

    /// Applies a file and waits until every host says that the intended state holds.
    pub async fn serve(&self, text: &str) {
        self.apply(text).await;
        self.wait_ready().await;
        self.wait_ok().await;
    }

    /// Waits until every host says that the intended state holds.
    pub async fn wait_ok(&self) {
        for host in &self.hosts {
            host.wait_report(SERVED_LIMIT, "OK").await;
        }
    }

    /// Starts everything, without a configuration.
    pub async fn start(layout: Layout) -> Self {
        let mut cluster = Self::without_hosts(layout).await;
        for host in 0..cluster.layout.hosts.len() {
            cluster.start_host(host).await;
        }
        cluster
    }

    /// Starts everything but the entry hosts.
    ///
    /// # Panics
    /// When a process does not start.
    pub async fn without_hosts(layout: Layout) -> Self {
        let turn = TURNS
            .acquire()
            .await
            .expect("the semaphore is never closed");
        let stage = Stage::new().await;
        let platform = stage.platform().await;
        let mut cluster = Self {
            hosts: Vec::new(),
            backends: Vec::new(),
            platform,
            stage,
            layout,
            backend_links: Vec::new(),
            links: Vec::new(),
            _turn: turn,
        };
        for backend in cluster.layout.backends.clone() {
            cluster.start_backend(&backend).await;
        }
        cluster.link_hosts().await;
        cluster.write_settings();
        cluster
    }

    async fn start_backend(&mut self, backend: &Backend) {
        let server = match &backend.engine {
            Some(knobs) => self.stage.engine(&backend.name, knobs).await,
            None => self.stage.plain(&backend.name).await,
        };
        let link = self.stage.link(server.addr()).await;
        self.backends.push(server);
        self.backend_links.push(link);
        self.list_backend(self.backends.len() - 1, "live").await;
    }

    /// Lists a backend server as live or leaving.
    pub async fn list_backend(&self, backend: usize, state: &str) {
        let Backend { name, dc, .. } = &self.layout.backends[backend];
        let addr = self.backend_links[backend];
        let spec = json!({"role": "backend", "dc": dc, "state": state, "addr": addr});
        self.platform.set_host(name, &spec).await;
    }

    async fn link_hosts(&mut self) {
        for _ in 0..self.layout.hosts.len() {
            self.links.push(HostLinks {
                http: self.stage.link(NOWHERE).await,
                peer: self.stage.link(NOWHERE).await,
                platform: self.stage.link(self.platform.addr()).await,
            });
        }
    }

    /// Writes the settings of all hosts, once, because processes read them at any time.
    fn write_settings(&self) {
        self.write("platform.token", PLATFORM_TOKEN);
        self.write("peer.token", PEER_TOKEN);
        self.write("operator.token", OPERATOR_TOKEN);
        for host in 0..self.layout.hosts.len() {
            let text = self.settings_text(host);
            std::fs::write(self.settings_path(host), text).expect("the settings can be written");
        }
    }

    fn settings_path(&self, host: usize) -> PathBuf {
        let (name, _) = &self.layout.hosts[host];
        self.stage.dir().join(format!("{name}.toml"))
    }

    fn settings_text(&self, host: usize) -> String {
        let (name, dc) = &self.layout.hosts[host];
        let others = self.links.iter().enumerate().filter(|(i, _)| *i != host);
        let seeds: Vec<String> = others.map(|(_, l)| format!("\"{}\"", l.peer)).collect();
        let links = self.links[host];
        let seeds = seeds.join(", ");
        let timing = if self.layout.default_timing {
            String::new()
        } else {
            format!(
                "tuning = {{ lease_duration = \"{LEASE}\", exchange_period = \"{EXCHANGE}\" }}\n"
            )
        };
        format!(
            r#"host = "{name}"
data_centre = "{dc}"
listen = {{ http = "127.0.0.1:0", peers = "127.0.0.1:0" }}
advertise = {{ http = "{}", peers = "{}" }}
platform = {{ url = "http://{}", token_file = "platform.token" }}
peers = {{ seeds = [{seeds}], token_file = "peer.token" }}
operators = {{ token_file = "operator.token" }}
log = {{ format = "text", level = "info" }}
{}"#,
            links.http, links.peer, links.platform, timing
        )
    }

    /// Starts an entry host, or starts it again after it ended.
    pub async fn start_host(&mut self, host: usize) {
        let (name, dc) = self.layout.hosts[host].clone();
        let settings = self.settings_path(host);
        let dir = self.stage.dir();
        let entry = EntryHost::start(dir, &name, &dc, &settings, &self.layout.token).await;
        let links = self.links[host];
        self.stage.set_target(links.http, entry.http).await;
        self.stage.set_target(links.peer, entry.peer).await;
        match self.hosts.iter_mut().find(|known| known.name == name) {
            Some(known) => *known = entry,
            None => self.hosts.push(entry),
        }
        self.list_host(host, "live").await;
    }

    /// Lists an entry host as live or leaving.
    pub async fn list_host(&self, host: usize, state: &str) {
        let (name, dc) = &self.layout.hosts[host];
        let links = self.links[host];
        let spec = json!({"role": "entry", "dc": dc, "state": state, "addr": links.http,
            "peer_addr": links.peer});
        self.platform.set_host(name, &spec).await;
    }

    /// Sets the mode of all links to the entry hosts, and of one host's link to the platform.
    ///
    /// With one entry host in each data centre, this separates the data centre of the host from
    /// the others and from the platform.
    pub async fn partition(&self, host: usize, mode: &str) {
        let knobs = json!({"mode": mode});
        for links in &self.links {
            self.stage.set_link(links.http, &knobs).await;
            self.stage.set_link(links.peer, &knobs).await;
        }
        let platform = self.links[host].platform;
        self.stage.set_link(platform, &knobs).await;
    }

    /// Runs a command of the program with the settings of the first entry host.
    ///
    /// # Panics
    /// When the program can't be run.
    pub async fn run(&self, args: &[&str]) -> Output {
        let settings = self.settings_path(0);
        let mut command = Command::new(program("celerytally"));
        command.args(args).arg("--settings").arg(settings);
        let command = command.stdin(Stdio::null()).kill_on_drop(true);
        command.output().await.expect("the program runs")
    }

    /// Returns the backend server of a name.
    ///
    /// # Panics
    /// When there is none.
    #[must_use]
    pub fn backend(&self, name: &str) -> usize {
        let found = self.layout.backends.iter().position(|b| b.name == name);
        found.expect("a backend server of this name")
    }

    /// Returns the runs that started on any backend server and whose text contains a part.
    #[must_use]
    pub fn started(&self, part: &str) -> Vec<RunLine> {
        self.backends.iter().flat_map(|b| b.started(part)).collect()
    }

    /// Asserts that no engine was ever asked for more memory than it has.
    ///
    /// # Panics
    /// When one was.
    pub async fn assert_memory(&self) {
        for (backend, server) in self.layout.backends.iter().zip(&self.backends) {
            if backend.engine.is_some() {
                let counts = &server.state().await["counts"];
                assert_eq!(counts["overcommits"], 0, "{}: {counts}", backend.name);
            }
        }
    }

    /// Writes a deployment file and returns its path.
    ///
    /// # Panics
    /// When the file can't be written.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.stage.dir().join(name);
        std::fs::write(&path, text).expect("the file can be written");
        path.display().to_string()
    }

    /// Applies the text of a deployment file.
    ///
    /// # Panics
    /// When it is refused.
    pub async fn apply(&self, text: &str) {
        let path = self.write("deployment.toml", text);
        let output = self.run(&["apply", &path]).await;
        assert!(output.status.success(), "apply: {output:?}");
    }

    /// Waits until every entry host is ready.
    pub async fn wait_ready(&self) {
        for host in &self.hosts {
            host.wait_ready().await;
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        for host in &self.hosts {
            let log = std::fs::read_to_string(&host.log).unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            let last = &lines[lines.len().saturating_sub(LOG_LINES)..];
            eprintln!("-- {}\n{}", host.name, last.join("\n"));
        }
    }
}

/// Lines of each host's log that a failed test prints.
const LOG_LINES: usize = 25;
