//! The subcommand `explain place`.

use std::cmp::Reverse;
use std::fs;

use godwithaven::kernel::cell::{JobForecast, StepForecast};
use godwithaven::tasks::cell::operator_pages::FORECAST_PATH;
use serde_json::{Value, json};

use crate::failure::CommandFailure;
use crate::flags::Place;
use crate::operators::OperatorClient;
use crate::table;

/// Variable with the key of the team.
const KEY_VARIABLE: &str = "GODWITHAVEN_KEY";
/// Id that stands for that of the job, which callers choose.
const JOB_ID: &str = "0000000000000000";
/// Teams and workers that are named; the others are counted.
const MAX_NAMED: usize = 5;

/// Prints what the owner of a cell would do now with a job.
pub async fn place(flags: &Place, json: bool) -> Result<(), CommandFailure> {
    let question = question(flags)?;
    let page = OperatorClient::new(&flags.entry).post_first(FORECAST_PATH, &question).await?;
    if json {
        outln!("{page}");
        return Ok(());
    }
    let forecast: JobForecast = serde_json::from_value(page)
        .map_err(|error| CommandFailure::failed("forecast cannot be read", error))?;
    print(&forecast);
    Ok(())
}

fn question(flags: &Place) -> Result<Value, CommandFailure> {
    let read = |path: &std::path::PathBuf| {
        fs::read_to_string(path).map_err(|error| CommandFailure::failed(path.display(), error))
    };
    let key = match &flags.key_file {
        Some(path) => Some(read(path)?.trim().to_owned()),
        None => std::env::var(KEY_VARIABLE).ok(),
    };
    let mut question = json!({ "host": flags.host, "path": format!("{}{JOB_ID}", flags.path), "key": key });
    if let Some(path) = &flags.file {
        question["job"] = read(path)?.into();
        return Ok(question);
    }
    question["tasks"] = json!({
        "count": flags.tasks.unwrap_or(1),
        "need": {
            "cores_milli": flags.cores_milli.unwrap_or(1_000),
            "memory_mib": flags.memory_mib.unwrap_or_default(),
            "accelerators": flags.accelerators.unwrap_or_default(),
        },
        "run_ms": flags.run_ms.unwrap_or_default(),
    });
    Ok(question)
}

fn print(forecast: &JobForecast) {
    if let Some(status) = forecast.known {
        outln!("the job is known: {status}");
        return;
    }
    let team = if forecast.team.is_empty() { "-" } else { &*forecast.team };
    let excess = if forecast.excess { ", above its submission rate" } else { "" };
    match &forecast.load_refusal {
        Some(refusal) => outln!("refused by queue {} for team {team}{excess}: {refusal}", forecast.queue),
        None => outln!("admitted to queue {} for team {team}{excess}", forecast.queue),
    }
    let header = ["STEP", "TASKS", "START NOW", "WAIT", "EXPECTED", "LATEST START", "MOVED BACK", "ASKED"];
    table::print(&header, &forecast.steps.iter().map(row).collect::<Vec<_>>());
    for step in &forecast.steps {
        let steps: usize = step.before.iter().map(|(_, steps)| steps).sum();
        let mut before: Vec<_> = step.before.iter().collect();
        before.sort_by_key(|(_, steps)| Reverse(*steps));
        let named: Vec<String> =
            before.iter().take(MAX_NAMED).map(|(team, steps)| format!("{steps} of {team}")).collect();
        let named = if named.is_empty() { String::new() } else { format!(": {}", named.join(", ")) };
        outln!("step {}: {steps} steps rank before it{named}", step.step);
        for (reason, workers) in &step.workers {
            outln!("step {}: {workers} workers x {reason}", step.step);
        }
        let starts = step.starts.iter().take(MAX_NAMED);
        for (worker, tasks) in starts {
            outln!("step {}: {tasks} tasks would start on {worker}", step.step);
        }
    }
    if forecast.steps.is_empty() {
        outln!("no step is due now");
    }
    outln!(
        "reports of workers up to {} ms old, submissions read {} ms ago",
        forecast.oldest_report_ms,
        forecast.submissions_read_ms
    );
}

fn row(step: &StepForecast) -> Vec<String> {
    let started: u32 = step.starts.iter().map(|(_, tasks)| tasks).sum();
    vec![
        step.step.to_string(),
        step.tasks.to_string(),
        started.to_string(),
        step.wait.clone().unwrap_or_else(|| "-".to_owned()),
        step.expected_start_ms.map_or_else(|| "-".to_owned(), |millis| format!("{millis} ms")),
        format!("{} ms", step.latest_start_ms),
        format!("{} ms", step.correction_ms),
        step.permits_asked.to_string(),
    ]
}
