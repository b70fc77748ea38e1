//! An entry host and what a caller does with it.

use std::{
    net::SocketAddr,
    ops::{Deref, DerefMut},
    path::{Path, PathBuf},
    time::Duration,
};

use futures::StreamExt;
use reqwest::{Method, Response};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::{
    CLIENT,
    cluster::OPERATOR_TOKEN,
    eventually,
    process::{Process, program},
};

/// Bounds the time from the start of a host to its readiness.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// Pause between two looks at a report.
const REPORT_POLL: Duration = Duration::from_millis(100);

/// Answer as a caller sees it.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// HTTP status, 0 when the connection broke.
    pub status: u16,
    /// JSON body of a plain answer.
    pub body: Value,
    /// Text of the answer to a prompt.
    pub text: String,
    /// Whether a stream ended with its end marker.
    pub done: bool,
    /// Time to the first piece of the body.
    pub first: Duration,
}

impl Reply {
    /// Returns the result code of a refusal, 0 when there is none.
    #[must_use]
    pub fn code(&self) -> u64 {
        self.body["error"]["code"].as_u64().unwrap_or_default()
    }

    /// Returns what a refusal says about the run.
    #[must_use]
    pub fn ran(&self) -> &str {
        self.body["error"]["ran"].as_str().unwrap_or_default()
    }
}

/// Running entry host.
#[derive(Debug)]
pub struct EntryHost {
    /// Name in the platform's list.
    pub name: String,
    /// Data centre.
    pub dc: String,
    process: Process,
    /// Address of the caller port, without a proxy in between.
    pub http: SocketAddr,
    pub(crate) peer: SocketAddr,
    pub(crate) log: PathBuf,
    token: String,
}

impl Deref for EntryHost {
    type Target = Process;

    fn deref(&self) -> &Process {
        &self.process
    }
}

impl DerefMut for EntryHost {
    fn deref_mut(&mut self) -> &mut Process {
        &mut self.process
    }
}

impl EntryHost {
    pub(crate) async fn start(
        dir: &Path,
        name: &str,
        dc: &str,
        settings: &Path,
        token: &str,
    ) -> Self {
        let log = dir.join(format!("{name}.log"));
        let args = ["serve", "--settings", &settings.display().to_string()];
        let args = args.map(ToOwned::to_owned);
        let process = Process::start(&program("celerytally"), &args, &log).await;
        let address = |key: &str| {
            let mut parts = process.line.split(' ');
            let found = parts.find_map(|part| part.strip_prefix(key));
            found.and_then(|addr| addr.parse().ok())
        };
        let (http, peer) = (address("http="), address("peer="));
        Self {
            name: name.to_owned(),
            dc: dc.to_owned(),
            http: http.expect("the caller port"),
            peer: peer.expect("the peer port"),
            process,
            log,
            token: token.to_owned(),
        }
    }

    /// Waits until the host says that it is ready.
    ///
    /// # Panics
    /// When it does not get ready.
    pub async fn wait_ready(&self) {
        let what = format!("{} is ready", self.name);
        eventually(READY_LIMIT, &what, || self.is_ready()).await;
    }

    /// Returns whether the host says that it is ready.
    pub async fn is_ready(&self) -> bool {
        super::get(self.http, "/readyz").await.0 == 200
    }

    /// Waits until the report contains a text.
    ///
    /// # Panics
    /// When it does not.
    pub async fn wait_report(&self, limit: Duration, part: &str) {
        let until = Instant::now() + limit;
        loop {
            let report = self.report().await;
            // `NOT OK` is no `OK`.
            if report.contains(part) && (part != "OK" || report.starts_with("OK\n")) {
                return;
            }
            assert!(
                Instant::now() < until,
                "{}: no {part:?} in {report}",
                self.name
            );
            sleep(REPORT_POLL).await;
        }
    }

    /// Returns the report as JSON.
    pub async fn facts(&self) -> Value {
        let url = format!("http://{}/report?json", self.http);
        let req = CLIENT.get(url).bearer_auth(OPERATOR_TOKEN);
        super::finish(req).await.1["facts"].take()
    }

    /// Returns the text of the host's report.
    pub async fn report(&self) -> String {
        let url = format!("http://{}/report", self.http);
        match CLIENT.get(url).bearer_auth(OPERATOR_TOKEN).send().await {
            Ok(res) => res.text().await.unwrap_or_default(),
            Err(_e) => String::new(),
        }
    }

    /// Asks a model or adapter for a whole answer.
    pub async fn chat(&self, model: &str, prompt: &str, tokens: usize) -> Reply {
        let req = self.request(Method::POST, "/v1/chat/completions");
        let mut reply = read(req.json(&chat_body(model, prompt, tokens, false))).await;
        let text = reply.body["choices"][0]["message"]["content"].as_str();
        reply.text = text.unwrap_or_default().to_owned();
        reply
    }

    /// Asks a model or adapter for a stream and reads it to its end.
    pub async fn stream(&self, model: &str, prompt: &str, tokens: usize) -> Reply {
        let req = self.request(Method::POST, "/v1/chat/completions");
        let started = Instant::now();
        let req = req.json(&chat_body(model, prompt, tokens, true));
        match req.send().await {
            Ok(res) if res.status() == 200 => read_stream(res, started).await,
            Ok(res) => Reply {
                status: res.status().as_u16(),
                body: res.json().await.unwrap_or_default(),
                ..Reply::default()
            },
            Err(_e) => Reply::default(),
        }
    }

    /// Calls a plain service, with an idempotency key unless it is empty.
    pub async fn plain(&self, method: Method, path: &str, key: &str, body: &str) -> Reply {
        let mut req = self.request(method, &format!("/services/{path}"));
        if !key.is_empty() {
            req = req.header("idempotency-key", key);
        }
        read(req.body(body.to_owned())).await
    }

    /// Makes a request with the caller's token.
    pub fn request(&self, method: Method, path: &str) -> reqwest::RequestBuilder {
        let url = format!("http://{}{path}", self.http);
        CLIENT.request(method, url).bearer_auth(&self.token)
    }
}

fn chat_body(model: &str, prompt: &str, tokens: usize, stream: bool) -> Value {
    json!({"model": model, "max_tokens": tokens, "stream": stream,
        "messages": [{"role": "user", "content": prompt}]})
}

async fn read(req: reqwest::RequestBuilder) -> Reply {
    let (status, body) = super::finish(req).await;
    Reply {
        status,
        body,
        ..Reply::default()
    }
}

async fn read_stream(res: Response, started: Instant) -> Reply {
    let mut reply = Reply {
        status: 200,
        ..Reply::default()
    };
    let mut pieces = res.bytes_stream();
    let mut all = Vec::new();
    while let Some(piece) = pieces.next().await {
        let Ok(piece) = piece else { break };
        if all.is_empty() {
            reply.first = started.elapsed();
        }
        all.extend_from_slice(&piece);
    }
    let all = String::from_utf8_lossy(&all);
    for event in all.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if event == "[DONE]" {
            reply.done = true;
            continue;
        }
        let event: Value = serde_json::from_str(event).unwrap_or_default();
        let text = event["choices"][0]["delta"]["content"].as_str();
        reply.text.push_str(text.unwrap_or_default());
        if !event["error"].is_null() {
            reply.body = event;
        }
    }
    reply
}
