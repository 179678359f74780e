//! What clients make this process hold, against the memory and descriptors of the VM; see
//! `docs/design/client-resources.md`.

mod account;
mod clients;
mod ledger;
mod plan;
mod senders;

pub use self::account::Account;
pub use self::account::Charge;
pub use self::account::ClientConnection;
pub use self::account::RequestGuard;
pub use self::clients::Clients;
pub use self::clients::CutCause;
pub use self::clients::OnCut;
pub use self::ledger::AccountId;
pub use self::ledger::ClientCut;
pub use self::ledger::Held;
pub use self::ledger::HeldBytes;
pub use self::ledger::Ledger;
pub use self::plan::ResourcePlan;
pub use self::senders::HeldOfSender;
pub use self::senders::SenderCharge;
pub use self::senders::Senders;
