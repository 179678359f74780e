//! Follows the entries of VMs and publishes the list built from them.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;
use parking_lot::Mutex;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::sleep;

use super::calls::CatalogCalls;
use super::calls::ChangeSource;
use super::calls::Watched;
use super::local_entry::LocalChanges;
use super::sources::SourceChoice;
use super::unused::UnusedEntries;
use crate::process::InstanceId;
use crate::process::catalog::CatalogError;
use crate::process::catalog::Change;
use crate::process::catalog::ConfigSnapshot;
use crate::process::catalog::LearnedBy;
use crate::process::catalog::LeaveTimes;
use crate::process::catalog::News;
use crate::process::catalog::Page;
use crate::process::catalog::Revision;
use crate::process::catalog::Roster;
use crate::process::catalog::Topic;
use crate::process::catalog::Watermark;
use crate::process::catalog::handover;
use crate::process::clock::Clock;
use crate::process::clock::boot_time;
use crate::process::log;
use crate::process::log::StateChange;
use crate::process::membership::Vm;
use crate::process::membership::VmList;
use crate::process::membership::VmState;

/// Pause after changes of entries, in which further ones gather at the catalog.
///
/// Load pattern: many instances start, leave or restart within seconds, and each
/// change would cost a call for each reader.
const GATHER_TIME: Duration = Duration::from_millis(300);

/// What is known of an entry that is no longer believed: it was removed some time before.
const EXPIRED: News = News { since: Duration::ZERO, by: LearnedBy::Expiry };

/// Follows the entries of VMs and publishes the list built from them.
pub(super) struct VmsFollower {
    pub(super) source: ChangeSource,
    pub(super) roster: Roster,
    pub(super) unused: UnusedEntries,
    /// Time since the start of the task.
    pub(super) clock: Clock,
    pub(super) vms_tx: watch::Sender<Option<Arc<VmList>>>,
    /// Configurations received from other daemons.
    pub(super) offers: watch::Receiver<Option<Arc<ConfigSnapshot>>>,
    pub(super) choice: SourceChoice,
    /// Instances at the local upstream's address that the list in force names as live.
    pub(super) live_here: IndexSet<InstanceId>,
    pub(super) leave_times: Arc<Mutex<LeaveTimes>>,
    /// Time up to which all changes are known that the list in force has.
    pub(super) known_until: Duration,
    /// Changes of the local upstream's entry.
    pub(super) local_changes: mpsc::Receiver<LocalChanges>,
}

enum Update {
    Watched(Result<Watched, CatalogError>),
    Local(LocalChanges),
    Expiry,
}

impl VmsFollower {
    /// Reads the entries, then watches them; never returns.
    pub(super) async fn run(mut self) {
        let mut before = Revision::default();
        loop {
            let after = self.read(before).await;
            self.source.calls.record_era(Topic::Vms, before, after);
            before = self.watch(after).await;
        }
    }

    /// Reads all entries, with retries until a read succeeds.
    ///
    /// Meanwhile uses the list of another daemon if there is none yet.
    async fn read(&mut self, complete: Revision) -> Revision {
        loop {
            self.roster.set_rules(self.choice.rules.borrow().clone());
            let has_no_list = self.vms_tx.borrow().is_none();
            let expiry = self.time_to_expiry();
            let sent_at = self.clock.now();
            let asked_at = boot_time();
            let attempt = async {
                let read = read_pages(&mut self.source.calls).await;
                let ended_at = self.clock.now();
                if read.is_err() {
                    self.source.calls.back_off().await;
                }
                (read, ended_at)
            };
            tokio::select! {
                (read, ended_at) = attempt => match read {
                    Ok((pages, revision)) => {
                        let now = self.clock.now();
                        let since = self.source.watermark.record_read(asked_at);
                        self.source.state.record_entries(&pages, revision);
                        self.roster.record_answer(now);
                        self.roster.replace(now, pages);
                        self.known_until = asked_at;
                        self.publish(revision, News { since, by: LearnedBy::Read });
                        self.expire(revision);
                        return revision;
                    }
                    Err(err) => self.roster.record_failure(sent_at, ended_at, &err),
                },
                () = sleep(expiry.unwrap_or_default()), if expiry.is_some() => self.expire(complete),
                snapshot = handover::next(&mut self.offers, has_no_list) => self.apply_received(&snapshot),
            }
        }
    }

    /// Publishes the list of another daemon, for use until the first read succeeds.
    fn apply_received(&mut self, snapshot: &ConfigSnapshot) {
        let list = self.roster.renumber(snapshot.vms.clone());
        self.vms_tx.send_replace(Some(Arc::new(list)));
    }

