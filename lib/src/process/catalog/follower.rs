//! Follows a catalog: reads it completely, then watches for changes.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use super::Catalog;
use super::CatalogError;
use super::Change;
use super::ChangeBatch;
use super::ConfigSnapshot;
use super::Page;
use super::Published;
use super::Revision;
use super::Roster;
use super::Topic;
use super::handover;
use crate::process::config::ActiveRules;
use crate::process::config::ConfigCounters;
use crate::process::config::ConfigHandle;
use crate::process::config::PeerReports;
use crate::process::config::VersionId;
use crate::process::config::VersionState;
use crate::process::log;
use crate::process::log::StateChange;
use crate::process::membership::VmList;

/// Longest time that one watch call waits for changes. If an answer is lost, changes
/// are missed for that long. 8,000 daemons with two watch calls each make 1,600 calls
/// a second, below the 2,000 that the platform's store can handle.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Time that an answer may take in addition to the requested wait.
const ANSWER_TIMEOUT_MARGIN: Duration = Duration::from_secs(3);
/// Delay after the first of several failures.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(100);
/// Longest delay after several failures. Once the catalog is back, a daemon has only
/// seconds to activate a new version.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(1);

/// Options for following a catalog.
#[derive(Debug)]
pub struct CatalogOptions {
    /// The catalog to follow.
    pub catalog: Arc<dyn Catalog>,
    /// Seed for the random part of retry delays.
    pub seed: u64,
}

/// Starts the tasks that follow a catalog.
pub fn spawn(options: CatalogOptions) -> ConfigHandle {
    let CatalogOptions { catalog, seed } = options;
    let counters = Arc::new(ConfigCounters::default());
    let (rules_tx, rules) = watch::channel(None);
    let (vms_tx, vms) = watch::channel(None);
    let (ready_tx, ready) = watch::channel(false);
    let (newest_reported_tx, newest_reported) = watch::channel(0);
    let (offers_tx, offers) = watch::channel(None);
    let client = |stream| {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(stream);
        CatalogClient { catalog: catalog.clone(), counters: counters.clone(), rng, failures: 0 }
    };
    let policy = PolicyFollower {
        client: client(0),
        holder: VersionState::default(),
        rules_tx,
        newest_reported,
        offers: offers.clone(),
    };
    let roster = RosterFollower { client: client(1), roster: Roster::default(), vms_tx, offers };
    let mut tasks = JoinSet::new();
    tasks.spawn(policy.run());
    tasks.spawn(roster.run());
    tasks.spawn(publish_readiness(rules.clone(), vms.clone(), ready_tx));
    ConfigHandle::new(
        rules,
        vms,
        ready,
        counters,
        PeerReports { newest_reported: newest_reported_tx, offers: offers_tx },
        tasks,
    )
}

/// Reports the configuration as ready once there are a policy and a list of VMs.
async fn publish_readiness(
    mut rules: watch::Receiver<Option<Arc<ActiveRules>>>,
    mut vms: watch::Receiver<Option<Arc<VmList>>>,
    ready: watch::Sender<bool>,
) {
    let has_rules = rules.wait_for(Option::is_some).await.is_ok();
    let has_vms = vms.wait_for(Option::is_some).await.is_ok();
    ready.send_replace(has_rules && has_vms);
    // Keeps the receivers, and with them their channels, for as long as the daemon runs.
    std::future::pending::<()>().await;
}

/// Makes calls to the catalog, counts failures and computes retry delays.
struct CatalogClient {
    catalog: Arc<dyn Catalog>,
    counters: Arc<ConfigCounters>,
    rng: ChaCha8Rng,
    /// Consecutive failures.
    failures: u32,
}

impl CatalogClient {
    /// Waits for the answer to a call that the platform may delay by `wait`, and
    /// records the result.
    async fn finish_call<T>(
        &mut self,
        topic: Topic,
        wait: Duration,
        answer: impl Future<Output = Result<T, CatalogError>>,
    ) -> Result<T, CatalogError> {
        self.counters.platform_calls.add_one();
        let result = timeout(wait + ANSWER_TIMEOUT_MARGIN, answer).await;
        let result = result.unwrap_or(Err(CatalogError::Timeout));
        match &result {
            Ok(_) => self.record_success(topic),
            Err(err) => self.record_failure(topic, err),
        }
        result
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
        // Discarded changes are not an outage: the catalog is read again at once.
        if matches!(err, CatalogError::ChangesDiscarded) {
            return;
        }
        if self.failures == 0 {
            let error = err.to_string();
            log::write(&StateChange::CatalogLost { topic, error });
        }
        self.failures = self.failures.saturating_add(1);
    }

    /// Waits for a random delay that doubles with each consecutive failure.
    async fn back_off(&mut self) {
        let Some(doublings) = self.failures.checked_sub(1) else { return };
        let longest = (RETRY_DELAY_MIN * (1 << doublings.min(8))).min(RETRY_DELAY_MAX);
        sleep(longest.mul_f64(self.rng.random_range(0.5..=1.0))).await;
    }
}

/// Follows the policy text and activates new versions.
struct PolicyFollower {
    client: CatalogClient,
    holder: VersionState,
    rules_tx: watch::Sender<Option<Arc<ActiveRules>>>,
    /// The newest version that another daemon has reported.
    newest_reported: watch::Receiver<u64>,
    /// Configurations received from other daemons.
    offers: watch::Receiver<Option<Arc<ConfigSnapshot>>>,
}

impl PolicyFollower {
    async fn run(mut self) {
        loop {
            let after = self.read().await;
            self.watch(after).await;
        }
    }

