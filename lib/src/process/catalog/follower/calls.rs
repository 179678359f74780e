//! Calls to the catalog, and the choice between it and its readers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::process::catalog::Catalog;
use crate::process::catalog::CatalogError;
use crate::process::catalog::Change;
use crate::process::catalog::ChangeBatch;
use crate::process::catalog::LearnedBy;
use crate::process::catalog::News;
use crate::process::catalog::Revision;
use crate::process::catalog::Topic;
use crate::process::catalog::Watermark;
use crate::process::catalog::relay::Polled;
use crate::process::catalog::relay::ReadRole;
use crate::process::catalog::relay::RelayClient;
use crate::process::catalog::relay::RelayError;
use crate::process::catalog::relay::RelayState;
use crate::process::catalog::relay::Source;
use crate::process::catalog::relay::SourceCursor;
use crate::process::clock::boot_time;
use crate::process::config::ConfigCounters;
use crate::process::log;
use crate::process::log::StateChange;

/// Longest time that a daemon may not notice that its call is never answered.
///
/// A call that was sent while the catalog is silent looks like one that waits for changes.
/// The tightest deployment binds a daemon again 3 s after an outage, and then allows 2 s
/// for a change to take effect. See `docs/design/relays.md`.
const SILENCE_MAX: Duration = Duration::from_millis(4500);
/// Time that an answer may take in addition to the requested wait.
const ANSWER_TIMEOUT_MARGIN: Duration = Duration::from_millis(1400);
/// The same for every [`SLOW_PROBE_INTERVAL`]th call after a failure, so that a catalog
/// that is slow but not silent is read.
const SLOW_PROBE_MARGIN: Duration = Duration::from_secs(3);
/// One of so many calls after a failure may take longer.
const SLOW_PROBE_INTERVAL: u32 = 3;
/// Longest time that one watch call waits for changes.
const WATCH_WAIT: Duration = SILENCE_MAX.saturating_sub(ANSWER_TIMEOUT_MARGIN);
/// Shortest wait, as a share of the longest. Daemons that start together would otherwise
/// watch in step.
const WATCH_WAIT_SHARE_MIN: f64 = 0.9;
/// The same as a part of the bound on the withdrawal of keys. Two such waits lie between a call
/// and the answer to the next one.
const WITHDRAWAL_WATCH_PARTS: u32 = 6;
/// Wait of the calls after a failure, until one succeeds.
const PROBE_WAIT: Duration = Duration::from_millis(100);
/// Delay after the first of several failures.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(100);
/// Longest delay after several failures. Once the catalog is back, a daemon has only
/// seconds to activate a new version.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(1);

/// Makes calls to the catalog, counts failures and computes retry delays.
pub(super) struct CatalogCalls {
    catalog: Arc<dyn Catalog>,
    counters: Arc<ConfigCounters>,
    rng: ChaCha8Rng,
    /// Consecutive failures.
    failures: u32,
}

impl CatalogCalls {
    /// Creates a client that has made no calls yet.
    pub(super) fn new(
        catalog: Arc<dyn Catalog>,
        counters: Arc<ConfigCounters>,
        rng: ChaCha8Rng,
    ) -> Self {
        Self { catalog, counters, rng, failures: 0 }
    }

    /// Returns the catalog, whose calls are to be awaited with [`Self::finish`].
    pub(super) fn catalog(&self) -> Arc<dyn Catalog> {
        Arc::clone(&self.catalog)
    }

    /// Returns the counters of this daemon's configuration.
    pub(super) fn counters(&self) -> &ConfigCounters {
        &self.counters
    }

    /// Logs and counts that a topic has been read in another era than before.
    pub(super) fn record_era(&self, topic: Topic, from: Revision, to: Revision) {
        if from != Revision::default() && from.era != to.era {
            self.counters.eras.add_one();
            log::write(&StateChange::CatalogEra { topic, from, to });
        }
    }

    /// Waits for the answer to a call that the platform may delay by `wait`, and
    /// records the result.
    pub(super) async fn finish<T>(
        &mut self,
        topic: Topic,
        wait: Duration,
        answer: impl Future<Output = Result<T, CatalogError>>,
    ) -> Result<T, CatalogError> {
        self.counters.platform_calls.add_one();
        let result = timeout(wait + self.answer_margin(), answer).await;
        let result = result.unwrap_or(Err(CatalogError::Timeout));
        match &result {
            Ok(_) => self.record_success(topic),
            Err(err) => self.record_failure(topic, err),
        }
        result
    }

    /// Returns how long the next watch call waits for changes, `longest` at most.
    ///
    /// Load pattern: the catalog is silent for some seconds and then serves again. A call
    /// that was sent during the outage is never answered, so calls are short until one is.
    pub(super) fn watch_wait(&mut self, longest: Duration) -> Duration {
        match self.failures {
            0 => longest.mul_f64(self.rng.random_range(WATCH_WAIT_SHARE_MIN..=1.0)),
            _ => PROBE_WAIT,
        }
    }

    fn answer_margin(&self) -> Duration {
        match self.failures > 0 && self.failures.is_multiple_of(SLOW_PROBE_INTERVAL) {
            true => SLOW_PROBE_MARGIN,
            false => ANSWER_TIMEOUT_MARGIN,
        }
    }

    fn record_success(&mut self, topic: Topic) {
        if self.failures > 0 {
            let failures = self.failures;
            log::write(&StateChange::CatalogBack { topic, failures });
        }
        self.failures = 0;
    }

