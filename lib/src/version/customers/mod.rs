//! Customers of one version of the configuration, by their keys; see
//! `docs/design/customer-keys.md`.

mod api_key;
mod table;

pub use self::api_key::ApiKey;
pub use self::api_key::Credential;
pub use self::api_key::KeyDigest;
pub use self::table::Customer;
pub use self::table::CustomerError;
pub use self::table::CustomerTable;
pub use self::table::UsageCap;
