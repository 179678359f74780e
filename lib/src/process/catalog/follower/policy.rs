//! Follows the policy text and activates new versions.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::sleep;

use super::calls::ChangeSource;
use crate::process::catalog::CatalogError;
use crate::process::catalog::Change;
use crate::process::catalog::ConfigSnapshot;
use crate::process::catalog::Published;
use crate::process::catalog::Revision;
use crate::process::catalog::Topic;
use crate::process::catalog::handover;
use crate::process::clock::boot_time;
use crate::process::config::ActiveRules;
use crate::process::config::VersionId;
use crate::process::config::VersionState;
use crate::process::customers::Confirmation;
use crate::process::log;
use crate::process::log::StateChange;

/// Time that a version which another daemon has reported may take to arrive by the
/// watch. Without it, each request that is faster than the watch would cost a call to
/// the catalog.
const REPORT_GRACE: Duration = Duration::from_millis(250);

/// Follows the policy text and activates new versions.
pub(super) struct PolicyFollower {
    pub(super) source: ChangeSource,
    pub(super) holder: VersionState,
    pub(super) rules_tx: watch::Sender<Option<Arc<ActiveRules>>>,
    /// The newest version that another daemon has reported.
    pub(super) newest_reported: watch::Receiver<u64>,
    /// Configurations received from other daemons.
    pub(super) offers: watch::Receiver<Option<Arc<ConfigSnapshot>>>,
    pub(super) confirmation: Arc<Mutex<Confirmation>>,
    /// Whether the latest text cannot be used, so that the version in force is not the newest.
    pub(super) is_unreadable: bool,
}

impl PolicyFollower {
    /// Reads the policy, then watches it; never returns.
    pub(super) async fn run(mut self) {
        let mut before = Revision::default();
        loop {
            let after = self.read().await;
            self.source.calls.record_era(Topic::Policy, before, after);
            before = self.watch(after).await;
        }
    }

    /// Reads the text, with retries until a read succeeds.
    ///
    /// Meanwhile uses the text of another daemon if there is none yet.
    async fn read(&mut self) -> Revision {
        loop {
            let catalog = self.source.calls.catalog();
            let has_no_rules = self.rules_tx.borrow().is_none();
            let asked_at = boot_time();
            let attempt = async {
                let call = catalog.policy();
                let read = self.source.calls.finish(Topic::Policy, Duration::ZERO, call).await;
                if read.is_err() {
                    self.source.calls.back_off().await;
                }
                read
            };
            tokio::select! {
                read = attempt => {
                    if let Ok(batch) = read {
                        self.source.state.record_policy(&batch, asked_at);
                        let revision = batch.revision;
                        self.apply(batch.changes);
                        self.confirm(Some(asked_at));
                        return revision;
                    }
                }
                snapshot = handover::next(&mut self.offers, has_no_rules) => self.apply_received(&snapshot),
            }
        }
    }

    fn apply_received(&mut self, snapshot: &ConfigSnapshot) {
        let read = self.source.calls.catalog().read_text(&snapshot.text);
        self.apply_published(read);
    }

    /// Applies changes until some may have been missed or another daemon reports
    /// a newer version. Returns the revision up to which they are complete.
    async fn watch(&mut self, mut after: Revision) -> Revision {
        loop {
            let watched = tokio::select! {
                watched = self.source.watch(Topic::Policy, after) => watched,
                () = newer_version_reported(&mut self.newest_reported, &self.rules_tx) => return after,
            };
            match watched {
                Ok(watched) => {
                    after = watched.batch.revision;
                    let as_of = watched.as_of;
                    self.apply(watched.into_changes());
                    self.confirm(as_of);
                }
                Err(err) if err.requires_read() => return after,
                Err(_) => self.source.calls.back_off().await,
            }
        }
    }

    fn apply(&mut self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Policy(read) => self.apply_published(read),
                Change::Written(..) | Change::Removed(..) => {}
            }
        }
    }

    /// Records that the version in force was the newest at a time.
    fn confirm(&self, as_of: Option<Duration>) {
        let version = self.rules_tx.borrow().as_ref().map(|rules| rules.version());
        if let (Some(version), Some(as_of), false) = (version, as_of, self.is_unreadable) {
            self.confirmation.lock().confirm(version, as_of);
        }
    }

    fn apply_published(&mut self, read: Result<Published, CatalogError>) {
        match read {
            Ok(published) => {
                self.is_unreadable = false;
                self.activate(published);
            }
            Err(err) => {
                self.is_unreadable = true;
                self.confirmation.lock().invalidate();
                self.source.calls.counters().refused.add_one();
                log::write(&StateChange::PolicyUnreadable { error: err.to_string() });
            }
        }
    }

    /// Makes a version the active one, unless the holder already has a newer one.
    fn activate(&mut self, published: Published) {
        let Published { number, text, policy } = published;
        let id = VersionId::of(number, &text);
        if !self.holder.accept(id) {
            return;
        }
        self.source.calls.counters().accepted.add_one();
        let customers = policy.customers();
        let (count, keys) = (customers.len(), customers.key_count());
        self.rules_tx.send_replace(Some(Arc::new(ActiveRules { id, text, policy })));
        log::write(&StateChange::VersionInForce { of: "policy", version: id });
        if count > 0 {
            log::write(&StateChange::CustomersInForce { customers: count, keys });
        }
    }
}

/// Waits until another daemon has reported a version newer than the active one, which
/// has not arrived within [`REPORT_GRACE`].
async fn newer_version_reported(
    newest_reported: &mut watch::Receiver<u64>,
    rules: &watch::Sender<Option<Arc<ActiveRules>>>,
) {
    let active = || rules.borrow().as_ref().map_or(0, |rules| rules.version());
    if newest_reported.wait_for(|reported| *reported > active()).await.is_err() {
        std::future::pending::<()>().await;
    }
    sleep(REPORT_GRACE).await;
}
