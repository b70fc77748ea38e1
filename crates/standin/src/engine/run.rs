//! Generation: slots, plain answers and streams.

use std::time::Duration;

use bytes::Bytes;
use futures::{StreamExt, stream};
use serde_json::{Value, json};
use tokio::time::sleep;

use super::{Engine, state::Past};
use crate::{
    answer,
    backend::{self, AnswerFaults, Run},
    http::{Answer, Body, Call},
};

/// Streams that can still be resumed.
const RESUMABLE: usize = 256;

/// Place of a request in the engine; dropping it frees the slot.
struct Slot {
    engine: Engine,
    ticket: (i64, u64),
    running: bool,
}

impl Slot {
    /// Waits for a free slot, lower priority numbers first.
    async fn acquire(engine: &Engine, priority: i64) -> Self {
        let mut slot = {
            let mut state = engine.lock();
            let last = state.waiting.iter().map(|(_, number)| *number).max();
            let ticket = (priority, last.unwrap_or_default() + 1);
            state.waiting.push(ticket);
            Self {
                engine: engine.clone(),
                ticket,
                running: false,
            }
        };
        loop {
            let freed = engine.freed.notified();
            tokio::pin!(freed);
            freed.as_mut().enable();
            if slot.try_run() {
                return slot;
            }
            freed.await;
        }
    }

    fn try_run(&mut self) -> bool {
        let mut state = self.engine.lock();
        let first = state.waiting.iter().min().copied();
        if first != Some(self.ticket) || state.in_flight >= state.knobs.slots {
            return false;
        }
        state.waiting.retain(|ticket| *ticket != self.ticket);
        state.in_flight += 1;
        state.counts.max_in_flight = state.counts.max_in_flight.max(state.in_flight);
        self.running = true;
        drop(state);
        self.engine.freed.notify_waiters();
        true
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.engine.lock();
        if self.running {
            state.in_flight -= 1;
        } else {
            state.waiting.retain(|ticket| *ticket != self.ticket);
        }
        drop(state);
        self.engine.freed.notify_waiters();
    }
}

/// What is generated.
#[derive(Clone)]
struct Job {
    id: String,
    model: String,
    prompt: String,
    tokens: usize,
    chat: bool,
    pace: Duration,
}

impl Job {
    fn object(&self, stream: bool) -> &'static str {
        match (self.chat, stream) {
            (true, true) => "chat.completion.chunk",
            (true, false) => "chat.completion",
            (false, _) => "text_completion",
        }
    }

    /// Returns one event of the stream; the one after the last token carries the reason of the end.
    fn event(&self, index: usize) -> String {
        let end = index == self.tokens;
        let text = if end {
            String::new()
        } else {
            answer::token(&self.prompt, index)
        };
        let reason = end.then_some("stop");
        let choice = if self.chat {
            json!({"index": 0, "delta": {"content": text}, "finish_reason": reason})
        } else {
            json!({"index": 0, "text": text, "finish_reason": reason})
        };
        let event = json!({"id": self.id, "object": self.object(true), "model": self.model,
            "choices": [choice]});
        format!("data: {event}\n\n")
    }

    fn whole(&self) -> Value {
        let text = answer::text(&self.prompt, self.tokens);
        let choice = if self.chat {
            json!({"index": 0, "message": {"role": "assistant", "content": text},
                "finish_reason": "stop"})
        } else {
            json!({"index": 0, "text": text, "finish_reason": "stop"})
        };
        json!({"id": self.id, "object": self.object(false), "model": self.model,
            "choices": [choice], "usage": {"completion_tokens": self.tokens}})
    }

    /// Streams the events from one on, and then the end marker.
    fn stream(self, from: usize, slot: Slot, run: Run) -> Answer {
        let held = Some((slot, run));
        let events = stream::unfold((self, from, held), |(job, index, held)| async move {
            let held = held?;
            if index > job.tokens {
                held.1.end();
                return Some((Ok(Bytes::from("data: [DONE]\n\n")), (job, index, None)));
            }
            sleep(job.pace).await;
            let event = job.event(index);
            Some((Ok(Bytes::from(event)), (job, index + 1, Some(held))))
        });
        Answer::new(200, Body::Stream(events.boxed())).with("content-type", "text/event-stream")
    }
}