    fn record_failure(&mut self, topic: Topic, err: &CatalogError) {
        self.counters.platform_failures.add_one();
        if matches!(err, CatalogError::EarlierEra { .. }) {
            self.counters.earlier_era_answers.add_one();
        }
        if matches!(err, CatalogError::ChangesTooLong) {
            spdlog::warn!("event=changes-too-long topic={topic}");
        }
        // Changes that cannot be had are not an outage: the catalog is read again at once.
        if err.requires_read() {
            return;
        }
        if self.failures == 0 {
            let error = err.to_string();
            log::write(&StateChange::CatalogLost { topic, error });
        }
        self.failures = self.failures.saturating_add(1);
    }

    /// Waits for a random delay that doubles with each consecutive failure.
    pub(super) async fn back_off(&mut self) {
        let Some(doublings) = self.failures.checked_sub(1) else { return };
        let longest = (RETRY_DELAY_MIN * (1 << doublings.min(8))).min(RETRY_DELAY_MAX);
        sleep(longest.mul_f64(self.rng.random_range(0.5..=1.0))).await;
    }
}

/// Source of the changes to one topic: the catalog, or a daemon that reads it.
pub(super) struct ChangeSource {
    pub(super) calls: CatalogCalls,
    pub(super) relay: RelayClient,
    pub(super) cursor: SourceCursor,
    /// Time up to which the catalog itself has told this daemon all changes.
    pub(super) watermark: Watermark,
    /// Whether the last poll of a reader failed.
    pub(super) is_reader_lost: bool,
    /// Role of this daemon by the latest list of VMs.
    pub(super) role: watch::Receiver<ReadRole>,
    /// What this daemon passes on while it is a reader.
    pub(super) state: Arc<RelayState>,
    /// Bound on the withdrawal of keys, if there is one.
    pub(super) withdrawal: Option<Duration>,
}

impl ChangeSource {
    /// Waits for changes after a revision.
    ///
    /// # Errors
    ///
    /// Fails with an error that [`CatalogError::requires_read`] if the topic must be read
    /// completely. After other errors the next call may use another source.
    pub(super) async fn watch(
        &mut self,
        topic: Topic,
        after: Revision,
    ) -> Result<Watched, CatalogError> {
        let role = self.role.borrow_and_update().clone();
        let source = self.cursor.current(&role);
        let watched = match source {
            Source::Catalog => self.watch_catalog(topic, after, role == ReadRole::Reader).await,
            Source::Relay(reader) => {
                self.state.stop_reading(topic);
                match self.relay.poll(reader, topic, after).await {
                    Ok(Polled { changes, revision, as_of, since }) => {
                        self.is_reader_lost = false;
                        let catalog = self.calls.catalog();
                        let changes = changes
                            .into_iter()
                            .map(|change| change.into_change(|text| catalog.read_text(text)));
                        Ok(Watched {
                            batch: ChangeBatch { changes: changes.collect(), revision },
                            source,
                            as_of,
                            since,
                        })
                    }
                    Err(RelayError::ChangesDiscarded) => Err(CatalogError::ChangesDiscarded),
                    Err(err) => {
                        self.log_reader_lost(topic, reader, &err);
                        Err(CatalogError::Relay)
                    }
                }
            }
        };
        match &watched {
            Ok(_) => self.cursor.record_success(source),
            Err(err) if err.requires_read() => self.cursor.record_success(source),
            Err(_) => self.cursor.record_failure(source),
        }
        watched
    }

    /// Logs a failed poll, but not again before a poll has succeeded.
    fn log_reader_lost(&mut self, topic: Topic, reader: SocketAddr, err: &RelayError) {
        if !self.is_reader_lost {
            self.is_reader_lost = true;
            spdlog::info!("event=reader-lost of={topic} reader={reader} error={err:?}");
        }
    }

    async fn watch_catalog(
        &mut self,
        topic: Topic,
        after: Revision,
        is_reader: bool,
    ) -> Result<Watched, CatalogError> {
        let catalog = self.calls.catalog();
        let longest = match (topic, self.withdrawal) {
            (Topic::Policy, Some(bound)) => WATCH_WAIT.min(bound / WITHDRAWAL_WATCH_PARTS),
            _ => WATCH_WAIT,
        };
        let wait = self.calls.watch_wait(longest);
        let asked_at = boot_time();
        let call = catalog.watch(topic, after, wait);
        let batch = self.calls.finish(topic, wait, call).await;
        let answered_at = boot_time();
        let batch = match batch {
            Ok(batch) => batch,
            Err(err) => {
                match err.requires_read() {
                    true => self.watermark.record_discarded(asked_at, answered_at),
                    false => self.state.stop_reading(topic),
                }
                return Err(err);
            }
        };
        let since = self.watermark.record_watch(asked_at, answered_at);
        if is_reader {
            self.state.record_changes(topic, after, &batch, asked_at, since);
        }
        Ok(Watched { batch, source: Source::Catalog, as_of: Some(asked_at), since: Some(since) })
    }
}

/// Changes, and where they came from.
pub(super) struct Watched {
    pub(super) batch: ChangeBatch,
    pub(super) source: Source,
    /// Time at which the changes were surely complete, by [`boot_time`], if it is known.
    pub(super) as_of: Option<Duration>,
    /// Earliest time at which the changes may have been confirmed, by [`boot_time`], if it is
    /// known.
    pub(super) since: Option<Duration>,
}

impl Watched {
    /// Whether the catalog itself has reported changes.
    pub(super) fn is_change_of_catalog(&self) -> bool {
        self.source == Source::Catalog && !self.batch.changes.is_empty()
    }

    /// Returns what is known of the time of the changes.
    pub(super) fn news(&self) -> News {
        let by = match self.source {
            Source::Catalog => LearnedBy::Watch,
            Source::Relay(_) => LearnedBy::Reader,
        };
        News { since: self.since.unwrap_or_default(), by }
    }

    /// Returns the changes in the order of their revisions.
    pub(super) fn into_changes(self) -> Vec<Change> {
        self.batch.changes
    }
}
