//! Prints the state of processes, fleet, teams, zones and endpoints.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use crate::failure::CommandFailure;
use crate::operators::OperatorClient;
use crate::table;

/// Shows each entry process; fails if one cannot be read.
pub async fn status(entries: &[String], json: bool) -> Result<(), CommandFailure> {
    let pages = OperatorClient::new(entries).all("/v1/status").await;
    let failed = pages.iter().any(|(_, page)| page.is_err());
    if json {
        let rows: Vec<Value> = pages
            .iter()
            .map(|(entry, page)| match page {
                Ok(page) => json!({ "entry": entry, "status": page }),
                Err(fault) => json!({ "entry": entry, "fault": fault }),
            })
            .collect();
        say!("{}", Value::Array(rows));
    } else {
        let row = |(entry, page): &(String, Result<Value, String>)| match page {
            Ok(page) => {
                let ready = if page["ready"] == true { "yes" } else { "no" }.to_owned();
                let names = ["log_next", "shards_owned", "open_jobs"];
                let mut row = vec![entry.clone(), cell(&page["process"]), ready];
                row.push(cell(&page["bundle_version"]));
                row.push(page["bundle_age_s"].as_u64().map_or("-".into(), |age| format!("{age}s")));
                row.extend(names.iter().map(|name| cell(&page[*name])));
                row
            }
            Err(_) => [vec![entry.clone(), "-".into(), "no".into()], vec!["-".into(); 5]].concat(),
        };
        let rows: Vec<Vec<String>> = pages.iter().map(row).collect();
        for (entry, page) in &pages {
            match page {
                Ok(page) => page["obstacle"]
                    .as_str()
                    .into_iter()
                    .for_each(|obstacle| eprintln!("{entry}: {obstacle}")),
                Err(fault) => eprintln!("{entry}: {fault}"),
            }
        }
        table::print(&["ENTRY", "PROCESS", "READY", "BUNDLE", "AGE", "LOG", "SHARDS", "OPEN JOBS"], &rows);
    }
    if failed { Err(CommandFailure::Printed) } else { Ok(()) }
}

/// Shows all worker shards.
pub async fn fleet(entries: &[String], json: bool) -> Result<(), CommandFailure> {
    let pages = OperatorClient::new(entries).readable("/v1/fleet").await?;
    let shards = merge(&pages, "shards", "shard", "summary");
    if json {
        say!("{}", json!({ "shards": shards }));
        return Ok(());
    }
    let row = |shard: &Value| {
        let summary = &shard["summary"];
        let mut row = vec![cell(&shard["shard"]), cell(&shard["owner"])];
        if summary.is_null() {
            row.extend(vec!["?".to_owned(); 5]);
        } else {
            row.push(format!("{}/{}", cell(&summary["workers_heard"]), cell(&summary["workers"])));
            row.extend(DIMENSIONS.map(|(name, _)| of(&summary["used"][name], &summary["capacity"][name])));
            row.push(cell(&summary["waiting"]));
        }
        row
    };
    let head = ["SHARD", "OWNER", "WORKERS", "CORES", "MEMORY MIB", "ACCELERATORS", "WAITING"];
    table::print(&head, &shards.iter().map(row).collect::<Vec<_>>());
    note_unknown(&shards, "summary");
    Ok(())
}

