//! The subcommand `usage`.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use crate::failure::CommandFailure;
use crate::operators::OperatorClient;
use crate::table;

/// Columns of the table: the field in the JSON form, its header and its metric.
const COLUMNS: [(&str, &str, &str); 4] = [
    ("weight", "WEIGHT", "godwithaven_team_weight"),
    ("past_use", "PAST USE", "godwithaven_team_past_use"),
    ("correction", "CORRECTION", "godwithaven_team_correction"),
    ("moved_back", "MOVED BACK", "godwithaven_team_moved_back"),
];

/// Values of a team by metric.
type TeamValues = BTreeMap<String, f64>;

/// Prints the past use of the teams, as the owner of the cell gives it in its metrics.
pub async fn usage(entries: &[String], json: bool) -> Result<(), CommandFailure> {
    let (mut teams, mut errors) = (BTreeMap::new(), Vec::new());
    for (entry, text) in OperatorClient::new(entries).fetch_metrics().await {
        match text {
            Ok(text) => teams.extend(parse(&text)),
            Err(error) => errors.push(format!("{entry}: {error}")),
        }
    }
    if teams.is_empty() {
        errors.push(
            "no process gave the past use of a team: the owner of the cell is not among the entries, or past \
             use is not accounted for"
                .to_owned(),
        );
        return Err(CommandFailure::Failed(errors.join("\n")));
    }
    for error in errors {
        eprintln!("{error}");
    }
    if json {
        let row = |(team, values): (&String, &TeamValues)| {
            let mut row = json!({ "team": team });
            for (field, _, metric) in COLUMNS {
                row[field] = values.get(metric).copied().map_or(Value::Null, Value::from);
            }
            row
        };
        outln!("{}", json!({ "teams": teams.iter().map(row).collect::<Vec<Value>>() }));
        return Ok(());
    }
    let row = |(team, values): (&String, &TeamValues)| {
        let value = |metric: &str| values.get(metric).copied().unwrap_or_default();
        vec![
            team.clone(),
            value("godwithaven_team_weight").to_string(),
            format!("{:.4}", value("godwithaven_team_past_use")),
            format!("{:.1}%", 100.0 * value("godwithaven_team_correction")),
            value("godwithaven_team_moved_back").to_string(),
        ]
    };
    let header: Vec<&str> = std::iter::once("TEAM").chain(COLUMNS.map(|(_, header, _)| header)).collect();
    table::print(&header, &teams.iter().map(row).collect::<Vec<_>>());
    Ok(())
}

/// Returns the values of each team in a page of metrics. Lines of other metrics are passed over.
fn parse(text: &str) -> BTreeMap<String, TeamValues> {
    let mut teams: BTreeMap<String, TeamValues> = BTreeMap::new();
    for line in text.lines() {
        let Some((metric, rest)) = line.split_once("{team=\"") else { continue };
        // Names of teams may contain spaces and braces.
        let Some((team, value)) = rest.rsplit_once("\"} ") else { continue };
        if let Ok(value) = value.trim().parse()
            && COLUMNS.iter().any(|(_, _, known)| *known == metric)
        {
            teams.entry(team.to_owned()).or_default().insert(metric.to_owned(), value);
        }
    }
    teams
}
