//! Decides whether the customer of a request may send it; see `docs/design/customer-keys.md`.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::process::config::ActiveRules;
use crate::process::node::Node;
use crate::request::Reason;
use crate::request::Refusal;
use crate::request::message::Inbound;
use crate::version::Plan;
use crate::version::customers::Credential;
use crate::version::customers::Customer;
use crate::version::customers::KeyDigest;

/// Retry delay for requests whose key may have been withdrawn: the daemon asks the platform and
/// others several times in it.
const OUTDATED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry delay for requests beyond a customer's cap.
const OVER_CAP_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The customer of a request, and the key by which it was found.
#[derive(Clone, Debug, Default)]
pub(super) struct Identity {
    pub(super) customer: Option<Arc<Customer>>,
    pub(super) key: Option<KeyDigest>,
}

/// Who sent a request that arrived at the listener for callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SentBy {
    Caller,
    /// The local upstream, for a request that is in progress there.
    Upstream,
    /// A caller that names its request like a call, or the local upstream for a request that is
    /// no longer in progress: one that an earlier process of this daemon had, or that this one
    /// gave up at a time.
    Unknown {
        given_up_at: Option<Instant>,
    },
}

/// Removes the key from a request of a caller and finds the customer that holds it.
///
/// # Errors
///
/// Fails if the request needs a key and has none that is known, or if the key may have been
/// withdrawn.
pub(super) fn identify(
    node: &Node,
    rules: &ActiveRules,
    plan: &Plan,
    inbound: &mut Inbound,
    sent_by: SentBy,
) -> Result<Identity, Refusal> {
    let customers = rules.policy.customers();
    if customers.is_empty() {
        return Ok(Identity::default());
    }
    let credential = Credential::take(&mut inbound.headers, node.dialect.key_scheme());
    // The request on whose behalf the call is made has been identified.
    if sent_by == SentBy::Upstream {
        return Ok(Identity::default());
    }
    let key = match credential {
        Credential::Key(key) => key.digest(),
        Credential::Missing if plan.public => return Ok(Identity::default()),
        Credential::Missing => return Err(refuse_without_key(node, rules, sent_by)),
    };
    let found = check_key(node, rules, key);
    let customer = match found {
        Ok(customer) => customer,
        Err(_) if plan.public => return Ok(Identity::default()),
        Err(refusal) => return Err(refusal),
    };
    inbound.customer = Some(customer.name.clone());
    Ok(Identity { customer: Some(customer), key: Some(key) })
}

/// Refuses a request without a key.
///
/// An upstream has none, so a call that it may have made is not asked for one as long as the
/// request can last for which it was made.
fn refuse_without_key(node: &Node, rules: &ActiveRules, sent_by: SentBy) -> Refusal {
    let missing = Refusal::not_run(Reason::KeyMissing);
    let is_first_start = node.settings.repeats.is_some_and(|repeats| repeats.first_start);
    let ended_for = match sent_by {
        SentBy::Unknown { given_up_at: Some(at) } => at.elapsed(),
        SentBy::Unknown { given_up_at: None } if !is_first_start => node.clock.now(),
        SentBy::Unknown { given_up_at: None } | SentBy::Caller | SentBy::Upstream => {
            return missing;
        }
    };
    match rules.policy.longest_deadline().checked_sub(ended_for) {
        Some(left) => Refusal::not_run(Reason::ParentUnknown).retry_after(left),
        None => missing,
    }
}

/// Returns the customer that holds a key in the version in force.
///
/// # Errors
///
/// Fails if no customer does, or if the knowledge of the keys is too old.
pub(super) fn check_key(
    node: &Node,
    rules: &ActiveRules,
    key: KeyDigest,
) -> Result<Arc<Customer>, Refusal> {
    let outdated = Refusal::not_run(Reason::KeysOutdated).retry_after(OUTDATED_RETRY_AFTER);
    let bound = node.settings.customers.withdrawal;
    let is_within = |bound: Duration| node.config().rules_age().is_some_and(|age| age <= bound);
    match rules.policy.customers().find(key) {
        Some(_) if bound.is_some_and(|bound| !is_within(bound)) => Err(outdated),
        Some(customer) => Ok(Arc::clone(customer)),
        // A newer version may name the key.
        None if bound.is_some_and(|bound| !is_within(bound / 2)) => Err(outdated),
        None => Err(Refusal::not_run(Reason::KeyUnknown)),
    }
}

/// Refuses a request that is beyond the cap of its customer.
pub(super) fn check_cap(node: &Node, identity: &Identity) -> Result<(), Refusal> {
    match &identity.customer {
        Some(customer) if !node.admit_usage(customer) => {
            Err(Refusal::not_run(Reason::OverCap).retry_after(OVER_CAP_RETRY_AFTER))
        }
        _ => Ok(()),
    }
}
