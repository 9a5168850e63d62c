//! What a client asked, as far as it goes on to a backend, and the time that it has.

use crate::time::budget::Budget;
use crate::wire::body::Upload;
use bytes::Bytes;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// What a client asked, as far as it goes on to a backend.
#[derive(Clone)]
pub struct Message<A> {
    /// All but the body.
    pub ask: A,
    /// The body, or the start of a long one.
    pub body: Bytes,
    /// The rest of a long one.
    pub rest: Option<Rc<Upload>>,
    /// What its client has left.
    pub budget: Budget,
}

impl<A> Message<A> {
    /// Whether some of its body is gone.
    pub fn is_spent(&self) -> bool {
        self.rest.as_ref().is_some_and(|rest| rest.is_drawn())
    }

    /// How long an answer has been waited for that was asked for at this time or, if the request was whole only
    /// later, since then.
    pub fn waited(&self, begun: Instant) -> Duration {
        let whole = self.rest.as_ref().map_or(Some(begun), |rest| rest.over_at());
        whole.map_or(Duration::ZERO, |at| at.max(begun).elapsed())
    }

    /// Waits until its budget is used up, or so much of it as is given, and the grace after that. The time of a long
    /// body begins with its last byte.
    pub async fn expires(&self, most: Option<Duration>, grace: Duration) {
        match &self.rest {
            Some(rest) => tokio::select! {
                at = rest.ended() => {
                    let span = self.budget.span();
                    sleep_until(at + most.map_or(span, |most| most.min(span)) + grace).await;
                }
                () = rest.stalls() => {}
            },
            None => sleep_until(self.ends(most) + grace).await,
        }
    }

    /// When an attempt that begins now and may take so long has to be over.
    pub fn ends(&self, most: Option<Duration>) -> Instant {
        let end = self.budget.answer_by();
        most.map_or(end, |most| end.min(Instant::now() + most))
    }
}