    /// Applies changes until some may have been missed. Returns the revision up to which
    /// they are complete.
    async fn watch(&mut self, mut after: Revision) -> Revision {
        loop {
            self.roster.set_rules(self.choice.rules.borrow().clone());
            let expiry = self.time_to_expiry();
            let sent_at = self.clock.now();
            let update = {
                let mut watching = pin!(self.source.watch(Topic::Vms, after));
                let mut expiring = pin!(sleep(expiry.unwrap_or_default()));
                loop {
                    tokio::select! {
                        watched = &mut watching => break Update::Watched(watched),
                        Some(changes) = self.local_changes.recv() => break Update::Local(changes),
                        () = &mut expiring, if expiry.is_some() => break Update::Expiry,
                        // The call goes on, since each costs the catalog.
                        () = self.choice.changed() => {
                            self.roster.set_rules(self.choice.rules.borrow().clone());
                            let watermark = Watermark::at(self.known_until);
                            self.choice.apply(&self.roster, after, watermark);
                            self.unused.report(self.clock.now(), &self.roster);
                        }
                    }
                }
            };
            match update {
                Update::Watched(Ok(watched)) => {
                    self.roster.record_answer(self.clock.now());
                    let before = std::mem::replace(&mut after, watched.batch.revision);
                    let gathers = watched.is_change_of_catalog();
                    let news = watched.news();
                    self.known_until = self.known_until.max(news.since);
                    match before.era < after.era {
                        true => self.begin_era(watched.into_changes(), news, before, after),
                        false => self.apply(watched.into_changes(), news, after),
                    }
                    self.roster.forget_removals(after);
                    if gathers {
                        let expiry = self.time_to_expiry().unwrap_or(GATHER_TIME);
                        sleep(GATHER_TIME.min(expiry)).await;
                    }
                }
                Update::Watched(Err(err)) if err.requires_read() => {
                    self.roster.record_answer(self.clock.now());
                    return after;
                }
                Update::Watched(Err(err)) => {
                    self.roster.record_failure(sent_at, self.clock.now(), &err);
                    self.back_off(after).await;
                }
                Update::Local(LocalChanges { changes, since }) => {
                    self.roster.record_answer(self.clock.now());
                    self.apply(changes, News { since, by: LearnedBy::LocalEntry }, after);
                }
                Update::Expiry => self.expire(after),
            }
        }
    }

    /// Waits after a failure, and ends the beliefs that are over meanwhile.
    async fn back_off(&mut self, complete: Revision) {
        let expiry = self.time_to_expiry();
        tokio::select! {
            () = self.source.calls.back_off() => return,
            () = sleep(expiry.unwrap_or_default()), if expiry.is_some() => {}
        }
        self.expire(complete);
        self.source.calls.back_off().await;
    }

    fn time_to_expiry(&self) -> Option<Duration> {
        self.roster.next_expiry().map(|at| at.saturating_sub(self.clock.now()))
    }

    fn expire(&mut self, complete: Revision) {
        if self.roster.expire(self.clock.now()) {
            self.publish(complete, EXPIRED);
        }
    }

    /// Applies changes to a list that is otherwise complete up to a revision.
    fn apply(&mut self, changes: Vec<Change>, news: News, complete: Revision) {
        let mut differs = false;
        for change in changes {
            differs |= self.roster.apply(self.clock.now(), change);
        }
        if differs {
            self.publish(complete, news);
        }
        self.expire(complete);
    }

    /// Applies all that a reader has of a later era.
    fn begin_era(
        &mut self,
        changes: Vec<Change>,
        news: News,
        before: Revision,
        complete: Revision,
    ) {
        self.source.calls.record_era(Topic::Vms, before, complete);
        if self.roster.begin_era(self.clock.now(), complete.era, changes) {
            self.publish(complete, news);
        }
        self.expire(complete);
    }

    /// Records which instances at the local upstream's address a new list no longer names as
    /// live, before the list is published.
    fn record_leaves(&mut self, list: &VmList, news: News) {
        let SourceChoice { upstream, service, .. } = &self.choice;
        let is_here = |vm: &&Vm| vm.upstream_at(*upstream, service).is_some();
        let here = list.vms.iter().filter(is_here);
        let live = here.filter(|vm| vm.state == VmState::Live).map(|vm| vm.instance.clone());
        let live: IndexSet<InstanceId> = live.collect();
        let mut times = self.leave_times.lock();
        for instance in self.live_here.difference(&live) {
            times.record(instance, news.since);
            let known_late = boot_time().saturating_sub(news.since);
            let instance = instance.clone();
            log::write(&StateChange::InstanceLeft { instance, by: news.by, known_late });
        }
        for instance in &live {
            times.forget(instance);
        }
        drop(times);
        self.live_here = live;
    }

    fn publish(&mut self, complete: Revision, news: News) {
        self.unused.report(self.clock.now(), &self.roster);
        let list = self.roster.build_list();
        self.record_leaves(&list, news);
        self.vms_tx.send_replace(Some(Arc::new(list)));
        let watermark = Watermark::at(self.known_until);
        self.choice.apply(&self.roster, complete, watermark);
    }
}

/// Reads all pages of entries.
///
/// Also returns the revision of the first page, after which changes are to be
/// watched: a later page may already contain some of them.
async fn read_pages(calls: &mut CatalogCalls) -> Result<(Vec<Page>, Revision), CatalogError> {
    let catalog = calls.catalog();
    let mut pages: Vec<Page> = Vec::new();
    loop {
        let after = pages.last().and_then(|page| page.entries.last()).map(|(key, ..)| key);
        let call = catalog.page(after);
        let page = calls.finish(Topic::Vms, Duration::ZERO, call).await?;
        let era = page.revision.era;
        if pages.first().is_some_and(|first| first.revision.era != era) {
            return Err(CatalogError::EraChanged { era });
        }
        let is_last = !page.has_more || page.entries.is_empty();
        pages.push(page);
        if is_last {
            let revision = pages[0].revision;
            return Ok((pages, revision));
        }
    }
}
