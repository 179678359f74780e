use std::net::SocketAddr;
use std::time::Duration;

use endivescale::process::config::Delta;
use endivescale::process::config::Fault;
use endivescale::process::config::TextHash;
use endivescale_testutils::link::Link;
use endivescale_testutils::link::LinkMode;
use endivescale_testutils::platform::Mode;
use endivescale_testutils::platform::Platform;
use quickcheck::quickcheck;

use super::fleet::CAP;
use super::fleet::Node;
use super::fleet::fleet;
use super::fleet::is_true_within;
use super::fleet::listed;
use super::fleet::listeners;
use super::fleet::platform;
use super::fleet::rules;
use super::fleet::start_all;
use super::fleet::until;

const SEED: u64 = 1_000;

fn all_hold(nodes: &[Node], version: u64) -> bool {
    nodes.iter().all(|node| node.version() == version)
}

fn all_ready(nodes: &[Node]) -> bool {
    nodes.iter().all(Node::is_ready)
}

async fn until_all_hold(nodes: &[Node], version: u64) {
    until("every daemon holds the version", || all_hold(nodes, version)).await;
}

/// Starts a fleet in which every daemon serves by version 2.
async fn settled(count: usize, fault: Option<Fault>) -> (Platform, Vec<Node>) {
    let platform = platform().await;
    platform.put_rules(Some(1), &rules("Narantuya"));
    let nodes = fleet(count, &[&platform], fault).await;
    until_all_hold(&nodes, 1).await;
    platform.put_rules(Some(2), &rules("Bolormaa"));
    until("all serve by version 2", || all_hold(&nodes, 2) && all_ready(&nodes)).await;
    (platform, nodes)
}

