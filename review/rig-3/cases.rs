//! The cases.

use std::sync::Arc;
use std::time::Duration;

use crate::client::Clients;
use crate::client::Sent;
use crate::client::HOST;
use crate::daemons::Deployment;
use crate::proxy::Proxy;
use crate::record::Record;
use crate::store::Store;

/// Bounds of the site file.
const CONTACT: Duration = Duration::from_millis(3000);
const DRAIN: Duration = Duration::from_millis(2000);
const RECOVERY: Duration = Duration::from_secs(15);
/// Time by which the record may be late.
const CLOCK_SLACK: Duration = Duration::from_millis(20);

/// Pause between two requests of a client.
const PAUSE: Duration = Duration::from_millis(75);

const CONFIG: &str = r#"{"version":7,"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},"base_version":5,"listeners":[{"host":"HOST","route_rules":[{"name":"r-n2ctnfz","kind":"safe","target_latency":"1500ms","priority":2,"match":{"path_prefix":"/leny950/"},"action":{"service":"huvo11a","timeout":"1000ms","max_attempts":2}},{"name":"r-s989anu","kind":"unsafe","target_latency":"1500ms","priority":0,"match":{"path_prefix":"/puka111/"},"action":{"service":"wuno96b","timeout":"1200ms","max_attempts":2}}]}],"clusters":[{"name":"huvo11a","health_check":"/healthz","max_conns":358,"protocol":"h1","tls":false},{"name":"wuno96b","health_check":"/healthz","max_conns":358,"protocol":"h1","tls":false}]}"#;

/// Plays a case; returns whether the rule held.
pub fn play(case: &str, has_trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    match case {
        "silent-store" => silent_store(has_trouble, record),
        "blobs" => blobs(has_trouble, record),
        "silent-instances" => silent_instances(has_trouble, record),
        _ => Err(format!("there is no case {case}")),
    }
}

fn sleep_until(record: &Record, at: Duration) {
    std::thread::sleep(at.saturating_sub(record.now()));
}

/// Starts three machines of each of two services and waits until they are ready.
fn start(
    store: &Store,
    proxy: Option<&Proxy>,
    slots: u32,
    work: Duration,
    record: &Arc<Record>,
) -> Result<Deployment, String> {
    store.put("op/config", CONFIG.replace("HOST", HOST).as_bytes());
    let address = proxy.map_or(store.address, |proxy| proxy.address);
    let mut deployment = Deployment::new(address, slots, record)?;
    for service in ["wuno96b", "wuno96b", "wuno96b", "huvo11a", "huvo11a", "huvo11a"] {
        let machine = deployment.add(service, work)?;
        put_state(store, &deployment, machine, "ready", record);
    }
    deployment.wait_ready()?;
    record.add("all daemons are ready");
    Ok(deployment)
}

/// Writes an instance's entry and returns when the store has confirmed it.
fn put_state(
    store: &Store,
    deployment: &Deployment,
    machine: usize,
    state: &str,
    record: &Record,
) -> Duration {
    let (key, value) = deployment.entry(machine, state);
    store.put(&key, value.as_bytes());
    let confirmed = record.now();
    record.add(&format!("the store has confirmed {key} as {state}"));
    confirmed
}

/// Counts the requests that reached the draining instance too late, of those that clients sent
/// from `in_touch` on, and records them.
fn late_arrivals(
    deployment: &Deployment,
    machine: usize,
    sent: &[Sent],
    confirmed: Duration,
    in_touch: Duration,
    record: &Record,
) -> usize {
    let bound = confirmed + DRAIN + CLOCK_SLACK;
    let instance = &deployment.machines[machine].instance;
    let mut late = 0;
    let mut lost = 0;
    for arrival in instance.arrivals().iter().filter(|arrival| arrival.at > bound) {
        let Some(request) = sent.iter().find(|sent| sent.request == arrival.request) else {
            continue;
        };
        if request.at < in_touch + CLOCK_SLACK {
            continue;
        }
        late += 1;
        lost += usize::from(!arrival.is_answered);
        record.add(&format!(
            "LATE: {} was sent at {:.3} s, reached {} at {:.3} s, {:.3} s after the confirmation, and its client has {}",
            arrival.request,
            request.at.as_secs_f64(),
            instance.id,
            arrival.at.as_secs_f64(),
            (arrival.at - confirmed).as_secs_f64(),
            request.end
        ));
    }
    record
        .add(&format!("late requests: {late}, of these broken off by the instance's end: {lost}"));
    late
}

