//! Explains where jobs and requests are.

use serde_json::Value;

use crate::failure::CommandFailure;
use crate::flags::{Job, Request};
use crate::operators::OperatorClient;

/// Explains a job as the owner of its shard sees it, as far as that process was asked.
pub async fn job(flags: &Job, json: bool) -> Result<(), CommandFailure> {
    let page = best(&flags.entry, "job", &flags.name, "tasks").await?;
    if json {
        say!("{page}");
        return Ok(());
    }
    say!("job {}: {}", text(&page["job"]), text(&page["state"]));
    say!("shard {}, owned by {}", text(&page["shard"]), text(&page["owner"]));
    if !page["outcome"].is_null() {
        say!("outcome {}", page["outcome"]);
        return Ok(());
    }
    let tasks = &page["tasks"];
    if tasks.is_null() {
        say!("its tasks are known only to the owner; add its --entry");
        return Ok(());
    }
    let running = tasks["running"].as_array().into_iter().flatten();
    let mut running: Vec<(&str, &str)> = running.map(|task| (text(&task[0]), text(&task[1]))).collect();
    running.sort_unstable();
    for (task, vm) in running {
        say!("{task} runs on {vm}");
    }
    say!("{} tasks wait", tasks["waiting"]);
    for reason in tasks["reasons"].as_array().into_iter().flatten() {
        say!("{} x {}", reason[1], text(&reason[0]));
    }
    Ok(())
}

/// Explains a request to a service.
pub async fn request(flags: &Request, json: bool) -> Result<(), CommandFailure> {
    let page = best(&flags.entry, "request", &flags.id, "stage").await?;
    if json {
        say!("{page}");
        return Ok(());
    }
    let stage =
        page["stage"].as_str().unwrap_or("announced; its stage is known only to the owner, add its --entry");
    say!("request {}: {stage}", text(&page["request"]));
    Ok(())
}

/// Returns the page that has the detail, or else any.
async fn best(entries: &[String], kind: &str, name: &str, detail: &str) -> Result<Value, CommandFailure> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    let parts: Vec<&str> = name.split('/').collect();
    let named = |part: &&str| !matches!(*part, "" | "." | "..") && part.bytes().all(plain);
    if parts.len() != 2 || !parts.iter().all(named) {
        return Err(CommandFailure::Usage(format!("{name:?} is not of the form TEAM/NAME")));
    }
    let mut pages = OperatorClient::new(entries).readable(&format!("/v1/explain/{kind}/{name}")).await?;
    let index = pages.iter().position(|page| !page[detail].is_null()).unwrap_or(0);
    Ok(pages.swap_remove(index))
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}
