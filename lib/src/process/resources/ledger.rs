//! Accounts of connections, and which of them ends when memory or descriptors are short.

use std::net::IpAddr;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

/// What a connection holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Held {
    /// The connection itself: its task and small buffers.
    Connection,
    /// Heads and short bodies that are being read.
    Input,
    /// Requests in progress: heads, tasks, places in queues and bodies.
    Requests,
    /// Responses that the caller has not taken yet.
    Responses,
    /// Buffers of the socket that this side does not read, or the caller.
    Socket,
}

/// Number of kinds in [`Held`].
const KINDS: usize = 5;

/// Bytes that are held, by kind.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeldBytes {
    /// Bytes of [`Held::Connection`].
    pub connections: usize,
    /// Bytes of [`Held::Input`].
    pub input: usize,
    /// Bytes of [`Held::Requests`].
    pub requests: usize,
    /// Bytes of [`Held::Responses`].
    pub responses: usize,
    /// Bytes of [`Held::Socket`].
    pub sockets: usize,
}

impl HeldBytes {
    /// Returns the sum of all kinds.
    pub fn total(&self) -> usize {
        let Self { connections, input, requests, responses, sockets } = self;
        connections + input + requests + responses + sockets
    }
}

/// Identifies an account of a [`Ledger`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AccountId(u64);

/// A connection that has to end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientCut {
    /// Its account.
    pub account: AccountId,
    /// Address of the client.
    pub address: IpAddr,
    /// Bytes that the connection holds.
    pub held: usize,
}

#[derive(Debug)]
struct Entry {
    address: IpAddr,
    held: usize,
    requests: usize,
    /// Whether the connection has to end. Its bytes count as free for further decisions.
    is_cut: bool,
    /// Number of the last request that began or ended; lower ones are longer ago.
    last_active: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Client {
    connections: usize,
    held: usize,
}

/// Bytes and connections of all clients, against their limits.
///
/// Load pattern: clients that send far ahead, or leave responses unread, on many connections. The
/// connection that holds most ends first, of the address that holds most, so that callers with a
/// single request keep theirs.
#[derive(Debug)]
pub struct Ledger {
    max_bytes: usize,
    max_connections: usize,
    entries: IndexMap<AccountId, Entry>,
    clients: IndexMap<IpAddr, Client>,
    kinds: [usize; KINDS],
    held: usize,
    /// Bytes of connections that have to end.
    cut_bytes: usize,
    cut_connections: usize,
    next: u64,
}

impl Ledger {
    /// Creates a ledger without accounts.
    pub fn new(max_bytes: usize, max_connections: usize) -> Self {
        Self {
            max_bytes,
            max_connections,
            entries: IndexMap::new(),
            clients: IndexMap::new(),
            kinds: [0; KINDS],
            held: 0,
            cut_bytes: 0,
            cut_connections: 0,
            next: 0,
        }
    }

    /// Opens the account of a new connection.
    pub fn open(&mut self, address: IpAddr) -> AccountId {
        self.next += 1;
        let id = AccountId(self.next);
        let entry = Entry { address, held: 0, requests: 0, is_cut: false, last_active: self.next };
        self.entries.insert(id, entry);
        self.clients.entry(address).or_default().connections += 1;
        id
    }

    /// Closes an account. What is still charged to it counts for nobody until it is released.
    pub fn close(&mut self, id: AccountId) {
        let Some(entry) = self.entries.swap_remove(&id) else { return };
        match entry.is_cut {
            true => {
                self.cut_connections -= 1;
                self.cut_bytes -= entry.held;
            }
            false => self.remove_from_client(entry.address, 1, entry.held),
        }
    }

    /// Adds bytes to an account.
    pub fn charge(&mut self, id: AccountId, kind: Held, bytes: usize) {
        self.kinds[kind as usize] += bytes;
        self.held += bytes;
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.held += bytes;
        match entry.is_cut {
            true => self.cut_bytes += bytes,
            false => self.clients.entry(entry.address).or_default().held += bytes,
        }
    }

