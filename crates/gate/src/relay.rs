//! Conversion of backend responses to caller responses.

use std::{io, sync::Arc};

use bytes::Bytes;
use engine::{Answer, BufferedResponse, Events, Protocol, Server};
use futures::{StreamExt, stream};
use salvo::http::{
    HeaderMap, Method, StatusCode,
    header::{self, HeaderName},
};
use serde::Deserialize;
use types::{Code, RetryReason};

use crate::{
    attempt::{Attempts, Runner},
    dispatcher::StateMachine,
    peers::Peers,
    record::{End, SharedRecord},
    refusal::{CODE_HEADER, Refusal},
    reply::{Body, Reply},
    request::PreparedRequest,
};

/// Responses up to this size are buffered before the first byte is forwarded, so that a response
/// that is cut off can be replaced by one from another server.
const MAX_BUFFERED_BYTES: usize = 4 << 20;

/// Maximum size of a response to a claimed request, which is always buffered.
const MAX_CLAIMED_BYTES: usize = 16 << 20;

/// Response headers that are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("x-incarnation"),
    HeaderName::from_static("x-leaving"),
    HeaderName::from_static("x-load"),
    HeaderName::from_static("x-request-id"),
];

#[derive(Deserialize)]
struct Completion {
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Usage {
    completion_tokens: Option<u32>,
}

impl<R: StateMachine, N: Peers> Runner<R, N> {
    /// Runs a request until its response is complete or its stream is open.
    ///
    /// The end of a streamed response is recorded here, that of any other one by the caller of this
    /// function.
    pub(crate) async fn run(
        &self,
        request: PreparedRequest,
        record: Option<SharedRecord>,
    ) -> Result<Reply, Refusal> {
        let mut attempts = Attempts::start(self.clone(), Arc::new(request), record);
        loop {
            let (server, answer) = attempts.open().await?;
            if attempts.is_relayed_stream(&answer) {
                let head = (answer.status(), answer.headers().clone());
                let mut events = answer.events();
                // A failure before the first event can be retried.
                match events.next().await {
                    Ok(first) => {
                        return Ok(StreamRelay::start(attempts, (server, events), head, first));
                    }
                    Err(e) => attempts.report_error(&server, e).await,
                }
                continue;
            }
            if attempts.is_passed_through(&answer) {
                return Ok(pass_through(attempts, server, Bytes::new(), answer));
            }
            match attempts.read_complete(answer).await {
                Ok(Ok(whole)) => return attempts.complete_response(server, whole),
                // The request ran, but its answer is too large to be stored.
                Ok(Err(_)) if attempts.request.buffered => return Err(Code::AlreadyRan.into()),
                Ok(Err((head, answer))) => return Ok(pass_through(attempts, server, head, answer)),
                Err(e) => attempts.report_error(&server, e).await,
            }
        }
    }
}

impl<R: StateMachine, N: Peers> Attempts<R, N> {
    /// Returns whether a response is a completion stream that is forwarded event by event.
    fn is_relayed_stream(&self, answer: &Answer) -> bool {
        let events = answer.is_event_stream() && answer.status().is_success();
        self.request.stream && events && !self.request.buffered
    }

    /// Buffers a response, unless it is too large.
    async fn read_complete(
        &self,
        answer: Answer,
    ) -> engine::Result<Result<BufferedResponse, (Bytes, Answer)>> {
        if !self.request.buffered {
            return answer.read(MAX_BUFFERED_BYTES).await;
        }
        if self.request.stream && answer.is_event_stream() {
            return answer.read_events(MAX_CLAIMED_BYTES).await.map(Ok);
        }
        answer.read(MAX_CLAIMED_BYTES).await
    }

    /// Returns whether a response is forwarded without buffering: a large one, or an event stream
    /// of a plain service.
    fn is_passed_through(&self, answer: &Answer) -> bool {
        let plain = self.request.protocol == Protocol::Plain;
        let length = answer.content_length().unwrap_or(0);
        let whole = self.request.buffered || self.request.method == Method::HEAD;
        !whole
            && ((plain && answer.is_event_stream() && answer.content_length() != Some(0))
                || length > MAX_BUFFERED_BYTES as u64)
    }

    fn complete_response(
        &mut self,
        server: Server,
        whole: BufferedResponse,
    ) -> Result<Reply, Refusal> {
        let model = self.request.protocol == Protocol::Model;
        let failed = whole.status.is_server_error();
        let tokens = if model {
            completion_tokens(&whole.body)
        } else {
            0
        };
        self.handle.first_byte();
        self.finish(tokens, !failed);
        if model && failed && !self.remote {
            return Err(Code::BackendError.into());
        }
        let mut headers = whole.headers;
        if self.request.method != Method::HEAD {
            headers.remove(header::CONTENT_LENGTH);
        }
        let mut reply = self.reply(whole.status, headers, Body::Full(whole.body));
        reply.backend = Some(server.id);
        Ok(reply)
    }

