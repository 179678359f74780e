//! The closed set of counters.

use std::fmt;

use crate::request::Reason;

macro_rules! counters {
    ($($(#[$doc:meta])* $variant:ident = $name:literal;)*) => {
        /// What a daemon counts; `docs/operators.md` lists the names.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum Counter {
            $($(#[$doc])* $variant,)*
            /// Requests that this daemon refused or failed, by reason.
            Refused(Reason),
        }

        const PLAIN: &[(Counter, &str)] = &[$((Counter::$variant, $name),)*];

        impl Counter {
            /// Position among [`Counter::all`].
            pub(super) fn index(self) -> usize {
                match self {
                    $(Self::$variant => Plain::$variant as usize,)*
                    Self::Refused(reason) => PLAIN.len() + reason as usize,
                }
            }
        }

        /// The counters without a parameter, for their positions.
        enum Plain {
            $($variant,)*
        }
    };
}

counters! {
    /// Requests that arrived from outside callers.
    CallerRequests = "requests.caller";
    /// Calls that arrived from the local upstream.
    UpstreamCalls = "requests.upstream";
    /// Requests that arrived from other daemons.
    PeerRequests = "requests.peer";
    /// Requests sent to another daemon.
    Forwarded = "forwarded.peer";
    /// Requests handed to the local upstream.
    Handed = "forwarded.upstream";
    /// Whole answers given.
    WholeAnswers = "answers.whole";
    /// Answers that were cut short by a fault.
    TruncatedAnswers = "answers.truncated";
    /// Requests that the other side cancelled.
    Cancelled = "requests.cancelled";
    /// Retries that this daemon made.
    RetriesSpent = "retries.spent";
    /// Idempotency tokens issued.
    TokensIssued = "tokens.issued";
    /// Idempotency tokens used for the first time.
    TokensUsed = "tokens.used";
    /// Resends that were answered from a running or kept answer.
    TokensReplayed = "tokens.replayed";
    /// Heads, bodies and control messages that could not be read.
    MalformedInput = "input.malformed";
    /// Headers of ours that a caller or upstream sent, and that were stripped.
    StrippedHeaders = "input.stripped-headers";
    /// Peers that stopped answering.
    PeersLost = "peers.lost";
    /// Peers that answered again.
    PeersBack = "peers.back";
    /// Pauses of this process that were noticed.
    Pauses = "pauses";
}

impl Counter {
    /// Returns every counter.
    pub fn all() -> impl Iterator<Item = Self> {
        let refused = Reason::ALL.iter().map(|reason| Self::Refused(*reason));
        PLAIN.iter().map(|(counter, _)| *counter).chain(refused)
    }
}

impl fmt::Display for Counter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(reason) => write!(f, "refused.{reason}"),
            plain => f.write_str(PLAIN[plain.index()].1),
        }
    }
}