/// DRAIN: all open connections to the store go silent, new ones work; an instance drains.
fn silent_store(has_trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    let problem = |err: std::io::Error| err.to_string();
    let store = Store::start().map_err(problem)?;
    let proxy = Proxy::start(store.address).map_err(problem)?;
    let work = Duration::from_millis(210);
    let mut deployment = start(&store, Some(&proxy), 43, work, record)?;
    let mut clients = Clients::new();
    for (number, machine) in deployment.machines.iter().enumerate() {
        let name = format!("c{number}-");
        clients.start(&name, machine.outbound, "POST /puka111/2f", PAUSE, record);
    }
    sleep_until(record, record.now() + Duration::from_secs(6));
    // A release: the new instance starts first.
    let new = deployment.add("wuno96b", work)?;
    deployment.wait_ready()?;
    put_state(&store, &deployment, new, "ready", record);
    sleep_until(record, record.now() + Duration::from_millis(600));
    let silent_at = record.now();
    if has_trouble {
        let count = proxy.silence();
        record.add(&format!("the {count} connections opened to the store so far are silent"));
    }
    sleep_until(record, silent_at + Duration::from_millis(200));
    // The old instance drains; it serves on for `drain` and 1.5 s.
    let confirmed = put_state(&store, &deployment, 0, "draining", record);
    sleep_until(record, confirmed + DRAIN + Duration::from_millis(1500));
    record.add("the draining instance ends");
    deployment.machines[0].instance.end();
    sleep_until(record, confirmed + Duration::from_secs(6));
    let sent = clients.stop();
    let in_touch = if has_trouble { silent_at + CONTACT } else { Duration::ZERO };
    let late = late_arrivals(&deployment, 0, &sent, confirmed, in_touch, record);
    summarize(&sent, record)?;
    deployment.record_logs(&["catalog", "instance-left"]);
    Ok(late == 0)
}

/// DRAIN: another writer writes entries that name no instance; an instance drains.
fn blobs(has_trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    let problem = |err: std::io::Error| err.to_string();
    let store = Store::start().map_err(problem)?;
    let deployment = start(&store, None, 43, Duration::from_millis(210), record)?;
    let mut clients = Clients::new();
    for (number, machine) in deployment.machines.iter().enumerate() {
        let name = format!("c{number}-");
        clients.start(&name, machine.outbound, "POST /puka111/2f", PAUSE, record);
    }
    sleep_until(record, record.now() + Duration::from_secs(6));
    if has_trouble {
        // `value_bytes` of the settings, and 50 writes a second of the 400 that they allow.
        let blob = vec![b'x'; 1_048_576];
        for number in 0..12 {
            store.put(&format!("servers/blob-{number}"), &blob);
            std::thread::sleep(Duration::from_millis(20));
        }
        record
            .add("another writer has written 12 entries that can't be read, 1,048,576 bytes each");
    }
    sleep_until(record, record.now() + Duration::from_secs(2));
    let confirmed = put_state(&store, &deployment, 0, "draining", record);
    sleep_until(record, confirmed + DRAIN + Duration::from_secs(3));
    record.add("the draining instance ends");
    deployment.machines[0].instance.end();
    sleep_until(record, confirmed + Duration::from_secs(7));
    let sent = clients.stop();
    let late = late_arrivals(&deployment, 0, &sent, confirmed, Duration::ZERO, record);
    summarize(&sent, record)?;
    deployment.record_logs(&["catalog", "instance-left"]);
    Ok(late == 0)
}

/// RECOVER: all open connections between daemons and instances go silent, new ones work.
fn silent_instances(has_trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    let problem = |err: std::io::Error| err.to_string();
    let store = Store::start().map_err(problem)?;
    let deployment = start(&store, None, 16, Duration::from_millis(640), record)?;
    let mut clients = Clients::new();
    for (number, machine) in deployment.machines.iter().enumerate() {
        let name = format!("c{number}-");
        clients.start(
            &name,
            machine.outbound,
            "POST /puka111/2f",
            Duration::from_millis(85),
            record,
        );
    }
    sleep_until(record, record.now() + Duration::from_secs(8));
    let silent_at = record.now();
    if has_trouble {
        let instances = deployment.machines.iter().map(|machine| &machine.instance);
        let count: usize = instances.map(|instance| instance.silence()).sum();
        record.add(&format!("the {count} connections opened to instances so far are silent"));
    }
    let recovered_at = silent_at + RECOVERY;
    sleep_until(record, recovered_at + Duration::from_secs(12));
    let sent = clients.stop();
    let share = |from: Duration, to: Duration| {
        let of_time = sent.iter().filter(|sent| sent.at >= from && sent.at < to);
        let (served, all) = of_time
            .fold((0, 0), |(served, all), sent| (served + usize::from(sent.end == "200"), all + 1));
        (served, all)
    };
    for second in 0..silent_at.as_secs() + 30 {
        let at = Duration::from_secs(second);
        let (served, all) = share(at, at + Duration::from_secs(1));
        record.add(&format!("sent in second {second}: {all}, of these served: {served}"));
    }
    let (served_before, before) =
        share(silent_at.saturating_sub(Duration::from_secs(6)), silent_at);
    let (served, all) = share(recovered_at + CLOCK_SLACK, Duration::MAX);
    record.add(&format!("in the 6 s before: {served_before} of {before} served"));
    record.add(&format!("sent later than `recovery` after it: {served} of {all} served"));
    deployment.record_logs(&["draining", "patience", "peer-lost", "shedding"]);
    match served_before * 4 >= before && all > 0 {
        true => Ok(served * 4 >= all),
        false => Err("too few requests were served before".to_owned()),
    }
}

/// Records how the requests ended; fails if hardly any was served.
fn summarize(sent: &[Sent], record: &Record) -> Result<(), String> {
    let mut ends: std::collections::BTreeMap<&str, usize> = Default::default();
    sent.iter().for_each(|sent| *ends.entry(&sent.end).or_default() += 1);
    record.add(&format!("ends of all requests: {ends:?}"));
    let served = ends.get("200").copied().unwrap_or(0);
    match served * 2 > sent.len() {
        true => Ok(()),
        false => Err(format!("{served} of {} requests were served", sent.len())),
    }
}
