//! The cases.

use std::sync::Arc;
use std::time::Duration;

use crate::client::Clients;
use crate::client::Sent;
use crate::client::HOST;
use crate::daemons::Deployment;
use crate::record::Record;
use crate::store::Store;

/// Bounds of the site file.
const DRAIN: Duration = Duration::from_millis(2000);
const RECOVERY: Duration = Duration::from_secs(15);
/// Longest time for which answers are lost.
const LOSS_TIME: Duration = Duration::from_secs(6);
const CONFIG_APPLY: Duration = Duration::from_millis(2000);
/// Entries of another writer in each zone.
const FOREIGN_PER_ZONE: u8 = 60;
/// Time by which the record may be late.
const CLOCK_SLACK: Duration = Duration::from_millis(20);

/// Pause between two requests of a client.
const PAUSE: Duration = Duration::from_millis(75);
const SHORT_PAUSE: Duration = Duration::from_millis(50);

const CONFIG: &str = r#"{"version":7,"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},"base_version":5,"listeners":[{"host":"HOST","route_rules":[{"name":"r-n2ctnfz","kind":"safe","target_latency":"1500ms","priority":2,"match":{"path_prefix":"/leny950/"},"action":{"service":"huvo11a","timeout":"1000ms","max_attempts":2}},{"name":"r-s989anu","kind":"unsafe","target_latency":"1500ms","priority":0,"match":{"path_prefix":"/puka111/"},"action":{"service":"wuno96b","timeout":"1200ms","max_attempts":2}}]}],"clusters":[{"name":"huvo11a","health_check":"/healthz","max_conns":358,"protocol":"h1","tls":false},{"name":"wuno96b","health_check":"/healthz","max_conns":358,"protocol":"h1","tls":false}]}"#;

