//! Versions of one document: the one in force, and the history from which peers are
//! sent deltas instead of the complete text.

use std::collections::VecDeque;

use super::Fault;
use super::VersionId;
use super::VersionState;
use super::delta::Delta;
use super::document::Document;
use super::offer::KnownVersions;
use super::offer::Offer;
use super::offer::Step;

/// Maximum size of the deltas or text in an answer to a watch request; anything larger
/// is announced only and has to be fetched.
const MAX_INLINE_BYTES: usize = 1024;
/// Maximum number of steps kept for peers with an older version.
const MAX_KEPT_STEPS: usize = 64;
/// Maximum total size of the steps kept for peers with an older version.
const MAX_KEPT_STEP_BYTES: usize = 256 * 1024;
/// Maximum number of texts kept as bases for steps received from peers.
const MAX_KEPT_TEXTS: usize = 4;

/// The version in force of one document, and the steps that led to it.
#[derive(Debug, Default)]
pub(crate) struct DocumentStore {
    pub(crate) versions: VersionState,
    /// The latest texts in force; the current one is the last.
    texts: VecDeque<Document>,
    /// Steps that lead to the current text, each with its base version.
    steps: VecDeque<(VersionId, Step)>,
}

impl DocumentStore {
    /// Creates an empty store, with an injected fault if there is one.
    pub(crate) fn with_fault(fault: Option<Fault>) -> Self {
        Self { versions: VersionState::with_fault(fault), ..Self::default() }
    }

    /// Returns the document in force.
    pub(crate) fn current(&self) -> Option<&Document> {
        self.texts.back()
    }

    /// Returns the versions whose texts are kept, newest first.
    pub(crate) fn bases(&self) -> Vec<VersionId> {
        self.texts.iter().rev().map(|document| document.id).collect()
    }

    /// Returns an offer for a peer that lacks the version in force. Deltas or text are
    /// included only if they are small.
    pub(crate) fn notice(&self, known: &KnownVersions) -> Option<Offer> {
        let current = self.current().filter(|current| known.lacks(current.id))?;
        let steps = known.held.and_then(|held| self.steps_from(held));
        if let Some(steps) = steps.filter(|offer| payload_bytes(offer) <= MAX_INLINE_BYTES) {
            return Some(steps);
        }
        if current.text.len() <= MAX_INLINE_BYTES {
            return Some(full_text_offer(current));
        }
        Some(Offer::Notice(current.id))
    }

    /// Returns the text in force for a peer that keeps the texts of `bases`: as steps
    /// from the first usable base if they are shorter than the complete text.
    pub(crate) fn fetch(&self, bases: &[VersionId]) -> Option<Offer> {
        let current = self.current()?;
        let steps = bases.iter().find_map(|base| self.steps_from(*base));
        let shorter = steps.filter(|offer| payload_bytes(offer) < current.text.len());
        Some(shorter.unwrap_or_else(|| full_text_offer(current)))
    }

    /// Reconstructs the offered text; `None` if its base is not kept here, or if the
    /// result does not match the offered hash.
    pub(crate) fn resolve(&self, offer: Offer) -> Option<Resolved> {
        match offer {
            Offer::Notice(_) => None,
            Offer::Text(id, text) => {
                let document = Document::new(id.number, &text);
                (document.id == id).then_some(Resolved { document, applied_steps: None })
            }
            Offer::Steps(base, steps) => self.apply_steps(base, steps),
        }
    }

    /// Puts a document with a valid text into force, unless it is no longer wanted;
    /// returns whether it was put into force.
    pub(crate) fn accept(&mut self, resolved: Resolved) -> bool {
        let Resolved { document, applied_steps } = resolved;
        if !self.versions.accept(document.id) {
            return false;
        }
        let fits =
            applied_steps.filter(|steps| steps.first().map(|(from, _)| *from) == self.current_id());
        match (fits, self.current()) {
            (Some(steps), _) => self.steps.extend(steps),
            (None, Some(old)) => {
                let delta = Delta::between(&old.text, &document.text);
                self.steps.push_back((old.id, Step { to: document.id, delta }));
            }
            (None, None) => {}
        }
        self.texts.push_back(document);
        self.trim_history();
        true
    }

    fn current_id(&self) -> Option<VersionId> {
        self.current().map(|current| current.id)
    }

    fn steps_from(&self, base: VersionId) -> Option<Offer> {
        let first = self.steps.iter().position(|(from, _)| *from == base)?;
        let steps = self.steps.range(first..).map(|(_, step)| step.clone()).collect();
        Some(Offer::Steps(base, steps))
    }

    fn apply_steps(&self, base: VersionId, steps: Vec<Step>) -> Option<Resolved> {
        let start = self.texts.iter().find(|document| document.id == base)?;
        let mut document = start.clone();
        let mut applied_steps = Vec::with_capacity(steps.len());
        for step in steps {
            let text = step.delta.apply(&document.text)?;
            applied_steps.push((document.id, step.clone()));
            document = Document { id: step.to, text: text.into() };
        }
        let hash_matches = VersionId::of(document.id.number, &document.text) == document.id;
        hash_matches.then_some(Resolved { document, applied_steps: Some(applied_steps) })
    }

    fn trim_history(&mut self) {
        while self.texts.len() > MAX_KEPT_TEXTS {
            self.texts.pop_front();
        }
        let mut bytes: usize = self.steps.iter().map(|(_, step)| step.delta.size()).sum();
        while self.steps.len() > MAX_KEPT_STEPS || bytes > MAX_KEPT_STEP_BYTES {
            let Some((_, step)) = self.steps.pop_front() else { break };
            bytes -= step.delta.size();
        }
    }
}

/// A document reconstructed from an offer, with the steps from its base if the offer
/// consisted of steps.
#[derive(Debug)]
pub(crate) struct Resolved {
    pub(crate) document: Document,
    applied_steps: Option<Vec<(VersionId, Step)>>,
}

impl From<Document> for Resolved {
    fn from(document: Document) -> Self {
        Self { document, applied_steps: None }
    }
}

fn full_text_offer(document: &Document) -> Offer {
    Offer::Text(document.id, document.text.to_string())
}

fn payload_bytes(offer: &Offer) -> usize {
    match offer {
        Offer::Notice(_) => 0,
        Offer::Text(_, text) => text.len(),
        Offer::Steps(_, steps) => steps.iter().map(|step| step.delta.size()).sum(),
    }
}
