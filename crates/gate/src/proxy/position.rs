//! Position in an event stream, by which a response that continues it is recognized.

/// Steps between the ids of a stream's events.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Steps {
    /// No two events with numbers as ids were seen.
    #[default]
    Unknown,
    /// Each id was the number after the one before.
    One,
    /// An id was another one.
    Uneven,
}

/// Position after the last complete event that was forwarded.
#[derive(Clone, Debug, Default)]
pub(crate) struct Position {
    last: Option<String>,
    steps: Steps,
    /// Whether an event was forwarded.
    advanced: bool,
}

impl Position {
    /// Returns the position at which a caller wants the stream to continue.
    pub(crate) fn after(last_event_id: Option<String>) -> Self {
        Self {
            last: last_event_id,
            steps: Steps::Unknown,
            advanced: false,
        }
    }

    /// Returns the id of the last event, if it had one.
    pub(crate) fn last_event_id(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Returns whether another response can continue the stream: after an id, or from the start if no
    /// event was forwarded.
    pub(crate) fn is_resumable(&self) -> bool {
        self.last.is_some() || !self.advanced
    }

    /// Moves the position behind an event.
    pub(crate) fn advance(&mut self, id: Option<String>) {
        if let Some(last) = &self.last {
            let step = number(id.as_deref()).zip(number(Some(last)));
            let is_one = step.is_some_and(|(id, last)| last.checked_add(1) == Some(id));
            self.steps = match self.steps {
                Steps::Unknown | Steps::One if is_one => Steps::One,
                _ => Steps::Uneven,
            };
        }
        self.last = id;
        self.advanced = true;
    }

    /// Returns whether a stream may continue here with an event.
    ///
    /// Ids increase. If they were consecutive so far, another step means that an event is missing. Ids
    /// that are no numbers have no known order; only a repetition is recognized. Without an id, nothing
    /// shows where the event belongs.
    pub(crate) fn is_followed_by(&self, id: Option<&str>) -> bool {
        let Some(last) = self.last_event_id() else {
            return true;
        };
        match (number(id), number(Some(last))) {
            (Some(id), Some(last)) if self.steps == Steps::One => last.checked_add(1) == Some(id),
            (Some(id), Some(last)) => id > last,
            (None, None) => id.is_some_and(|id| id != last),
            _ => false,
        }
    }
}

fn number(id: Option<&str>) -> Option<u64> {
    id?.parse().ok()
}
