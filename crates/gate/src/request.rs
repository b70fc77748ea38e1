//! Parsing of authenticated requests for the router.

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
    auth::{CALLER_HEADER, HOP_HEADER, Sender},
    limit,
    prompt::{self, Prompt},
    refusal::{CODE_HEADER, Refusal},
};

pub(crate) const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// Distance between service priorities as engines see them. Model priorities fill the range
/// between.
const SERVICE_PRIORITY_STEP: u32 = 256;

/// Request headers that are hop-by-hop or set by the gate.
const STRIPPED_HEADERS: [HeaderName; 17] = [
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
    CODE_HEADER,
    CALLER_HEADER,
    HOP_HEADER,
    REQUEST_ID_HEADER,
    limit::DEADLINE_HEADER,
];

/// Endpoint of the caller API.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ApiPath<'a> {
    /// Completions, with the body field that contains the prompt.
    Completions {
        prompt: &'static str,
    },
    Models,
    Service {
        name: &'a str,
        subpath: &'a str,
    },
}

impl<'a> ApiPath<'a> {
    pub(crate) fn parse(method: &Method, path: &'a str) -> Result<Self, Refusal> {
        match (path, method) {
            ("/v1/chat/completions", &Method::POST) => Ok(Self::Completions { prompt: "messages" }),
            ("/v1/completions", &Method::POST) => Ok(Self::Completions { prompt: "prompt" }),
            ("/v1/models", &Method::GET) => Ok(Self::Models),
            _ => {
                let name = path.strip_prefix("/services/").ok_or(Code::UnknownPath)?;
                let (name, subpath) = name.split_at(name.find('/').unwrap_or(name.len()));
                let subpath = if subpath.is_empty() { "/" } else { subpath };
                Ok(Self::Service { name, subpath })
            }
        }
    }
}

/// Parsed request, ready to be claimed and routed.
#[derive(Clone, Debug)]
pub(crate) struct PreparedRequest {
    pub(crate) ticket: RoutingRequest,
    pub(crate) sender: Sender,
    pub(crate) method: Method,
    /// Path and query for backend servers.
    pub(crate) path: String,
    /// Path and query for other entry hosts.
    pub(crate) public_path: String,
    pub(crate) headers: HeaderMap,
    /// Body for backend servers.
    pub(crate) body: Bytes,
    /// Body as sent by the caller.
    pub(crate) original_body: Bytes,
    pub(crate) protocol: Protocol,
    pub(crate) stream: bool,
    /// Whether the response is buffered whatever its size.
    pub(crate) buffered: bool,
    pub(crate) idempotency_key: Option<String>,
}

