//! Counts one request towards the burn when it ends, however it ends.

use std::sync::Arc;

use http::StatusCode;
use tokio::time::Instant;

use crate::connection::body::BodyEnd;
use crate::connection::body::OnEnd;
use crate::process::ServiceName;
use crate::process::burn::Cause;
use crate::process::burn::Class;
use crate::process::burn::Ending;
use crate::process::burn::Fault;
use crate::process::burn::OTHER_SERVICE;
use crate::process::burn::Origin;
use crate::process::burn::Role;
use crate::process::node::Node;
use crate::request::Context;
use crate::request::Outcome;
use crate::request::Reason;
use crate::request::Refusal;
use crate::version::Criticality;

/// One request on its way to its end; dropped before, it counts as cancelled.
#[derive(Debug)]
pub(super) struct Measure {
    node: Arc<Node>,
    started: Instant,
    class: Class,
    weight: u32,
    /// What counts when the answer ends whole; `None` once it has been counted.
    on_whole: Option<OnWhole>,
}

#[derive(Clone, Copy, Debug)]
enum OnWhole {
    Answered,
    Failed(Cause),
}

impl Measure {
    /// Begins with a request of which only the role is known yet.
    pub(super) fn begin(node: &Arc<Node>, role: Role) -> Self {
        let service = ServiceName::from(OTHER_SERVICE);
        Self {
            node: Arc::clone(node),
            started: Instant::now(),
            class: Class { role, service, criticality: Criticality::Deferrable },
            weight: 1,
            on_whole: Some(OnWhole::Answered),
        }
    }

    /// Notes the class of the request.
    pub(super) fn classify(&mut self, service: &ServiceName, cx: &Context) {
        self.class.service = service.clone();
        self.class.criticality = cx.criticality;
        self.weight = cx.weight;
    }

    /// Notes that the answer is a refusal.
    ///
    /// The answer that hands out a token is the first half of a request that
    /// comes again under it, and is not measured.
    pub(super) fn refused(&mut self, refusal: &Refusal) {
        if refusal.reason == Reason::TokenRequired {
            self.on_whole = None;
            return;
        }
        self.on_whole = Some(OnWhole::Failed(Cause {
            fault: Fault::Refused(refusal.reason),
            outcome: refusal.outcome,
            origin: refusal.origin,
        }));
    }

    /// Notes the status of the upstream's own answer: an error of the upstream
    /// is whole but no correct answer.
    pub(super) fn answered(&mut self, status: StatusCode) {
        if status.is_server_error() {
            self.on_whole = Some(OnWhole::Failed(Cause {
                fault: Fault::Refused(Reason::UpstreamFailed),
                outcome: Outcome::Ran,
                origin: Origin::Below,
            }));
        }
    }

    /// Counts the request as answered, or as noted before.
    pub(super) fn finish(mut self) {
        self.on_end(BodyEnd::Whole);
    }

    fn record(&self, ending: Ending) {
        let now = self.node.clock.now();
        self.node.burn.lock().record(now, &self.class, self.weight, ending);
    }
}

impl OnEnd for Measure {
    fn on_end(&mut self, end: BodyEnd) {
        let Some(on_whole) = self.on_whole.take() else { return };
        self.record(match (end, on_whole) {
            // A refusal has been decided, whether or not it is read to its end.
            (_, OnWhole::Failed(cause)) => Ending::Failed(cause),
            (BodyEnd::Whole, OnWhole::Answered) => Ending::Whole(self.started.elapsed()),
            (BodyEnd::Failed, OnWhole::Answered) => Ending::Failed(TRUNCATED),
            (BodyEnd::Dropped, OnWhole::Answered) => Ending::Cancelled,
        });
    }
}

const TRUNCATED: Cause =
    Cause { fault: Fault::Truncated, outcome: Outcome::Ran, origin: Origin::Below };

impl Drop for Measure {
    fn drop(&mut self) {
        self.on_end(BodyEnd::Dropped);
    }
}
