//! The subcommand `bundle publish`.

use godwithaven::kernel::BundleRecord;
use serde_json::json;

use crate::bundle_file::BundleFile;
use crate::control_log::ControlLog;
use crate::failure::CommandFailure;
use crate::flags::Publish;

/// Appends a signed bundle to the control log if its base is in force, and prints whether it came into force.
pub async fn publish(flags: &Publish, json: bool) -> Result<(), CommandFailure> {
    let file = BundleFile::read(&flags.file)?;
    file.bundle()?;
    let Some(record) = file.signed else {
        return Err(CommandFailure::failed(flags.file.display(), "not signed; see godwithaven bundle sign"));
    };
    let mut log = ControlLog::new(flags)?;
    log.read_to_end().await?;
    if log.ledger.bundle_record.as_ref() == Some(&record) {
        // Publishing the record that is in force succeeds, so that the command can be repeated after a lost
        // reply.
        return print_result(&record, &Ok(()), json);
    }
    let version = log.ledger.bundle.as_ref().map_or(0, |bundle| bundle.version);
    if record.base != version {
        let reason =
            format!("nothing was published: its base is {}, but version {version} is in force", record.base);
        return print_result(&record, &Err(reason), json);
    }
    let result = log.append(&record).await?;
    print_result(&record, &result, json)
}

/// Prints the result and returns it as the result of the command.
fn print_result(
    record: &BundleRecord,
    result: &Result<(), String>,
    json: bool,
) -> Result<(), CommandFailure> {
    let version = record.version;
    if json {
        outln!(
            "{}",
            json!({ "version": version, "adopted": result.is_ok(), "reason": result.as_ref().err() })
        );
        return result.clone().map_err(|_| CommandFailure::Printed);
    }
    match result {
        Ok(()) => {
            outln!("version {version} is in force");
            Ok(())
        }
        Err(reason) => Err(CommandFailure::failed(format!("version {version} was refused"), reason)),
    }
}
