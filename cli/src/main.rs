//! `godwithaven`, the operators' command line program.

#[macro_use]
mod output;

mod bundle;
mod bundle_file;
mod caller;
mod control_log;
mod demo;
mod explain;
mod failure;
mod flags;
mod key;
mod operators;
mod place;
mod publish;
mod summary;
mod table;
mod tally;
mod timeline;
mod usage;

use std::ffi::OsString;
use std::process::ExitCode;

use failure::CommandFailure;
use flags::{BundleCmd, ExplainCmd, Godwithaven, GodwithavenCmd, KeyCmd};

#[actix_rt::main]
async fn main() -> ExitCode {
    let args: Vec<OsString> = std::env::args_os().skip(1).collect();
    if args.iter().any(|arg| arg == "--version") {
        println!("godwithaven {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let command = match Godwithaven::from_vec(flags::split_values(args)) {
        Ok(command) => command,
        Err(error) if error.is_help() => {
            print!("{error}");
            return ExitCode::SUCCESS;
        }
        Err(error) => return CommandFailure::Usage(error.to_string()).print_and_exit_code(),
    };
    run(command).await.unwrap_or_else(|failure| failure.print_and_exit_code())
}

async fn run(command: Godwithaven) -> Result<ExitCode, CommandFailure> {
    let json = command.json;
    match command.subcommand {
        GodwithavenCmd::Demo(_) => return Ok(demo::run().await),
        GodwithavenCmd::Bundle(command) => match command.subcommand {
            BundleCmd::Check(check) => bundle::check(&check, json).await?,
            BundleCmd::Diff(diff) => bundle::diff(&diff, json)?,
            BundleCmd::Sign(sign) => bundle::sign(&sign)?,
            BundleCmd::Publish(publish) => publish::publish(&publish, json).await?,
            BundleCmd::Show(show) => bundle::show(&show, json).await?,
        },
        GodwithavenCmd::Key(command) => match command.subcommand {
            KeyCmd::New(new) => key::create(&new)?,
            KeyCmd::Hash(_) => key::hash()?,
        },
        GodwithavenCmd::Status(status) => summary::status(&status.entry, json).await?,
        GodwithavenCmd::Fleet(fleet) => summary::fleet(&fleet.entry, json).await?,
        GodwithavenCmd::Teams(teams) => summary::teams(&teams.entry, json).await?,
        GodwithavenCmd::Usage(flags) => usage::usage(&flags.entry, json).await?,
        GodwithavenCmd::Zones(zones) => summary::zones(&zones.entry, json).await?,
        GodwithavenCmd::Endpoints(endpoints) => summary::endpoints(&endpoints.entry, json).await?,
        GodwithavenCmd::Explain(command) => match command.subcommand {
            ExplainCmd::Job(job) => explain::job(&job, json).await?,
            ExplainCmd::Log(log) => timeline::print(&log, json)?,
            ExplainCmd::Place(flags) => place::place(&flags, json).await?,
            ExplainCmd::Request(request) => explain::request(&request, json).await?,
        },
    }
    Ok(ExitCode::SUCCESS)
}