/// Returns the text that a request asks about.
fn prompt(body: &Value, chat: bool) -> String {
    if !chat {
        return body["prompt"].as_str().unwrap_or_default().to_owned();
    }
    let messages = body["messages"].as_array().map_or(&[][..], Vec::as_slice);
    let texts = messages.iter().filter_map(|m| m["content"].as_str());
    texts.collect::<Vec<_>>().join("\n")
}

impl Engine {
    fn job(&self, id: &str, body: &Value, prompt: String, chat: bool) -> Job {
        let state = self.lock();
        let asked = body["max_tokens"]
            .as_u64()
            .and_then(|n| usize::try_from(n).ok());
        Job {
            id: id.to_owned(),
            model: body["model"].as_str().unwrap_or_default().to_owned(),
            prompt,
            tokens: asked.unwrap_or(state.knobs.tokens),
            chat,
            pace: Duration::from_micros(state.knobs.token_us),
        }
    }

    /// Refuses a request that is not going to run.
    fn refuse(&self, model: &str) -> Option<Answer> {
        let mut state = self.lock();
        if state.knobs.faults.leaving {
            return Some(backend::leaving());
        }
        if backend::take(&mut state.knobs.faults.refusals) {
            return Some(backend::refusal());
        }
        let held = state.holds(model);
        (!held).then(|| Answer::error(404, "the model is not resident"))
    }

    pub(super) async fn generate(&self, call: &Call, chat: bool) -> (Answer, AnswerFaults) {
        let body = call.json();
        let model = body["model"].as_str().unwrap_or_default();
        if let Some(refusal) = self.refuse(model) {
            return (refusal, AnswerFaults::default());
        }
        let slot = Slot::acquire(self, body["priority"].as_i64().unwrap_or_default()).await;
        let text = prompt(&body, chat);
        let (poison, answer_faults, prefill) = {
            let mut state = self.lock();
            let prefill = state.knobs.prefill_ms;
            let faults = &mut state.knobs.faults;
            (faults.poison.clone(), faults.take_for_answer(), prefill)
        };
        let run = self.runs.start(call, &text, &poison);
        self.publish_prefix(&text);
        sleep(Duration::from_millis(prefill)).await;
        let id = backend::request_id(call);
        let job = self.job(&id, &body, text.clone(), chat);
        if body["stream"] == true {
            self.remember(Past {
                id,
                prompt: text,
                body,
                chat,
            });
            return (job.stream(0, slot, run), answer_faults);
        }
        let steps = u32::try_from(job.tokens).unwrap_or(u32::MAX);
        sleep(job.pace * steps).await;
        run.end();
        drop(slot);
        (Answer::json(200, job.whole()), answer_faults)
    }

    fn remember(&self, past: Past) {
        let mut state = self.lock();
        state.past.push(past);
        if state.past.len() > RESUMABLE {
            state.past.remove(0);
        }
    }

    pub(super) async fn resume(&self, call: &Call, id: &str) -> Answer {
        let from = call.query("from").and_then(|n| n.parse().ok());
        let known = {
            let state = self.lock();
            let found = state.past.iter().find(|past| past.id == id).cloned();
            found.filter(|_| state.knobs.resume)
        };
        let (Some(past), Some(from)) = (known, from) else {
            return Answer::error(404, "no stream to resume");
        };
        self.lock().counts.resumes += 1;
        let slot = Slot::acquire(self, 0).await;
        let run = self.runs.start(call, &past.prompt, "");
        self.job(id, &past.body, past.prompt, past.chat)
            .stream(from, slot, run)
    }
}
