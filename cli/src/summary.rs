//! The subcommands `status`, `fleet`, `teams`, `zones` and `endpoints`.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use crate::failure::CommandFailure;
use crate::operators::OperatorClient;
use crate::table;

/// Prints a row for each entry process; fails, after printing, if one of them cannot be read.
pub async fn status(entries: &[String], json: bool) -> Result<(), CommandFailure> {
    let pages = OperatorClient::new(entries).fetch_all("/v1/status").await;
    let failed = pages.iter().any(|(_, page)| page.is_err());
    if json {
        let rows: Vec<Value> = pages
            .iter()
            .map(|(entry, page)| match page {
                Ok(page) => json!({ "entry": entry, "status": page }),
                Err(error) => json!({ "entry": entry, "fault": error }),
            })
            .collect();
        outln!("{}", Value::Array(rows));
    } else {
        let row = |(entry, page): &(String, Result<Value, String>)| match page {
            Ok(page) => {
                let ready = if page["ready"] == true { "yes" } else { "no" }.to_owned();
                let counts = ["log_next", "shards_owned", "open_jobs"];
                let mut row = vec![entry.clone(), cell(&page["process"]), ready];
                row.push(cell(&page["bundle_version"]));
                row.push(page["bundle_age_s"].as_u64().map_or("-".into(), |age| format!("{age}s")));
                row.extend(counts.iter().map(|count| cell(&page[*count])));
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
                Err(error) => eprintln!("{entry}: {error}"),
            }
        }
        table::print(&["ENTRY", "PROCESS", "READY", "BUNDLE", "AGE", "LOG", "SHARDS", "OPEN JOBS"], &rows);
    }
    if failed { Err(CommandFailure::Printed) } else { Ok(()) }
}

/// Prints all worker shards. The workers, resources and waiting tasks of a shard are known only to its owner.
pub async fn fleet(entries: &[String], json: bool) -> Result<(), CommandFailure> {
    let pages = OperatorClient::new(entries).fetch_readable("/v1/fleet").await?;
    let shards = merge_rows(&pages, "shards", "shard", "summary");
    if json {
        outln!("{}", json!({ "shards": shards }));
        return Ok(());
    }
    let row = |shard: &Value| {
        let summary = &shard["summary"];
        let mut row = vec![cell(&shard["shard"]), cell(&shard["owner"])];
        if summary.is_null() {
            row.extend(vec!["?".to_owned(); 5]);
        } else {
            row.push(format!("{}/{}", cell(&summary["workers_heard"]), cell(&summary["workers"])));
            row.extend(
                RESOURCE_FIELDS.map(|(name, _)| ratio(&summary["used"][name], &summary["capacity"][name])),
            );
            row.push(cell(&summary["waiting"]));
        }
        row
    };
    let header = ["SHARD", "OWNER", "WORKERS", "CORES", "MEMORY MIB", "ACCELERATORS", "WAITING"];
    table::print(&header, &shards.iter().map(row).collect::<Vec<_>>());
    warn_unknown(&shards, "summary");
    Ok(())
}

