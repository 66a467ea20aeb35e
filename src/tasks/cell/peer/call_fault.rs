use tonic::Status;

/// Returns the message of a failed call with the errors that caused it, which tell a refused connection from one
/// that timed out.
pub(super) fn describe(status: &Status) -> String {
    let mut text = status.message().to_owned();
    let mut source = std::error::Error::source(status);
    while let Some(error) = source {
        let cause = error.to_string();
        // The message of a status often repeats one of its causes.
        if !text.contains(&cause) {
            text = format!("{text}: {cause}");
        }
        source = error.source();
    }
    text
}
