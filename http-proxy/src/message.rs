//! What a client asked, as far as it goes on to a backend, and the time that it has.

use crate::time::budget::Budget;
use crate::wire::body::Upload;
use bytes::Bytes;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// What a client asked, as far as it goes on to a backend.
#[derive(Clone)]
pub struct ForwardedRequest<H> {
    /// All but the body.
    pub head: H,
    /// The body, or the start of a long one.
    pub body: Bytes,
    /// The rest of a long one.
    pub rest: Option<Rc<Upload>>,
    /// What its client has left.
    pub budget: Budget,
}

impl<H> ForwardedRequest<H> {
    /// Whether some of its body is gone.
    pub fn is_body_consumed(&self) -> bool {
        self.rest.as_ref().is_some_and(|rest| rest.is_consumed())
    }

    /// How long an answer has been waited for that was asked for at this time or, if the request was whole only
    /// later, since then.
    pub fn answer_time(&self, begun: Instant) -> Duration {
        let whole = self.rest.as_ref().map_or(Some(begun), |rest| rest.ended_at());
        whole.map_or(Duration::ZERO, |at| at.max(begun).elapsed())
    }

    /// Waits until its budget is used up, or so much of it as is given, and the grace after that. The time of a long
    /// body begins with its last byte.
    pub async fn expired(&self, limit: Option<Duration>, grace: Duration) {
        match &self.rest {
            Some(rest) => tokio::select! {
                at = rest.wait_end() => {
                    let total = self.budget.total();
                    sleep_until(at + limit.map_or(total, |limit| limit.min(total)) + grace).await;
                }
                () = rest.wait_stalled() => {}
            },
            None => sleep_until(self.attempt_deadline(limit) + grace).await,
        }
    }

    /// When an attempt that begins now and may take so long has to be over.
    pub fn attempt_deadline(&self, limit: Option<Duration>) -> Instant {
        let end = self.budget.deadline();
        limit.map_or(end, |limit| end.min(Instant::now() + limit))
    }
}