/// Prints all teams. Use and waiting tasks are sums over the entry processes that were asked, as each knows
/// only those of its own shards.
pub async fn teams(entries: &[String], json: bool) -> Result<(), CommandFailure> {
    let pages = OperatorClient::new(entries).fetch_readable("/v1/teams").await?;
    let mut teams: BTreeMap<String, Value> = BTreeMap::new();
    for team in pages.iter().filter_map(|page| page["teams"].as_array()).flatten() {
        let sum = teams.entry(cell(&team["team"])).or_insert_with(|| {
            let mut team = team.clone();
            team["used"] = json!({});
            team["waiting"] = json!({});
            team
        });
        for (name, _) in RESOURCE_FIELDS {
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
        outln!("{}", json!({ "teams": teams.into_values().collect::<Vec<Value>>() }));
        return Ok(());
    }
    let row = |team: &Value| {
        let mut row = vec![cell(&team["team"]), cell(&team["share"])];
        row.extend(RESOURCE_FIELDS.map(|(name, _)| ratio(&team["used"][name], &team["limit"][name])));
        row.extend([cell(&team["open_jobs"]), cell(&team["open_tasks"])]);
        let waiting = team["waiting"].as_object().into_iter().flatten();
        let waiting: Vec<String> = waiting.map(|(reason, tasks)| format!("{tasks} {reason}")).collect();
        row.push(if waiting.is_empty() { "-".to_owned() } else { waiting.join(", ") });
        row
    };
    let header =
        ["TEAM", "SHARE", "CORES", "MEMORY MIB", "ACCELERATORS", "OPEN JOBS", "OPEN TASKS", "WAITING"];
    table::print(&header, &teams.values().map(row).collect::<Vec<_>>());
    Ok(())
}

/// Prints all zones; fails, after printing, if the entry process cannot read the VM list.
pub async fn zones(entries: &[String], json: bool) -> Result<(), CommandFailure> {
    let page = OperatorClient::new(entries).fetch_first("/v1/zones").await?;
    if json {
        outln!("{page}");
        return Ok(());
    }
    let fields = ["zone", "region", "state", "workers", "endpoints", "leaving"];
    print_rows(&["ZONE", "REGION", "STATE", "WORKERS", "ENDPOINTS", "LEAVING"], &page["zones"], &fields);
    match page["vm_list_fault"].as_str() {
        Some(error) => Err(CommandFailure::failed("the VM list cannot be read", error)),
        None => Ok(()),
    }
}

/// Prints the endpoints of all service partitions, which are known only to the owner of the partition.
pub async fn endpoints(entries: &[String], json: bool) -> Result<(), CommandFailure> {
    let pages = OperatorClient::new(entries).fetch_readable("/v1/endpoints").await?;
    let partitions = merge_rows(&pages, "partitions", "partition", "endpoints");
    if json {
        outln!("{}", json!({ "partitions": partitions }));
        return Ok(());
    }
    let mut rows = Vec::new();
    for partition in &partitions {
        let prefix = || vec![cell(&partition["partition"]), cell(&partition["owner"])];
        match partition["endpoints"].as_array() {
            None => rows.push([prefix(), vec!["?".to_owned(); 4]].concat()),
            Some(endpoints) => rows.extend(endpoints.iter().map(|endpoint| {
                let busy = ratio(&endpoint["busy"], &endpoint["slots"]);
                [prefix(), ["vm", "zone", "state"].map(|name| cell(&endpoint[name])).to_vec(), vec![busy]]
                    .concat()
            })),
        }
    }
    table::print(&["PARTITION", "OWNER", "ENDPOINT", "ZONE", "STATE", "BUSY"], &rows);
    warn_unknown(&partitions, "endpoints");
    Ok(())
}

/// JSON fields of an amount of resources, with their divisor to cores, MiB and accelerators. No table uses
/// the divisor, so the column CORES shows millicores.
pub const RESOURCE_FIELDS: [(&str, u64); 3] =
    [("cores_milli", 1_000), ("memory_mib", 1), ("accelerators", 1)];

/// Merges the rows in `list` of all pages by their field `key`. Of rows with the same key, one with `detail`,
/// which only the owner fills in, is preferred.
fn merge_rows(pages: &[Value], list: &str, key: &str, detail: &str) -> Vec<Value> {
    let mut rows: BTreeMap<String, Value> = BTreeMap::new();
    for row in pages.iter().filter_map(|page| page[list].as_array()).flatten() {
        let known = rows.entry(cell(&row[key])).or_insert_with(|| row.clone());
        if known[detail].is_null() {
            *known = row.clone();
        }
    }
    rows.into_values().collect()
}

/// Prints to standard error how many rows lack `detail` because their owner was not asked.
fn warn_unknown(rows: &[Value], detail: &str) {
    let unknown = rows.iter().filter(|row| row[detail].is_null()).count();
    if unknown > 0 {
        eprintln!("{unknown} rows are known only to their owner; add its --entry");
    }
}

/// Prints a table of the given fields of the rows.
fn print_rows(header: &[&str], rows: &Value, fields: &[&str]) {
    let rows = rows.as_array().into_iter().flatten();
    let rows: Vec<Vec<String>> =
        rows.map(|row| fields.iter().map(|field| cell(&row[*field])).collect()).collect();
    table::print(header, &rows);
}

/// Returns `PART/WHOLE`.
fn ratio(part: &Value, whole: &Value) -> String {
    format!("{}/{}", cell(part), cell(whole))
}

/// Returns the text of a JSON value in a table; `-` for null.
fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        value => value.to_string(),
    }
}
