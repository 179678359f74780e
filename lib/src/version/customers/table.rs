//! The customers of one version.

use std::sync::Arc;

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;
use snafu::Snafu;

use super::ApiKey;
use super::KeyDigest;
use crate::process::CustomerName;
use crate::version::Criticality;

/// Limit on the requests of one customer, over all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageCap {
    /// Requests per second.
    pub per_second: f64,
    /// Requests beyond the rate that may come at once after a time of few requests.
    pub burst: f64,
}

/// A customer that a version of the configuration names.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Name of the customer.
    pub name: CustomerName,
    /// Criticality of the customer's requests; `None` if it is that of the rule or route.
    pub criticality: Option<Criticality>,
    /// Limit on the customer's requests; `None` if there is none.
    pub cap: Option<UsageCap>,
}

/// Error in the customers of a version.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum CustomerError {
    /// Two customers have the same name.
    #[snafu(display("customer '{name}' is named twice"))]
    RepeatedName {
        /// The name.
        name: CustomerName,
    },
    /// Two customers have the same key.
    #[snafu(display("customers '{first}' and '{second}' have a key in common"))]
    SharedKey {
        /// Customer that is named first.
        first: CustomerName,
        /// Customer that is named second.
        second: CustomerName,
    },
}

/// The customers of one version, by their keys. Only digests of keys are kept.
#[derive(Clone, Debug, Default)]
pub struct CustomerTable {
    customers: IndexMap<CustomerName, Arc<Customer>>,
    by_key: IndexMap<KeyDigest, Arc<Customer>, FxBuildHasher>,
}

impl CustomerTable {
    /// Adds a customer and its keys.
    ///
    /// # Errors
    ///
    /// Fails if another customer has the name or one of the keys.
    pub fn insert(&mut self, customer: Customer, keys: &[ApiKey]) -> Result<(), CustomerError> {
        let name = customer.name.clone();
        if self.customers.contains_key(&name) {
            return RepeatedNameSnafu { name }.fail();
        }
        let customer = Arc::new(customer);
        for key in keys {
            let holder = self.by_key.insert(key.digest(), Arc::clone(&customer));
            if let Some(first) = holder.filter(|holder| holder.name != name) {
                return SharedKeySnafu { first: first.name.clone(), second: name }.fail();
            }
        }
        self.customers.insert(name, customer);
        Ok(())
    }

    /// Returns the customer that holds a key.
    pub fn find(&self, key: KeyDigest) -> Option<&Arc<Customer>> {
        self.by_key.get(&key)
    }

    /// Returns the customer with a name.
    pub fn get(&self, name: &CustomerName) -> Option<&Arc<Customer>> {
        self.customers.get(name)
    }

    /// Returns the customers in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Customer>> {
        self.customers.values()
    }

    /// Returns the number of customers.
    pub fn len(&self) -> usize {
        self.customers.len()
    }

    /// Returns whether the version names no customer, so that requests need no key.
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }

    /// Returns the number of keys of all customers.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }
}
