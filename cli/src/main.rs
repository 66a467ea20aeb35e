//! The operators' command.

use std::process::ExitCode;

mod caller;
mod demo;
mod tally;

#[actix_rt::main]
async fn main() -> ExitCode {
    if std::env::args().nth(1).as_deref() == Some("demo") {
        return demo::run().await;
    }
    eprintln!("usage: godwithaven demo");
    ExitCode::from(2)
}
