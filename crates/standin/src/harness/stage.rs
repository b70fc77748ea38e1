//! Stand-ins and proxy links of one test.

use std::{
    net::SocketAddr,
    ops::{Deref, DerefMut},
    path::{Path, PathBuf},
};

use reqwest::Method;
use serde_json::{Value, json};
use tempfile::TempDir;

use super::{
    CLIENT, call, finish, get,
    process::{Process, program},
};
use crate::backend::RunLine;

/// Token that the platform stand-in asks for.
pub(crate) const PLATFORM_TOKEN: &str = "platform-token";

/// Running stand-in.
#[derive(Debug)]
pub struct StandIn {
    process: Process,
    args: Vec<String>,
    addr: SocketAddr,
    log: PathBuf,
    runs: PathBuf,
}

impl Deref for StandIn {
    type Target = Process;

    fn deref(&self) -> &Process {
        &self.process
    }
}

impl DerefMut for StandIn {
    fn deref_mut(&mut self) -> &mut Process {
        &mut self.process
    }
}

impl StandIn {
    async fn start(dir: &Path, name: &str, mut args: Vec<String>) -> Self {
        let runs = dir.join(format!("{name}.runs"));
        let log = dir.join(format!("{name}.log"));
        args.extend(["--log".to_owned(), runs.display().to_string()]);
        let process = Process::start(&program("standin"), &args, &log).await;
        let addr = process.line.trim_start_matches("listening ").parse();
        let addr = addr.expect("the address of the stand-in");
        Self {
            process,
            args,
            addr,
            log,
            runs,
        }
    }

    /// Returns the address without a proxy in between.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Starts the stand-in again at its address after it ended.
    ///
    /// # Panics
    /// When the new process does not start.
    pub async fn restart(&mut self) {
        self.process.kill().await;
        let mut args = self.args.clone();
        args.extend(["--listen".to_owned(), self.addr.to_string()]);
        self.process = Process::start(&program("standin"), &args, &self.log).await;
    }

    /// Changes knobs.
    ///
    /// # Panics
    /// When the stand-in refuses them.
    pub async fn set(&self, knobs: &Value) {
        let (status, _) = self.post("/admin/set", knobs).await;
        assert_eq!(status, 200, "knobs {knobs}");
    }

    /// Returns the counts and state of the stand-in.
    pub async fn state(&self) -> Value {
        get(self.addr, "/admin/state").await.1
    }

    /// Sends a call with a JSON body.
    pub async fn post(&self, path: &str, body: &Value) -> (u16, Value) {
        call(Method::POST, self.addr, path, Some(body)).await
    }

    /// Puts models into an engine's memory without orders.
    pub async fn set_residents(&self, residents: &Value) {
        let path = "/admin/residents";
        call(Method::PUT, self.addr, path, Some(residents)).await;
    }

    /// Calls the platform's object API.
    ///
    /// # Panics
    /// When the method is not one of HTTP.
    pub async fn api(&self, method: &str, path: &str, body: Option<&Value>) -> (u16, Value) {
        let url = format!("http://{}/apis/celerytally.dev/v1/{path}", self.addr);
        let method = method.parse::<Method>().expect("a method");
        let mut req = CLIENT.request(method, url).bearer_auth(PLATFORM_TOKEN);
        if let Some(body) = body {
            req = req.json(body);
        }
        finish(req).await
    }

    /// Writes a platform object whatever its version.
    pub async fn put_object(&self, kind: &str, name: &str, spec: &Value) {
        let path = format!("/admin/objects/{kind}/{name}");
        call(Method::PUT, self.addr, &path, Some(spec)).await;
    }

    /// Changes or adds a host in the platform's list; `null` removes it.
    pub async fn set_host(&self, name: &str, spec: &Value) {
        let path = format!("/admin/hosts/{name}");
        let remove = spec.is_null();
        let method = if remove { Method::DELETE } else { Method::POST };
        call(method, self.addr, &path, (!remove).then_some(spec)).await;
    }

    /// Returns the run log, which outlives crashes and restarts.
    #[must_use]
    pub fn runs(&self) -> Vec<RunLine> {
        let text = std::fs::read_to_string(&self.runs).unwrap_or_default();
        let lines = text.lines().map(serde_json::from_str);
        lines.filter_map(Result::ok).collect()
    }

    /// Returns the runs that started and whose text contains a part.
    #[must_use]
    pub fn started(&self, part: &str) -> Vec<RunLine> {
        let mut runs = self.runs();
        runs.retain(|run| run.event == "start" && run.text.contains(part));
        runs
    }
}

/// Folder, proxy and stand-ins of one test.
#[derive(Debug)]
pub struct Stage {
    dir: TempDir,
    proxy: StandIn,
}

impl Stage {
    /// Makes the folder and starts the proxy.
    ///
    /// # Panics
    /// When the folder can't be made or the proxy does not start.
    pub async fn new() -> Self {
        let dir = TempDir::new().expect("a folder for the test");
        let proxy = StandIn::start(dir.path(), "proxy", vec!["proxy".to_owned()]).await;
        Self { dir, proxy }
    }

    /// Returns the folder of logs and settings.
    #[must_use]
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Starts a platform.
    pub async fn platform(&self) -> StandIn {
        let args = ["platform", "--token", PLATFORM_TOKEN];
        let args = args.map(ToOwned::to_owned).to_vec();
        StandIn::start(self.dir(), "platform", args).await
    }

    /// Starts an engine.
    pub async fn engine(&self, name: &str, knobs: &Value) -> StandIn {
        let args = ["engine", "--set", &knobs.to_string()];
        let args = args.map(ToOwned::to_owned).to_vec();
        StandIn::start(self.dir(), name, args).await
    }

    /// Starts a plain service.
    pub async fn plain(&self, name: &str) -> StandIn {
        StandIn::start(self.dir(), name, vec!["plain".to_owned()]).await
    }

    /// Makes a link through the proxy and returns its address.
    ///
    /// # Panics
    /// When the proxy refuses.
    pub async fn link(&self, target: SocketAddr) -> SocketAddr {
        let new = json!({"target": target});
        let (status, link) = self.proxy.post("/admin/links", &new).await;
        assert_eq!(status, 201, "a link to {target}");
        let addr = link["addr"].as_str().and_then(|addr| addr.parse().ok());
        addr.expect("the address of the link")
    }

    /// Changes the mode or delay of a link.
    ///
    /// # Panics
    /// When the proxy refuses.
    pub async fn set_link(&self, link: SocketAddr, knobs: &Value) {
        let path = format!("/admin/links/{link}/set");
        assert_eq!(self.proxy.post(&path, knobs).await.0, 200, "{knobs}");
    }

    /// Points a link at another address.
    ///
    /// # Panics
    /// When the proxy refuses.
    pub async fn set_target(&self, link: SocketAddr, target: SocketAddr) {
        let path = format!("/admin/links/{link}/target");
        let new = json!({"target": target});
        assert_eq!(self.proxy.post(&path, &new).await.0, 200, "{target}");
    }
}
