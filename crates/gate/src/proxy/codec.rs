//! What an installation's conventions must tell the proxy.

use http::{HeaderMap, request, response};
use route::Target;
use types::{BackendId, Micros, RetryReason};

use crate::refusal::Refusal;

/// What the head of a caller's request asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestInfo {
    /// Id that the caller gave the request; backend servers echo it.
    pub id: String,
    /// Time that the caller waits, if it says so.
    pub remaining: Option<Micros>,
    /// What is needed from a backend server.
    pub target: Target,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Expected tokens of the output.
    pub output_tokens: u32,
    /// Hashes of the growing prefixes of the prompt, shortest first.
    pub prefixes: Vec<u64>,
    /// Tokens of these prefixes.
    pub prefix_tokens: Vec<u32>,
    /// Event after which the caller resumes a stream.
    pub last_event_id: Option<String>,
}

/// What the head of an attempt says besides the caller's own headers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptInfo<'a> {
    /// Backend server that must run the request, and no other at its address.
    pub backend: &'a BackendId,
    /// Time until the deadline.
    pub remaining: Micros,
    /// Rank among the requests of a worker, if it is a model's; lower goes first.
    pub urgency: Option<u8>,
    /// Event after which the stream goes on.
    pub last_event_id: Option<&'a str>,
}

/// What the head of a backend server's response is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseClass {
    /// The server's response to this request.
    Answer,
    /// The server certainly did not run the request.
    NotRun(RetryReason),
    /// Not a response of this server to this request.
    Mismatch,
}

/// Conventions of an installation for the heads of requests and responses.
///
/// An implementation translates and decides nothing.
pub trait HeaderCodec: Send + Sync + 'static {
    /// Path at which the balancer asks for readiness.
    const READINESS_PATH: &'static str;

    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    /// A code of the group 1xx when the head can't be decoded.
    fn decode_request(&self, head: &request::Parts) -> Result<RequestInfo, types::Code>;

    /// Makes the headers of an attempt from those of the caller, without hop-by-hop headers.
    fn encode_attempt(&self, caller: &HeaderMap, attempt: &AttemptInfo<'_>) -> HeaderMap;

    /// Judges the head of a response to an attempt at a request.
    fn classify_response(
        &self,
        id: &str,
        backend: &BackendId,
        head: &response::Parts,
    ) -> ResponseClass;

    /// Makes the head of a refusal.
    fn encode_refusal(&self, refusal: &Refusal) -> response::Parts;
}
