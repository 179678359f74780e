//! Selects the source of a daemon's next read.

use std::net::SocketAddr;

use super::ReadRole;

/// Where the next changes are requested.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The catalog itself.
    Catalog,
    /// The daemon at this control address, which reads the catalog.
    Relay(SocketAddr),
}

/// Position among the sources of one daemon.
///
/// Load pattern: readers that are paused, stopped or cut off from the catalog while
/// the catalog serves others, or while it serves nobody. A follower tries the readers
/// of its zone in turn and the catalog after the last one, so that it depends on no
/// reader. It returns to the readers after one call to the catalog, so that an outage
/// of all readers does not turn every daemon into a reader for good.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct SourceCursor {
    /// Readers that failed since the last success.
    failed: usize,
}

impl SourceCursor {
    /// Returns the source of the next read.
    pub fn current(self, role: &ReadRole) -> Source {
        match role {
            ReadRole::Reader => Source::Catalog,
            ReadRole::Follower { readers } => {
                readers.get(self.failed).map_or(Source::Catalog, |reader| Source::Relay(*reader))
            }
        }
    }

    /// Records that the current source answered.
    ///
    /// A reader that answered stays the source; after the catalog the readers are
    /// tried again.
    pub fn record_success(&mut self, source: Source) {
        if source == Source::Catalog {
            self.failed = 0;
        }
    }

    /// Records that the current source failed.
    pub fn record_failure(&mut self, source: Source) {
        match source {
            Source::Catalog => self.failed = 0,
            Source::Relay(_) => self.failed += 1,
        }
    }
}
