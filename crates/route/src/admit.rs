//! Admission of arriving requests.

use types::{Code, Deadline, Instant};

use crate::{
    crash::suspect::SuspectState,
    event::{Action, RoutingRequest, Target},
    queue::Rank,
    requests::{Phase, RequestEntry, ResponseProgress},
    retry_after::RETRY_AFTER,
    router::Router,
};

impl Router {
    pub(crate) fn arrive(&mut self, now: Instant, request: RoutingRequest, out: &mut Vec<Action>) {
        if self.requests.find(request.id).is_some() {
            return;
        }
        self.counts.arrived += 1;
        let id = request.id;
        match self.admit(now, request) {
            Ok(slot) => self.enqueue(now, slot, out),
            Err(code) => {
                self.counts.refuse(code);
                let retry_after = code.is_retryable().then_some(RETRY_AFTER);
                out.push(Action::Refuse {
                    id,
                    code,
                    retry_after,
                });
            }
        }
    }

    /// Resolves the names in a request and adds it to the request table.
    fn admit(&mut self, now: Instant, request: RoutingRequest) -> Result<u32, Code> {
        let names = self.names.as_ref().ok_or(Code::NotReady)?;
        let service = names
            .service(&request.service)
            .ok_or(Code::UnknownService)?;
        let (model, adapter) = match &request.target {
            Target::Plain => (None, None),
            Target::Model { model, adapter } => {
                let model = names.model(model).ok_or(Code::UnknownModel)?;
                let adapter = adapter.as_ref().map(|a| names.adapter(a));
                (
                    Some(model),
                    adapter.map(|a| a.ok_or(Code::UnknownModel)).transpose()?,
                )
            }
        };
        if self.suspect_state(&request, now) == Some(SuspectState::Confirmed) {
            return Err(Code::CrashingRequest);
        }
        if let Some(code) = self.suspect_refusal(now, &request) {
            return Err(code);
        }
        if request.deadline.is_past(now) {
            return Err(Code::DeadlineUnreachable);
        }
        self.seq += 1;
        let rank = self.rank(&request);
        Ok(self.requests.insert(RequestEntry {
            service,
            model,
            adapter,
            rank,
            phase: Phase::Queued,
            stalled: None,
            attempts: 0,
            ran: Vec::new(),
            tried: Vec::new(),
            response: ResponseProgress::default(),
            may_have_run: false,
            retry: None,
            as_suspect: false,
            trial: None,
            withdrawn: None,
            no_forward: request.forwarded,
            forward_rounds: 0,
            tried_dcs: Vec::new(),
            denials: 0,
            not_before: Deadline::at(Instant::ZERO),
            dispatched: now,
            baseline: 0.0,
            expected: 0.0,
            prefill_seconds: 0.0,
            request,
        }))
    }

    fn rank(&self, request: &RoutingRequest) -> Rank {
        if self.cfg.ordered_queue {
            Rank {
                priority: request.priority,
                deadline: request.deadline,
                seq: self.seq,
            }
        } else {
            Rank {
                priority: config::Priority::default(),
                deadline: Deadline::NEVER,
                seq: self.seq,
            }
        }
    }
}
