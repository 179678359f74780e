//! Accounts of clients and of daemons that send requests, by their state machines.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::sync::Arc;

use endivescale::process::Incarnation;
use endivescale::process::resources::AccountId;
use endivescale::process::resources::Held;
use endivescale::process::resources::HeldOfSender;
use endivescale::process::resources::Ledger;
use endivescale::process::resources::ResourcePlan;
use endivescale::process::resources::SenderCharge;
use endivescale::process::resources::Senders;
use endivescale::process::settings::ResourceSettings;

const MAX_BYTES: usize = 1_000;
const MAX_CONNECTIONS: usize = 4;

fn address(last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(192, 0, 2, last))
}

/// Opens accounts of clients, each with what it holds.
fn ledger(accounts: &[(u8, usize)]) -> (Ledger, Vec<AccountId>) {
    let mut ledger = Ledger::new(MAX_BYTES, MAX_CONNECTIONS);
    let open = |(client, bytes): &(u8, usize)| {
        let id = ledger.open(address(*client));
        ledger.charge(id, Held::Requests, *bytes);
        id
    };
    let ids = accounts.iter().map(open).collect();
    (ledger, ids)
}

/// Checks which accounts end for room, in turn.
fn check_cuts(accounts: &[(u8, usize)], needed: usize, expected: &[usize]) {
    let (mut ledger, ids) = ledger(accounts);
    let cuts = std::iter::from_fn(|| ledger.cut_for_bytes(needed));
    let cuts: Vec<_> = cuts.map(|cut| cut.account).collect();
    let expected: Vec<_> = expected.iter().map(|index| ids[*index]).collect();
    assert_eq!(cuts, expected);
}

macro_rules! cuts {
    ($($name:ident: $accounts:expr, $needed:literal => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            check_cuts(&$accounts, $needed, &$expected);
        }
    )*};
}

cuts! {
    nobody_ends_while_there_is_room: [(1, 400), (2, 400)], 200 => [];
    the_heaviest_connection_ends: [(1, 100), (1, 600), (1, 200)], 200 => [1];
    the_client_that_holds_most_loses_one: [(1, 310), (1, 300), (2, 400)], 100 => [0];
    as_many_end_as_it_takes: [(1, 500), (1, 450), (1, 10)], 900 => [0, 1];
    one_alone_ends_for_itself: [(1, 1_001)], 0 => [0];
}

#[test]
fn what_ends_is_not_ended_twice_while_its_bytes_are_held() {
    let (mut ledger, ids) = ledger(&[(1, 600), (2, 390)]);
    assert_eq!(ledger.cut_for_bytes(100).map(|cut| cut.account), Some(ids[0]));
    assert!(!ledger.has_room(100));
    assert_eq!(ledger.cut_for_bytes(100), None);
    ledger.release(ids[0], Held::Requests, 600);
    assert!(ledger.has_room(100));
}

#[test]
fn bytes_that_outlive_their_connection_are_counted_until_released() {
    let (mut ledger, ids) = ledger(&[(1, 600), (2, 300)]);
    assert_eq!(ledger.cut_for_bytes(200).map(|cut| cut.account), Some(ids[0]));
    ledger.close(ids[0]);
    assert!(!ledger.has_room(200));
    ledger.release(ids[0], Held::Requests, 600);
    assert_eq!((ledger.held().total(), ledger.connections()), (300, 1));
    assert_eq!(ledger.cut_for_bytes(700), None);
}

#[test]
fn the_longest_idle_connection_makes_room_for_a_new_one() {
    let (mut ledger, ids) = ledger(&[(1, 0), (1, 500), (1, 0), (1, 0)]);
    ledger.begin_request(ids[0]);
    ledger.begin_request(ids[1]);
    ledger.end_request(ids[1]);
    ledger.open(address(2));
    assert_eq!(ledger.cut_for_connections().map(|cut| cut.account), Some(ids[2]));
    assert_eq!(ledger.cut_for_connections(), None);
}

#[test]
fn the_heaviest_makes_room_if_all_have_requests() {
    let (mut ledger, ids) = ledger(&[(1, 10), (1, 500), (1, 20), (1, 30)]);
    ids.iter().for_each(|id| ledger.begin_request(*id));
    ledger.open(address(1));
    assert_eq!(ledger.cut_for_connections().map(|cut| cut.account), Some(ids[1]));
}

#[test]
fn reading_ahead_ends_at_three_quarters_of_the_bytes() {
    let (mut ledger, ids) = ledger(&[(1, 750)]);
    assert!(ledger.may_read_ahead());
    ledger.charge(ids[0], Held::Input, 1);
    assert!(!ledger.may_read_ahead());
}

const HEAD: HeldOfSender = HeldOfSender { other: 100, unread: 0 };
const UPLOAD: HeldOfSender = HeldOfSender { other: 0, unread: 100 };

/// Charges requests to a daemon until it holds too much.
fn fill(senders: &Arc<Senders>, sender: u64, request: HeldOfSender) -> Vec<SenderCharge> {
    std::iter::from_fn(|| senders.try_charge(Incarnation(sender), request)).collect()
}

#[test]
fn daemon_holds_at_most_what_all_leave_free() {
    let senders = Senders::new(MAX_BYTES, MAX_BYTES);
    let held = fill(&senders, 1, HEAD);
    let others = fill(&senders, 2, HEAD);
    assert_eq!((held.len(), others.len()), (5, 3));
    drop(held);
    assert_eq!(senders.usage(), (300, MAX_BYTES));
    assert_eq!(fill(&senders, 1, HEAD).len(), 4);
}

#[test]
fn bodies_that_nobody_reads_leave_room_for_other_requests() {
    let senders = Senders::new(MAX_BYTES, 200);
    let mut uploads = fill(&senders, 1, UPLOAD);
    assert_eq!(uploads.len(), 2);
    assert!(senders.try_charge(Incarnation(1), HEAD).is_some());
    uploads[0].answer(50);
    assert_eq!(fill(&senders, 1, UPLOAD).len(), 1);
}

#[test]
fn shares_leave_a_quarter_of_the_smallest_vm() {
    let plan = ResourcePlan::new(&ResourceSettings { memory_mb: 160, descriptors: 4_100 });
    let ResourcePlan { client_bytes, sender_bytes, response_bytes, pipelined_bytes, .. } = plan;
    assert!(client_bytes + sender_bytes + response_bytes + pipelined_bytes <= 120_000_000);
    let internal = 2 * plan.internal_connections;
    assert_eq!((plan.client_connections, plan.peer_connections, internal), (1_950, 780, 64));
}