/// Shows all teams; use and waiting tasks are sums over the processes that were asked.
pub async fn teams(entries: &[String], json: bool) -> Result<(), CommandFailure> {
    let pages = OperatorClient::new(entries).readable("/v1/teams").await?;
    let mut teams: BTreeMap<String, Value> = BTreeMap::new();
    for team in pages.iter().filter_map(|page| page["teams"].as_array()).flatten() {
        let sum = teams.entry(cell(&team["team"])).or_insert_with(|| {
            let mut team = team.clone();
            team["used"] = json!({});
            team["waiting"] = json!({});
            team
        });
        for (name, _) in DIMENSIONS {
            let used =
                sum["used"][name].as_u64().unwrap_or(0) + team["used_here"][name].as_u64().unwrap_or(0);
            sum["used"][name] = used.into();
        }
        for (reason, tasks) in team["waiting_here"].as_object().into_iter().flatten() {
            let waiting = sum["waiting"][reason].as_u64().unwrap_or(0) + tasks.as_u64().unwrap_or(0);
            sum["waiting"][reason] = waiting.into();
        }
    }
    for team in teams.values_mut().filter_map(Value::as_object_mut) {
        team.remove("used_here");
        team.remove("waiting_here");
    }
    if json {
        say!("{}", json!({ "teams": teams.into_values().collect::<Vec<Value>>() }));
        return Ok(());
    }
    let row = |team: &Value| {
        let mut row = vec![cell(&team["team"]), cell(&team["share"])];
        row.extend(DIMENSIONS.map(|(name, _)| of(&team["used"][name], &team["limit"][name])));
        row.extend([cell(&team["open_jobs"]), cell(&team["open_tasks"])]);
        let waiting = team["waiting"].as_object().into_iter().flatten();
        let waiting: Vec<String> = waiting.map(|(reason, tasks)| format!("{tasks} {reason}")).collect();
        row.push(if waiting.is_empty() { "-".to_owned() } else { waiting.join(", ") });
        row
    };
    let head = ["TEAM", "SHARE", "CORES", "MEMORY MIB", "ACCELERATORS", "OPEN JOBS", "OPEN TASKS", "WAITING"];
    table::print(&head, &teams.values().map(row).collect::<Vec<_>>());
    Ok(())
}

/// Shows all zones.
pub async fn zones(entries: &[String], json: bool) -> Result<(), CommandFailure> {
    let page = OperatorClient::new(entries).first("/v1/zones").await?;
    if json {
        say!("{page}");
        return Ok(());
    }
    let names = ["zone", "region", "state", "workers", "endpoints", "leaving"];
    print_rows(&["ZONE", "REGION", "STATE", "WORKERS", "ENDPOINTS", "LEAVING"], &page["zones"], &names);
    match page["vm_list_fault"].as_str() {
        Some(fault) => Err(CommandFailure::failed("the VM list cannot be read", fault)),
        None => Ok(()),
    }
}

/// Shows all endpoints.
pub async fn endpoints(entries: &[String], json: bool) -> Result<(), CommandFailure> {
    let pages = OperatorClient::new(entries).readable("/v1/endpoints").await?;
    let partitions = merge(&pages, "partitions", "partition", "endpoints");
    if json {
        say!("{}", json!({ "partitions": partitions }));
        return Ok(());
    }
    let mut rows = Vec::new();
    for partition in &partitions {
        let start = || vec![cell(&partition["partition"]), cell(&partition["owner"])];
        match partition["endpoints"].as_array() {
            None => rows.push([start(), vec!["?".to_owned(); 4]].concat()),
            Some(endpoints) => rows.extend(endpoints.iter().map(|endpoint| {
                let busy = of(&endpoint["busy"], &endpoint["slots"]);
                [start(), ["vm", "zone", "state"].map(|name| cell(&endpoint[name])).to_vec(), vec![busy]]
                    .concat()
            })),
        }
    }
    table::print(&["PARTITION", "OWNER", "ENDPOINT", "ZONE", "STATE", "BUSY"], &rows);
    note_unknown(&partitions, "endpoints");
    Ok(())
}

/// Fields of an amount of resources, with the divisor that makes them whole units.
pub const DIMENSIONS: [(&str, u64); 3] = [("cores_milli", 1_000), ("memory_mib", 1), ("accelerators", 1)];

/// Returns one row for each name, with the detail of the process that has it.
fn merge(pages: &[Value], list: &str, name: &str, detail: &str) -> Vec<Value> {
    let mut rows: BTreeMap<String, Value> = BTreeMap::new();
    for row in pages.iter().filter_map(|page| page[list].as_array()).flatten() {
        let known = rows.entry(cell(&row[name])).or_insert_with(|| row.clone());
        if known[detail].is_null() {
            *known = row.clone();
        }
    }
    rows.into_values().collect()
}

fn note_unknown(rows: &[Value], detail: &str) {
    let unknown = rows.iter().filter(|row| row[detail].is_null()).count();
    if unknown > 0 {
        eprintln!("{unknown} rows are known only to their owner; add its --entry");
    }
}

fn print_rows(head: &[&str], rows: &Value, names: &[&str]) {
    let rows = rows.as_array().into_iter().flatten();
    let rows: Vec<Vec<String>> =
        rows.map(|row| names.iter().map(|name| cell(&row[*name])).collect()).collect();
    table::print(head, &rows);
}

fn of(part: &Value, whole: &Value) -> String {
    format!("{}/{}", cell(part), cell(whole))
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        value => value.to_string(),
    }
}
