//! The counters that a daemon keeps.

use std::fmt;

use crate::request::Reason;

macro_rules! counters {
    ($($(#[$doc:meta])* $variant:ident = $name:literal;)*) => {
        /// A counter of a daemon; `docs/operators.md` lists the metric names.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum Counter {
            $($(#[$doc])* $variant,)*
            /// Requests that this daemon refused or failed, by reason.
            Refused(Reason),
        }

        /// The counters without a parameter, with their metric names.
        const UNIT_COUNTERS: &[(Counter, &str)] = &[$((Counter::$variant, $name),)*];

        impl Counter {
            /// Returns the position of the counter in [`Counter::all`].
            pub(super) fn index(self) -> usize {
                match self {
                    $(Self::$variant => UnitCounter::$variant as usize,)*
                    Self::Refused(reason) => UNIT_COUNTERS.len() + reason as usize,
                }
            }
        }

        /// The counters without a parameter. The discriminants are their positions
        /// in [`Counter::all`].
        enum UnitCounter {
            $($variant,)*
        }
    };
}

counters! {
    /// Requests that arrived from outside callers.
    CallerRequests = "requests.caller";
    /// Calls to other services that arrived from the local upstream.
    UpstreamCalls = "requests.upstream";
    /// Requests for the local upstream, from other daemons or from this one.
    PeerRequests = "requests.peer";
    /// Requests sent to another daemon.
    ForwardedToPeer = "forwarded.peer";
    /// Requests sent to the local upstream.
    ForwardedToUpstream = "forwarded.upstream";
    /// Responses that were sent completely.
    CompleteResponses = "answers.whole";
    /// Responses that a failure cut short.
    TruncatedResponses = "answers.truncated";
    /// Requests whose sender went away before the response was complete.
    Cancelled = "requests.cancelled";
    /// Requests that the end of this daemon's stop cut off while an instance may have been
    /// running them.
    CutByStop = "requests.cut-by-stop";
    /// Further attempts that this daemon made at requests that failed or were refused.
    RetriesSpent = "retries.spent";
    /// Requests sent to the local upstream that had reached none before.
    FirstArrivals = "arrivals.first";
    /// Requests sent to the local upstream again after it had refused them.
    RepeatsResent = "repeats.resent";
    /// Requests sent to the local upstream that had reached another one before.
    RepeatsSentElsewhere = "repeats.sent-elsewhere";
    /// Calls sent to the local upstream that were made by a run that was a repeat.
    RepeatsInherited = "repeats.inherited";
    /// Repeats that were not sent to the local upstream, because they exceeded the limit.
    RepeatsDenied = "repeats.denied";
    /// Idempotency tokens issued.
    TokensIssued = "tokens.issued";
    /// Idempotency tokens used for the first time.
    TokensUsed = "tokens.used";
    /// Resent requests that were answered with the response to the first request
    /// under their token, in progress or kept.
    TokensReplayed = "tokens.replayed";
    /// Request heads, bodies and control messages that could not be parsed.
    MalformedInput = "input.malformed";
    /// Requests of callers and upstreams from which reserved `endivescale-` headers
    /// were removed.
    StrippedHeaders = "input.stripped-headers";
    /// Connections of callers that were ended because memory was short.
    ClientsCutForMemory = "clients.cut-for-memory";
    /// Connections of callers that were ended because there were too many.
    ClientsCutForConnections = "clients.cut-for-connections";
    /// Connections of callers that were ended because they stalled.
    ClientsCutStalled = "clients.cut-stalled";
    /// Times that a peer stopped responding.
    PeersLost = "peers.lost";
    /// Times that a lost peer responded again.
    PeersRecovered = "peers.back";
    /// Changes of the limit that the local upstream states for the rate of requests.
    RateLimitChanges = "rate-limit.changes";
    /// Crashes of the local upstream while it was running requests.
    UpstreamCrashes = "upstream.crashes";
    /// Contents that were banned because requests with them crash upstreams.
    ContentsBanned = "contents.banned";
    /// Log lines that were dropped because standard output did not take the ones before them.
    LogLinesDropped = "log.lines-dropped";
    /// Log lines whose write to standard output failed.
    LogLinesFailed = "log.lines-failed";
    /// Detected pauses of this process.
    Pauses = "pauses";
}

impl Counter {
    /// Returns every counter, those without a parameter first.
    pub fn all() -> impl Iterator<Item = Self> {
        let refused = Reason::ALL.iter().map(|reason| Self::Refused(*reason));
        UNIT_COUNTERS.iter().map(|(counter, _)| *counter).chain(refused)
    }
}

impl fmt::Display for Counter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(reason) => write!(f, "refused.{reason}"),
            counter => f.write_str(UNIT_COUNTERS[counter.index()].1),
        }
    }
}