    fn reply(&self, status: StatusCode, mut headers: HeaderMap, body: Body) -> Reply {
        for name in HOP_BY_HOP_HEADERS {
            headers.remove(name);
        }
        if !self.remote {
            headers.remove(CODE_HEADER);
        }
        let mut reply = Reply::new(status, body);
        reply.headers = headers;
        if let Some(timing) = self.timing() {
            reply.headers.append("server-timing", timing);
        }
        reply
    }
}

fn completion_tokens(body: &[u8]) -> u32 {
    let completion: Option<Completion> = serde_json::from_slice(body).ok();
    completion
        .and_then(|c| c.usage?.completion_tokens)
        .unwrap_or(0)
}

/// Forwards an event stream and resumes it if its server supports that.
struct StreamRelay<R: StateMachine, N: Peers> {
    attempts: Attempts<R, N>,
    server: Server,
    status: StatusCode,
    events: Events,
    ended: bool,
}

impl<R: StateMachine, N: Peers> StreamRelay<R, N> {
    /// Creates the response that starts with the first events.
    fn start(
        mut attempts: Attempts<R, N>,
        (server, events): (Server, Events),
        (status, mut headers): (StatusCode, HeaderMap),
        first: Option<(Bytes, u64)>,
    ) -> Reply {
        // The length of a stream that may be resumed is unknown.
        headers.remove(header::CONTENT_LENGTH);
        let reply = attempts.reply(status, headers, Body::Full(Bytes::new()));
        attempts.handle.first_byte();
        let events_so_far = first.as_ref().map_or(0, |(_, events)| *events);
        attempts.delivered_events = Some(events_so_far);
        attempts.update_record(|record| record.answering(events_so_far));
        let relay = Self {
            attempts,
            server,
            status,
            events,
            ended: false,
        };
        let rest = stream::unfold(relay, |mut relay| async move {
            let part = relay.next().await?;
            Some((part, relay))
        });
        let first = stream::iter(first.map(|(bytes, _)| bytes));
        let body = first.chain(rest).map(Ok).boxed();
        Reply {
            body: Body::Stream(body),
            ..reply
        }
    }

    /// Returns the next events, or an error event if the stream cannot be completed.
    async fn next(&mut self) -> Option<Bytes> {
        while !self.ended {
            match self.events.next().await {
                Ok(Some((bytes, events))) => {
                    *self.attempts.delivered_events.get_or_insert(0) += events;
                    self.attempts
                        .update_record(|record| record.answering(events));
                    return Some(bytes);
                }
                Ok(None) => self.finish_stream(),
                Err(e) => match self.attempts.resume(&self.server, e).await {
                    Ok(answer) => self.events = answer.events(),
                    Err(e) => return Some(self.fail_stream(e).await),
                },
            }
        }
        None
    }

    fn finish_stream(&mut self) {
        self.ended = true;
        let events = self.attempts.delivered_events.unwrap_or(0);
        let tokens = u32::try_from(events).unwrap_or(u32::MAX);
        let failed = self.events.is_error();
        self.attempts.finish(tokens, !failed);
        self.attempts.end(&if failed {
            End::BrokenOff {
                reason: RetryReason::ServerError,
                code: Code::BackendError,
            }
        } else {
            End::Answered {
                backend: Some(self.server.id.clone()),
                status: self.status.as_u16(),
            }
        });
    }

    async fn fail_stream(&mut self, err: engine::Error) -> Bytes {
        self.ended = true;
        let reason = break_reason(&err);
        self.attempts.report_error(&self.server, err).await;
        let refusal = self.attempts.final_refusal().await;
        let code = refusal.code;
        self.attempts.runner.counters.refusal(code);
        self.attempts.end(&End::BrokenOff { reason, code });
        refusal.to_sse_event()
    }
}

/// Returns why a response is broken off.
fn break_reason(err: &engine::Error) -> RetryReason {
    match err.category() {
        // The router sees a timeout as a cut connection.
        engine::Category::Timeout => RetryReason::Silent,
        _ => err.retry_reason(),
    }
}

/// Forwards a response without buffering it.
fn pass_through<R: StateMachine, N: Peers>(
    attempts: Attempts<R, N>,
    server: Server,
    head: Bytes,
    answer: Answer,
) -> Reply {
    attempts.handle.first_byte();
    attempts.update_record(|record| record.answering(0));
    let status = answer.status().as_u16();
    let mut reply = attempts.reply(
        answer.status(),
        answer.headers().clone(),
        Body::Full(Bytes::new()),
    );
    let failed = answer.status().is_server_error();
    // The HTTP library does not ask for the end of a body after as many bytes as its length.
    let left = answer
        .content_length()
        .map(|len| len.saturating_sub(head.len() as u64));
    let state = Some((attempts, server, answer, left));
    let rest = stream::unfold(state, move |state| async move {
        let (mut attempts, server, mut answer, left) = state?;
        let chunk = answer.chunk().await;
        let left = match (&chunk, left) {
            (Ok(Some(chunk)), Some(left)) => Some(left.saturating_sub(chunk.len() as u64)),
            _ => left,
        };
        if matches!(chunk, Ok(None)) || left == Some(0) {
            attempts.finish(0, !failed);
            attempts.end(&End::Answered {
                backend: Some(server.id),
                status,
            });
            return chunk.ok()?.map(|chunk| (Ok(chunk), None));
        }
        match chunk {
            Ok(Some(chunk)) => Some((Ok(chunk), Some((attempts, server, answer, left)))),
            Ok(None) => None,
            Err(e) => {
                attempts.delivered_events = Some(0);
                let (reason, code) = (break_reason(&e), e.code());
                attempts.runner.counters.refusal(code);
                attempts.end(&End::BrokenOff { reason, code });
                let error = io::Error::other(e.to_string());
                attempts.report_error(&server, e).await;
                Some((Err(error), None))
            }
        }
    });
    let first = stream::iter([Ok(head)]);
    reply.body = Body::Stream(first.chain(rest).boxed());
    reply
}