    /// Removes bytes from an account, which may be closed: a request may outlive its connection.
    pub fn release(&mut self, id: AccountId, kind: Held, bytes: usize) {
        self.kinds[kind as usize] -= bytes;
        self.held -= bytes;
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.held -= bytes;
        let address = entry.address;
        match entry.is_cut {
            true => self.cut_bytes -= bytes,
            false => self.remove_from_client(address, 0, bytes),
        }
    }

    fn remove_from_client(&mut self, address: IpAddr, connections: usize, held: usize) {
        let Some(client) = self.clients.get_mut(&address) else { return };
        client.connections -= connections;
        client.held -= held;
        if client.connections == 0 {
            self.clients.swap_remove(&address);
        }
    }

    /// Records that a request of the connection began.
    pub fn begin_request(&mut self, id: AccountId) {
        self.next += 1;
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.requests += 1;
        entry.last_active = self.next;
    }

    /// Records that a request of the connection ended.
    pub fn end_request(&mut self, id: AccountId) {
        self.next += 1;
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.requests -= 1;
        entry.last_active = self.next;
    }

    /// Whether `bytes` more can be held.
    pub fn has_room(&self, bytes: usize) -> bool {
        self.held + bytes <= self.max_bytes
    }

    /// Whether connections with a request in progress may be read.
    pub fn may_read_ahead(&self) -> bool {
        self.held <= self.max_bytes / 4 * 3
    }

    /// Whether there are so many connections, those that are about to end included, that no more
    /// may be accepted for the moment.
    pub fn is_crowded(&self) -> bool {
        self.entries.len() > self.max_connections + self.max_connections / 16
    }

    /// Returns the connection that has to end to make room for `bytes`, unless enough others end
    /// already.
    pub fn cut_for_bytes(&mut self, bytes: usize) -> Option<ClientCut> {
        if self.held - self.cut_bytes + bytes <= self.max_bytes {
            return None;
        }
        let (address, _) = self.clients.iter().max_by_key(|(_, client)| client.held)?;
        let address = *address;
        let of_client = self.uncut().filter(|(_, entry)| entry.address == address);
        let heaviest = of_client.max_by_key(|(_, entry)| entry.held);
        let id = *heaviest?.0;
        Some(self.cut(id))
    }

    /// Returns the connection that has to end because there are too many, unless enough others end
    /// already.
    pub fn cut_for_connections(&mut self) -> Option<ClientCut> {
        if self.entries.len() - self.cut_connections <= self.max_connections {
            return None;
        }
        let (address, _) = self.clients.iter().max_by_key(|(_, client)| client.connections)?;
        let address = *address;
        let of_client = || self.uncut().filter(|(_, entry)| entry.address == address);
        // The newest one has not had the time to send a request.
        let idle = of_client().filter(|(id, entry)| entry.requests == 0 && id.0 != self.next);
        let idle = idle.min_by_key(|(_, entry)| entry.last_active);
        let heaviest = || of_client().max_by_key(|(_, entry)| entry.held);
        let id = *idle.or_else(heaviest)?.0;
        Some(self.cut(id))
    }

    /// Marks a connection as one that ends for another reason.
    pub fn cut(&mut self, id: AccountId) -> ClientCut {
        let entry = &mut self.entries[&id];
        let cut = ClientCut { account: id, address: entry.address, held: entry.held };
        if !entry.is_cut {
            entry.is_cut = true;
            self.cut_bytes += cut.held;
            self.cut_connections += 1;
            self.remove_from_client(cut.address, 1, cut.held);
        }
        cut
    }

    fn uncut(&self) -> impl Iterator<Item = (&AccountId, &Entry)> {
        self.entries.iter().filter(|(_, entry)| !entry.is_cut)
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.entries.len()
    }

    /// Returns the bytes that are held, by kind.
    pub fn held(&self) -> HeldBytes {
        let [connections, input, requests, responses, sockets] = self.kinds;
        HeldBytes { connections, input, requests, responses, sockets }
    }
}