/// Returns the version by which a restarted daemon first serves.
async fn first_served(node: &mut Node, platform: SocketAddr) -> u64 {
    node.kill();
    node.restart(platform, SEED).await;
    until("the restarted daemon serves", || node.is_ready()).await;
    node.version()
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_config_reaches_every_daemon() {
    let (platform, nodes) = settled(24, None).await;
    platform.put_rules(None, &rules("Sukhbaatar"));
    until_all_hold(&nodes, 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_config_restarts_while_the_platform_is_down() {
    let (platform, mut nodes) = settled(9, None).await;
    platform.set_mode(Mode::Down);
    for node in &mut nodes {
        assert_eq!(first_served(node, platform.addr()).await, 2);
    }
}

async fn first_served_while_stale(fault: Option<Fault>) -> u64 {
    let (platform, mut nodes) = settled(9, fault).await;
    platform.put_rules(Some(1), &rules("Narantuya"));
    first_served(&mut nodes[4], platform.addr()).await
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_config_restarts_while_the_platform_is_stale() {
    assert_eq!(first_served_while_stale(None).await, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_config_finds_a_start_that_trusts_a_stale_platform() {
    assert_eq!(first_served_while_stale(Some(Fault::AskNobody)).await, 1);
}

/// Lets the platform go back a version; returns whether a daemon followed it.
async fn follows_platform_back(fault: Option<Fault>) -> bool {
    let (platform, nodes) = settled(9, fault).await;
    platform.put_rules(Some(1), &rules("Narantuya"));
    let seen = || nodes.iter().any(|node| node.count("older_offers") > 0);
    let back = || nodes.iter().any(|node| node.version() == 1);
    until("the platform's older version was seen", || seen() || back()).await;
    back()
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_config_platform_goes_back() {
    assert!(!follows_platform_back(None).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_config_finds_a_daemon_that_follows_the_platform_back() {
    assert!(follows_platform_back(Some(Fault::TakeLast)).await);
}

/// Two sides of a partition read different texts under one number; returns
/// whether all settle on the one with the greater hash once it heals.
async fn settles_race(fault: Option<Fault>, patience: Duration) -> bool {
    let Partition { left, right, links, nodes } = partition(12, fault).await;
    let texts = [rules("Bolormaa"), rules("Sukhbaatar")];
    left.put_rules(Some(2), &texts[0]);
    right.put_rules(Some(2), &texts[1]);
    until_all_hold(&nodes, 2).await;
    links.iter().for_each(|link| link.set(LinkMode::Pass));
    let winner = texts.iter().max_by_key(|text| TextHash::of(text)).expect("two texts");
    let settled = || nodes.iter().all(|node| node.rules() == Some((2, winner.clone())));
    is_true_within(patience, settled).await
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_config_two_operators_race() {
    assert!(settles_race(None, CAP).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_config_finds_a_race_that_never_settles() {
    assert!(!settles_race(Some(Fault::IgnoreHash), Duration::from_secs(2)).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_config_invalid_version_is_refused_whole() {
    let (platform, nodes) = settled(9, None).await;
    platform.put_rules(Some(3), &format!("{}no rule at all\n", rules("Bolormaa")));
    let refused = || nodes.iter().all(|node| node.count("refused") > 0);
    until("every daemon refused it", refused).await;
    assert!(all_hold(&nodes, 2));
    platform.put_rules(Some(4), &rules("Sukhbaatar"));
    until_all_hold(&nodes, 4).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_config_named_version_is_caught_up_with() {
    // The restarted daemon's own platform has nothing to tell.
    let (platform, mut nodes) = settled(9, None).await;
    let silent = super::fleet::platform().await;
    platform.put_rules(Some(3), &rules("Sukhbaatar"));
    until_all_hold(&nodes, 3).await;
    let node = &mut nodes[0];
    node.kill();
    node.restart(silent.addr(), SEED).await;
    node.handle.as_ref().expect("it runs").report_version(3);
    until("the named version is held", || node.version() == 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_config_partition_heals() {
    let Partition { left, right, links, nodes } = partition(12, None).await;
    left.put_rules(Some(2), &rules("Bolormaa"));
    let holds = |side: usize, version: u64| {
        nodes.iter().skip(side).step_by(2).all(|node| node.version() == version)
    };
    // Both sides serve, each by the version that it can hear of.
    until("the left side serves by the newer", || holds(0, 2) && all_ready(&nodes)).await;
    assert!(holds(1, 1), "the partition leaks");
    right.set_mode(Mode::Down);
    links.iter().for_each(|link| link.set(LinkMode::Pass));
    until_all_hold(&nodes, 2).await;
}

/// Two sides of a fleet that lose whatever they send each other.
struct Partition {
    left: Platform,
    right: Platform,
    links: Vec<Link>,
    nodes: Vec<Node>,
}

/// Starts a fleet whose even and odd daemons cannot reach each other: each
/// side's platform lists the other side behind links that lose everything.
async fn partition(count: usize, fault: Option<Fault>) -> Partition {
    let (left, right) = (platform().await, platform().await);
    let listeners = listeners(count).await;
    let mut links = Vec::new();
    let mut lists = [Vec::new(), Vec::new()];
    for (n, (place, listener)) in listeners.iter().enumerate() {
        let control = listener.local_addr().expect("it is bound");
        let link = Link::start(control).await.expect("a free port");
        link.set(LinkMode::LoseAll);
        lists[n % 2].push(listed(place, control));
        lists[1 - n % 2].push(listed(place, link.addr()));
        links.push(link);
    }
    for (platform, list) in [&left, &right].into_iter().zip(&lists) {
        platform.put_rules(Some(1), &rules("Narantuya"));
        platform.put_vms(list);
    }
    let nodes = start_all(listeners, &[&left, &right], fault);
    until("every daemon serves", || all_hold(&nodes, 1) && all_ready(&nodes)).await;
    Partition { left, right, links, nodes }
}

quickcheck! {
    fn delta_builds_the_new_text(old: Vec<u8>, new: Vec<u8>) -> bool {
        let text = |lines: &[u8]| lines.iter().map(|n| format!("line {}\n", n % 16)).collect::<String>();
        let (old, new) = (text(&old), text(&new));
        Delta::between(&old, &new).apply(&old) == Some(new)
    }
}

#[test]
fn delta_of_one_line_is_small() {
    let old: String = (0..1_000).map(|n| format!("rule {n}\n")).collect();
    let new = old.replace("rule 500\n", "rule five hundred\n");
    let delta = Delta::between(&old, &new);
    assert!(delta.size() < 100, "{} bytes", delta.size());
    assert_eq!(delta.apply(&old), Some(new));
}

#[test]
fn delta_of_another_text_is_noticed() {
    let delta = Delta::between("a\nb\nc\n", "a\nb\nc\nd\n");
    assert_eq!(delta.apply("a\n"), None);
}