/// Returns a later configuration, which may move the submissions to the other service.
fn config(version: u32, has_moved: bool) -> String {
    let service = if has_moved { "huvo11a" } else { "wuno96b" };
    CONFIG
        .replace("HOST", HOST)
        .replace(r#""version":7"#, &format!(r#""version":{version}"#))
        .replace(r#""timeout":"1000ms""#, r#""timeout":"1100ms""#)
        .replace(r#""service":"wuno96b""#, &format!(r#""service":"{service}""#))
}

/// Plays a case; returns whether the rule held.
pub fn play(case: &str, has_trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    match case {
        "blobs" => blobs(has_trouble, record),
        "foreign-entries" => foreign_entries(has_trouble, record),
        "agent-entries" => agent_entries(has_trouble, record),
        "named-entries" => named_entries(has_trouble, record),
        "lost-answers" => lost_answers(has_trouble, record),
        _ => Err(format!("there is no case {case}")),
    }
}

fn sleep_until(record: &Record, at: Duration) {
    std::thread::sleep(at.saturating_sub(record.now()));
}

/// Starts three machines of each of two services and waits until they are ready.
fn start(store: &Store, work: Duration, record: &Arc<Record>) -> Result<Deployment, String> {
    store.put("op/config", CONFIG.replace("HOST", HOST).as_bytes());
    let mut deployment = Deployment::new(store.address, record)?;
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

/// Counts the requests that reached the draining instance too late, and records them.
fn late_arrivals(
    deployment: &Deployment,
    machine: usize,
    sent: &[Sent],
    confirmed: Duration,
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

/// DRAIN: another writer writes entries that name no instance; an instance drains.
fn blobs(has_trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    let problem = |err: std::io::Error| err.to_string();
    let store = Store::start().map_err(problem)?;
    let deployment = start(&store, Duration::from_millis(210), record)?;
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
    let late = late_arrivals(&deployment, 0, &sent, confirmed, record);
    summarize(&sent, record)?;
    deployment.record_logs(&["catalog", "instance-left"]);
    Ok(late == 0)
}

/// RECOVER: instances run requests and lose the answers of some, one pair after the other.
fn lost_answers(has_trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    let problem = |err: std::io::Error| err.to_string();
    let store = Store::start().map_err(problem)?;
    let deployment = start(&store, Duration::from_millis(210), record)?;
    let mut clients = Clients::new();
    for (number, machine) in deployment.machines.iter().enumerate() {
        let name = format!("c{number}-");
        clients.start(&name, machine.outbound, "POST /puka111/2f", SHORT_PAUSE, record);
    }
    sleep_until(record, record.now() + Duration::from_secs(8));
    let trouble_at = record.now();
    for pair in [[0, 1], [2, 0]] {
        if has_trouble {
            record.add(&format!("instances {pair:?} lose 3 of 10 answers"));
            pair.iter().for_each(|&number| deployment.machines[number].instance.lose_answers(3));
        }
        sleep_until(record, record.now() + LOSS_TIME);
        pair.iter().for_each(|&number| deployment.machines[number].instance.lose_answers(0));
    }
    record.add("no answer is lost from here on");
    recovers(&deployment, clients, trouble_at, record.now(), record)
}

/// ROUTE: another writer writes entries at the addresses of instances of another service.
fn named_entries(has_trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    let problem = |err: std::io::Error| err.to_string();
    let store = Store::start().map_err(problem)?;
    let deployment = start(&store, Duration::from_millis(210), record)?;
    let mut clients = Clients::new();
    for (number, machine) in deployment.machines.iter().enumerate() {
        let name = format!("c{number}-");
        clients.start(&name, machine.outbound, "POST /puka111/2f", PAUSE, record);
    }
    sleep_until(record, record.now() + Duration::from_secs(6));
    if has_trouble {
        for machine in 3..6 {
            let (key, value) = deployment.named_entry(machine);
            store.put(&key, value.as_bytes());
            record.add(&format!("another writer has written {key:?}: {value}"));
        }
    }
    sleep_until(record, record.now() + Duration::from_secs(12));
    let sent = clients.stop();
    let mut wrong = 0;
    for other in deployment.machines.iter().filter(|machine| machine.service != "wuno96b") {
        for arrival in other.instance.arrivals() {
            wrong += 1;
            let id = &other.instance.id;
            record.add(&format!(
                "WRONG: {} was run by {id} of {}, and its client has {:?}",
                arrival.request,
                other.service,
                sent.iter().find(|sent| sent.request == arrival.request).map(|sent| &sent.end)
            ));
        }
    }
    record.add(&format!("submissions run by a service that no configuration names: {wrong}"));
    summarize(&sent, record)?;
    deployment.record_logs(&["entry-unusable", "instance-left"]);
    Ok(wrong == 0)
}

/// RECOVER: another writer writes an entry under the name of each machine.
fn agent_entries(has_trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    let problem = |err: std::io::Error| err.to_string();
    let store = Store::start().map_err(problem)?;
    let deployment = start(&store, Duration::from_millis(210), record)?;
    let mut clients = Clients::new();
    for (number, machine) in deployment.machines.iter().enumerate() {
        let name = format!("c{number}-");
        clients.start(&name, machine.outbound, "POST /puka111/2f", SHORT_PAUSE, record);
    }
    sleep_until(record, record.now() + Duration::from_secs(8));
    let trouble_at = record.now();
    if has_trouble {
        for machine in 0..deployment.machines.len() {
            let (key, value) = deployment.agent_entry(machine);
            store.put(&key, value.as_bytes());
            record.add(&format!("another writer has written {key:?}: {value}"));
        }
    }
    recovers(&deployment, clients, trouble_at, trouble_at, record)
}

/// Goes on for `recovery` and 15 s after the trouble and returns whether a quarter of the requests
/// of these 15 s is served; fails if less was served in the 6 s before the trouble.
fn recovers(
    deployment: &Deployment,
    clients: Clients,
    trouble_at: Duration,
    end_at: Duration,
    record: &Record,
) -> Result<bool, String> {
    let recovered_at = end_at + RECOVERY;
    sleep_until(record, recovered_at + Duration::from_secs(15));
    let sent = clients.stop();
    let share = |from: Duration, to: Duration| {
        let of_time = sent.iter().filter(|sent| sent.at >= from && sent.at < to);
        of_time
            .fold((0, 0), |(served, all), sent| (served + usize::from(sent.end == "200"), all + 1))
    };
    for second in 0..recovered_at.as_secs() + 15 {
        let at = Duration::from_secs(second);
        let (served, all) = share(at, at + Duration::from_secs(1));
        record.add(&format!("sent in second {second}: {all}, of these served: {served}"));
    }
    let (served_before, before) =
        share(trouble_at.saturating_sub(Duration::from_secs(6)), trouble_at);
    let (served, all) = share(recovered_at + CLOCK_SLACK, Duration::MAX);
    record.add(&format!("in the 6 s before: {served_before} of {before} served"));
    record.add(&format!("sent later than `recovery` after it: {served} of {all} served"));
    deployment.record_logs(&["draining", "patience", "peer-lost", "shedding"]);
    match served_before * 4 >= before && all > 0 {
        true => Ok(served * 4 >= all),
        false => Err("too few requests were served before".to_owned()),
    }
}

/// CONFIG: another writer writes entries of a service that isn't named; two configurations follow.
fn foreign_entries(has_trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    let problem = |err: std::io::Error| err.to_string();
    let store = Store::start().map_err(problem)?;
    let mut deployment = start(&store, Duration::from_millis(210), record)?;
    let mut clients = Clients::new();
    for (number, machine) in deployment.machines.iter().enumerate() {
        let name = format!("c{number}-");
        clients.start(&name, machine.outbound, "POST /puka111/2f", PAUSE, record);
    }
    sleep_until(record, record.now() + Duration::from_secs(6));
    if has_trouble {
        let entries = deployment.foreign_entries(FOREIGN_PER_ZONE).map_err(problem)?;
        for (key, value) in &entries {
            store.put(key, value.as_bytes());
            std::thread::sleep(Duration::from_millis(3));
        }
        record.add(&format!("another writer has written {} entries", entries.len()));
    }
    sleep_until(record, record.now() + Duration::from_secs(1));
    store.put("op/config", config(8, false).as_bytes());
    record.add("the store has confirmed version 8");
    sleep_until(record, record.now() + Duration::from_secs(1));
    store.put("op/config", config(9, true).as_bytes());
    let confirmed = record.now();
    record.add("the store has confirmed version 9, which moves the submissions to huvo11a");
    sleep_until(record, confirmed + Duration::from_secs(8));
    let sent = clients.stop();
    let bound = confirmed + CONFIG_APPLY + CLOCK_SLACK;
    let late: Vec<&Sent> = sent.iter().filter(|sent| sent.at > bound).collect();
    let mut stale = 0;
    for old in deployment.machines.iter().filter(|machine| machine.service == "wuno96b") {
        for arrival in old.instance.arrivals() {
            let Some(request) = late.iter().find(|sent| sent.request == arrival.request) else {
                continue;
            };
            stale += 1;
            record.add(&format!(
                "OLD: {} was sent {:.3} s after the confirmation, {} of the old service ran it, and its client has {}",
                request.request,
                (request.at - confirmed).as_secs_f64(),
                old.instance.id,
                request.end
            ));
        }
    }
    let late = late.len();
    record.add(&format!("sent later than config_apply: {late}, run by the old service: {stale}"));
    summarize(&sent, record)?;
    deployment.record_logs(&["reader-lost", "version-in-force"]);
    Ok(stale == 0)
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
