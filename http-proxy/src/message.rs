//! A client's request as the proxy forwards it to backends, with its time budget. An attempt is one transmission of the
//! request to one backend.

use crate::time::budget::Budget;
use crate::wire::body::Upload;
use bytes::Bytes;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// A client's request as the proxy forwards it to backends.
#[derive(Clone)]
pub struct ForwardedRequest<H> {
    /// The request without its body.
    pub head: H,
    /// The whole body, or the first bytes of a long body.
    pub body: Bytes,
    /// The rest of a long body, streamed from the client.
    pub rest: Option<Rc<Upload>>,
    /// The time budget of the request.
    pub budget: Budget,
}

impl<H> ForwardedRequest<H> {
    /// Whether an attempt has consumed part of the streamed body, so that the request cannot be sent again.
    pub fn is_body_consumed(&self) -> bool {
        self.rest.as_ref().is_some_and(|rest| rest.is_consumed())
    }

    /// How long an attempt that began at `started` has waited for its answer. The time starts when the request was
    /// received whole, if that was after `started`.
    pub fn answer_time(&self, started: Instant) -> Duration {
        let whole = self.rest.as_ref().map_or(Some(started), |rest| rest.ended_at());
        whole.map_or(Duration::ZERO, |at| at.max(started).elapsed())
    }

    /// Waits until the budget, or `limit` if that is shorter, plus `grace` has elapsed. For a streamed body the time
    /// starts with the last byte of the body; a stalled upload ends the wait as well.
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

    /// The deadline of an attempt that begins now and may take at most `limit`.
    pub fn attempt_deadline(&self, limit: Option<Duration>) -> Instant {
        let end = self.budget.deadline();
        limit.map_or(end, |limit| end.min(Instant::now() + limit))
    }
}
