//! The subcommands `explain job` and `explain request`.

use serde_json::Value;

use crate::failure::CommandFailure;
use crate::flags::{Job, Request};
use crate::operators::OperatorClient;

/// Prints the state of a job. Its tasks and the reasons why they wait are known only to the owner of its
/// shard, and are missing if that process was not asked.
pub async fn job(flags: &Job, json: bool) -> Result<(), CommandFailure> {
    let page = fetch_explanation(&flags.entry, "job", &flags.name, "tasks").await?;
    if json {
        outln!("{page}");
        return Ok(());
    }
    outln!("job {}: {}", text(&page["job"]), text(&page["state"]));
    outln!("shard {}, owned by {}", text(&page["shard"]), text(&page["owner"]));
    if !page["outcome"].is_null() {
        outln!("outcome {}", page["outcome"]);
        return Ok(());
    }
    let tasks = &page["tasks"];
    if tasks.is_null() {
        outln!("its tasks are known only to the owner; add its --entry");
        return Ok(());
    }
    let running = tasks["running"].as_array().into_iter().flatten();
    let mut running: Vec<(&str, &str)> = running.map(|task| (text(&task[0]), text(&task[1]))).collect();
    running.sort_unstable();
    for (task, vm) in running {
        outln!("{task} runs on {vm}");
    }
    outln!("{} tasks wait", tasks["waiting"]);
    for reason in tasks["reasons"].as_array().into_iter().flatten() {
        outln!("{} x {}", reason[1], text(&reason[0]));
    }
    Ok(())
}

/// Prints the stage of a request to a service, which only the owner of its partition knows.
pub async fn request(flags: &Request, json: bool) -> Result<(), CommandFailure> {
    let page = fetch_explanation(&flags.entry, "request", &flags.id, "stage").await?;
    if json {
        outln!("{page}");
        return Ok(());
    }
    let stage =
        page["stage"].as_str().unwrap_or("announced; its stage is known only to the owner, add its --entry");
    outln!("request {}: {stage}", text(&page["request"]));
    Ok(())
}

/// Asks all entry processes for an explanation and returns the first with the field `detail`, which only the
/// owner fills in, or else the first that can be read.
///
/// The name becomes part of the URL path, so it must be two ids with a slash between them, without dot
/// segments.
async fn fetch_explanation(
    entries: &[String],
    kind: &str,
    name: &str,
    detail: &str,
) -> Result<Value, CommandFailure> {
    let is_id_byte = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    let parts: Vec<&str> = name.split('/').collect();
    let is_id = |part: &&str| !matches!(*part, "" | "." | "..") && part.bytes().all(is_id_byte);
    if parts.len() != 2 || !parts.iter().all(is_id) {
        return Err(CommandFailure::Usage(format!("{name:?} is not of the form TEAM/NAME")));
    }
    let mut pages =
        OperatorClient::new(entries).fetch_readable(&format!("/v1/explain/{kind}/{name}")).await?;
    let index = pages.iter().position(|page| !page[detail].is_null()).unwrap_or(0);
    Ok(pages.swap_remove(index))
}

/// Returns a JSON string, or `-` for any other value.
fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}
