//! From a request of a known sender to a job for the router.

use bytes::Bytes;
use config::{Deployment, Model, Priority, Service, ServiceKind};
use engine::Protocol;
use route::{Fingerprint, RoutingRequest, Target};
use salvo::http::{
    HeaderMap, Method,
    header::{self, HeaderName},
};
use serde_json::{Map, Value};
use types::{Code, Deadline, Instant, RequestId};

use crate::{
    auth::{FORWARDED_CALLER, HOP, Sender},
    limit,
    prompt::{self, Prompt},
    refusal::{CODE, Refusal},
};

pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Step between the priorities of services as engines see them; priorities of models lie between.
const SERVICE_PRIORITY_STEP: u32 = 256;

/// Headers that end at this hop or that the gate sets itself.
const OWN_HEADERS: [HeaderName; 17] = [
    header::ACCEPT_ENCODING,
    header::AUTHORIZATION,
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::HOST,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
    CODE,
    FORWARDED_CALLER,
    HOP,
    REQUEST_ID,
    limit::DEADLINE,
];

/// What a path of the caller API asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Path<'a> {
    /// Completions, with the field that holds the prompt.
    Completions {
        prompt: &'static str,
    },
    Models,
    Service {
        name: &'a str,
        rest: &'a str,
    },
}

impl<'a> Path<'a> {
    pub(crate) fn parse(method: &Method, path: &'a str) -> Result<Self, Refusal> {
        match (path, method) {
            ("/v1/chat/completions", &Method::POST) => Ok(Self::Completions { prompt: "messages" }),
            ("/v1/completions", &Method::POST) => Ok(Self::Completions { prompt: "prompt" }),
            ("/v1/models", &Method::GET) => Ok(Self::Models),
            _ => {
                let name = path.strip_prefix("/services/").ok_or(Code::UnknownPath)?;
                let (name, rest) = name.split_at(name.find('/').unwrap_or(name.len()));
                let rest = if rest.is_empty() { "/" } else { rest };
                Ok(Self::Service { name, rest })
            }
        }
    }
}

/// Request that is ready for a claim and the router.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) ticket: RoutingRequest,
    pub(crate) sender: Sender,
    pub(crate) method: Method,
    /// Path and query as a backend server sees them.
    pub(crate) path: String,
    /// Path and query as another entry host sees them.
    pub(crate) public_path: String,
    pub(crate) headers: HeaderMap,
    /// Body as a backend server sees it.
    pub(crate) body: Bytes,
    /// Body as the caller sent it.
    pub(crate) original: Bytes,
    pub(crate) protocol: Protocol,
    pub(crate) stream: bool,
    /// Whether the response is read completely before it is passed on, whatever its size.
    pub(crate) buffered: bool,
    pub(crate) key: Option<String>,
}

