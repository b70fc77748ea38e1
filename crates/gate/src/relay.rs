//! From a verified response of a server to the response to the caller.

use std::{io, sync::Arc};

use bytes::Bytes;
use engine::{Answer, Events, Protocol, Server, Whole};
use futures::{StreamExt, stream};
use salvo::http::{
    HeaderMap, Method, StatusCode,
    header::{self, HeaderName},
};
use serde::Deserialize;
use types::Code;

use crate::{
    attempt::{Attempts, Runner},
    dispatcher::StateMachine,
    job::Job,
    peers::Peers,
    refusal::{CODE, Refusal},
    reply::{Body, Reply},
};

/// Responses up to this size are read completely before the first byte is passed on, so that a
/// response that breaks off can be replaced by that of another server.
const MAX_BUFFERED: usize = 4 << 20;

/// Largest response to a claimed request, which is always read completely.
const MAX_CLAIMED: usize = 16 << 20;

/// Headers of a server's response that end at this hop.
const HOP_HEADERS: [HeaderName; 9] = [
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
    /// Runs a request to a complete response or an open stream.
    pub(crate) async fn run(&self, job: Job) -> Result<Reply, Refusal> {
        let mut attempts = Attempts::begin(self.clone(), Arc::new(job));
        loop {
            let (server, answer) = attempts.open().await?;
            if attempts.relays(&answer) {
                let head = (answer.status(), answer.headers().clone());
                let mut events = answer.events();
                // Until the first event, a failure is an ordinary one that may be retried.
                match events.next().await {
                    Ok(first) => return Ok(Relay::begin(attempts, (server, events), head, first)),
                    Err(e) => attempts.fail(&server, e).await,
                }
                continue;
            }
            if attempts.passes_through(&answer) {
                return Ok(pass_through(attempts, server, Bytes::new(), answer));
            }
            match attempts.read(answer).await {
                Ok(Ok(whole)) => return attempts.whole(whole),
                // It ran, and its answer is not kept.
                Ok(Err(_)) if attempts.job.buffered => return Err(Code::AlreadyRan.into()),
                Ok(Err((head, answer))) => return Ok(pass_through(attempts, server, head, answer)),
                Err(e) => attempts.fail(&server, e).await,
            }
        }
    }
}

impl<R: StateMachine, N: Peers> Attempts<R, N> {
    /// Tells whether a response is a stream of completions that is passed on event by event.
    fn relays(&self, answer: &Answer) -> bool {
        let events = answer.is_event_stream() && answer.status().is_success();
        self.job.stream && events && !self.job.buffered
    }

    /// Reads a response completely, unless it is too large.
    async fn read(&self, answer: Answer) -> engine::Result<Result<Whole, (Bytes, Answer)>> {
        if !self.job.buffered {
            return answer.read(MAX_BUFFERED).await;
        }
        if self.job.stream && answer.is_event_stream() {
            return answer.read_events(MAX_CLAIMED).await.map(Ok);
        }
        answer.read(MAX_CLAIMED).await
    }

    /// Tells whether a response is passed on as it arrives: a large one, or the event stream of a
    /// plain service.
    fn passes_through(&self, answer: &Answer) -> bool {
        let plain = self.job.protocol == Protocol::Plain;
        let length = answer.content_length().unwrap_or(0);
        let whole = self.job.buffered || self.job.method == Method::HEAD;
        !whole && ((plain && answer.is_event_stream()) || length > MAX_BUFFERED as u64)
    }

    fn whole(&mut self, whole: Whole) -> Result<Reply, Refusal> {
        let model = self.job.protocol == Protocol::Model;
        let failed = whole.status.is_server_error();
        let tokens = if model { tokens(&whole.body) } else { 0 };
        self.flight.first_byte();
        self.finish(tokens, !failed);
        if model && failed && !self.remote {
            return Err(Code::BackendError.into());
        }
        let mut headers = whole.headers;
        if self.job.method != Method::HEAD {
            headers.remove(header::CONTENT_LENGTH);
        }
        Ok(self.reply(whole.status, headers, Body::Full(whole.body)))
    }