    /// Reads the text, with retries until a read succeeds.
    ///
    /// Meanwhile uses the text of another daemon if there is none yet.
    async fn read(&mut self) -> Revision {
        loop {
            let catalog = Arc::clone(&self.client.catalog);
            let has_no_rules = self.rules_tx.borrow().is_none();
            let attempt = async {
                let call = catalog.policy();
                let read = self.client.finish_call(Topic::Policy, Duration::ZERO, call).await;
                if read.is_err() {
                    self.client.back_off().await;
                }
                read
            };
            tokio::select! {
                read = attempt => {
                    if let Ok(batch) = read {
                        return self.apply_changes(batch);
                    }
                }
                snapshot = handover::next(&mut self.offers, has_no_rules) => self.apply_received(&snapshot),
            }
        }
    }

    fn apply_received(&mut self, snapshot: &ConfigSnapshot) {
        let read = self.client.catalog.read_text(&snapshot.text);
        self.apply_published(read);
    }

    /// Applies changes until some may have been missed or another daemon reports
    /// a newer version.
    async fn watch(&mut self, mut after: Revision) {
        loop {
            let catalog = Arc::clone(&self.client.catalog);
            let call = catalog.watch(Topic::Policy, after, WATCH_WAIT);
            let batch = tokio::select! {
                batch = self.client.finish_call(Topic::Policy, WATCH_WAIT, call) => batch,
                () = newer_version_reported(&mut self.newest_reported, &self.rules_tx) => return,
            };
            match batch {
                Ok(batch) => after = self.apply_changes(batch),
                Err(CatalogError::ChangesDiscarded) => return,
                Err(_) => self.client.back_off().await,
            }
        }
    }

    fn apply_changes(&mut self, batch: ChangeBatch) -> Revision {
        for change in batch.changes {
            match change {
                Change::Policy(read) => self.apply_published(read),
                Change::Written(..) | Change::Removed(..) => {}
            }
        }
        batch.revision
    }

    fn apply_published(&mut self, read: Result<Published, CatalogError>) {
        match read {
            Ok(published) => self.activate(published),
            Err(err) => {
                self.client.counters.refused.add_one();
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
        self.client.counters.accepted.add_one();
        self.rules_tx.send_replace(Some(Arc::new(ActiveRules { id, text, policy })));
        log::write(&StateChange::VersionInForce { of: "policy", version: id });
    }
}

/// Waits until another daemon has reported a version newer than the active one.
async fn newer_version_reported(
    newest_reported: &mut watch::Receiver<u64>,
    rules: &watch::Sender<Option<Arc<ActiveRules>>>,
) {
    let active = rules.borrow().as_ref().map_or(0, |rules| rules.version());
    if newest_reported.wait_for(|reported| *reported > active).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Follows the entries of VMs and publishes the list built from them.
struct RosterFollower {
    client: CatalogClient,
    roster: Roster,
    vms_tx: watch::Sender<Option<Arc<VmList>>>,
    /// Configurations received from other daemons.
    offers: watch::Receiver<Option<Arc<ConfigSnapshot>>>,
}

impl RosterFollower {
    async fn run(mut self) {
        loop {
            let after = self.read().await;
            self.watch(after).await;
        }
    }

    /// Reads all entries, with retries until a read succeeds.
    ///
    /// Meanwhile uses the list of another daemon if there is none yet.
    async fn read(&mut self) -> Revision {
        loop {
            let has_no_list = self.vms_tx.borrow().is_none();
            let attempt = async {
                let read = read_pages(&mut self.client).await;
                if read.is_err() {
                    self.client.back_off().await;
                }
                read
            };
            tokio::select! {
                read = attempt => {
                    if let Ok((pages, revision)) = read {
                        self.roster.replace(pages);
                        self.publish();
                        return revision;
                    }
                }
                snapshot = handover::next(&mut self.offers, has_no_list) => self.apply_received(&snapshot),
            }
        }
    }

    /// Publishes the list of another daemon, for use until the first read succeeds.
    fn apply_received(&mut self, snapshot: &ConfigSnapshot) {
        let list = self.roster.renumber(snapshot.vms.clone());
        self.vms_tx.send_replace(Some(Arc::new(list)));
    }

    /// Applies changes until some may have been missed.
    async fn watch(&mut self, mut after: Revision) {
        loop {
            let catalog = Arc::clone(&self.client.catalog);
            let call = catalog.watch(Topic::Vms, after, WATCH_WAIT);
            match self.client.finish_call(Topic::Vms, WATCH_WAIT, call).await {
                Ok(batch) => {
                    after = batch.revision;
                    let mut differs = false;
                    for change in batch.changes {
                        differs |= self.roster.apply(change);
                    }
                    if differs {
                        self.publish();
                    }
                }
                Err(CatalogError::ChangesDiscarded) => return,
                Err(_) => self.client.back_off().await,
            }
        }
    }

    fn publish(&mut self) {
        self.vms_tx.send_replace(Some(Arc::new(self.roster.build_list())));
    }
}

/// Reads all pages of entries.
///
/// Also returns the revision of the first page, after which changes are to be
/// watched: a later page may already contain some of them.
async fn read_pages(client: &mut CatalogClient) -> Result<(Vec<Page>, Revision), CatalogError> {
    let catalog = Arc::clone(&client.catalog);
    let mut pages: Vec<Page> = Vec::new();
    loop {
        let after = pages.last().and_then(|page| page.entries.last()).map(|(key, ..)| key);
        let call = catalog.page(after);
        let page = client.finish_call(Topic::Vms, Duration::ZERO, call).await?;
        let is_last = !page.has_more || page.entries.is_empty();
        pages.push(page);
        if is_last {
            let revision = pages[0].revision;
            return Ok((pages, revision));
        }
    }
}