/// Request of a known sender, read completely.
#[derive(Debug)]
pub(crate) struct Arrival {
    pub(crate) id: RequestId,
    pub(crate) sender: Sender,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: Option<String>,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Arrival {
    fn full_path(&self, path: &str) -> String {
        match &self.query {
            Some(query) => format!("{path}?{query}"),
            None => path.to_owned(),
        }
    }

    fn into_job(
        self,
        ticket: RoutingRequest,
        path: String,
        body: Bytes,
        stream: bool,
    ) -> Result<Job, Refusal> {
        let key = limit::key(&self.headers)?;
        let public_path = self.full_path(&self.path);
        let mut headers = self.headers;
        for name in OWN_HEADERS {
            headers.remove(name);
        }
        let protocol = match ticket.target {
            Target::Plain => Protocol::Plain,
            Target::Model { .. } => Protocol::Model,
        };
        Ok(Job {
            ticket,
            sender: self.sender,
            method: self.method,
            path,
            public_path,
            headers,
            body,
            original: self.body,
            protocol,
            stream,
            buffered: false,
            key,
        })
    }
}

/// Parses a call of a plain service.
pub(crate) fn plain(
    arrival: Arrival,
    name: &str,
    rest: &str,
    deployment: &Deployment,
    now: Instant,
) -> Result<Job, Refusal> {
    let service = find_service(deployment, name).ok_or(Code::UnknownService)?;
    arrival.sender.may_use(&service.name)?;
    if service.kind != ServiceKind::Plain {
        return Err(Code::UnknownPath.into());
    }
    let safe = matches!(arrival.method, Method::GET | Method::HEAD);
    let path = arrival.full_path(rest);
    let parts = [
        service.name.as_str().as_bytes(),
        arrival.method.as_str().as_bytes(),
        path.as_bytes(),
        &arrival.body,
    ];
    let ticket = RoutingRequest {
        id: arrival.id,
        fingerprint: fingerprint(&parts),
        service: service.name.clone(),
        target: Target::Plain,
        priority: service.priority,
        deadline: limit::deadline(&arrival.headers, service, now)?,
        idempotent: service.idempotent || safe,
        prompt_tokens: 0,
        output_tokens: 0,
        prefixes: Vec::new(),
        forwarded: arrival.sender.forwarded,
        options: route::RequestOptions::default(),
    };
    let body = arrival.body.clone();
    arrival.into_job(ticket, path, body, false)
}

/// Parses a request for completions.
pub(crate) fn completions(
    arrival: Arrival,
    prompt_field: &str,
    deployment: &Deployment,
    now: Instant,
) -> Result<Job, Refusal> {
    let body: Value = serde_json::from_slice(&arrival.body).map_err(|_e| Code::InvalidJson)?;
    let Value::Object(mut body) = body else {
        return Err(Code::InvalidField.into());
    };
    let prompt = prompt::read(&body, prompt_field)?;
    let (model, target, rank) = find_target(deployment, &body)?;
    let service = find_service(deployment, model.service.as_str()).ok_or(Code::UnknownService)?;
    arrival.sender.may_use(&service.name)?;
    let deadline = limit::deadline(&arrival.headers, service, now)?;
    let ticket = ticket(&arrival, service, target, &prompt, deadline);
    let priority =
        u32::from(service.priority.get()) * SERVICE_PRIORITY_STEP + u32::from(rank.get());
    body.insert("priority".to_owned(), priority.into());
    let body = Bytes::from(Value::Object(body).to_string());
    let path = arrival.path.clone();
    arrival.into_job(ticket, path, body, prompt.stream)
}

fn ticket(
    arrival: &Arrival,
    service: &Service,
    target: Target,
    prompt: &Prompt,
    deadline: Deadline,
) -> RoutingRequest {
    let name = service.name.as_str().as_bytes();
    RoutingRequest {
        id: arrival.id,
        fingerprint: fingerprint(&[name, prompt.model.as_bytes(), &arrival.body]),
        service: service.name.clone(),
        target,
        priority: service.priority,
        deadline,
        idempotent: service.idempotent,
        prompt_tokens: prompt.tokens,
        output_tokens: prompt.output_tokens,
        prefixes: prompt.prefixes.clone(),
        forwarded: arrival.sender.forwarded,
        options: route::RequestOptions::default(),
    }
}

fn find_service<'a>(deployment: &'a Deployment, name: &str) -> Option<&'a Service> {
    let services = &deployment.services;
    let at = services.binary_search_by(|s| s.name.as_str().cmp(name));
    at.ok().map(|at| &services[at])
}

/// Finds the model or adapter that the body names, and its priority within its service.
fn find_target<'a>(
    deployment: &'a Deployment,
    body: &Map<String, Value>,
) -> Result<(&'a Model, Target, Priority), Refusal> {
    let name = body.get("model").and_then(Value::as_str);
    let name = name.ok_or(Code::InvalidField)?;
    let find_model = |name: &str| {
        let at = deployment
            .models
            .binary_search_by(|m| m.id.as_str().cmp(name));
        at.ok().map(|at| &deployment.models[at])
    };
    let target = |model: &Model, adapter| Target::Model {
        model: model.id.clone(),
        adapter,
    };
    if let Some(model) = find_model(name) {
        return Ok((model, target(model, None), model.priority));
    }
    let adapters = &deployment.adapters;
    let at = adapters.binary_search_by(|a| a.id.as_str().cmp(name));
    let adapter = &adapters[at.map_err(|_at| Code::UnknownModel)?];
    let model = find_model(adapter.model.as_str()).ok_or(Code::UnknownModel)?;
    Ok((
        model,
        target(model, Some(adapter.id.clone())),
        adapter.priority,
    ))
}

/// Hashes parts, each with its length, so that no two lists of parts collide.
pub(crate) fn digest(parts: &[&[u8]]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize()
}

fn fingerprint(parts: &[&[u8]]) -> Fingerprint {
    let mut head = [0; 16];
    head.copy_from_slice(&digest(parts).as_bytes()[..16]);
    Fingerprint::new(u128::from_le_bytes(head))
}