    fn reply(&self, status: StatusCode, mut headers: HeaderMap, body: Body) -> Reply {
        for name in HOP_HEADERS {
            headers.remove(name);
        }
        if !self.remote {
            headers.remove(CODE);
        }
        let mut reply = Reply::new(status, body);
        reply.headers = headers;
        if let Some(timing) = self.timing() {
            reply.headers.append("server-timing", timing);
        }
        reply
    }
}

fn tokens(body: &[u8]) -> u32 {
    let completion: Option<Completion> = serde_json::from_slice(body).ok();
    completion
        .and_then(|c| c.usage?.completion_tokens)
        .unwrap_or(0)
}

/// Passes on an event stream, resuming it where its server can.
struct Relay<R: StateMachine, N: Peers> {
    attempts: Attempts<R, N>,
    server: Server,
    events: Events,
    closed: bool,
}

impl<R: StateMachine, N: Peers> Relay<R, N> {
    /// Makes the response that begins with the first events.
    fn begin(
        mut attempts: Attempts<R, N>,
        (server, events): (Server, Events),
        (status, mut headers): (StatusCode, HeaderMap),
        first: Option<(Bytes, u64)>,
    ) -> Reply {
        // The length of a resumed stream is not known.
        headers.remove(header::CONTENT_LENGTH);
        let reply = attempts.reply(status, headers, Body::Full(Bytes::new()));
        attempts.flight.first_byte();
        attempts.delivered = Some(first.as_ref().map_or(0, |(_, events)| *events));
        let relay = Self {
            attempts,
            server,
            events,
            closed: false,
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

    /// Returns the next events, or an event that says why there are no more.
    async fn next(&mut self) -> Option<Bytes> {
        while !self.closed {
            match self.events.next().await {
                Ok(Some((bytes, events))) => {
                    *self.attempts.delivered.get_or_insert(0) += events;
                    return Some(bytes);
                }
                Ok(None) => self.close(),
                Err(e) => match self.attempts.resume(&self.server, e).await {
                    Ok(answer) => self.events = answer.events(),
                    Err(e) => return Some(self.interrupt(e).await),
                },
            }
        }
        None
    }

    fn close(&mut self) {
        self.closed = true;
        let events = self.attempts.delivered.unwrap_or(0);
        let tokens = u32::try_from(events).unwrap_or(u32::MAX);
        self.attempts.finish(tokens, !self.events.is_error());
    }

    async fn interrupt(&mut self, err: engine::Error) -> Bytes {
        self.closed = true;
        self.attempts.fail(&self.server, err).await;
        let refusal = self.attempts.end().await;
        self.attempts.runner.counters.refusal(refusal.code);
        refusal.event()
    }
}

/// Passes on a response that is too large to be read completely first.
fn pass_through<R: StateMachine, N: Peers>(
    attempts: Attempts<R, N>,
    server: Server,
    head: Bytes,
    answer: Answer,
) -> Reply {
    attempts.flight.first_byte();
    let mut reply = attempts.reply(
        answer.status(),
        answer.headers().clone(),
        Body::Full(Bytes::new()),
    );
    let failed = answer.status().is_server_error();
    let state = Some((attempts, server, answer));
    let rest = stream::unfold(state, move |state| async move {
        let (mut attempts, server, mut answer) = state?;
        match answer.chunk().await {
            Ok(Some(chunk)) => Some((Ok(chunk), Some((attempts, server, answer)))),
            Ok(None) => {
                attempts.finish(0, !failed);
                None
            }
            Err(e) => {
                attempts.delivered = Some(0);
                attempts.runner.counters.refusal(e.code());
                let cut = io::Error::other(e.to_string());
                attempts.fail(&server, e).await;
                Some((Err(cut), None))
            }
        }
    });
    let first = stream::iter([Ok(head)]);
    reply.body = Body::Stream(first.chain(rest).boxed());
    reply
}