/// Completely received request of an authenticated sender.
#[derive(Debug)]
pub(crate) struct IncomingRequest {
    pub(crate) id: RequestId,
    pub(crate) sender: Sender,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: Option<String>,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl IncomingRequest {
    fn full_path(&self, path: &str) -> String {
        match &self.query {
            Some(query) => format!("{path}?{query}"),
            None => path.to_owned(),
        }
    }

    fn into_prepared(
        self,
        ticket: RoutingRequest,
        path: String,
        body: Bytes,
        stream: bool,
    ) -> Result<PreparedRequest, Refusal> {
        let idempotency_key = limit::idempotency_key(&self.headers)?;
        let public_path = self.full_path(&self.path);
        let mut headers = self.headers;
        for name in STRIPPED_HEADERS {
            headers.remove(name);
        }
        let protocol = match ticket.target {
            Target::Plain => Protocol::Plain,
            Target::Model { .. } => Protocol::Model,
        };
        Ok(PreparedRequest {
            ticket,
            sender: self.sender,
            method: self.method,
            path,
            public_path,
            headers,
            body,
            original_body: self.body,
            protocol,
            stream,
            buffered: false,
            idempotency_key,
        })
    }
}

/// Parses a request to a plain service.
pub(crate) fn parse_plain(
    incoming: IncomingRequest,
    name: &str,
    subpath: &str,
    deployment: &Deployment,
    now: Instant,
) -> Result<PreparedRequest, Refusal> {
    let service = find_service(deployment, name).ok_or(Code::UnknownService)?;
    incoming.sender.authorize(&service.name)?;
    if service.kind != ServiceKind::Plain {
        return Err(Code::UnknownPath.into());
    }
    let safe = matches!(incoming.method, Method::GET | Method::HEAD);
    let path = incoming.full_path(subpath);
    let parts = [
        service.name.as_str().as_bytes(),
        incoming.method.as_str().as_bytes(),
        path.as_bytes(),
        &incoming.body,
    ];
    let ticket = RoutingRequest {
        id: incoming.id,
        fingerprint: fingerprint(&parts),
        service: service.name.clone(),
        target: Target::Plain,
        priority: service.priority,
        deadline: limit::deadline(&incoming.headers, service, now)?,
        idempotent: service.idempotent || safe,
        prompt_tokens: 0,
        output_tokens: 0,
        prefixes: Vec::new(),
        forwarded: incoming.sender.forwarded,
        options: route::RequestOptions::default(),
    };
    let body = incoming.body.clone();
    incoming.into_prepared(ticket, path, body, false)
}

/// Parses a completion request.
pub(crate) fn parse_completions(
    incoming: IncomingRequest,
    prompt_field: &str,
    deployment: &Deployment,
    now: Instant,
) -> Result<PreparedRequest, Refusal> {
    let body: Value = serde_json::from_slice(&incoming.body).map_err(|_e| Code::InvalidJson)?;
    let Value::Object(mut body) = body else {
        return Err(Code::InvalidField.into());
    };
    let prompt = prompt::parse(&body, prompt_field)?;
    let (model, target, model_priority) = find_target(deployment, &body)?;
    let service = find_service(deployment, model.service.as_str()).ok_or(Code::UnknownService)?;
    incoming.sender.authorize(&service.name)?;
    let deadline = limit::deadline(&incoming.headers, service, now)?;
    let ticket = ticket(&incoming, service, target, &prompt, deadline);
    let priority =
        u32::from(service.priority.get()) * SERVICE_PRIORITY_STEP + u32::from(model_priority.get());
    body.insert("priority".to_owned(), priority.into());
    let body = Bytes::from(Value::Object(body).to_string());
    let path = incoming.path.clone();
    incoming.into_prepared(ticket, path, body, prompt.stream)
}

fn ticket(
    incoming: &IncomingRequest,
    service: &Service,
    target: Target,
    prompt: &Prompt,
    deadline: Deadline,
) -> RoutingRequest {
    let name = service.name.as_str().as_bytes();
    RoutingRequest {
        id: incoming.id,
        fingerprint: fingerprint(&[name, prompt.model.as_bytes(), &incoming.body]),
        service: service.name.clone(),
        target,
        priority: service.priority,
        deadline,
        idempotent: service.idempotent,
        prompt_tokens: prompt.tokens,
        output_tokens: prompt.output_tokens,
        prefixes: prompt.prefixes.clone(),
        forwarded: incoming.sender.forwarded,
        options: route::RequestOptions::default(),
    }
}

fn find_service<'a>(deployment: &'a Deployment, name: &str) -> Option<&'a Service> {
    let services = &deployment.services;
    let index = services.binary_search_by(|s| s.name.as_str().cmp(name));
    index.ok().map(|index| &services[index])
}

/// Finds the requested model or adapter and its priority within the service.
fn find_target<'a>(
    deployment: &'a Deployment,
    body: &Map<String, Value>,
) -> Result<(&'a Model, Target, Priority), Refusal> {
    let name = body.get("model").and_then(Value::as_str);
    let name = name.ok_or(Code::InvalidField)?;
    let find_model = |name: &str| {
        let index = deployment
            .models
            .binary_search_by(|m| m.id.as_str().cmp(name));
        index.ok().map(|index| &deployment.models[index])
    };
    let target = |model: &Model, adapter| Target::Model {
        model: model.id.clone(),
        adapter,
    };
    if let Some(model) = find_model(name) {
        return Ok((model, target(model, None), model.priority));
    }
    let adapters = &deployment.adapters;
    let index = adapters.binary_search_by(|a| a.id.as_str().cmp(name));
    let adapter = &adapters[index.map_err(|_not_found| Code::UnknownModel)?];
    let model = find_model(adapter.model.as_str()).ok_or(Code::UnknownModel)?;
    Ok((
        model,
        target(model, Some(adapter.id.clone())),
        adapter.priority,
    ))
}

/// Hashes parts, each prefixed with its length so that different lists never hash the same input.
pub(crate) fn digest(parts: &[&[u8]]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize()
}

/// Returns the fingerprint of a request from the parts that identify its resends.
pub(crate) fn fingerprint(parts: &[&[u8]]) -> Fingerprint {
    let mut head = [0; 16];
    head.copy_from_slice(&digest(parts).as_bytes()[..16]);
    Fingerprint::new(u128::from_le_bytes(head))
}
