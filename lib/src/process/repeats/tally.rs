//! Sums of what the account of repeats has counted, for operators.

use std::fmt;

use crate::process::metrics::Counter;
use crate::request::Repeat;

/// How a request comes to be sent to the local upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arrival {
    /// For the first time.
    First,
    /// Again, after the upstream refused it.
    Resent,
    /// Again, by the word of the daemon that sent it.
    SentElsewhere,
    /// As a call made by a run that was a repeat.
    Inherited,
}

impl Arrival {
    /// Returns the arrival of a request with this mark.
    pub fn of(mark: Option<Repeat>) -> Self {
        match mark {
            None => Self::First,
            Some(Repeat::Own) => Self::SentElsewhere,
            Some(Repeat::Inherited) => Self::Inherited,
        }
    }

    /// Returns the counter of arrivals that were sent to the upstream.
    pub(crate) fn counter(self) -> Counter {
        match self {
            Self::First => Counter::FirstArrivals,
            Self::Resent => Counter::RepeatsResent,
            Self::SentElsewhere => Counter::RepeatsSentElsewhere,
            Self::Inherited => Counter::RepeatsInherited,
        }
    }
}

/// What an account has counted since the last report.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RepeatTally {
    first: u64,
    resent: u64,
    sent_elsewhere: u64,
    inherited: u64,
    denied: u64,
}

impl RepeatTally {
    pub(super) fn record_sent(&mut self, arrival: Arrival) {
        *match arrival {
            Arrival::First => &mut self.first,
            Arrival::Resent => &mut self.resent,
            Arrival::SentElsewhere => &mut self.sent_elsewhere,
            Arrival::Inherited => &mut self.inherited,
        } += 1;
    }

    pub(super) fn record_denied(&mut self) {
        self.denied += 1;
    }

    /// Whether no repeat was requested.
    pub fn has_no_repeats(&self) -> bool {
        self.resent + self.sent_elsewhere + self.inherited + self.denied == 0
    }
}

impl fmt::Display for RepeatTally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { first, resent, sent_elsewhere, inherited, denied } = self;
        write!(
            f,
            "first={first} resent={resent} sent_elsewhere={sent_elsewhere} \
             inherited={inherited} denied={denied}"
        )
    }
}
