//! Interface for encoding and decoding the message heads of an installation.

use http::{HeaderMap, request, response};
use route::Target;
use types::{BackendId, Micros, PromptPart, RetryReason, ServerNotice};

use crate::{proxy::identity::Identity, refusal::Refusal};

/// Decoded head of a caller's request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestInfo {
    /// Request id set by the caller. Backend servers echo it.
    pub id: String,
    /// Time the caller is willing to wait, if given.
    pub remaining: Option<Micros>,
    /// Requested model or service.
    pub target: Target,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Expected number of output tokens.
    pub output_tokens: u32,
    /// Number of prompt tokens and maximum number of output tokens, if stated.
    pub counted_tokens: Option<u32>,
    /// Hashes of prompt prefixes of increasing length.
    pub prefixes: Vec<u64>,
    /// Number of tokens in each prefix.
    pub prefix_tokens: Vec<u32>,
    /// Parts of the prompt that other requests may have, too.
    pub parts: Vec<PromptPart>,
    /// Id of the last event the caller received of a stream it resumes.
    pub last_event_id: Option<String>,
}

/// Values to encode in the head of an attempt, besides the caller's own headers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptInfo<'a> {
    /// Backend server that must run the request. Other servers at its address must not.
    pub backend: &'a BackendId,
    /// Time remaining until the deadline.
    pub remaining: Micros,
    /// Rank among the requests of a worker, for model requests. Lower ranks run first.
    pub urgency: Option<u8>,
    /// Id of the event after which the stream continues.
    pub last_event_id: Option<&'a str>,
    /// Who sent the request. The credentials do not reach the server if they were checked.
    pub identity: &'a Identity,
}

/// Classification of a backend server's response head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseClass {
    /// Response of this server to this request.
    Answer,
    /// The request was not run by the server. Only a response that states the request's id proves it.
    NotRun(RetryReason),
    /// Response of another server or to another request.
    Mismatch,
}

/// Encoder and decoder of an installation's request and response heads.
///
/// Implementations only translate. They make no decisions.
pub trait HeaderCodec: Send + Sync + 'static {
    /// Path of the load balancer's readiness probe.
    const READINESS_PATH: &'static str;

    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    /// A 1xx result code if the head is invalid.
    fn decode_request(&self, head: &request::Parts) -> Result<RequestInfo, types::Code>;

    /// Encodes the headers of an attempt from the caller's end-to-end headers.
    fn encode_attempt(&self, caller: &HeaderMap, attempt: &AttemptInfo<'_>) -> HeaderMap;

    /// Classifies the response head of an attempt.
    fn classify_response(
        &self,
        id: &str,
        backend: &BackendId,
        head: &response::Parts,
    ) -> ResponseClass;

    /// Decodes what the backend server announces in the head of a response, whatever its class, and
    /// removes it from the head.
    fn take_notice(&self, head: &mut response::Parts) -> ServerNotice;

    /// Encodes the head of a refusal.
    fn encode_refusal(&self, refusal: &Refusal) -> response::Parts;
}
