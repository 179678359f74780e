//! State shared by all configuration tasks of a daemon: the documents in force.

use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::watch;

use super::ActiveRules;
use super::ConfigCounters;
use super::Fault;
use super::Verdict;
use super::VersionId;
use super::document::Document;
use super::document::DocumentKind;
use super::offer::KnownVersions;
use super::offer::Offer;
use super::partners::Slot;
use super::rpc::Updates;
use super::rpc::WatchRequest;
use super::store::DocumentStore;
use super::store::Resolved;
use super::vm_text;
use crate::process::log;
use crate::process::log::StateChange;
use crate::process::membership::VmList;
use crate::version::Policy;
use crate::version::rules::Rules;

/// The documents in force, and the channels that publish changes of them.
///
/// At most one of the two stores is locked at a time, and never across an await.
#[derive(Debug)]
pub(crate) struct Shared {
    rules: Mutex<DocumentStore>,
    vms: Mutex<DocumentStore>,
    pub(crate) rules_tx: watch::Sender<Option<Arc<ActiveRules>>>,
    pub(crate) vms_tx: watch::Sender<Option<Arc<VmList>>>,
    /// Number of versions put into force; each change wakes the waiting watch requests.
    pub(crate) changes: watch::Sender<u64>,
    /// Control address of the peer that last sent a watch request; serves as a
    /// partner while this daemon has no list of VMs.
    pub(crate) last_requester: watch::Sender<Option<SocketAddr>>,
    /// Control address of the responding partner in each slot.
    pub(crate) partners: watch::Sender<[Option<SocketAddr>; Slot::ALL.len()]>,
    pub(crate) counters: Arc<ConfigCounters>,
}

impl Shared {
    /// Creates the state of a daemon without any configuration, with an injected
    /// fault if there is one.
    pub(crate) fn new(fault: Option<Fault>) -> Self {
        Self {
            rules: Mutex::new(DocumentStore::with_fault(fault)),
            vms: Mutex::new(DocumentStore::with_fault(fault)),
            rules_tx: watch::Sender::new(None),
            vms_tx: watch::Sender::new(None),
            changes: watch::Sender::new(0),
            last_requester: watch::Sender::new(None),
            partners: watch::Sender::new(Default::default()),
            counters: Arc::default(),
        }
    }

    /// Compares an offered version with the known ones; counts and logs conflicts.
    pub(crate) fn judge(&self, kind: DocumentKind, id: VersionId) -> Verdict {
        let verdict = self.store(kind).lock().versions.judge(id);
        if matches!(verdict, Verdict::NewerConflict | Verdict::OlderConflict) {
            self.counters.conflicts.add_one();
            log::write(&StateChange::VersionConflict { of: kind.as_str(), version: id });
        }
        verdict
    }

    /// Returns the versions of a document that this daemon knows.
    pub(crate) fn known(&self, kind: DocumentKind) -> KnownVersions {
        self.store(kind).lock().versions.known()
    }

    /// Returns the versions of a document whose texts this daemon keeps.
    pub(crate) fn bases(&self, kind: DocumentKind) -> Vec<VersionId> {
        self.store(kind).lock().bases()
    }

    /// Returns offers of the versions that the requesting daemon lacks.
    pub(crate) fn updates_for(&self, request: &WatchRequest) -> Updates {
        let rules = self.rules.lock().notice(&request.rules);
        let vms = self.vms.lock().notice(&request.vms);
        Updates { rules, vms }
    }

    /// Returns the text in force for a daemon that keeps the texts of `bases`.
    ///
    /// See [`DocumentStore::fetch`].
    pub(crate) fn fetch(&self, kind: DocumentKind, bases: &[VersionId]) -> Option<Offer> {
        self.store(kind).lock().fetch(bases)
    }

    /// Applies an offer of a peer; returns whether its text could be reconstructed.
    pub(crate) fn apply_offer(&self, kind: DocumentKind, offer: Offer) -> bool {
        let resolved = self.store(kind).lock().resolve(offer);
        let built = resolved.is_some();
        if let Some(resolved) = resolved {
            self.apply(kind, resolved);
        }
        built
    }

    /// Applies a document that the platform published.
    pub(crate) fn apply_published(&self, kind: DocumentKind, document: Document) {
        match self.judge(kind, document.id) {
            Verdict::Newer | Verdict::NewerConflict => self.apply(kind, document.into()),
            Verdict::Older | Verdict::OlderConflict => self.counters.older_offers.add_one(),
            Verdict::Same | Verdict::Refused => {}
        }
    }

    /// Puts a document into force if it is newer and valid.
    fn apply(&self, kind: DocumentKind, resolved: Resolved) {
        match kind {
            DocumentKind::Rules => self.apply_rules(resolved),
            DocumentKind::Vms => self.apply_vms(resolved),
        }
    }

    fn apply_rules(&self, resolved: Resolved) {
        let Document { id, text } = resolved.document.clone();
        let parsed = Rules::parse(&format!("rules version {id}"), &text);
        let mut store = self.rules.lock();
        match parsed {
            Ok(rules) if store.accept(resolved) => {
                let policy = Policy::Rules(rules);
                self.rules_tx.send_replace(Some(Arc::new(ActiveRules { id, text, policy })));
                self.record_accepted(DocumentKind::Rules, id);
            }
            Ok(_) => {}
            Err(err) => {
                store.versions.refuse(id);
                self.record_refused(DocumentKind::Rules, id, &err);
            }
        }
    }

    fn apply_vms(&self, resolved: Resolved) {
        let Document { id, text } = resolved.document.clone();
        let parsed = vm_text::parse(id.number, &text);
        let mut store = self.vms.lock();
        match parsed {
            Ok(list) if store.accept(resolved) => {
                self.vms_tx.send_replace(Some(Arc::new(list)));
                self.record_accepted(DocumentKind::Vms, id);
            }
            Ok(_) => {}
            Err(err) => {
                store.versions.refuse(id);
                self.record_refused(DocumentKind::Vms, id, &err);
            }
        }
    }

    fn record_accepted(&self, kind: DocumentKind, id: VersionId) {
        self.counters.accepted.add_one();
        self.changes.send_modify(|count| *count += 1);
        log::write(&StateChange::VersionInForce { of: kind.as_str(), version: id });
    }

    fn record_refused(&self, kind: DocumentKind, id: VersionId, err: &dyn std::error::Error) {
        self.counters.refused.add_one();
        let error = err.to_string();
        log::write(&StateChange::VersionRefused { of: kind.as_str(), version: id, error });
    }

    fn store(&self, kind: DocumentKind) -> &Mutex<DocumentStore> {
        match kind {
            DocumentKind::Rules => &self.rules,
            DocumentKind::Vms => &self.vms,
        }
    }
}
